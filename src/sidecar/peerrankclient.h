#ifndef BERGAMOT_SIDECAR_PEERRANKCLIENT_H
#define BERGAMOT_SIDECAR_PEERRANKCLIENT_H

#include "adaptertcp/asynchttpclient.h"
#include "sidecar/fanoutsubtree.h"
#include "sidecar/rankclient.h"

#include <memory>
#include <string>

namespace bergamot::sidecar {

/// Paths and query parameters of the calls between sidecars. The strings are
/// part of the protocol, so they don't follow the names of the constants.
namespace paths {
/// Returns the state of the rank.
constexpr auto State = "/rank";
constexpr auto Counts = "/counts";
constexpr auto ExpertIds = "/experts";
constexpr auto Order = "/order";
/// Returns the state of the rank once it has copied the experts of a version or
/// the time limit has passed.
constexpr auto AwaitCopies = "/copies";
/// Relays calls to other sidecars.
constexpr auto Batch = "/batch";
/// The rank whose sidecar is the calling coordinator; part of each call.
constexpr auto CoordinatorParameter = "by";
constexpr auto VersionParameter = "version";
/// Time limit in milliseconds.
constexpr auto TimeoutParameter = "within";
} // namespace paths

/// Returns `requestTarget` (path and query) with its path replaced by
/// paths::Batch, for a batch of calls with that request target.
std::string batchRequestTarget(const std::string &requestTarget);
/// Returns an integer query parameter; std::nullopt if it is missing or
/// malformed.
std::optional<std::uint64_t> numberParameter(const std::string &requestTarget,
                                             const std::string &name);
/// Calls another sidecar: POST if there is a body, GET otherwise.
void callSidecar(adaptertcp::AsyncHttpClient &caller,
                 const std::string &requestTarget, const std::string &body,
                 base::TimePoint deadline,
                 adaptertcp::AsyncHttpClient::Completion completion);
inline void
callSidecar(const std::shared_ptr<adaptertcp::AsyncHttpClient> &caller,
            const std::string &requestTarget, const std::string &body,
            base::TimePoint deadline,
            adaptertcp::AsyncHttpClient::Completion completion) {
  callSidecar(*caller, requestTarget, body, deadline, std::move(completion));
}

/// Calls a rank through the sidecar beside it. That sidecar's calls to its
/// engine return current data and don't delay the group. While the sidecar
/// doesn't respond, all calls except fetchCounts() go directly to the engine.
/// Orders to hold or release a step always go directly to the engine: if they
/// depended on a further VM and that VM stalled, the step could not be
/// released.
class PeerRankClient final : public MemberClient {
public:
  /// `address` is the IP address of the sidecar, without port.
  PeerRankClient(std::shared_ptr<FanoutSubtree> subtree, std::string address,
                 std::shared_ptr<RankClient> engine,
                 std::uint32_t coordinatorRank);

  void fetchState(base::TimePoint deadline, StateCompletion done) override;
  /// Never reads counts directly from the engine, which would stall the whole
  /// group for a moment.
  void fetchCounts(base::TimePoint deadline, CountsCompletion done) override;
  void fetchExpertIds(base::TimePoint deadline,
                      ExpertIdsCompletion done) override;
  void awaitCopies(std::uint64_t version, base::TimePoint deadline,
                   StateCompletion done) override;
  void sendOrder(const experts::RankOrder &order, base::TimePoint deadline,
                 OrderCompletion done) override;

private:
  void call(const std::string &path, const std::string &parameters,
            const std::string &body, base::TimePoint deadline,
            adaptertcp::AsyncHttpClient::Completion completion);
  /// Wraps a completion so that it also records whether the sidecar responds.
  adaptertcp::AsyncHttpClient::Completion
  withResponseTracking(adaptertcp::AsyncHttpClient::Completion completion);
  void fetchState(const char *path, const std::string &parameters,
                  base::TimePoint deadline, StateCompletion done);
  bool bypassesSidecar() const;
  void recordResponse(const adaptertcp::CallResult &result);

  std::shared_ptr<FanoutSubtree> Subtree;
  std::string Address;
  std::shared_ptr<RankClient> Engine;
  std::uint32_t CoordinatorRank;
  base::TimePoint BypassUntil;
  unsigned ConsecutiveFailures = 0;
  /// Expired once this object is destroyed; checked by pending completions.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace bergamot::sidecar

#endif
