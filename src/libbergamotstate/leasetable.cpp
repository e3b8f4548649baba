#include "libbergamotstate/leasetable.h"

#include <utility>

namespace bergamot::state {

namespace {

/// Largest assumed difference between the rates of two clocks.
constexpr int MaxClockDriftPercent = 1;

} // namespace

LeaseTable::LeaseTable(base::VmId self, base::Incarnation incarnation,
                       LeaseSettings settings)
    : Self(std::move(self)), Incarnation(incarnation), Settings(settings) {}

bool LeaseTable::isOwn(const Lease &lease) const {
  return lease.Holder == Self && lease.Incarnation == Incarnation;
}

bool LeaseTable::accepts(const LeaseRecord &record,
                         const LogRecord &source) const {
  const auto it = Leases.find(record.Lease);
  if (it == Leases.end())
    return true;
  const Lease &lease = it->second;
  if (record.Kind == LeaseKind::Acquire)
    return (record.Version && *record.Version >= lease.Version) ||
           source.Time - lease.StoredAt >= Settings.ForgetAfter;
  // A reader that started late may have accepted, as the first record that it
  // read, one that the other readers rejected. A higher token shows that the
  // record is newer than this reader's state.
  return *record.Version > lease.Version &&
         (record.Version->Token > lease.Version.Token || !lease.Released);
}

LeaseApplyResult LeaseTable::apply(const LogRecord &record,
                                   base::TimePoint now) {
  if (record.Offset < Next)
    return {};
  Next = {record.Offset.Value + 1};
  auto parsed = parseLeaseRecord(record.Data);
  if (!parsed)
    return {};
  LeaseApplyResult applied{accepts(*parsed, record), std::move(*parsed), {}};
  const LeaseRecord &leaseRecord = applied.Record;
  Lease &lease = Leases[leaseRecord.Lease];
  if (applied.Accepted) {
    lease.Version = leaseRecord.Kind == LeaseKind::Acquire
                        ? LeaseVersion{{record.Offset.Value}, 0}
                        : *leaseRecord.Version;
    lease.Holder = leaseRecord.Holder;
    lease.Incarnation = leaseRecord.Incarnation;
    lease.StoredAt = record.Time;
    lease.SeenAt = now;
    lease.Duration = leaseRecord.Duration;
    lease.Released = leaseRecord.Kind == LeaseKind::Release;
    if (isOwn(lease))
      updateOwnLease(leaseRecord, lease.Version.Token);
  }
  applied.Token = lease.Version.Token;
  return applied;
}

void LeaseTable::updateOwnLease(const LeaseRecord &record,
                                base::FencingToken token) {
  OwnLease &ownLease = OwnLeases[record.Lease];
  // This daemon knows the send time only of the last record that it sent, so
  // earlier ones don't entitle it to act.
  if (record.Sequence != ownLease.SentSequence ||
      record.Kind == LeaseKind::Release)
    return;
  ownLease.Token = token;
  ownLease.Deadline = ownLease.SentAt + record.Duration;
}

bool LeaseTable::mayAcquire(const std::string &lease,
                            base::TimePoint now) const {
  const auto it = Leases.find(lease);
  if (it == Leases.end() || it->second.Released)
    return true;
  if (isOwn(it->second))
    return !heldToken(lease, now);
  const base::Duration duration = it->second.Duration;
  return now >= it->second.SeenAt + duration +
                    duration * MaxClockDriftPercent / 100 + Settings.Margin;
}

std::string LeaseTable::makeRecord(LeaseKind kind, const std::string &lease,
                                   OwnLease &ownLease,
                                   std::optional<LeaseVersion> version,
                                   base::TimePoint now) {
  ownLease.SentSequence = ++LastSequence;
  ownLease.SentAt = now;
  return toText(LeaseRecord{kind, lease, Self, Incarnation, LastSequence,
                            version, Settings.Duration});
}

std::optional<std::string> LeaseTable::makeAcquisition(const std::string &lease,
                                                       base::TimePoint now) {
  if (!mayAcquire(lease, now))
    return std::nullopt;
  OwnLease &ownLease = OwnLeases[lease];
  ownLease.Renewal = 0;
  ownLease.Deadline = base::TimePoint::min();
  return makeRecord(LeaseKind::Acquire, lease, ownLease, version(lease), now);
}

std::optional<std::string> LeaseTable::makeRenewal(const std::string &lease,
                                                   base::TimePoint now) {
  const auto token = heldToken(lease, now);
  if (!token)
    return std::nullopt;
  OwnLease &ownLease = OwnLeases[lease];
  return makeRecord(LeaseKind::Renew, lease, ownLease,
                    LeaseVersion{*token, ++ownLease.Renewal}, now);
}

std::optional<std::string> LeaseTable::makeRelease(const std::string &lease,
                                                   base::TimePoint now) {
  const auto token = heldToken(lease, now);
  if (!token)
    return std::nullopt;
  OwnLease &ownLease = OwnLeases[lease];
  ownLease.Deadline = base::TimePoint::min();
  return makeRecord(LeaseKind::Release, lease, ownLease,
                    LeaseVersion{*token, ++ownLease.Renewal}, now);
}

std::optional<base::FencingToken>
LeaseTable::heldToken(const std::string &lease, base::TimePoint now) const {
  const auto ownLease = OwnLeases.find(lease);
  const auto it = Leases.find(lease);
  if (ownLease == OwnLeases.end() || it == Leases.end() || !isOwn(it->second) ||
      it->second.Version.Token != ownLease->second.Token ||
      now >= ownLease->second.Deadline)
    return std::nullopt;
  return ownLease->second.Token;
}

std::optional<base::TimePoint>
LeaseTable::renewAt(const std::string &lease) const {
  const auto it = OwnLeases.find(lease);
  if (it == OwnLeases.end() || it->second.Deadline == base::TimePoint::min())
    return std::nullopt;
  return it->second.Deadline - base::Duration(Settings.Duration) / 2;
}

std::optional<LeaseVersion>
LeaseTable::version(const std::string &lease) const {
  const auto it = Leases.find(lease);
  return it == Leases.end() ? std::nullopt : std::optional(it->second.Version);
}

} // namespace bergamot::state
