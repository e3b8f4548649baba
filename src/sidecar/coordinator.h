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

/// Sizes of a group and how its map is kept even.
struct CoordinatorSettings {
  std::uint32_t Sets = 0;
  std::uint32_t Experts = 0;
  experts::GroupPlanLimits Limits;
  experts::MapChangeSettings Change;
  std::chrono::milliseconds PollPeriod{150};
  /// Time for the answers of one poll.
  std::chrono::milliseconds PollTimeout{140};
  /// Polls between two that also read the ranks' states without need.
  unsigned StatePolls = 4;
  std::chrono::milliseconds OrderTimeout{200};
  /// Time for the answer of a rank that copies experts.
  std::chrono::milliseconds CopyTimeout{800};
  /// How often a change in progress is looked after.
  std::chrono::milliseconds DrivePeriod{40};
  /// A change is worth its orders and copies if it lowers the skew by this
  /// part.
  double MinSkewDrop = 0.12;
  /// A change that is being prepared is replaced if its map's skew is this
  /// many times what was planned, as popularity has jumped meanwhile.
  double StalePlanGrowth = 1.5;
  /// Weight of earlier loads at each poll: at 0.7, nine tenths of the
  /// estimate come from the last second.
  double KeepLoads = 0.7;
  /// Choices that an estimate must rest on.
  double MinWeight = 20000;
  /// Time between plans while popularity stays: planning takes a good part of
  /// a slot's processor time in large groups, and seldom finds more.
  std::chrono::milliseconds ReplanPeriod{600};
};

/// Keeps the expert map of one group even: reads what all ranks count, plans
/// a better map, and moves the group to it. Any number of coordinators may act
/// on a group (see MapChange); normally one does.
class Coordinator {
public:
  Coordinator(boost::asio::io_context &loop,
              const CoordinatorSettings &settings,
              std::vector<std::shared_ptr<MemberPort>> ranks);

  /// Sets the popularity that an earlier coordinator of the group has seen.
  void setEarlierLoads(const experts::ExpertLoads &loads) {
    Estimate.setEarlier(loads);
  }
  /// Sets what gets the popularity after each change that took force.
  void onApplied(std::function<void(const experts::ExpertLoads &)> handler) {
    Applied = std::move(handler);
  }
  void start();

private:
  struct Seat {
    std::shared_ptr<MemberPort> Port;
    bool Reading = false;
    base::TimePoint NextReadAt;
  };

  void poll();
  void readStates(base::TimePoint deadline);
  void addAnswer(std::uint64_t poll);
  void finishPoll();
  void evaluate();
  void replaceStalePlan();
  void readExperts();
  std::uint64_t newVersion();
  void considerAdoption();
  void considerChange();
  void drive();
  void scheduleDrive();
  void fetchChangeState(std::uint32_t rank, base::TimePoint now);
  void finishChange();

  boost::asio::io_context &Loop;
  CoordinatorSettings Settings;
  std::vector<Seat> Seats;
  boost::asio::steady_timer PollTimer;
  boost::asio::steady_timer DriveTimer;
  GroupView View;
  LoadEstimate Estimate;
  std::optional<experts::MapChange> Change;
  experts::GroupPlan Planned;
  std::mt19937_64 Random;
  base::TimePoint ChangeStartedAt;
  /// Ends a change that makes no progress, e.g. as a rank can't be reached.
  base::TimePoint ChangeEndsAt;
  /// States that were read earlier are out of date.
  base::TimePoint StatesFrom;
  unsigned UnsettledPolls = 0;
  base::TimePoint NextPlanAt;
  /// Skew for which the last plan found nothing worth a change.
  double UselessPlanSkew = 0;
  std::function<void(const experts::ExpertLoads &)> Applied;
  /// Numbers changes, so that answers to an earlier one aren't taken for those
  /// of the present one.
  std::uint64_t ChangeNumber = 0;
  /// When the group was asked to hold a step, and what it took to arm all ranks
  /// in the last change.
  base::TimePoint HoldSentAt;
  base::Duration ArmTime;
  StepClock Steps;
  std::uint64_t LastVersion = 0;
  std::uint64_t PollNumber = 0;
  std::size_t MissingAnswers = 0;
  /// Skew of the map in use under the present estimate.
  double Skew = 1;
  /// Completions and timers that were due as the coordinator was destroyed find
  /// this expired.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace bergamot::sidecar

#endif
