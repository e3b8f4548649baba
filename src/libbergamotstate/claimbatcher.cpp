#include "libbergamotstate/claimbatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bergamot::state {

ClaimBatcher::ClaimBatcher(base::VmId entry, base::Incarnation life,
                           ClaimTable &table, ClaimLimits limits)
    : Entry(std::move(entry)), Life(life), Table(table), Limits(limits),
      Tracker(limits.AppendTimeout, limits.ReadBackInterval) {}

ClaimBatcher::Own *ClaimBatcher::find(const ClaimId &id) {
  if (id.Entry != Entry || id.Life != Life)
    return nullptr;
  const auto it = Claims.find(id.Sequence);
  return it == Claims.end() ? nullptr : &it->second;
}

base::WallTime ClaimBatcher::logTime(base::TimePoint now) const {
  if (!ClockOffset)
    return base::WallTime::min();
  return base::WallTime(std::chrono::floor<std::chrono::milliseconds>(
             now.time_since_epoch())) +
         *ClockOffset;
}

void ClaimBatcher::addItem(ClaimRecord &&record, base::TimePoint now) {
  const auto due =
      now +
      (record.Kind == ClaimKind::Claim ? Limits.MaxWait : Limits.MaxEndingWait);
  WaitingDue = std::min(WaitingDue, due);
  Waiting.push_back(
      {record.Id.Sequence, record.Kind, due, state::toText(record)});
}

void ClaimBatcher::updateDue() {
  WaitingDue = base::TimePoint::max();
  for (const auto &it : Waiting)
    WaitingDue = std::min(WaitingDue, it.Due);
}

void ClaimBatcher::setDeadline(std::uint64_t sequence, Own &own,
                               base::TimePoint deadline) {
  Deadlines.erase({own.Deadline, sequence});
  own.Deadline = deadline;
  Deadlines.insert({deadline, sequence});
}

ClaimAdmission ClaimBatcher::addClaim(const Hash128 &key,
                                      const Hash128 &fingerprint,
                                      base::TimePoint deadline,
                                      base::TimePoint now) {
  ClaimAnswer known = Table.answer(key, fingerprint, logTime(now));
  if (known.State != ClaimState::Free)
    return {std::nullopt, std::move(known)};
  if (const auto it = ByKey.find(key); it != ByKey.end()) {
    const bool same = Claims.at(it->second).Fingerprint == fingerprint;
    return {std::nullopt,
            {same ? ClaimState::InProgress : ClaimState::Mismatch, {}}};
  }
  if (Claims.size() >= Limits.MaxClaims || now >= deadline ||
      Tracker.isDownFor(Limits.DownAfter, now))
    return {std::nullopt, {ClaimState::Undecided, {}}};
  const ClaimId id{Entry, Life, ++LastSequence};
  Own &own = Claims[id.Sequence];
  own = {key, fingerprint, deadline};
  ByKey[key] = id.Sequence;
  Deadlines.insert({deadline, id.Sequence});
  addItem({ClaimKind::Claim, id, key, fingerprint, {}}, now);
  return {id, {}};
}

bool ClaimBatcher::takeDispatch(const ClaimId &id, base::TimePoint now) {
  Own *own = find(id);
  if (own == nullptr || own->State != Phase::Won || now >= own->Deadline)
    return false;
  own->State = Phase::Dispatched;
  setDeadline(id.Sequence, *own, own->Deadline + Limits.OutcomeGrace);
  return true;
}

void ClaimBatcher::setRefused(const ClaimId &id) {
  Own *own = find(id);
  if (own == nullptr || own->State != Phase::Dispatched)
    return;
  own->State = Phase::Won;
  setDeadline(id.Sequence, *own, own->Deadline - Limits.OutcomeGrace);
}

bool ClaimBatcher::addWithdrawal(const ClaimId &id, base::TimePoint now) {
  Own *own = find(id);
  if (own == nullptr ||
      (own->State != Phase::Undecided && own->State != Phase::Won))
    return false;
  withdraw(id.Sequence, *own, now);
  return true;
}

bool ClaimBatcher::addOutcome(const ClaimId &id, const Outcome &result,
                              base::TimePoint now) {
  Own *own = find(id);
  if (own == nullptr || own->State != Phase::Dispatched)
    return false;
  complete(id.Sequence, *own, result, now);
  return true;
}

void ClaimBatcher::withdraw(std::uint64_t sequence, Own &own,
                            base::TimePoint now) {
  Deadlines.erase({own.Deadline, sequence});
  own.State = Phase::Withdrawing;
  if (!own.Sent && !own.SeenClaim) {
    // No append has carried the claim, so the log can't hold it.
    remove(sequence);
    return;
  }
  addItem({ClaimKind::Withdrawn, {Entry, Life, sequence}, own.Key, {}, {}},
          now);
}

void ClaimBatcher::complete(std::uint64_t sequence, Own &own,
                            const Outcome &result, base::TimePoint now) {
  Deadlines.erase({own.Deadline, sequence});
  own.State = Phase::Completing;
  addItem({ClaimKind::Completed, {Entry, Life, sequence}, own.Key, {}, result},
          now);
}

