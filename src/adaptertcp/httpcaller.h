#ifndef BERGAMOT_ADAPTERTCP_HTTPCALLER_H
#define BERGAMOT_ADAPTERTCP_HTTPCALLER_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamot::adaptertcp {

/// Result of a call: the response, or what kept it from arriving.
struct CallResult {
  enum class Outcome {
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been processed.
    Unknown,
  };

  Outcome Result = Outcome::NotSent;
  ResponseHead Head;
  std::string Body;

  bool isStatus(int status) const {
    return Result == Outcome::Answered && Head.Status == status;
  }
};

/// Makes one call at a time to a fixed peer over a kept connection. A call
/// without a response by its deadline closes the connection, so a silent
/// connection never serves a second call.
class HttpCaller : public std::enable_shared_from_this<HttpCaller> {
public:
  using Completion = std::function<void(const CallResult &)>;

  HttpCaller(boost::asio::io_context &loop,
             boost::asio::ip::tcp::endpoint peer);

  /// Starts a call; there must be none in progress. The completion runs once,
  /// on the loop, never from within this function.
  void call(const RequestHead &head, std::string_view body,
            base::TimePoint deadline, Completion completion);
  /// Ends the call in progress without completion and closes the connection.
  /// A completion that is already due doesn't run either.
  void cancel();

  bool isBusy() const { return static_cast<bool>(Pending); }
  const boost::asio::ip::tcp::endpoint &peer() const { return Peer; }

private:
  void connect();
  void sendRequest();
  void onData(std::string_view bytes);
  void onClose(CloseReason reason);
  void dropConnection();
  void complete(CallResult result);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Peer;
  boost::asio::steady_timer Timer;
  std::shared_ptr<TcpConnection> Connection;
  MessageParser Parser{MessageParser::Kind::Response};
  std::string Request;
  Completion Pending;
  std::uint64_t CallNumber = 0;
  std::uint64_t Cancels = 0;
  bool Sent = false;
};

/// Makes sure that a call can be started: a call in progress keeps its caller,
/// and `kept` gets a new one. Returns `kept`.
std::shared_ptr<HttpCaller> &
freeCaller(std::shared_ptr<HttpCaller> &kept, boost::asio::io_context &loop,
           const boost::asio::ip::tcp::endpoint &peer);

} // namespace bergamot::adaptertcp

#endif
