#include "libbergamotstate/leasetable.h"

#include <utility>

namespace bergamot::state {

namespace {

/// Clocks run at rates within this share of each other.
constexpr int DriftPercent = 1;

} // namespace

LeaseTable::LeaseTable(base::VmId self, base::Incarnation life,
                       LeaseLimits limits)
    : Self(std::move(self)), Life(life), Limits(limits) {}

bool LeaseTable::isSelf(const Lease &lease) const {
  return lease.Holder == Self && lease.Life == Life;
}

bool LeaseTable::accepts(const LeaseRecord &record,
                         const LogRecord &source) const {
  const auto it = Leases.find(record.Lease);
  if (it == Leases.end())
    return true;
  const Lease &lease = it->second;
  if (record.Kind == LeaseKind::Acquire)
    return (record.Version && *record.Version >= lease.Version) ||
           source.Time - lease.StoredAt >= Limits.Forget;
  // A reader that started late may take a refused record for the first one; a
  // higher token shows that its own view is the older one.
  return *record.Version > lease.Version &&
         (record.Version->Token > lease.Version.Token || !lease.Released);
}

LeaseApplied LeaseTable::apply(const LogRecord &record, base::TimePoint now) {
  if (record.Offset < Next)
    return {};
  Next = {record.Offset.Value + 1};
  auto parsed = parseLeaseRecord(record.Data);
  if (!parsed)
    return {};
  LeaseApplied applied{accepts(*parsed, record), std::move(*parsed), {}};
  const LeaseRecord &in = applied.Record;
  Lease &lease = Leases[in.Lease];
  if (applied.Accepted) {
    lease.Version = in.Kind == LeaseKind::Acquire
                        ? LeaseVersion{{record.Offset.Value}, 0}
                        : *in.Version;
    lease.Holder = in.Holder;
    lease.Life = in.Life;
    lease.StoredAt = record.Time;
    lease.SeenAt = now;
    lease.Duration = in.Duration;
    lease.Released = in.Kind == LeaseKind::Release;
    if (isSelf(lease))
      setOwn(in, lease.Version.Token);
  }
  applied.Token = lease.Version.Token;
  return applied;
}

void LeaseTable::setOwn(const LeaseRecord &record, base::FencingToken token) {
  Own &own = Owns[record.Lease];
  // Without the time before its append, a record gives no right to act.
  if (record.Sequence != own.SentSequence || record.Kind == LeaseKind::Release)
    return;
  own.Token = token;
  own.Deadline = own.SentAt + record.Duration;
}

bool LeaseTable::mayAcquire(const std::string &lease,
                            base::TimePoint now) const {
  const auto it = Leases.find(lease);
  if (it == Leases.end() || it->second.Released)
    return true;
  if (isSelf(it->second))
    return !heldToken(lease, now);
  const base::Duration span = it->second.Duration;
  return now >=
         it->second.SeenAt + span + span * DriftPercent / 100 + Limits.Margin;
}

std::string LeaseTable::send(LeaseKind kind, const std::string &lease, Own &own,
                             std::optional<LeaseVersion> version,
                             base::TimePoint now) {
  own.SentSequence = ++LastSequence;
  own.SentAt = now;
  return toText(LeaseRecord{kind, lease, Self, Life, LastSequence, version,
                            Limits.Duration});
}

std::optional<std::string> LeaseTable::acquire(const std::string &lease,
                                               base::TimePoint now) {
  if (!mayAcquire(lease, now))
    return std::nullopt;
  Own &own = Owns[lease];
  own.Renewal = 0;
  own.Deadline = base::TimePoint::min();
  return send(LeaseKind::Acquire, lease, own, version(lease), now);
}

std::optional<std::string> LeaseTable::renew(const std::string &lease,
                                             base::TimePoint now) {
  const auto token = heldToken(lease, now);
  if (!token)
    return std::nullopt;
  Own &own = Owns[lease];
  return send(LeaseKind::Renew, lease, own, LeaseVersion{*token, ++own.Renewal},
              now);
}

std::optional<std::string> LeaseTable::release(const std::string &lease,
                                               base::TimePoint now) {
  const auto token = heldToken(lease, now);
  if (!token)
    return std::nullopt;
  Own &own = Owns[lease];
  own.Deadline = base::TimePoint::min();
  return send(LeaseKind::Release, lease, own,
              LeaseVersion{*token, ++own.Renewal}, now);
}

std::optional<base::FencingToken>
LeaseTable::heldToken(const std::string &lease, base::TimePoint now) const {
  const auto own = Owns.find(lease);
  const auto it = Leases.find(lease);
  if (own == Owns.end() || it == Leases.end() || !isSelf(it->second) ||
      it->second.Version.Token != own->second.Token ||
      now >= own->second.Deadline)
    return std::nullopt;
  return own->second.Token;
}

std::optional<base::TimePoint>
LeaseTable::renewAt(const std::string &lease) const {
  const auto it = Owns.find(lease);
  if (it == Owns.end() || it->second.Deadline == base::TimePoint::min())
    return std::nullopt;
  return it->second.Deadline - base::Duration(Limits.Duration) / 2;
}

std::optional<LeaseVersion>
LeaseTable::version(const std::string &lease) const {
  const auto it = Leases.find(lease);
  return it == Leases.end() ? std::nullopt : std::optional(it->second.Version);
}

} // namespace bergamot::state