void ClaimBatcher::remove(std::uint64_t sequence) {
  const auto it = Claims.find(sequence);
  if (it == Claims.end())
    return;
  Deadlines.erase({it->second.Deadline, sequence});
  ByKey.erase(it->second.Key);
  Claims.erase(it);
}

void ClaimBatcher::decide(std::uint64_t sequence, Own &own, ClaimAnswer answer,
                          base::TimePoint now) {
  if (now >= own.Deadline)
    answer = {ClaimState::Undecided, {}};
  const bool won = answer.State == ClaimState::Won;
  Actions.push_back(ClaimDecided{{Entry, Life, sequence}, std::move(answer)});
  if (won)
    own.State = Phase::Won;
  else
    withdraw(sequence, own, now);
}

ClaimApplied ClaimBatcher::apply(const LogRecord &record, base::TimePoint now) {
  const auto offset =
      record.Time.time_since_epoch() -
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  // Records are applied after they were stored; the youngest comes closest.
  ClockOffset = std::max(ClockOffset.value_or(offset), offset);
  ClaimApplied applied = Table.apply(record);
  Own *own = find(applied.Record.Id);
  if (own == nullptr)
    return applied;
  const std::uint64_t sequence = applied.Record.Id.Sequence;
  if (applied.Record.Kind != ClaimKind::Claim) {
    remove(sequence);
    return applied;
  }
  own->SeenClaim = true;
  if (applied.Applied && own->State == Phase::Undecided)
    decide(sequence, *own, applied.Answer, now);
  return applied;
}

void ClaimBatcher::setAppended(std::uint64_t number) {
  if (!Tracker.setAppended(number))
    return;
  for (const auto &it : Inflight)
    if (it.Kind != ClaimKind::Claim)
      remove(it.Sequence);
  Inflight.clear();
}

void ClaimBatcher::setLost(std::uint64_t number, base::TimePoint now) {
  Tracker.setLost(number, now);
}

void ClaimBatcher::setReadBack(std::uint64_t number) {
  if (!Tracker.setReadBack(number))
    return;
  // What the read-back did not show is appended again, ahead of the rest.
  Waiting.insert(Waiting.begin(), std::make_move_iterator(Inflight.begin()),
                 std::make_move_iterator(Inflight.end()));
  Inflight.clear();
  updateDue();
}

bool ClaimBatcher::isObsolete(const Item &item) const {
  const auto it = Claims.find(item.Sequence);
  if (it == Claims.end())
    return true;
  // A claim that is being withdrawn must not be appended again.
  return item.Kind == ClaimKind::Claim &&
         (it->second.SeenClaim || it->second.State == Phase::Withdrawing);
}

void ClaimBatcher::startAppend(base::TimePoint now) {
  if (Waiting.size() < Limits.MaxBatchRecords && now < WaitingDue)
    return;
  std::erase_if(Waiting, [this](const Item &it) { return isObsolete(it); });
  updateDue();
  if (Waiting.empty())
    return;
  ClaimAppend batch{Tracker.start(now), {}};
  std::size_t bytes = 0;
  while (!Waiting.empty() && batch.Records.size() < Limits.MaxBatchRecords) {
    Item &item = Waiting.front();
    bytes += item.Text.size();
    if (!batch.Records.empty() && bytes > Limits.MaxBatchBytes)
      break;
    if (item.Kind == ClaimKind::Claim)
      Claims.at(item.Sequence).Sent = true;
    batch.Records.push_back(item.Text);
    Inflight.push_back(std::move(item));
    Waiting.pop_front();
  }
  updateDue();
  Actions.emplace_back(std::move(batch));
}

void ClaimBatcher::endOverdue(base::TimePoint now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= now) {
    const std::uint64_t sequence = Deadlines.begin()->second;
    Own &own = Claims.at(sequence);
    if (own.State == Phase::Dispatched) {
      complete(sequence, own, {}, now);
      continue;
    }
    Actions.push_back(
        ClaimDecided{{Entry, Life, sequence}, {ClaimState::Undecided, {}}});
    withdraw(sequence, own, now);
  }
}

std::vector<ClaimAction> ClaimBatcher::takeActions(base::TimePoint now) {
  endOverdue(now);
  if (Tracker.takeReadBack(now))
    Actions.emplace_back(ClaimReadBack{Tracker.number()});
  if (Tracker.isIdle())
    startAppend(now);
  return std::exchange(Actions, {});
}

base::TimePoint ClaimBatcher::wakeAt() const {
  base::TimePoint wake = Tracker.wakeAt();
  if (!Deadlines.empty())
    wake = std::min(wake, Deadlines.begin()->first);
  if (Tracker.isIdle())
    wake = std::min(wake, WaitingDue);
  return Actions.empty() ? wake : base::TimePoint::min();
}

} // namespace bergamot::state
