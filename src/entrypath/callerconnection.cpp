#include "entrypath/callerconnection.h"

#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using adaptertcp::Framing;
using adaptertcp::ResponseHead;
using base::TimePoint;

namespace {

/// Once more bytes of pipelined requests are buffered while a request is in
/// progress, further ones remain in the kernel's receive buffer.
constexpr std::size_t MaxPipelinedBytes = 65536;
/// While more bytes than this wait for the caller to read, its next request
/// isn't processed.
constexpr std::size_t MaxUnreadBytes = 65536;
/// Limit on the bytes of a body in chunks with extensions and trailers, since a
/// caller may send these without end. A chunk of one byte takes six.
constexpr std::size_t MaxWireBytesPerByte = 8;
constexpr std::size_t MaxExtraBytes = 65536;
/// In seconds. Larger requests than the rejected one may end meanwhile.
constexpr auto UploadRetryAfter = "1";

} // namespace

CallerConnection::CallerConnection(Entry &entry,
                                   adaptertcp::TcpConnection::Socket socket)
    : Owner(entry), Connection(std::make_shared<adaptertcp::TcpConnection>(
                        std::move(socket))),
      LastActiveAt(entry.now()) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start() {
  Connection->start(
      {[self = shared_from_this()](std::string_view it) { self->onData(it); },
       [self = shared_from_this()](adaptertcp::CloseReason) {
         self->onClose();
       },
       [self = shared_from_this()] {
         if (self->CurrentExchange)
           self->CurrentExchange->onSendBufferEmpty();
         else
           self->resume();
       }});
}

void CallerConnection::onData(std::string_view bytes) {
  LastActiveAt = Owner.now();
  Input.append(bytes);
  if (isBlocked()) {
    if (Input.size() > MaxPipelinedBytes)
      Connection->setReading(false);
    return;
  }
  parse();
}

/// Returns whether the next request has to wait: for the response to the
/// previous one, or for the caller to read.
bool CallerConnection::isBlocked() const {
  return CurrentExchange || Connection->unsentBytes() > MaxUnreadBytes;
}

/// Continues with pipelined requests.
void CallerConnection::resume() {
  if (isBlocked() || Closed)
    return;
  Connection->setReading(true);
  if (Input.empty())
    return;
  Owner.post([self = shared_from_this()] {
    if (!self->isBlocked())
      self->parse();
  });
}

