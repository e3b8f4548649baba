#include "adaptertcp/httpcaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bergamot::adaptertcp {

using boost::system::error_code;

namespace {

/// Processes send each other at most some hundred kilobytes; the platform's
/// store sends 1 MB of records, a third more in its text form. Whoever sends
/// more is in trouble and may never end.
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;

} // namespace

HttpCaller::HttpCaller(boost::asio::io_context &loop,
                       boost::asio::ip::tcp::endpoint peer)
    : Loop(loop), Peer(std::move(peer)), Timer(loop) {}

void HttpCaller::call(const RequestHead &head, std::string_view body,
                      base::TimePoint deadline, Completion completion) {
  Request = requestText(head, body);
  Pending = std::move(completion);
  Sent = false;
  const std::uint64_t number = ++CallNumber;
  Parser.restart();
  Timer.expires_at(deadline);
  Timer.async_wait([self = shared_from_this(), number](const error_code &ec) {
    if (!ec && number == self->CallNumber && self->Pending) {
      self->dropConnection();
      self->complete({self->Sent ? CallResult::Outcome::Unknown
                                 : CallResult::Outcome::NotSent,
                      {},
                      {}});
    }
  });
  if (Connection && Connection->isOpen())
    sendRequest();
  else
    connect();
}

void HttpCaller::connect() {
  auto connection =
      std::make_shared<TcpConnection>(TcpConnection::Socket(Loop));
  Connection = connection;
  connection->socket().async_connect(Peer, [self = shared_from_this(),
                                            connection, number = CallNumber](
                                               const error_code &ec) {
    if (number != self->CallNumber || self->Connection != connection)
      return;
    if (ec) {
      self->Connection.reset();
      self->complete({CallResult::Outcome::NotSent, {}, {}});
      return;
    }
    connection->start({[self](std::string_view bytes) { self->onData(bytes); },
                       [self](CloseReason reason) { self->onClose(reason); },
                       {}});
    self->sendRequest();
  });
}

void HttpCaller::sendRequest() {
  Sent = true;
  Connection->send(Request);
}

void HttpCaller::onData(std::string_view bytes) {
  if (!Pending) {
    // Nothing was asked; whatever this is must not answer the next call.
    dropConnection();
    return;
  }
  const std::size_t n = Parser.push(bytes);
  if (Parser.hasFailed() || Parser.body().size() > MaxResponseBytes) {
    onClose(CloseReason::Reset);
    return;
  }
  if (!Parser.isComplete())
    return;
  if (n < bytes.size() || !Parser.responseHead().KeepAlive)
    dropConnection();
  complete({CallResult::Outcome::Answered, std::move(Parser.responseHead()),
            std::move(Parser.body())});
}

void HttpCaller::onClose(CloseReason reason) {
  dropConnection();
  if (!Pending)
    return;
  if (reason == CloseReason::EndOfStream)
    Parser.finish();
  if (Parser.isComplete()) {
    complete({CallResult::Outcome::Answered, std::move(Parser.responseHead()),
              std::move(Parser.body())});
    return;
  }
  complete({CallResult::Outcome::Unknown, {}, {}});
}

void HttpCaller::dropConnection() {
  if (Connection)
    Connection->close();
  Connection.reset();
}

void HttpCaller::complete(CallResult result) {
  Timer.cancel();
  boost::asio::post(Loop, [self = shared_from_this(), cancels = Cancels,
                           completion = std::move(Pending),
                           result = std::move(result)] {
    if (cancels == self->Cancels)
      completion(result);
  });
  Pending = nullptr;
}

void HttpCaller::cancel() {
  ++CallNumber;
  ++Cancels;
  Pending = nullptr;
  Timer.cancel();
  dropConnection();
}

std::shared_ptr<HttpCaller> &
freeCaller(std::shared_ptr<HttpCaller> &kept, boost::asio::io_context &loop,
           const boost::asio::ip::tcp::endpoint &peer) {
  if (!kept || kept->isBusy())
    kept = std::make_shared<HttpCaller>(loop, peer);
  return kept;
}

} // namespace bergamot::adaptertcp
