#ifndef BERGAMOT_SIDECAR_FANOUTSUBTREE_H
#define BERGAMOT_SIDECAR_FANOUTSUBTREE_H

#include "adaptertcp/asynchttpclient.h"
#include "sidecar/batch.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::sidecar {

/// A subtree of the two-level fan-out from a coordinator to its group: a subset
/// of the members, which the coordinator calls through one of them, the relay.
/// Calls made in the same iteration of the event loop are sent to the relay as
/// one batch; a single call goes to its member directly. If the relay doesn't
/// respond, the next member becomes the relay.
class FanoutSubtree : public std::enable_shared_from_this<FanoutSubtree> {
public:
  using Completion = adaptertcp::AsyncHttpClient::Completion;

  /// `port` is the port that all sidecars listen on; `members` are IP addresses
  /// in the order in which the members become the relay.
  FanoutSubtree(boost::asio::io_context &loop, std::uint16_t port,
                std::vector<std::string> members);
  /// Cancels queued calls and the most recent call of each path to each member,
  /// whose completions then don't run. Earlier calls that are still pending
  /// complete normally.
  ~FanoutSubtree();
  FanoutSubtree(const FanoutSubtree &) = delete;
  FanoutSubtree &operator=(const FanoutSubtree &) = delete;

  /// Calls a member's sidecar. The completion runs once, unless the destructor
  /// cancels the call.
  void call(const std::string &member, const std::string &requestTarget,
            const std::string &body, base::TimePoint deadline,
            Completion completion);

  boost::asio::io_context &loop() { return Loop; }

private:
  struct QueuedCall {
    std::string MemberAddress;
    std::string Body;
    base::TimePoint Deadline;
    Completion OnDone;
  };
  using Calls = std::vector<QueuedCall>;

  /// Sends the queued calls with one request target, as a batch if there are
  /// several.
  void sendQueued(const std::string &requestTarget, Calls calls);
  void sendBatch(const std::string &requestTarget, Calls calls);
  adaptertcp::AsyncHttpClient &callerTo(const std::string &requestTarget,
                                        const std::string &member);

  boost::asio::io_context &Loop;
  std::uint16_t Port;
  std::vector<std::string> Members;
  std::size_t RelayIndex = 0;
  /// Calls made in this iteration of the event loop, by request target.
  std::map<std::string, Calls> Queued;
  /// Reused connections, one per path and member.
  std::map<std::string, std::shared_ptr<adaptertcp::AsyncHttpClient>> Callers;
};

/// Returns the number of members per subtree: about the square root of the
/// group size, which balances the load of coordinator and relays; 1 for groups
/// so small that the additional hop costs more time than it saves.
std::size_t subtreeSize(std::size_t groupSize);

} // namespace bergamot::sidecar

#endif