void CallerConnection::parse() {
  if (Input.empty() || Closed)
    return;
  if (!Parser.hasStarted())
    RequestStartedAt = Owner.now();
  const bool isInBody = Parser.isHeadComplete();
  const std::size_t n = Parser.push(Input);
  Input.erase(0, n);
  if (isInBody)
    BodyWireBytes += n;
  const auto &limits = Owner.callerLimits();
  if (Parser.headBytes() > limits.HeaderBytes) {
    reject(431);
    return;
  }
  const std::size_t maxWireBytes =
      MaxExtraBytes + MaxWireBytesPerByte * Parser.body().size();
  if (Parser.hasFailed() || BodyWireBytes > maxWireBytes) {
    reject(400);
    return;
  }
  if (!Parser.isComplete())
    setUploadBytes(Parser.headBytes() + Parser.body().size());
  if (!Parser.isHeadComplete() || Closed)
    return;
  if (Parser.contentLength().value_or(0) > limits.BodyBytes ||
      Parser.body().size() > limits.BodyBytes) {
    reject(413);
    return;
  }
  if (Parser.isComplete()) {
    setUploadBytes(0);
    onRequestComplete();
    return;
  }
  if (!Sent100Continue && Parser.requestHead().Headers.value("Expect")) {
    Sent100Continue = true;
    Connection->send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::onRequestComplete() {
  KeepAlive = Parser.requestHead().KeepAlive;
  HeadRequested = Parser.requestHead().Method == "HEAD";
  CurrentExchange =
      std::make_shared<Exchange>(Owner, *this, std::move(Parser.requestHead()),
                                 std::move(Parser.body()), RequestStartedAt);
  Parser.restart();
  BodyWireBytes = 0;
  Sent100Continue = false;
  // The exchange may end within the call, which clears CurrentExchange.
  const auto exchange = CurrentExchange;
  exchange->start();
}

void CallerConnection::setUploadBytes(std::size_t n) {
  const std::size_t before = std::exchange(UploadBytes, n);
  Owner.addUploadBytes(static_cast<std::int64_t>(n) -
                       static_cast<std::int64_t>(before));
}

void CallerConnection::rejectUpload() {
  const auto self = shared_from_this();
  reject(503);
}

void CallerConnection::reject(int status) {
  Owner.countRejectedInput(status);
  ResponseHead head;
  head.Status = status;
  if (status == 503)
    head.Headers.add("Retry-After", UploadRetryAfter);
  setReadDeadline();
  Connection->send(adaptertcp::responseText(head, Framing::Length, 0, false));
  closeAfterSending();
}

void CallerConnection::respond(const ResponseHead &head,
                               std::string_view body) {
  if (Closed)
    return;
  if (!hasBody(head)) {
    beginResponse(head);
    endResponse();
    return;
  }
  KeepAlive = KeepAlive && !Owner.isShuttingDown();
  setReadDeadline();
  std::string text =
      adaptertcp::responseText(head, Framing::Length, body.size(), KeepAlive);
  text.append(body);
  Connection->send(text);
  finishExchange();
}

/// Sets until when the caller may read the next response; a rejection of an
/// incomplete request has no deadline.
void CallerConnection::setReadDeadline() {
  Connection->setReadDeadline(CurrentExchange ? CurrentExchange->readDeadline()
                                              : TimePoint());
}

bool CallerConnection::hasBody(const ResponseHead &head) const {
  return !HeadRequested && adaptertcp::mayHaveBody(head.Status);
}

void CallerConnection::beginResponse(const ResponseHead &head) {
  if (Closed)
    return;
  KeepAlive = KeepAlive && !Owner.isShuttingDown();
  WithoutBody = !hasBody(head);
  Chunked = !head.Length;
  setReadDeadline();
  Connection->send(adaptertcp::responseText(
      head, Chunked ? Framing::Chunked : Framing::Length,
      head.Length.value_or(0), KeepAlive));
}

void CallerConnection::sendBody(std::string_view bytes) {
  if (Closed || WithoutBody || bytes.empty())
    return;
  if (!Chunked) {
    Connection->send(bytes);
    return;
  }
  std::string chunk;
  chunk.reserve(bytes.size() + 24);
  adaptertcp::appendChunk(chunk, bytes);
  Connection->send(chunk);
}

void CallerConnection::endResponse() {
  if (Closed)
    return;
  if (Chunked && !WithoutBody)
    Connection->send(adaptertcp::LastChunk);
  finishExchange();
}

void CallerConnection::abortResponse() {
  if (Closed)
    return;
  CurrentExchange.reset();
  closeAfterSending();
}

void CallerConnection::finishExchange() {
  CurrentExchange.reset();
  LastActiveAt = Owner.now();
  if (!KeepAlive) {
    closeAfterSending();
    return;
  }
  resume();
}

void CallerConnection::closeAfterSending() {
  Closed = true;
  setUploadBytes(0);
  Owner.addClosingConnection(Connection);
  Owner.removeCaller(*this);
  Connection->closeAfterSending();
}

void CallerConnection::disconnect() {
  const auto self = shared_from_this();
  Connection->close();
  onClose();
}

void CallerConnection::onClose() {
  Closed = true;
  setUploadBytes(0);
  if (const auto exchange = std::move(CurrentExchange))
    exchange->onCallerDisconnected();
  CurrentExchange.reset();
  Owner.removeCaller(*this);
}

bool CallerConnection::isIdle() const {
  return !CurrentExchange && !Parser.hasStarted() && Input.empty();
}

void CallerConnection::checkTimeouts(TimePoint now) {
  if (CurrentExchange || Closed)
    return;
  const auto &limits = Owner.callerLimits();
  const bool readingHead = Parser.hasStarted() && !Parser.isHeadComplete();
  const bool headerTimedOut =
      readingHead && now > RequestStartedAt + limits.HeaderTimeout;
  const bool idleTimedOut = now > LastActiveAt + limits.IdleTimeout;
  if (headerTimedOut) {
    reject(408);
    return;
  }
  if (!idleTimedOut)
    return;
  closeAfterSending();
}

void CallerConnection::handleSuspension(base::Duration missedTime) {
  const auto self = shared_from_this();
  const auto exchange = CurrentExchange;
  if (exchange)
    exchange->handleSuspension(missedTime);
}

void CallerConnection::abortBlockedRequest() {
  const auto self = shared_from_this();
  const auto exchange = CurrentExchange;
  if (exchange)
    exchange->abortIfBlocked();
}

void CallerConnection::endRequest(const char *reason) {
  const auto self = shared_from_this();
  const auto exchange = CurrentExchange;
  if (exchange)
    exchange->endUnserved(reason);
}

void CallerConnection::closeIfIdle() {
  if (!isIdle() || Closed)
    return;
  closeAfterSending();
}

} // namespace bergamot::entrypath
