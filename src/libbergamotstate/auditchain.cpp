#include "libbergamotstate/auditchain.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

AuditChain::AuditChain(base::VmId daemon, base::Incarnation life,
                       AuditLink after, AuditLimits limits)
    : Daemon(std::move(daemon)), After(std::move(after)), Limits(limits),
      Tracker(limits.AppendTimeout, limits.ReadBackInterval) {
  Last.Life = life;
}

void AuditChain::setEarlier(AuditLink after, base::LogOffset readFrom) {
  After = std::move(after);
  ReadFrom = readFrom;
}

bool AuditChain::add(AuditRecord record, base::TimePoint now) {
  const std::size_t bytes = toText(record).size();
  // Once a record was dropped, the following ones are too until the gap is
  // written: the batch that states it must stand where the records are missing.
  if (Gap.Count != 0 || Bytes + bytes > Limits.MaxBytes) {
    if (Gap.Count++ == 0)
      Gap.From = record.Time;
    Gap.To = record.Time;
    ++Dropped;
    return false;
  }
  Bytes += bytes;
  WaitingBytes += bytes;
  Waiting.push_back({std::move(record), bytes, now});
  return true;
}

bool AuditChain::isDue(base::TimePoint now) const {
  if (Waiting.empty())
    return Gap.Count != 0;
  return Flush || WaitingBytes >= Limits.MaxBatchBytes || Gap.Count != 0 ||
         now >= Waiting.front().Since + Limits.MaxWait;
}

void AuditChain::seal() {
  AuditBatch batch;
  batch.Daemon = Daemon;
  batch.Link = {Last.Life, Last.Sequence + 1, ""};
  batch.Previous = Last.Hash;
  if (batch.Link.Sequence == 1)
    batch.After = After;
  // The gap lies behind the records that wait, so it goes into its own batch
  // once they are written.
  if (Waiting.empty())
    batch.Gap = std::exchange(Gap, {});
  std::size_t bytes = 0;
  while (!Waiting.empty() && (bytes == 0 || bytes + Waiting.front().Bytes <=
                                                Limits.MaxBatchBytes)) {
    bytes += Waiting.front().Bytes;
    batch.Records.push_back(std::move(Waiting.front().Record));
    Waiting.pop_front();
  }
  WaitingBytes -= bytes;
  std::string text = sealBatch(batch);
  Current = {std::move(batch.Link), std::move(text), bytes};
}

void AuditChain::confirm(base::LogOffset offset) {
  ReadFrom = {offset.Value + 1};
  Bytes -= Current->Bytes;
  Last = std::move(Current->Link);
  Current.reset();
}

void AuditChain::apply(const LogRecord &record) {
  const auto found = parseBatch(record.Data);
  if (!found || !Current || found->Batch.Daemon != Daemon ||
      found->Batch.Link.Life != Last.Life ||
      found->Batch.Link.Sequence != Current->Link.Sequence)
    return;
  if (record.Data != Current->Text) {
    ++Conflicts;
    return;
  }
  confirm(record.Offset);
}

void AuditChain::setAppended(std::uint64_t number, base::LogOffset offset) {
  if (Tracker.setAppended(number) && Current)
    confirm(offset);
}

void AuditChain::setLost(std::uint64_t number, base::TimePoint now) {
  Tracker.setLost(number, now);
}

void AuditChain::setReadBack(std::uint64_t number) {
  Tracker.setReadBack(number);
}

std::vector<AuditAction> AuditChain::takeActions(base::TimePoint now) {
  std::vector<AuditAction> actions;
  if (Tracker.takeReadBack(now))
    actions.emplace_back(AuditReadBack{Tracker.number(), ReadFrom});
  if (!Tracker.isIdle())
    return actions;
  if (!Current && isDue(now))
    seal();
  if (Current)
    actions.emplace_back(AuditAppend{Tracker.start(now), Current->Text});
  return actions;
}

base::TimePoint AuditChain::wakeAt() const {
  if (!Tracker.isIdle())
    return Tracker.wakeAt();
  if (Current || Gap.Count != 0 || WaitingBytes >= Limits.MaxBatchBytes ||
      (Flush && !Waiting.empty()))
    return base::TimePoint::min();
  return Waiting.empty() ? base::TimePoint::max()
                         : Waiting.front().Since + Limits.MaxWait;
}

} // namespace bergamot::state
