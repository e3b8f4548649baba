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

/// Simulates entries and targets in virtual time, with messages that are lost,
/// duplicated and reordered, and with crashes and pauses. Checks the guarantees
/// at each event and counts the outcomes of the requests.
class FaultModel {
public:
  explicit FaultModel(std::uint64_t seed);

  /// Runs the simulation until the given virtual time.
  void run(std::int64_t untilMs);

  /// Stops injecting faults, restores the removed failure domain and restarts
  /// every engine, which frees the slots with unknown outcomes.
  void endFaults();

  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Retried = 0;
  std::uint64_t UnknownOutcomes = 0;

private:
  struct Call {
    std::size_t Entry = 0;
    std::uint64_t EntryIncarnation = 0;
    RequestIdempotency Rule = RequestIdempotency::Idempotent;
    AttemptNumber Attempt;
    TimePoint Deadline;
    /// Whether the outcome of the current attempt is pending. Only the first
    /// outcome that arrives for an attempt is processed.
    bool AwaitingOutcome = false;
    std::vector<TargetId> Tried;
    std::uint32_t PriorRefusals = 0;
    std::set<AttemptNumber> Executions;
    std::set<AttemptNumber> ReportedNotExecuted;
  };
  struct Target {
    TargetId Id;
    FailureDomainId Domain;
    std::unique_ptr<TargetAdmission> Admission;
    std::uint64_t ProcessIncarnation = 1;
    std::uint64_t LoadSequence = 0;
    std::uint64_t EngineIncarnation = 1;
    std::int64_t PausedUntil = 0;
    std::set<AttemptKey> Running;
  };
  struct Entry {
    VmId Id;
    std::unique_ptr<TargetSelector> Selector;
    std::unique_ptr<RetryPolicy> Retries;
    std::uint64_t ProcessIncarnation = 1;
    std::int64_t PausedUntil = 0;
    std::uint32_t WaitingCount = 0;
  };
  using Action = std::function<void()>;

  bool chance(double rate);
  void schedule(std::int64_t ms, Action action);
  void send(const Action &deliver);
  void startTarget(Target &target);
  void startEntry(Entry &entry);
  void addCall(std::size_t entry);
  void dispatch(const RequestId &id);
  void receive(std::size_t index, std::uint64_t processIncarnation,
               const AdmissionRequest &request);
  void execute(Target &target, std::size_t index,
               const AdmissionRequest &request);
  void finish(std::size_t index, std::uint64_t processIncarnation,
              std::uint64_t engineIncarnation, const AttemptKey &key,
              bool connectionLost);
  void reply(const AttemptKey &key, bool answered,
             const RetryCandidate &failed);
  void fail(const AttemptKey &key, RetryCandidate failed);
  void wait(const RequestId &id);
  void sendGrants(std::size_t index, const std::vector<EntryGrant> &grants);
  void heartbeat(std::size_t index);
  void readLoad(std::size_t index);
  void injectFault();
  void setRemovedDomain(const std::string &domain);

  std::mt19937_64 Random;
  std::int64_t Now = 0;
  bool FaultsEnabled = true;
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
