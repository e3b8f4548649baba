#include "adaptertcp/asynchttpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bergamot::adaptertcp {

using boost::system::error_code;

namespace {

/// Limits the memory used for a response from a faulty peer that may never stop
/// sending. Daemons exchange at most a few hundred kilobytes; the platform's
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
  Connection->send(RequestBytes);
}

void AsyncHttpClient::onData(std::string_view bytes) {
  if (!PendingCompletion) {
    // Unsolicited data must not be taken for the response to the next call.
    closeConnection();
    return;
  }
  const std::size_t n = Parser.push(bytes);
  if (Parser.hasFailed() || Parser.body().size() > MaxResponseBytes) {
    onClosed(CloseReason::Reset);
    return;
  }
  if (!Parser.isComplete())
    return;
  if (n < bytes.size() || !Parser.responseHead().KeepAlive)
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
