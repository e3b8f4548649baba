#include "libbergamotstate/claimtable.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

ClaimTable::ClaimTable(std::chrono::milliseconds window) : Window(window) {}

std::uint32_t ClaimTable::incarnationIndex(const ClaimId &id) {
  const auto [it, added] = IncarnationIndexes.try_emplace(
      {id.Entry, id.Incarnation}, EntryIncarnations.size());
  if (added) {
    EntryIncarnations.push_back({id.Entry, id.Incarnation});
    // A later incarnation implies that the earlier ones have ended.
    if (id.Incarnation.Value > 0)
      setIncarnationEnded(id.Entry, {id.Incarnation.Value - 1});
  }
  return it->second;
}

ClaimTable::Claim *ClaimTable::find(const Hash128 &key, const ClaimId &id) {
  const auto it = Keys.find(key);
  if (it == Keys.end())
    return nullptr;
  const std::uint32_t index = incarnationIndex(id);
  for (auto &claim : it->second)
    if (claim.EntryIndex == index && claim.Sequence == id.Sequence)
      return &claim;
  return nullptr;
}

ClaimTable::Claim &ClaimTable::add(const ClaimRecord &record,
                                   const LogRecord &source, Phase phase) {
  Expiries.push_back({source.Time, record.Key, source.Offset});
  auto &claims = Keys[record.Key];
  claims.push_back({record.Id.Sequence, source.Time, record.Fingerprint,
                    nullptr, incarnationIndex(record.Id), phase});
  return claims.back();
}

bool ClaimTable::hasEnded(const Claim &claim) const {
  const EntryIncarnation &incarnation = EntryIncarnations[claim.EntryIndex];
  const auto it = HighestEndedIncarnations.find(incarnation.Entry);
  return it != HighestEndedIncarnations.end() &&
         incarnation.Number <= it->second;
}

void ClaimTable::removeExpired() {
  while (!Expiries.empty() && Expiries.front().Time + Window <= LogTime) {
    const auto it = Keys.find(Expiries.front().Key);
    Expiries.pop_front();
    if (it == Keys.end())
      continue;
    std::erase_if(it->second, [this](const Claim &claim) {
      return claim.Time + Window <= LogTime;
    });
    if (it->second.empty())
      Keys.erase(it);
  }
}

ClaimApplyResult ClaimTable::apply(const LogRecord &record) {
  if (record.Offset < Next)
    return {};
  Next = {record.Offset.Value + 1};
  LogTime = std::max(LogTime, record.Time);
  removeExpired();
  auto parsed = parseClaimRecord(record.Data);
  if (!parsed) {
    ++Malformed;
    return {};
  }
  if (parsed->Kind == ClaimKind::Claim)
    return applyClaim(std::move(*parsed), record);
  if (parsed->Kind == ClaimKind::Withdrawn)
    applyWithdrawn(*parsed, record);
  else
    applyCompleted(*parsed, record);
  return {true, std::move(*parsed), {}};
}

ClaimApplyResult ClaimTable::applyClaim(ClaimRecord &&record,
                                        const LogRecord &source) {
  // The claim was already decided: it is a duplicate, or it arrived after its
  // withdrawal.
  if (find(record.Key, record.Id) != nullptr)
    return {false, std::move(record), {}};
  ClaimAnswer decision = answer(record.Key, record.Fingerprint);
  if (decision.State == ClaimState::Free)
    decision.State = ClaimState::Won;
  add(record, source, Phase::Held);
  return {true, std::move(record), std::move(decision)};
}

void ClaimTable::applyWithdrawn(const ClaimRecord &record,
                                const LogRecord &source) {
  // If the claim isn't in the table, its append may still take effect after
  // this record. The withdrawal is recorded in both cases.
  Claim *claim = find(record.Key, record.Id);
  if (claim == nullptr)
    add(record, source, Phase::Withdrawn);
  else if (claim->CurrentPhase == Phase::Held)
    claim->CurrentPhase = Phase::Withdrawn;
}

void ClaimTable::applyCompleted(const ClaimRecord &record,
                                const LogRecord &source) {
  Claim *claim = find(record.Key, record.Id);
  if (claim == nullptr) {
    // The claim itself has expired or can no longer be read. The outcome proves
    // an execution, so the key is held for another window.
    claim = &add(record, source, Phase::Held);
  }
  if (claim->CurrentPhase == Phase::Completed)
    return;
  claim->CurrentPhase = Phase::Completed;
  claim->RequestOutcome = std::make_unique<Outcome>(record.RequestOutcome);
}

ClaimAnswer ClaimTable::answer(const Hash128 &key, const Hash128 &fingerprint,
                               base::WallTime logTime) const {
  const auto it = Keys.find(key);
  if (it == Keys.end())
    return {};
  const Claim *holder = nullptr;
  for (const auto &claim : it->second) {
    if (claim.CurrentPhase == Phase::Withdrawn ||
        claim.Time + Window <= logTime)
      continue;
    if (holder == nullptr || (claim.CurrentPhase == Phase::Completed &&
                              holder->CurrentPhase != Phase::Completed))
      holder = &claim;
  }
  if (holder == nullptr)
    return {};
  if (holder->Fingerprint != fingerprint && holder->Fingerprint != Hash128{})
    return {ClaimState::FingerprintMismatch, {}};
  if (holder->CurrentPhase == Phase::Completed &&
      holder->RequestOutcome->Status != 0)
    return {ClaimState::Completed, *holder->RequestOutcome};
  if (holder->CurrentPhase == Phase::Completed || hasEnded(*holder))
    return {ClaimState::Unknown, {}};
  return {ClaimState::InProgress, {}};
}

void ClaimTable::setIncarnationEnded(const base::VmId &entry,
                                     base::Incarnation incarnation) {
  auto &ended = HighestEndedIncarnations[entry];
  ended = std::max(ended, incarnation);
}

void ClaimTable::setEarliestOffset(base::LogOffset earliest,
                                   base::WallTime now) {
  for (const auto &it : Expiries) {
    if (it.Offset >= earliest)
      return;
    if (it.Time + Window > now) {
      ++RetentionViolations;
      return;
    }
  }
}

} // namespace bergamot::state
