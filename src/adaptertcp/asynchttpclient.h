#ifndef BERGAMOT_ADAPTERTCP_ASYNCHTTPCLIENT_H
#define BERGAMOT_ADAPTERTCP_ASYNCHTTPCLIENT_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamot::adaptertcp {

/// Result of a call: the response, or how the call failed.
struct CallResult {
  enum class Outcome {
    Answered,
    /// Failed before any byte of the request was sent.
    NotSent,
    /// Failed after the request was sent; the peer may have processed it.
    Unknown,
  };

  Outcome Result = Outcome::NotSent;
  ResponseHead Head;
  std::string Body;

  bool isStatus(int status) const {
    return Result == Outcome::Answered && Head.Status == status;
  }
};

/// Asynchronous HTTP client that makes one call at a time to a fixed peer over
/// a persistent connection. A call that times out resets the connection, so
/// that an unresponsive connection is never reused and a request that is held
/// up in the network doesn't arrive later.
class AsyncHttpClient : public std::enable_shared_from_this<AsyncHttpClient> {
public:
  using Completion = std::function<void(const CallResult &)>;

  AsyncHttpClient(boost::asio::io_context &loop,
                  boost::asio::ip::tcp::endpoint peer);

  /// Sets a condition that is checked immediately before a request is sent. If
  /// it is false, the call fails with Outcome::NotSent. The time between the
  /// start of a call and its request is not bounded by the deadline if the VM
  /// is suspended meanwhile.
  void setSendCondition(std::function<bool()> condition) {
    SendCondition = std::move(condition);
  }
  /// Starts a call; no other call may be in progress. The completion is invoked
  /// once on the event loop, never from within this function.
  void call(const RequestHead &head, std::string_view body,
            base::TimePoint deadline, Completion completion);
  /// Aborts the call in progress and closes the connection. The completion is
  /// not invoked, even if it has already been queued.
  void cancel();

  bool isBusy() const { return static_cast<bool>(PendingCompletion); }
  const boost::asio::ip::tcp::endpoint &peer() const { return Peer; }

private:
  void connect();
  void sendRequest();
  void onData(std::string_view bytes);
  void onClosed(CloseReason reason);
  void closeConnection();
  void abortConnection();
  void complete(CallResult result);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Peer;
  boost::asio::steady_timer Timer;
  std::shared_ptr<TcpConnection> Connection;
  MessageParser Parser{MessageParser::Kind::Response};
  std::string RequestBytes;
  Completion PendingCompletion;
  std::function<bool()> SendCondition;
  /// Bytes received in the current call.
  std::size_t ReceivedBytes = 0;
  std::uint64_t CallNumber = 0;
  std::uint64_t CancelCount = 0;
  bool RequestSent = false;
};

/// Replaces `client` with a new client if it is null or busy, so that a call
/// can be started, and returns it. A call in progress on the replaced client
/// continues.
std::shared_ptr<AsyncHttpClient> &
ensureIdleClient(std::shared_ptr<AsyncHttpClient> &client,
                 boost::asio::io_context &loop,
                 const boost::asio::ip::tcp::endpoint &peer);

} // namespace bergamot::adaptertcp

#endif
