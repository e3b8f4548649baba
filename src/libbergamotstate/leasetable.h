#ifndef BERGAMOT_LIBBERGAMOTSTATE_LEASETABLE_H
#define BERGAMOT_LIBBERGAMOTSTATE_LEASETABLE_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotstate/leaserecord.h"
#include "libbergamotstate/logrecord.h"

#include <map>
#include <optional>
#include <string>

namespace bergamot::state {

/// Times of a LeaseTable.
struct LeaseLimits {
  std::chrono::milliseconds Duration{10000};
  /// Added to what others wait, beyond the drift of the clocks.
  base::Duration Margin = std::chrono::milliseconds(200);
  /// A lease without an accepted record for this long, by the log's time, may
  /// be acquired whatever version the writer saw. At most half of the log's
  /// retention, so that a reader that no longer finds the lease's records
  /// decides alike, and many times the duration.
  std::chrono::milliseconds ForgetAfter = std::chrono::hours(1);
};

/// What a record changed.
struct LeaseApplyResult {
  /// Whether the record took effect.
  bool Accepted = false;
  LeaseRecord Record;
  /// Token in force for the lease after the record.
  base::FencingToken Token;
};

/// Replays the stream of leases in offset order, and acquires, renews and
/// releases leases for one incarnation of a daemon.
///
/// An acquisition names the version that its writer saw lapse. It takes effect
/// only if that version still is the last one, so a renewal or another
/// acquisition that was stored before refuses it at all readers alike. Its
/// offset is the fencing token.
///
/// The holder stops at the duration after the moment before its record was
/// sent. The others wait for the duration plus 1% and a margin after they saw
/// the record. Clocks that run at rates within 1% of each other make the two
/// spans disjoint.
class LeaseTable {
public:
  LeaseTable(base::VmId self, base::Incarnation incarnation,
             LeaseLimits limits = {});

  /// Applies a record. Offsets below next() are ignored.
  LeaseApplyResult apply(const LogRecord &record, base::TimePoint now);

  /// Returns the offset from which to read on.
  base::LogOffset next() const { return Next; }

  /// Returns whether the lease is free, or the holder must have stopped.
  /// Requires that the stream was replayed to its end.
  bool mayAcquire(const std::string &lease, base::TimePoint now) const;

  /// Returns the record that acquires the lease, to be appended at once, or
  /// nothing if it may not be acquired yet. A later call replaces an
  /// acquisition that was not seen in the stream; if that one is stored after
  /// all, it gives no right to act.
  std::optional<std::string> acquire(const std::string &lease,
                                     base::TimePoint now);

  /// Returns the record that extends the lease, to be appended at once, or
  /// nothing if the lease isn't held.
  std::optional<std::string> renew(const std::string &lease,
                                   base::TimePoint now);

  /// Gives the lease up at once. Returns the record to append, or nothing if
  /// the lease isn't held.
  std::optional<std::string> release(const std::string &lease,
                                     base::TimePoint now);

  /// Returns the token with which this daemon may act now, if it holds the
  /// lease. Ask again for each order.
  std::optional<base::FencingToken> heldToken(const std::string &lease,
                                              base::TimePoint now) const;

  /// Returns when the lease should be renewed: after half of its duration.
  /// Nothing if it isn't held.
  std::optional<base::TimePoint> renewAt(const std::string &lease) const;

  /// Returns the last version of the lease, if the stream shows one.
  std::optional<LeaseVersion> version(const std::string &lease) const;

private:
  struct Lease {
    LeaseVersion Version;
    base::VmId Holder;
    base::Incarnation Incarnation;
    base::WallTime StoredAt;
    /// When this reader saw the last record, and how long the holder may act.
    base::TimePoint SeenAt;
    std::chrono::milliseconds Duration{0};
    bool Released = false;
  };

  /// What this daemon sent and may do for one lease.
  struct OwnLease {
    std::uint64_t SentSequence = 0;
    base::TimePoint SentAt;
    base::TimePoint Deadline = base::TimePoint::min();
    base::FencingToken Token;
    std::uint64_t Renewal = 0;
  };

  bool isOwn(const Lease &lease) const;
  bool accepts(const LeaseRecord &record, const LogRecord &source) const;
  void updateOwnLease(const LeaseRecord &record, base::FencingToken token);
  std::string makeRecord(LeaseKind kind, const std::string &lease,
                         OwnLease &ownLease,
                         std::optional<LeaseVersion> version,
                         base::TimePoint now);

  base::VmId Self;
  base::Incarnation Incarnation;
  LeaseLimits Limits;
  base::LogOffset Next;
  std::uint64_t LastSequence = 0;
  std::map<std::string, Lease> Leases;
  std::map<std::string, OwnLease> OwnLeases;
};

} // namespace bergamot::state

#endif
