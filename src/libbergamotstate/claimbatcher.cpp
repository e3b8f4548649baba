#include "libbergamotstate/claimbatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bergamot::state {

ClaimBatcher::ClaimBatcher(base::VmId entry, base::Incarnation incarnation,
                           ClaimTable &table, ClaimSettings settings)
    : Entry(std::move(entry)), Incarnation(incarnation), Table(table),
      Settings(settings),
      Tracker(settings.AppendTimeout, settings.ReadBackInterval) {}

ClaimBatcher::OwnClaim *ClaimBatcher::find(const ClaimId &id) {
  if (id.Entry != Entry || id.Incarnation != Incarnation)
    return nullptr;
  const auto it = Claims.find(id.Sequence);
  return it == Claims.end() ? nullptr : &it->second;
}

base::WallTime ClaimBatcher::estimateLogTime(base::TimePoint now) const {
  if (!ClockOffset)
    return base::WallTime::min();
  return base::WallTime(std::chrono::floor<std::chrono::milliseconds>(
             now.time_since_epoch())) +
         *ClockOffset;
}

void ClaimBatcher::enqueue(ClaimRecord &&record, base::TimePoint now) {
  const auto appendBy =
      now + (record.Kind == ClaimKind::Claim ? Settings.MaxWait
                                             : Settings.MaxEndRecordWait);
  NextAppendAt = std::min(NextAppendAt, appendBy);
  Pending.push_back(
      {record.Id.Sequence, record.Kind, appendBy, state::toText(record)});
}

void ClaimBatcher::updateNextAppendAt() {
  NextAppendAt = base::TimePoint::max();
  for (const auto &it : Pending)
    NextAppendAt = std::min(NextAppendAt, it.AppendBy);
}

void ClaimBatcher::setDeadline(std::uint64_t sequence, OwnClaim &claim,
                               base::TimePoint deadline) {
  Deadlines.erase({claim.Deadline, sequence});
  claim.Deadline = deadline;
  Deadlines.insert({deadline, sequence});
}

ClaimAdmission ClaimBatcher::addClaim(const Hash128 &key,
                                      const Hash128 &fingerprint,
                                      base::TimePoint deadline,
                                      base::TimePoint now) {
  ClaimAnswer known = Table.answer(key, fingerprint, estimateLogTime(now));
  if (known.State != ClaimState::Free)
    return {std::nullopt, std::move(known)};
  if (const auto it = SequenceByKey.find(key); it != SequenceByKey.end()) {
    const bool same = Claims.at(it->second).Fingerprint == fingerprint;
    return {
        std::nullopt,
        {same ? ClaimState::InProgress : ClaimState::FingerprintMismatch, {}}};
  }
  if (Claims.size() >= Settings.MaxClaims || now >= deadline ||
      Tracker.isInFlightFor(Settings.UnavailableAfter, now))
    return {std::nullopt, {ClaimState::Undecided, {}}};
  const ClaimId id{Entry, Incarnation, ++LastSequence};
  OwnClaim &claim = Claims[id.Sequence];
  claim = {key, fingerprint, deadline};
  SequenceByKey[key] = id.Sequence;
  Deadlines.insert({deadline, id.Sequence});
  enqueue({ClaimKind::Claim, id, key, fingerprint, {}}, now);
  return {id, {}};
}

bool ClaimBatcher::takeDispatchPermit(const ClaimId &id, base::TimePoint now) {
  OwnClaim *claim = find(id);
  if (claim == nullptr || claim->CurrentPhase != Phase::Won ||
      now >= claim->Deadline)
    return false;
  claim->CurrentPhase = Phase::Dispatched;
  setDeadline(id.Sequence, *claim, claim->Deadline + Settings.OutcomeGrace);
  return true;
}

void ClaimBatcher::recordRefusedDispatch(const ClaimId &id) {
  OwnClaim *claim = find(id);
  if (claim == nullptr || claim->CurrentPhase != Phase::Dispatched)
    return;
  claim->CurrentPhase = Phase::Won;
  setDeadline(id.Sequence, *claim, claim->Deadline - Settings.OutcomeGrace);
}

bool ClaimBatcher::addWithdrawal(const ClaimId &id, base::TimePoint now) {
  OwnClaim *claim = find(id);
  if (claim == nullptr || (claim->CurrentPhase != Phase::Undecided &&
                           claim->CurrentPhase != Phase::Won))
    return false;
  withdraw(id.Sequence, *claim, now);
  return true;
}

bool ClaimBatcher::addOutcome(const ClaimId &id, const Outcome &outcome,
                              base::TimePoint now) {
  OwnClaim *claim = find(id);
  if (claim == nullptr || claim->CurrentPhase != Phase::Dispatched)
    return false;
  complete(id.Sequence, *claim, outcome, now);
  return true;
}

void ClaimBatcher::withdraw(std::uint64_t sequence, OwnClaim &claim,
                            base::TimePoint now) {
  Deadlines.erase({claim.Deadline, sequence});
  claim.CurrentPhase = Phase::Withdrawing;
  if (!claim.AppendStarted && !claim.SeenInStream) {
    // No append has included the claim, so the log can't contain it.
    remove(sequence);
    return;
  }
  enqueue(
      {ClaimKind::Withdrawn, {Entry, Incarnation, sequence}, claim.Key, {}, {}},
      now);
}

