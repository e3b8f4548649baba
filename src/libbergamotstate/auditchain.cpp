#include "libbergamotstate/auditchain.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

AuditChain::AuditChain(base::VmId daemon, base::Incarnation incarnation,
                       AuditLink priorLastLink, AuditSettings settings)
    : Daemon(std::move(daemon)), PriorLastLink(std::move(priorLastLink)),
      Settings(settings),
      Tracker(settings.AppendTimeout, settings.ReadBackInterval) {
  LastConfirmed.Incarnation = incarnation;
}

void AuditChain::setPriorLastLink(AuditLink priorLastLink,
                                  base::LogOffset readFrom) {
  PriorLastLink = std::move(priorLastLink);
  ReadFrom = readFrom;
}

bool AuditChain::add(AuditRecord record, base::TimePoint now) {
  const std::size_t bytes = toText(record).size();
  // Once a record has been dropped, drop all further ones until the gap is
  // written: the batch that states the gap must be at the position of the
  // missing records.
  if (Gap.Count != 0 || BufferedBytes + bytes > Settings.MaxUnconfirmedBytes) {
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
  return FlushRequested || PendingBytes >= Settings.MaxBatchBytes ||
         Gap.Count != 0 || now >= Pending.front().AddedAt + Settings.MaxWait;
}

void AuditChain::sealPending() {
  AuditBatch batch;
  batch.Daemon = Daemon;
  batch.Link = {LastConfirmed.Incarnation, LastConfirmed.Sequence + 1, ""};
  batch.PreviousHash = LastConfirmed.Hash;
  if (batch.Link.Sequence == 1)
    batch.PriorLastLink = PriorLastLink;
  // The dropped records come after the pending ones, so the gap goes into a
  // batch of its own once those are written.
  if (Pending.empty())
    batch.Gap = std::exchange(Gap, {});
  std::size_t bytes = 0;
  while (!Pending.empty() && (bytes == 0 || bytes + Pending.front().Bytes <=
                                                Settings.MaxBatchBytes)) {
    bytes += Pending.front().Bytes;
    batch.Records.push_back(std::move(Pending.front().Record));
    Pending.pop_front();
  }
  PendingBytes -= bytes;
  std::string text = sealBatch(batch);
  CurrentBatch = {std::move(batch.Link), std::move(text), bytes};
}

void AuditChain::confirm(base::LogOffset offset) {
  ReadFrom = {offset.Value + 1};
  BufferedBytes -= CurrentBatch->Bytes;
  LastConfirmed = std::move(CurrentBatch->Link);
  CurrentBatch.reset();
}

void AuditChain::apply(const LogRecord &record) {
  const auto found = parseBatch(record.Data);
  if (!found || !CurrentBatch || found->Batch.Daemon != Daemon ||
      found->Batch.Link.Incarnation != LastConfirmed.Incarnation ||
      found->Batch.Link.Sequence != CurrentBatch->Link.Sequence)
    return;
  if (record.Data != CurrentBatch->Text) {
    ++ConflictCount;
    return;
  }
  confirm(record.Offset);
}

void AuditChain::recordAppended(std::uint64_t appendNumber,
                                base::LogOffset offset) {
  if (Tracker.recordAppended(appendNumber) && CurrentBatch)
    confirm(offset);
}

void AuditChain::recordUnconfirmed(std::uint64_t appendNumber,
                                   base::TimePoint now) {
  Tracker.recordUnconfirmed(appendNumber, now);
}

void AuditChain::finishReadBack(std::uint64_t appendNumber) {
  Tracker.finishReadBack(appendNumber);
}

std::vector<AuditAction> AuditChain::takeActions(base::TimePoint now) {
  std::vector<AuditAction> actions;
  if (Tracker.takeReadBackRequest(now))
    actions.emplace_back(AuditReadBack{Tracker.appendNumber(), ReadFrom});
  if (!Tracker.isIdle())
    return actions;
  if (!CurrentBatch && isDue(now))
    sealPending();
  if (CurrentBatch)
    actions.emplace_back(AuditAppend{Tracker.start(now), CurrentBatch->Text});
  return actions;
}

base::TimePoint AuditChain::wakeAt() const {
  if (!Tracker.isIdle())
    return Tracker.wakeAt();
  if (CurrentBatch || Gap.Count != 0 ||
      PendingBytes >= Settings.MaxBatchBytes ||
      (FlushRequested && !Pending.empty()))
    return base::TimePoint::min();
  return Pending.empty() ? base::TimePoint::max()
                         : Pending.front().AddedAt + Settings.MaxWait;
}

} // namespace bergamot::state
