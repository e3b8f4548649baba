#ifndef BERGAMOT_SIDECAR_RANKCLIENT_H
#define BERGAMOT_SIDECAR_RANKCLIENT_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// How often tokens of the requests that a rank serves have been routed to each
/// expert, in total since the rank started. Ordered by set of layers, then by
/// expert.
struct RankCounts {
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  std::vector<std::uint64_t> Counts;
};

/// Selection counts of one or several ranks since the previous call, in the
/// order of RankCounts. Empty if there is no previous call to compare with, or
/// if they are included in the counts of another rank.
using CountDeltas = std::vector<std::uint32_t>;

/// The IDs of the experts that a rank holds, by set.
struct RankExpertIds {
  std::uint64_t Epoch = 0;
  std::uint64_t MapVersion = 0;
  std::vector<std::vector<std::uint32_t>> ExpertIds;
};

/// Client of one rank's engine. A completion gets std::nullopt or
/// OrderResult::Unknown if there is no valid response by the deadline.
class RankClient {
public:
  using StateCompletion =
      std::function<void(const std::optional<experts::RankState> &)>;
  using ExpertIdsCompletion =
      std::function<void(const std::optional<RankExpertIds> &)>;
  using OrderCompletion = std::function<void(experts::OrderResult)>;

  virtual ~RankClient() = default;
  virtual void fetchState(base::TimePoint deadline, StateCompletion done) = 0;
  virtual void fetchExpertIds(base::TimePoint deadline,
                              ExpertIdsCompletion done) = 0;
  virtual void sendOrder(const experts::RankOrder &order,
                         base::TimePoint deadline, OrderCompletion done) = 0;
};

/// Client of one rank of a group, through the sidecar beside it.
class MemberClient : public RankClient {
public:
  using CountsCompletion =
      std::function<void(const std::optional<CountDeltas> &)>;

  /// Fetches the counts since the previous call. The response of another member
  /// may already include this rank's counts; then this rank's response is
  /// empty.
  virtual void fetchCounts(base::TimePoint deadline, CountsCompletion done) = 0;
  /// Fetches the rank's state once it has copied the experts of `version`; if
  /// it hasn't by shortly before the deadline, fetches its state at that
  /// time.
  virtual void awaitCopies(std::uint64_t version, base::TimePoint deadline,
                           StateCompletion done) = 0;
};

} // namespace bergamot::sidecar

#endif
