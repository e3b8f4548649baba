#ifndef BERGAMOT_SIDECAR_RANKCLIENT_H
#define BERGAMOT_SIDECAR_RANKCLIENT_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// How often a rank's requests chose each expert since the rank started, set
/// after set.
struct RankCounts {
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  std::vector<std::uint64_t> Counts;
};

/// What one rank or several have counted since they were last asked, set
/// after set; empty if there is nothing to compare with.
using AddedCounts = std::vector<std::uint32_t>;

/// The experts that a rank holds, by set.
struct RankExperts {
  std::uint64_t Epoch = 0;
  std::uint64_t MapVersion = 0;
  std::vector<std::vector<std::uint32_t>> Experts;
};

/// Port to one rank's engine. A completion gets an unset value if there is no
/// usable answer by the deadline.
class RankPort {
public:
  using StateCompletion =
      std::function<void(const std::optional<experts::RankState> &)>;
  using ExpertsCompletion =
      std::function<void(const std::optional<RankExperts> &)>;
  using OrderCompletion = std::function<void(experts::OrderResult)>;

  virtual ~RankPort() = default;
  virtual void fetchState(base::TimePoint deadline, StateCompletion done) = 0;
  virtual void fetchExperts(base::TimePoint deadline,
                            ExpertsCompletion done) = 0;
  virtual void sendOrder(const experts::RankOrder &order,
                         base::TimePoint deadline, OrderCompletion done) = 0;
};

/// Port to one rank of a group by way of the sidecar beside it.
class MemberPort : public RankPort {
public:
  using CountsCompletion =
      std::function<void(const std::optional<AddedCounts> &)>;

  /// Fetches what has been counted since the last call. Another member's answer
  /// may contain this rank's counts, too; then this one is empty.
  virtual void fetchCounts(base::TimePoint deadline, CountsCompletion done) = 0;
  /// Fetches the rank's state once it has copied the experts of a version, or
  /// as it is shortly before the deadline.
  virtual void awaitCopies(std::uint64_t version, base::TimePoint deadline,
                           StateCompletion done) = 0;
};

} // namespace bergamot::sidecar

#endif
