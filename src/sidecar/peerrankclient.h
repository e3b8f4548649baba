#ifndef BERGAMOT_SIDECAR_PEERRANKCLIENT_H
#define BERGAMOT_SIDECAR_PEERRANKCLIENT_H

#include "adaptertcp/httpcaller.h"
#include "sidecar/fanoutsubtree.h"
#include "sidecar/rankclient.h"

#include <memory>
#include <string>

namespace bergamot::sidecar {

/// Paths of the calls between sidecars. The parameter `by` names the rank of
/// the coordinator that calls.
namespace paths {
constexpr auto State = "/rank";
constexpr auto Counts = "/counts";
constexpr auto Experts = "/experts";
constexpr auto Order = "/order";
/// Waits until a version's experts are copied, at most for some time.
constexpr auto Copies = "/copies";
/// Passes calls on to other sidecars.
constexpr auto Batch = "/batch";
constexpr auto ByParameter = "by";
constexpr auto VersionParameter = "version";
/// In milliseconds.
constexpr auto WithinParameter = "within";
} // namespace paths

/// Returns the target of a batch of calls with a target, from the same
/// coordinator.
std::string batchTarget(const std::string &target);
/// Returns a parameter of a call; unset if it is missing or no number.
std::optional<std::uint64_t> numberParameter(const std::string &target,
                                             const std::string &name);
/// Calls another sidecar, with POST if there is a body.
void callSidecar(adaptertcp::HttpCaller &caller, const std::string &target,
                 const std::string &body, base::TimePoint deadline,
                 adaptertcp::HttpCaller::Completion completion);
inline void callSidecar(const std::shared_ptr<adaptertcp::HttpCaller> &caller,
                        const std::string &target, const std::string &body,
                        base::TimePoint deadline,
                        adaptertcp::HttpCaller::Completion completion) {
  callSidecar(*caller, target, body, deadline, std::move(completion));
}

/// A rank that is reached through the sidecar beside it, whose calls to its
/// engine are fresh and free of charge. While the sidecar doesn't answer, the
/// calls go to the engine itself. So do orders to hold or release a step, in
/// which no further VM should take part: if it stood still, nobody could
/// release the step.
class PeerRank final : public MemberPort {
public:
  /// `address` is that of the sidecar, without port.
  PeerRank(std::shared_ptr<Branch> branch, std::string address,
           std::shared_ptr<RankPort> engine, std::uint32_t coordinator);

  void fetchState(base::TimePoint deadline, StateCompletion done) override;
  /// Counts aren't read from the engine directly, which would hold up the
  /// whole group for a moment.
  void fetchCounts(base::TimePoint deadline, CountsCompletion done) override;
  void fetchExperts(base::TimePoint deadline, ExpertsCompletion done) override;
  void awaitCopies(std::uint64_t version, base::TimePoint deadline,
                   StateCompletion done) override;
  void sendOrder(const experts::RankOrder &order, base::TimePoint deadline,
                 OrderCompletion done) override;

private:
  void call(const std::string &path, const std::string &parameters,
            const std::string &body, base::TimePoint deadline,
            adaptertcp::HttpCaller::Completion completion);
  adaptertcp::HttpCaller::Completion
  noted(adaptertcp::HttpCaller::Completion completion);
  void fetchState(const char *path, const std::string &parameters,
                  base::TimePoint deadline, StateCompletion done);
  bool isDirect() const;
  void noteAnswer(const adaptertcp::CallResult &result);

  std::shared_ptr<Branch> Members;
  std::string Address;
  std::shared_ptr<RankPort> Engine;
  std::uint32_t Coordinator;
  base::TimePoint DirectUntil;
  unsigned Failures = 0;
  /// Completions of calls that outlive this object find it expired.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace bergamot::sidecar

#endif
