#ifndef BERGAMOT_LIBBERGAMOTSTATE_MEMBERGOSSIP_H
#define BERGAMOT_LIBBERGAMOTSTATE_MEMBERGOSSIP_H

#include "libbergamotstate/membership.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamot::state {

/// Hashes of all statements that a daemon knows, one for each eighth of the
/// daemons. Independent of the order in which the statements came.
using AnnouncementHashes = std::array<std::uint32_t, 8>;

/// One message between daemons about what members state of themselves.
struct MemberDigest {
  AnnouncementHashes Hashes{};
  std::vector<MemberAnnouncement> Announcements;
};

/// Returns the digest as text for the message of the same name: the hashes as
/// 64 hexadecimal digits, then a line for each statement. Statements whose VM
/// id holds a line end are left out.
std::string toText(const MemberDigest &digest);

/// Returns the digest of a text, or nothing if it is malformed.
std::optional<MemberDigest> parseMemberDigest(std::string_view text);

/// Returns the size of a digest in a frame, in bytes.
std::size_t wireSize(const MemberDigest &digest);

/// A digest and the VM to send it to.
struct OutgoingDigest {
  base::VmId To;
  MemberDigest Digest;
};

/// Bounds of a MemberGossip.
struct GossipLimits {
  base::Duration Interval = std::chrono::milliseconds(500);
  /// Digests sent per interval.
  std::size_t Fanout = 2;
  /// Largest digest, in bytes. With two of them every 500 ms, a daemon sends
  /// at most 1.44 KB/s and receives as much on average, which stays within the
  /// 3 KB/s of control traffic.
  std::size_t MaxBytes = 360;
  /// How often a daemon forwards a change before it leaves the rest to the
  /// comparison of hashes.
  std::uint32_t MaxForwards = 6;
};

/// Spreads what daemons state about themselves. The daemons form a ring in
/// the order of the hashes of their ids, and each sends to those at distances
/// 1, 2, 4 and so on, in both directions and in turn. So it also hears from
/// those it sends to. A digest holds fresh changes and then, in rotation, the
/// statements of those eighths for which the receiver last showed another
/// hash, so that daemons agree again after lost messages and partitions.
class MemberGossip {
public:
  /// Takes the daemon's own VM and the view to read from and to change, which
  /// must outlive the object.
  MemberGossip(base::VmId self, Membership &view, GossipLimits limits = {});

  /// Takes the daemons that exist, such as Membership::listed(). Their
  /// statements alone are exchanged.
  void setDaemons(const std::vector<base::VmId> &daemons);

  /// Notes that a statement in the view changed other than through apply().
  void markChanged(const base::VmId &vm);

  /// Takes a digest from another daemon. Statements of VMs that aren't listed
  /// here yet are left out; they come again.
  void apply(const base::VmId &from, const MemberDigest &digest);

  /// Returns the digests to send now, none before the next interval.
  std::vector<OutgoingDigest> takeDigests(base::TimePoint now);

  /// Returns when takeDigests() is due next.
  base::TimePoint wakeAt() const { return NextAt; }

  /// Returns the hashes of all statements known here.
  const AnnouncementHashes &announcementHashes() const { return KnownHashes; }

private:
  struct PendingChange {
    base::VmId Vm;
    std::uint32_t SendsLeft;
  };

  /// What is kept for each daemon.
  struct DaemonEntry {
    std::size_t Bucket = 0;
    /// Hash of the known statement, 0 if there is none.
    std::uint32_t Hash = 0;
  };

  void updateHash(const base::VmId &vm);
  void addPeer(const base::VmId &vm);
  void queueChange(const base::VmId &vm);
  MemberDigest makeDigest(const base::VmId &to);

  base::VmId Self;
  Membership &View;
  GossipLimits Limits;
  std::vector<base::VmId> Daemons;
  std::vector<base::VmId> Peers;
  std::unordered_map<base::VmId, DaemonEntry> DaemonEntries;
  std::unordered_map<base::VmId, AnnouncementHashes> PeerHashes;
  std::deque<PendingChange> PendingChanges;
  AnnouncementHashes KnownHashes{};
  std::size_t NextPeer = 0;
  std::size_t NextDaemon = 0;
  base::TimePoint NextAt = base::TimePoint::min();
};

} // namespace bergamot::state

#endif
