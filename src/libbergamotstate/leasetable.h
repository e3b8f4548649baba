#ifndef BERGAMOT_LIBBERGAMOTSTATE_LEASETABLE_H
#define BERGAMOT_LIBBERGAMOTSTATE_LEASETABLE_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotstate/leaserecord.h"
#include "libbergamotstate/logrecord.h"

#include <map>
#include <optional>
#include <string>

namespace bergamot::state {

/// Settings of a LeaseTable.
struct LeaseSettings {
  std::chrono::milliseconds Duration{10000};
  /// Time that other daemons wait beyond the lease's duration and the allowance
  /// for clock drift.
  base::Duration Margin = std::chrono::milliseconds(200);
  /// A lease without an accepted record for this long, by the log's time, may
  /// be acquired whichever version the writer saw. Must be many times the
  /// duration. Must also be at most half of the log's retention, so that a
  /// reader that no longer finds the lease's records reaches the same
  /// decisions.
  std::chrono::milliseconds ForgetAfter = std::chrono::hours(1);
};

/// Result of applying a record to the table.
struct LeaseApplyResult {
  /// Whether the record took effect.
  bool Accepted = false;
  LeaseRecord Record;
  /// Token in force for the lease after the record.
  base::FencingToken Token;
};

/// Replays the lease stream in offset order, and acquires, renews and releases
/// leases for one incarnation of a daemon.
///
/// An acquisition names the version that its writer saw expire or be released.
/// It takes effect only if that version is still the latest, so all readers
/// reject it if a renewal or another acquisition was stored before it. The
/// offset of an acquisition is its fencing token.
///
/// The holder takes the time just before it sends its record, and stops acting
/// one duration after that time. Other daemons wait for the duration plus 1%
/// and a margin after they saw the record. As long as the clock rates are
/// within 1% of each other, the two periods don't overlap.
class LeaseTable {
public:
  LeaseTable(base::VmId self, base::Incarnation incarnation,
             LeaseSettings settings = {});

  /// Applies a record. Records at offsets below next() are ignored.
  LeaseApplyResult apply(const LogRecord &record, base::TimePoint now);

  /// Returns the offset at which to continue reading.
  base::LogOffset next() const { return Next; }

  /// Returns whether the lease is free, or so old that its holder must have
  /// stopped acting. The stream must have been replayed to its end.
  bool mayAcquire(const std::string &lease, base::TimePoint now) const;

  /// Returns the record that acquires the lease, to be appended immediately, or
  /// nullopt if the lease may not be acquired yet. A later call supersedes an
  /// acquisition that was not seen in the stream; if the superseded one is
  /// stored after all, it doesn't entitle this daemon to act.
  std::optional<std::string> makeAcquisition(const std::string &lease,
                                             base::TimePoint now);

  /// Returns the record that extends the lease, to be appended immediately, or
  /// nullopt if this daemon doesn't hold it.
  std::optional<std::string> makeRenewal(const std::string &lease,
                                         base::TimePoint now);

  /// Stops holding the lease immediately. Returns the record that releases it,
  /// to be appended, or nullopt if this daemon doesn't hold it.
  std::optional<std::string> makeRelease(const std::string &lease,
                                         base::TimePoint now);

  /// Returns the token with which this daemon may act now, if it holds the
  /// lease. Must be called again for each order.
  std::optional<base::FencingToken> heldToken(const std::string &lease,
                                              base::TimePoint now) const;

  /// Returns when the lease should be renewed, which is after half of its
  /// duration, or nullopt if this daemon doesn't hold it.
  std::optional<base::TimePoint> renewAt(const std::string &lease) const;

  /// Returns the latest version of the lease, if the stream contains one.
  std::optional<LeaseVersion> version(const std::string &lease) const;

private:
  struct Lease {
    LeaseVersion Version;
    base::VmId Holder;
    base::Incarnation Incarnation;
    base::WallTime StoredAt;
    /// When this reader saw the last accepted record.
    base::TimePoint SeenAt;
    /// How long the holder may act.
    std::chrono::milliseconds Duration{0};
    bool Released = false;
  };

  /// This daemon's own records for one lease.
  struct OwnLease {
    std::uint64_t SentSequence = 0;
    base::TimePoint SentAt;
    /// Time until which this daemon may act.
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
  LeaseSettings Settings;
  base::LogOffset Next;
  std::uint64_t LastSequence = 0;
  std::map<std::string, Lease> Leases;
  std::map<std::string, OwnLease> OwnLeases;
};

} // namespace bergamot::state

#endif
