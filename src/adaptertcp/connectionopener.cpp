#include "adaptertcp/connectionopener.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace bergamot::adaptertcp {

using boost::system::error_code;

namespace {

ProbeResult probeResult(const error_code &ec) {
  if (!ec)
    return ProbeResult::Accepted;
  if (ec == boost::asio::error::connection_refused)
    return ProbeResult::Refused;
  if (ec == boost::asio::error::timed_out ||
      ec == boost::asio::error::host_unreachable)
    return ProbeResult::NoAnswer;
  return ProbeResult::Undecided;
}

} // namespace

const char *probeResultName(ProbeResult result) {
  switch (result) {
  case ProbeResult::Accepted:
    return "accepted";
  case ProbeResult::Refused:
    return "refused";
  case ProbeResult::NoAnswer:
    return "no_answer";
  case ProbeResult::Undecided:
    return "undecided";
  }
  return "";
}

void openConnection(boost::asio::io_context &loop,
                    const boost::asio::ip::tcp::endpoint &server,
                    base::TimePoint deadline, OpenCompletion completion) {
  auto connection = std::make_shared<TcpConnection>(TcpConnection::Socket(loop),
                                                    ConnectionOrigin::Opened);
  auto timer = std::make_shared<boost::asio::steady_timer>(loop, deadline);
  auto done = std::make_shared<OpenCompletion>(std::move(completion));
  timer->async_wait([connection, done](const error_code &ec) {
    if (ec || !*done)
      return;
    const OpenCompletion callback = std::move(*done);
    *done = nullptr;
    connection->close();
    callback(nullptr, boost::asio::error::timed_out);
  });
  connection->socket().async_connect(
      server, [connection, timer, done](const error_code &ec) {
        if (!*done)
          return;
        const OpenCompletion callback = std::move(*done);
        *done = nullptr;
        timer->cancel();
        callback(ec ? nullptr : connection, ec);
      });
}

void probeServer(boost::asio::io_context &loop,
                 const boost::asio::ip::tcp::endpoint &server,
                 base::TimePoint deadline,
                 std::function<void(ProbeResult)> completion) {
  openConnection(loop, server, deadline,
                 [completion = std::move(completion)](
                     const std::shared_ptr<TcpConnection> &connection,
                     const error_code &ec) {
                   if (connection)
                     connection->close();
                   completion(probeResult(ec));
                 });
}

} // namespace bergamot::adaptertcp
