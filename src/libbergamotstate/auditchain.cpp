#include "libbergamotstate/auditchain.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

AuditChain::AuditChain(base::VmId daemon, base::Incarnation incarnation,
                       AuditLink priorEnd, AuditLimits limits)
    : Daemon(std::move(daemon)), PriorEnd(std::move(priorEnd)), Limits(limits),
      Tracker(limits.AppendTimeout, limits.ReadBackInterval) {
  LastConfirmed.Incarnation = incarnation;
}

void AuditChain::setPriorEnd(AuditLink priorEnd, base::LogOffset readFrom) {
  PriorEnd = std::move(priorEnd);
  ReadFrom = readFrom;
}

bool AuditChain::add(AuditRecord record, base::TimePoint now) {
  const std::size_t bytes = toText(record).size();
  // Once a record has been dropped, drop all further ones until the gap is
  // written: the batch that states the gap must be at the position of the
  // missing records.
  if (Gap.Count != 0 || BufferedBytes + bytes > Limits.MaxBytes) {
    if (Gap.Count++ == 0)
      Gap.From = record.Time;
    Gap.To = record.Time;
    ++DroppedCount;
    return false;
  }
  BufferedBytes += bytes;
  PendingBytes += bytes;
  Pending.push_back({std::move(record), bytes, now});
  return true;
}

bool AuditChain::isDue(base::TimePoint now) const {
  if (Pending.empty())
    return Gap.Count != 0;
  return FlushRequested || PendingBytes >= Limits.MaxBatchBytes ||
         Gap.Count != 0 || now >= Pending.front().AddedAt + Limits.MaxWait;
}

void AuditChain::sealPending() {
  AuditBatch batch;
  batch.Daemon = Daemon;
  batch.Link = {LastConfirmed.Incarnation, LastConfirmed.Sequence + 1, ""};
  batch.PreviousHash = LastConfirmed.Hash;
  if (batch.Link.Sequence == 1)
    batch.PriorEnd = PriorEnd;
  // The dropped records come after the pending ones, so the gap goes into a
  // batch of its own once those are written.
  if (Pending.empty())
    batch.Gap = std::exchange(Gap, {});
  std::size_t bytes = 0;
  while (!Pending.empty() && (bytes == 0 || bytes + Pending.front().Bytes <=
                                                Limits.MaxBatchBytes)) {
    bytes += Pending.front().Bytes;
    batch.Records.push_back(std::move(Pending.front().Record));
    Pending.pop_front();
  }
  PendingBytes -= bytes;
  std::string text = sealBatch(batch);
  Unconfirmed = {std::move(batch.Link), std::move(text), bytes};
}

void AuditChain::confirm(base::LogOffset offset) {
  ReadFrom = {offset.Value + 1};
  BufferedBytes -= Unconfirmed->Bytes;
  LastConfirmed = std::move(Unconfirmed->Link);
  Unconfirmed.reset();
}

void AuditChain::apply(const LogRecord &record) {
  const auto found = parseBatch(record.Data);
  if (!found || !Unconfirmed || found->Batch.Daemon != Daemon ||
      found->Batch.Link.Incarnation != LastConfirmed.Incarnation ||
      found->Batch.Link.Sequence != Unconfirmed->Link.Sequence)
    return;
  if (record.Data != Unconfirmed->Text) {
    ++ConflictCount;
    return;
  }
  confirm(record.Offset);
}

void AuditChain::setAppended(std::uint64_t number, base::LogOffset offset) {
  if (Tracker.setAppended(number) && Unconfirmed)
    confirm(offset);
}

void AuditChain::setUnconfirmed(std::uint64_t number, base::TimePoint now) {
  Tracker.setUnconfirmed(number, now);
}

void AuditChain::finishReadBack(std::uint64_t number) {
  Tracker.finishReadBack(number);
}

std::vector<AuditAction> AuditChain::takeActions(base::TimePoint now) {
  std::vector<AuditAction> actions;
  if (Tracker.takeReadBack(now))
    actions.emplace_back(AuditReadBack{Tracker.number(), ReadFrom});
  if (!Tracker.isIdle())
    return actions;
  if (!Unconfirmed && isDue(now))
    sealPending();
  if (Unconfirmed)
    actions.emplace_back(AuditAppend{Tracker.start(now), Unconfirmed->Text});
  return actions;
}

base::TimePoint AuditChain::wakeAt() const {
  if (!Tracker.isIdle())
    return Tracker.wakeAt();
  if (Unconfirmed || Gap.Count != 0 || PendingBytes >= Limits.MaxBatchBytes ||
      (FlushRequested && !Pending.empty()))
    return base::TimePoint::min();
  return Pending.empty() ? base::TimePoint::max()
                         : Pending.front().AddedAt + Limits.MaxWait;
}

} // namespace bergamot::state
