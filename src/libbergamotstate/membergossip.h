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

/// Hashes of all announcements known to a daemon: one combined hash for each of
/// 8 buckets. A daemon's bucket is determined by the hash of its id. The hashes
/// don't depend on the order in which the announcements arrived.
using AnnouncementHashes = std::array<std::uint32_t, 8>;

/// Gossip message: a digest of all announcements that the sender knows, and
/// some of these announcements.
struct GossipMessage {
  AnnouncementHashes Hashes{};
  std::vector<MemberAnnouncement> Announcements;
};

/// Serializes the message as the text of the wire message MemberDigest: the
/// hashes as 64 hexadecimal digits, then one line per announcement.
/// Announcements whose VM id contains a line feed are omitted.
std::string toText(const GossipMessage &message);

/// Parses the format of toText(). Returns nullopt if it is malformed.
std::optional<GossipMessage> parseGossipMessage(std::string_view text);

/// Returns the estimated size of a message including its frame, in bytes.
std::size_t wireSize(const GossipMessage &message);

/// A gossip message and its destination.
struct OutgoingGossip {
  base::VmId To;
  GossipMessage Message;
};

/// Settings of a MemberGossip.
struct GossipSettings {
  base::Duration Interval = std::chrono::milliseconds(500);
  /// Messages sent per interval.
  std::size_t Fanout = 2;
  /// Largest message including its frame. With two of them every 500 ms, a
  /// daemon sends at most 1.44 KB/s and receives as much on average, which is
  /// within the limit of 3 KB/s for control traffic.
  std::size_t MaxMessageBytes = 360;
  /// How many times a daemon sends a change. After that, the comparison of
  /// hashes finds the daemons that missed it.
  std::uint32_t MaxSendsPerChange = 6;
};

/// Distributes the announcements of all daemons. The daemons form a ring in the
/// order of the hashes of their ids. Each sends in turn to those at distances
/// 1, 2, 4 and so on in both directions, so that two peers always send to each
/// other. A message contains recent changes and then, in rotation, the
/// announcements of the buckets whose hash differed in the last message from
/// the receiver, so that daemons converge after lost messages and partitions.
class MemberGossip {
public:
  /// `self` is the daemon's own VM. `view` is read and updated, and must
  /// outlive the object.
  MemberGossip(base::VmId self, Membership &view, GossipSettings settings = {});

  /// Sets the daemons that exist, such as Membership::listed(). Only their
  /// announcements are exchanged.
  void setDaemons(const std::vector<base::VmId> &daemons);

  /// Records that an announcement in the view changed other than through
  /// apply().
  void markChanged(const base::VmId &vm);

  /// Processes a message from another daemon. Announcements of VMs that were
  /// not passed to setDaemons() are ignored; they are sent again later.
  void apply(const base::VmId &from, const GossipMessage &message);

  /// Returns the messages to send now, or none before the next interval.
  std::vector<OutgoingGossip> takeMessages(base::TimePoint now);

  /// Returns when takeMessages() is due next.
  base::TimePoint wakeAt() const { return NextAt; }

  /// Returns the hashes of all announcements known to this daemon.
  const AnnouncementHashes &announcementHashes() const { return KnownHashes; }

private:
  struct PendingChange {
    base::VmId Vm;
    std::uint32_t SendsLeft;
  };

  /// State of one daemon.
  struct DaemonEntry {
    std::size_t Bucket = 0;
    /// Hash of the known announcement, or 0 if there is none.
    std::uint32_t Hash = 0;
  };

  void updateHash(const base::VmId &vm);
  void addPeer(const base::VmId &vm);
  void queueChange(const base::VmId &vm);
  GossipMessage makeMessage(const base::VmId &to);

  base::VmId Self;
  Membership &View;
  GossipSettings Settings;
  std::vector<base::VmId> Daemons;
  std::vector<base::VmId> Peers;
  std::unordered_map<base::VmId, DaemonEntry> DaemonEntries;
  std::unordered_map<base::VmId, AnnouncementHashes> PeerHashes;
  std::deque<PendingChange> PendingChanges;
  AnnouncementHashes KnownHashes{};
  std::size_t NextPeer = 0;
  /// Index in Daemons of the announcement to send next in rotation.
  std::size_t NextAnnouncement = 0;
  base::TimePoint NextAt = base::TimePoint::min();
};

} // namespace bergamot::state

#endif
