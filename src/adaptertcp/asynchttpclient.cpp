#include "adaptertcp/asynchttpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bergamot::adaptertcp {

using boost::system::error_code;

namespace {

/// Limit on all bytes received in a call, since a faulty peer may send without
/// end. Daemons exchange at most a few hundred kilobytes; the platform's
/// store sends up to 1 MB of records, a third more in its text encoding.
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;

} // namespace

AsyncHttpClient::AsyncHttpClient(boost::asio::io_context &loop,
                                 boost::asio::ip::tcp::endpoint peer)
    : Loop(loop), Peer(std::move(peer)), Timer(loop) {}

void AsyncHttpClient::call(const RequestHead &head, std::string_view body,
                           base::TimePoint deadline, Completion completion) {
  RequestBytes = requestText(head, body);
  PendingCompletion = std::move(completion);
  RequestSent = false;
  ReceivedBytes = 0;
  const std::uint64_t number = ++CallNumber;
  Parser.restart();
  Timer.expires_at(deadline);
  Timer.async_wait([self = shared_from_this(), number](const error_code &ec) {
    if (!ec && number == self->CallNumber && self->PendingCompletion) {
      self->abortConnection();
      self->complete({self->RequestSent ? CallResult::Outcome::Unknown
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

void AsyncHttpClient::connect() {
  auto connection = std::make_shared<TcpConnection>(TcpConnection::Socket(Loop),
                                                    ConnectionOrigin::Opened);
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
                       [self](CloseReason reason) { self->onClosed(reason); },
                       {}});
    self->sendRequest();
  });
}

void AsyncHttpClient::sendRequest() {
  if (SendCondition && !SendCondition()) {
    closeConnection();
    complete({CallResult::Outcome::NotSent, {}, {}});
    return;
  }
  RequestSent = true;
  Connection->setReadDeadline(Timer.expiry());
  Connection->send(RequestBytes);
}

void AsyncHttpClient::onData(std::string_view bytes) {
  if (!PendingCompletion) {
    // Unsolicited data must not be taken for the response to the next call.
    closeConnection();
    return;
  }
  while (!bytes.empty()) {
    const std::size_t n = Parser.push(bytes);
    bytes.remove_prefix(n);
    ReceivedBytes += n;
    const bool stuck = n == 0 && !Parser.isComplete();
    if (Parser.hasFailed() || stuck || ReceivedBytes > MaxResponseBytes) {
      closeConnection();
      complete({CallResult::Outcome::Unknown, {}, {}});
      return;
    }
    if (!Parser.isComplete())
      return;
    if (Parser.responseHead().Status >= 200)
      break;
    // Interim responses precede the response.
    Parser.restart();
  }
  if (!Parser.isComplete())
    return;
  if (!bytes.empty() || !Parser.responseHead().KeepAlive)
    closeConnection();
  complete({CallResult::Outcome::Answered, std::move(Parser.responseHead()),
            std::move(Parser.body())});
}

void AsyncHttpClient::onClosed(CloseReason reason) {
  closeConnection();
  if (!PendingCompletion)
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

void AsyncHttpClient::closeConnection() {
  if (Connection)
    Connection->close();
  Connection.reset();
}

void AsyncHttpClient::abortConnection() {
  if (Connection)
    Connection->abort();
  Connection.reset();
}

void AsyncHttpClient::complete(CallResult result) {
  Timer.cancel();
  boost::asio::post(Loop, [self = shared_from_this(), cancelCount = CancelCount,
                           completion = std::move(PendingCompletion),
                           result = std::move(result)] {
    if (cancelCount == self->CancelCount)
      completion(result);
  });
  PendingCompletion = nullptr;
}

void AsyncHttpClient::cancel() {
  ++CallNumber;
  ++CancelCount;
  PendingCompletion = nullptr;
  Timer.cancel();
  abortConnection();
}

std::shared_ptr<AsyncHttpClient> &
ensureIdleClient(std::shared_ptr<AsyncHttpClient> &client,
                 boost::asio::io_context &loop,
                 const boost::asio::ip::tcp::endpoint &peer) {
  if (!client || client->isBusy())
    client = std::make_shared<AsyncHttpClient>(loop, peer);
  return client;
}

} // namespace bergamot::adaptertcp
