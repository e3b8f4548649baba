#ifndef BERGAMOT_ROUTING_FAULTMODEL_H
#define BERGAMOT_ROUTING_FAULTMODEL_H

#include "libbergamotrouting/retrypolicy.h"
#include "libbergamotrouting/targetadmission.h"
#include "libbergamotrouting/targetselector.h"
#include "routinghelpers.h"

#include <functional>
#include <memory>
#include <set>

namespace bergamot::routing::testing {

/// Entries and targets in virtual time, joined by messages that are lost,
/// repeated and reordered, with crashes and pauses. It checks the promises at
/// each event and counts what became of the requests.
class FaultModel {
public:
  explicit FaultModel(std::uint64_t seed);

  /// Runs until the time.
  void run(std::int64_t untilMs);

  /// Ends all faults: the removed failure domain returns, and every engine
  /// restarts, which frees the slots whose outcome was unknown.
  void endFaults();

  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Repeated = 0;
  std::uint64_t UnknownOutcomes = 0;

private:
  struct Call {
    std::size_t Entry = 0;
    std::uint64_t EntryLife = 0;
    RepeatRule Rule = RepeatRule::Idempotent;
    AttemptNumber Attempt;
    TimePoint Deadline;
    /// Whether the outcome of the present attempt is still awaited. It is
    /// acted on once, whatever else arrives for the attempt.
    bool Open = false;
    std::vector<TargetId> Tried;
    std::uint32_t RefusedBefore = 0;
    std::set<AttemptNumber> Executions;
    std::set<AttemptNumber> StatedNotExecuted;
  };
  struct Target {
    TargetId Id;
    FailureDomainId Domain;
    std::unique_ptr<TargetAdmission> Admission;
    std::uint64_t Life = 1;
    std::uint64_t LoadSequence = 0;
    std::uint64_t EngineLife = 1;
    std::int64_t PausedUntil = 0;
    std::set<AttemptKey> Running;
  };
  struct Entry {
    VmId Id;
    std::unique_ptr<TargetSelector> Selector;
    std::unique_ptr<RetryPolicy> Retries;
    std::uint64_t Life = 1;
    std::int64_t PausedUntil = 0;
    std::uint32_t WaitingCount = 0;
  };
  using Action = std::function<void()>;

  bool chance(double rate);
  void at(std::int64_t ms, Action action);
  void send(const Action &deliver);
  void startTarget(Target &target);
  void startEntry(Entry &entry);
  void addCall(std::size_t entry);
  void dispatch(const RequestId &id);
  void receive(std::size_t index, std::uint64_t life,
               const AdmissionRequest &request);
  void execute(Target &target, std::size_t index,
               const AdmissionRequest &request);
  void finish(std::size_t index, std::uint64_t life, std::uint64_t engineLife,
              const AttemptKey &key, bool broken);
  void reply(const AttemptKey &key, bool answered, const FailedAttempt &failed);
  void fail(const AttemptKey &key, FailedAttempt failed);
  void wait(const RequestId &id);
  void sendGrants(std::size_t index, const std::vector<EntryGrant> &grants);
  void heartbeat(std::size_t index);
  void readLoad(std::size_t index);
  void injectFault();
  void setRemoved(const std::string &domain);

  std::mt19937_64 Random;
  std::int64_t Now = 0;
  bool Faults = true;
  std::multimap<std::int64_t, Action> Events;
  std::vector<Target> Targets;
  std::vector<Entry> Entries;
  std::map<RequestId, Call> Calls;
  std::string RemovedDomain;
  std::uint64_t RemovedVersion = 0;
  std::int64_t RemovedSince = 0;
};

} // namespace bergamot::routing::testing

#endif
