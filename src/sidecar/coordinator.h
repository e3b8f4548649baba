#ifndef BERGAMOT_SIDECAR_COORDINATOR_H
#define BERGAMOT_SIDECAR_COORDINATOR_H

#include "libbergamotexperts/groupplanner.h"
#include "libbergamotexperts/mapchange.h"
#include "sidecar/groupview.h"
#include "sidecar/loadestimator.h"
#include "sidecar/rankclient.h"
#include "sidecar/steptimeestimator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace bergamot::sidecar {

/// Dimensions of a group's maps, and parameters of its rebalancing.
struct CoordinatorSettings {
  /// Number of expert sets. A set consists of the layers that share one
  /// placement.
  std::uint32_t Sets = 0;
  std::uint32_t ExpertsPerSet = 0;
  experts::GroupPlanLimits Limits;
  experts::MapChangeSettings ChangeSettings;
  std::chrono::milliseconds PollPeriod{150};
  /// Time limit for the responses of one poll.
  std::chrono::milliseconds PollTimeout{140};
  /// The ranks' states are read at least once in this many polls, even if the
  /// map needs no change.
  unsigned PollsPerStateRead = 4;
  /// Time limit for the response to an order (see experts::RankOrder).
  std::chrono::milliseconds OrderTimeout{200};
  /// Time limit for the response of a rank that is copying experts.
  std::chrono::milliseconds CopyTimeout{800};
  /// Period at which the next orders of a change in progress are sent.
  std::chrono::milliseconds AdvancePeriod{40};
  /// Minimum relative reduction of the skew (see experts::GroupPlan) that
  /// justifies the orders and copies of a change.
  double MinSkewReduction = 0.12;
  /// A change whose ranks are still copying is dropped once the skew of its map
  /// reaches this multiple of the planned skew, because popularity has jumped
  /// in the meantime.
  double StalePlanSkewRatio = 1.5;
  /// Weight of the previous loads at each poll (exponential decay): at 0.7 and
  /// the default poll period, nine tenths of the estimate come from the last
  /// second.
  double LoadDecay = 0.7;
  /// Minimum number of expert selections in an estimate that is used for
  /// planning (see LoadEstimator::selections()).
  double MinEstimateSelections = 20000;
  /// Time between plans while popularity is stable: planning uses a good part
  /// of the sidecar's CPU time in large groups, and rarely finds an
  /// improvement.
  std::chrono::milliseconds ReplanPeriod{600};
};

/// Keeps the expert map of one group balanced: polls the selection counts of
/// all ranks, plans a better map, and moves the group to it. Normally a group
/// has one coordinator, but several may safely act at the same time (see
/// experts::MapChange).
class Coordinator {
public:
  Coordinator(boost::asio::io_context &loop,
              const CoordinatorSettings &settings,
              std::vector<std::shared_ptr<MemberClient>> ranks);

  /// Sets the popularity that a previous coordinator of the group has recorded.
  void setInitialLoads(const experts::ExpertLoads &loads) {
    Estimator.setInitial(loads);
  }
  /// Sets a handler that gets the estimated popularity after each applied
  /// change.
  void setChangeAppliedHandler(
      std::function<void(const experts::ExpertLoads &)> handler) {
    ChangeAppliedHandler = std::move(handler);
  }
  void start();

private:
  struct Member {
    std::shared_ptr<MemberClient> Client;
    bool StateReadPending = false;
    base::TimePoint NextStateReadAt;
  };

  void poll();
  void readStates(base::TimePoint deadline);
  void onPollResponse(std::uint64_t poll);
  void finishPoll();
  void decideNextAction();
  void dropStalePlan();
  void readExpertIds();
  std::uint64_t newVersion();
  /// Takes over the change of another coordinator that has left a step held.
  void adoptHeldChange();
  void planChange();
  void advanceChange();
  void scheduleAdvance();
  void fetchStateForChange(std::uint32_t rank, base::TimePoint now);
  void finishChange();
  void recordReplacement();

  boost::asio::io_context &Loop;
  CoordinatorSettings Settings;
  std::vector<Member> Members;
  boost::asio::steady_timer PollTimer;
  boost::asio::steady_timer AdvanceTimer;
  GroupView View;
  LoadEstimator Estimator;
  std::optional<experts::MapChange> Change;
  experts::GroupPlan ActivePlan;
  std::mt19937_64 Random;
  base::TimePoint ChangeStartedAt;
  /// When a change that makes no progress is given up, e.g. because a rank is
  /// unreachable.
  base::TimePoint ChangeDeadline;
  /// States requested before this time are out of date and ignored.
  base::TimePoint StatesValidFrom;
  /// Number of polls that showed a held step since one last showed none.
  unsigned PollsWithHold = 0;
  base::TimePoint NextPlanAt;
  /// Number of changes in a row that another coordinator's changes have
  /// replaced while the ranks were copying.
  unsigned ReplacedChanges = 0;
  /// Until this time, or until the group's map changes, the other coordinator's
  /// change is left alone.
  base::TimePoint YieldUntil;
  /// The map version that the most recent change was to replace.
  std::uint64_t ReplacedMapVersion = 0;
  /// Skew at which planning last found no worthwhile change.
  double RejectedPlanSkew = 0;
  std::function<void(const experts::ExpertLoads &)> ChangeAppliedHandler;
  /// Number of changes that have ended. Completions compare it, so that
  /// responses to the calls of earlier changes are ignored.
  std::uint64_t ChangeNumber = 0;
  /// When the current change ordered the group to hold a step.
  base::TimePoint HoldSentAt;
  /// Time from the hold until all ranks were armed, i.e. ordered to switch maps
  /// at the held step, in the most recent change.
  base::Duration ArmTime;
  StepTimeEstimator StepTimes;
  /// The last map version that this coordinator has used.
  std::uint64_t LastIssuedVersion = 0;
  std::uint64_t PollNumber = 0;
  std::size_t PendingResponses = 0;
  /// Skew of the current map under the current estimate.
  double Skew = 1;
  /// Expired once the coordinator is destroyed; checked by pending completions
  /// and timers.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace bergamot::sidecar

#endif