void ClaimBatcher::complete(std::uint64_t sequence, OwnClaim &claim,
                            const Outcome &outcome, base::TimePoint now) {
  Deadlines.erase({claim.Deadline, sequence});
  claim.CurrentPhase = Phase::Completing;
  enqueue({ClaimKind::Completed,
           {Entry, Incarnation, sequence},
           claim.Key,
           {},
           outcome},
          now);
}

void ClaimBatcher::remove(std::uint64_t sequence) {
  const auto it = Claims.find(sequence);
  if (it == Claims.end())
    return;
  Deadlines.erase({it->second.Deadline, sequence});
  SequenceByKey.erase(it->second.Key);
  Claims.erase(it);
}

void ClaimBatcher::decide(std::uint64_t sequence, OwnClaim &claim,
                          ClaimAnswer answer, base::TimePoint now) {
  if (now >= claim.Deadline)
    answer = {ClaimState::Undecided, {}};
  const bool won = answer.State == ClaimState::Won;
  Actions.push_back(
      ClaimDecision{{Entry, Incarnation, sequence}, std::move(answer)});
  if (won)
    claim.CurrentPhase = Phase::Won;
  else
    withdraw(sequence, claim, now);
}

ClaimApplyResult ClaimBatcher::apply(const LogRecord &record,
                                     base::TimePoint now) {
  const auto clockOffset =
      record.Time.time_since_epoch() -
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  // A record is applied some time after it was stored, so each clock
  // offset is a lower bound, and the largest one is the most accurate.
  ClockOffset = std::max(ClockOffset.value_or(clockOffset), clockOffset);
  ClaimApplyResult applied = Table.apply(record);
  OwnClaim *claim = find(applied.Record.Id);
  if (claim == nullptr)
    return applied;
  const std::uint64_t sequence = applied.Record.Id.Sequence;
  if (applied.Record.Kind != ClaimKind::Claim) {
    remove(sequence);
    return applied;
  }
  claim->SeenInStream = true;
  if (applied.Applied && claim->CurrentPhase == Phase::Undecided)
    decide(sequence, *claim, applied.Answer, now);
  return applied;
}

void ClaimBatcher::recordAppended(std::uint64_t appendNumber) {
  if (!Tracker.recordAppended(appendNumber))
    return;
  for (const auto &it : InFlight)
    if (it.Kind != ClaimKind::Claim)
      remove(it.Sequence);
  InFlight.clear();
}

void ClaimBatcher::recordUnconfirmed(std::uint64_t appendNumber,
                                     base::TimePoint now) {
  Tracker.recordUnconfirmed(appendNumber, now);
}

void ClaimBatcher::finishReadBack(std::uint64_t appendNumber) {
  if (!Tracker.finishReadBack(appendNumber))
    return;
  // Records that the read-back did not find are appended again, before the
  // other pending records.
  Pending.insert(Pending.begin(), std::make_move_iterator(InFlight.begin()),
                 std::make_move_iterator(InFlight.end()));
  InFlight.clear();
  updateNextAppendAt();
}

bool ClaimBatcher::isObsolete(const PendingRecord &pending) const {
  const auto it = Claims.find(pending.Sequence);
  if (it == Claims.end())
    return true;
  // A claim that is being withdrawn must not be appended, or appended again.
  return pending.Kind == ClaimKind::Claim &&
         (it->second.SeenInStream ||
          it->second.CurrentPhase == Phase::Withdrawing);
}

void ClaimBatcher::startAppend(base::TimePoint now) {
  if (Pending.size() < Settings.MaxBatchRecords && now < NextAppendAt)
    return;
  std::erase_if(Pending,
                [this](const PendingRecord &it) { return isObsolete(it); });
  updateNextAppendAt();
  if (Pending.empty())
    return;
  ClaimAppend batch{Tracker.start(now), {}};
  std::size_t bytes = 0;
  while (!Pending.empty() && batch.Records.size() < Settings.MaxBatchRecords) {
    PendingRecord &pending = Pending.front();
    bytes += pending.Text.size();
    if (!batch.Records.empty() && bytes > Settings.MaxBatchBytes)
      break;
    if (pending.Kind == ClaimKind::Claim)
      Claims.at(pending.Sequence).AppendStarted = true;
    batch.Records.push_back(pending.Text);
    InFlight.push_back(std::move(pending));
    Pending.pop_front();
  }
  updateNextAppendAt();
  Actions.emplace_back(std::move(batch));
}

void ClaimBatcher::endExpiredClaims(base::TimePoint now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= now) {
    const std::uint64_t sequence = Deadlines.begin()->second;
    OwnClaim &claim = Claims.at(sequence);
    if (claim.CurrentPhase == Phase::Dispatched) {
      complete(sequence, claim, {}, now);
      continue;
    }
    Actions.push_back(ClaimDecision{{Entry, Incarnation, sequence},
                                    {ClaimState::Undecided, {}}});
    withdraw(sequence, claim, now);
  }
}

std::vector<ClaimAction> ClaimBatcher::takeActions(base::TimePoint now) {
  endExpiredClaims(now);
  if (Tracker.takeReadBackRequest(now))
    Actions.emplace_back(ClaimReadBack{Tracker.appendNumber()});
  if (Tracker.isIdle())
    startAppend(now);
  return std::exchange(Actions, {});
}

base::TimePoint ClaimBatcher::wakeAt() const {
  base::TimePoint wake = Tracker.wakeAt();
  if (!Deadlines.empty())
    wake = std::min(wake, Deadlines.begin()->first);
  if (Tracker.isIdle())
    wake = std::min(wake, NextAppendAt);
  return Actions.empty() ? wake : base::TimePoint::min();
}

} // namespace bergamot::state
