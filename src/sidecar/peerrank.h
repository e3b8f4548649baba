#ifndef BERGAMOT_SIDECAR_PEERRANK_H
#define BERGAMOT_SIDECAR_PEERRANK_H

#include "adaptertcp/httpcaller.h"
#include "sidecar/rankport.h"

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
constexpr auto ByParameter = "?by=";
} // namespace paths

/// A rank that is reached through the sidecar beside it, whose calls to its
/// engine are fresh and free of charge. While the sidecar doesn't answer, the
/// calls go to the engine itself. So do orders to hold or release a step, in
/// which no further VM should take part: if it stood still, nobody could
/// release the step.
class PeerRank final : public RankPort {
public:
  PeerRank(boost::asio::io_context &loop,
           const boost::asio::ip::tcp::endpoint &sidecar,
           std::shared_ptr<RankPort> engine, std::uint32_t coordinator);
  /// Ends the newest call of each kind without completion.
  ~PeerRank() override;
  PeerRank(const PeerRank &) = delete;
  PeerRank &operator=(const PeerRank &) = delete;

  void fetchState(base::TimePoint deadline, StateCompletion done) override;
  /// Counts aren't read from the engine directly, which would hold up the
  /// whole group for a moment.
  void fetchCounts(base::TimePoint deadline, CountsCompletion done) override;
  void fetchExperts(base::TimePoint deadline, ExpertsCompletion done) override;
  void sendOrder(const experts::RankOrder &order, base::TimePoint deadline,
                 OrderCompletion done) override;

private:
  using Caller = std::shared_ptr<adaptertcp::HttpCaller>;

  void call(Caller &caller, const char *path, const std::string &body,
            base::TimePoint deadline,
            adaptertcp::HttpCaller::Completion completion);
  bool isDirect() const;
  void noteAnswer(const adaptertcp::CallResult &result);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Sidecar;
  std::shared_ptr<RankPort> Engine;
  std::uint32_t Coordinator;
  Caller Queries;
  Caller CountQueries;
  Caller Orders;
  base::TimePoint DirectUntil;
  unsigned Failures = 0;
  /// Completions of calls that outlive this object find it expired.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace bergamot::sidecar

#endif
