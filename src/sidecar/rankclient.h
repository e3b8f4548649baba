#ifndef BERGAMOT_SIDECAR_RANKCLIENT_H
#define BERGAMOT_SIDECAR_RANKCLIENT_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// How often the requests of a rank have selected each expert since the rank
/// started, ordered by set.
struct RankCounts {
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  std::vector<std::uint64_t> Counts;
};

/// Selection counts of one or several ranks since the previous call, ordered by
/// set; empty if there is no previous call to compare with.
using CountDeltas = std::vector<std::uint32_t>;

/// The experts that a rank holds, by set.
struct RankExperts {
  std::uint64_t Epoch = 0;
  std::uint64_t MapVersion = 0;
  std::vector<std::vector<std::uint32_t>> Experts;
};

/// Client of one rank's engine. A completion gets std::nullopt or
/// OrderResult::Unknown if there is no valid response by the deadline.
class RankClient {
public:
  using StateCompletion =
      std::function<void(const std::optional<experts::RankState> &)>;
  using ExpertsCompletion =
      std::function<void(const std::optional<RankExperts> &)>;
  using OrderCompletion = std::function<void(experts::OrderResult)>;

  virtual ~RankClient() = default;
  virtual void fetchState(base::TimePoint deadline, StateCompletion done) = 0;
  virtual void fetchExperts(base::TimePoint deadline,
                            ExpertsCompletion done) = 0;
  virtual void sendOrder(const experts::RankOrder &order,
                         base::TimePoint deadline, OrderCompletion done) = 0;
};

/// Client of one rank of a group, through the sidecar beside it.
class MemberClient : public RankClient {
public:
  using CountsCompletion =
      std::function<void(const std::optional<CountDeltas> &)>;

  /// Fetches the counts since the previous call. The response of another member
  /// may already include this rank's counts; then this one is empty.
  virtual void fetchCounts(base::TimePoint deadline, CountsCompletion done) = 0;
  /// Fetches the rank's state once it has copied the experts of `version`, or
  /// its current state shortly before the deadline.
  virtual void awaitCopies(std::uint64_t version, base::TimePoint deadline,
                           StateCompletion done) = 0;
};

} // namespace bergamot::sidecar

#endif
