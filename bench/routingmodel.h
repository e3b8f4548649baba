#ifndef BERGAMOT_BENCH_ROUTINGMODEL_H
#define BERGAMOT_BENCH_ROUTINGMODEL_H

#include "libbergamotrouting/fairqueue.h"
#include "libbergamotrouting/retrypolicy.h"
#include "libbergamotrouting/targetadmission.h"
#include "libbergamotrouting/targetselector.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

namespace bergamot::bench {

using namespace routing;

/// Load of one account in the model.
struct AccountLoad {
  AccountId Id;
  double RequestsPerSecond = 0;
  double Weight = 1;
};

/// Settings of a RoutingModel. Times are virtual milliseconds.
struct ModelSettings {
  /// Round robin with entry-side limits and FIFO queues instead of the library.
  bool IsNaive = false;
  std::uint64_t Seed = 1;
  std::size_t EntryCount = 3;
  std::size_t TargetCount = 12;
  std::size_t DomainCount = 3;
  std::uint32_t Slots = 16;
  std::uint32_t ColdSlots = 2;
  double HoldMs = 1000;
  std::int64_t DeadlineMs = 10000;
  double IdempotentPart = 0.8;
  std::vector<AccountLoad> Accounts;
};

/// How one request ended at its caller.
struct ModelOutcome {
  std::size_t Account = 0;
  std::int64_t ArrivedMs = 0;
  std::int64_t EndedMs = 0;
  bool Idempotent = true;
  bool Answered = false;
  std::uint32_t Executions = 0;
  Executed Stated = Executed::No;
};

/// Entries and fake targets in virtual time. A fake target slows down in
/// proportion when it runs more than it can take; after a start it can take
/// ColdSlots plus one more per response completed since.
class RoutingModel {
public:
  explicit RoutingModel(const ModelSettings &settings);

  void run(std::int64_t untilMs);

  /// Removes a failure domain by plan; each process learns of it within 1 s.
  void removeDomain(std::size_t domain);

  /// Stops the targets of a failure domain without notice.
  void failDomain(std::size_t domain);

  /// Starts the targets of a domain cold and allows new work for them.
  void returnDomain(std::size_t domain);

  /// Restarts the back end of a target, whose daemon goes on.
  void restartBackEnd(std::size_t target);

  /// Requests that have ended.
  std::vector<ModelOutcome> Outcomes;
  /// Requests that a target began to run, and those of them that it began
  /// while it ran as many as it could take.
  std::uint64_t Started = 0;
  std::uint64_t StartedAbove = 0;
  /// Last start of a request at a target of the removed or failed domain.
  std::int64_t LastRemovedStartMs = 0;

  /// Returns the targets that ran more than they could take since clearAbove.
  std::size_t targetsAbove() const;
  void clearAbove();

  /// Returns the concurrent requests a target accepts now.
  std::uint32_t limitOf(std::size_t target) const;
  std::int64_t nowMs() const { return Now; }

private:
  struct Call {
    ModelOutcome Outcome;
    std::size_t Entry = 0;
    AttemptNumber Attempt;
    std::size_t Target = 0;
    std::vector<TargetId> Tried;
    std::uint32_t RefusedBefore = 0;
    bool Open = false;
    bool Ended = false;
  };
  struct Target {
    TargetId Id;
    std::size_t Domain = 0;
    std::unique_ptr<TargetAdmission> Admission;
    std::uint64_t Life = 1;
    std::uint64_t BackEndLife = 1;
    std::uint64_t Sequence = 0;
    std::uint64_t Completed = 0;
    std::uint32_t Running = 0;
    bool Alive = true;
    bool Removed = false;
    bool Above = false;
  };
  struct Entry {
    VmId Id;
    std::unique_ptr<TargetSelector> Selector;
    std::unique_ptr<RetryPolicy> Retries;
    std::unique_ptr<FairQueue> Queue;
    std::deque<std::size_t> Waiting;
    std::vector<std::uint32_t> InFlight;
    std::vector<bool> Usable;
    std::size_t NextTarget = 0;
  };
  using Action = std::function<void()>;

  TimePoint time(std::int64_t ms) const {
    return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
  }
  double unit() {
    return (static_cast<double>(Random() % 1000000) + 0.5) / 1e6;
  }
  void at(std::int64_t ms, Action action) {
    Events.emplace(ms, std::move(action));
  }
  std::uint32_t canTake(const Target &target) const;
  void startTarget(Target &target);
  void scheduleArrival(std::size_t account);
  void arrive(std::size_t account);
  void pump(std::size_t entry);
  std::optional<std::size_t> nextWaiting(Entry &entry);
  bool dispatch(std::size_t id);
  std::optional<std::size_t> roundRobin(Entry &entry, const Call &call);
  void receive(std::size_t id, std::uint32_t attempt, std::size_t index,
               std::uint64_t life, const AdmissionRequest &request);
  void start(std::size_t id, std::uint32_t attempt, std::size_t index);
  void answer(std::size_t id, std::uint32_t attempt);
  void fail(std::size_t id, std::uint32_t attempt, Executed outcome,
            bool bytesSent);
  void end(std::size_t id, bool answered, Executed stated);
  void breakConnections(std::size_t target);
  void sendGrants(std::size_t index, const std::vector<EntryGrant> &grants);
  void heartbeat(std::size_t index);
  void tick();

  ModelSettings Settings;
  std::mt19937_64 Random;
  std::int64_t Now = 0;
  std::multimap<std::int64_t, Action> Events;
  std::vector<Target> Targets;
  std::vector<Entry> Entries;
  std::vector<Call> Calls;
  std::optional<std::size_t> GoneDomain;
};

} // namespace bergamot::bench

#include "routingmodel.inc"

#endif
