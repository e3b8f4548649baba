#include "libbergamotstate/membergossip.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace bergamot::state {

namespace {

/// Estimated size of the frame length, envelope and table around the text.
constexpr std::size_t FrameOverheadBytes = 72;
constexpr std::size_t HashDigits = 8;
constexpr std::size_t HashesLength = HashDigits * AnnouncementHashes{}.size();
/// Longest line of an announcement without the VM id, for a revision below
/// 10^6.
constexpr std::size_t AnnouncementOverheadBytes = 28;

template <typename T> bool parseNumber(std::string_view text, T &value) {
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, 16);
  return ec == std::errc() && stop == end;
}

/// Removes and returns the text before the separator, or all of it.
std::string_view takeField(std::string_view &text, char separator) {
  const auto n = text.find(separator);
  const auto field = text.substr(0, n);
  text.remove_prefix(n == std::string_view::npos ? text.size() : n + 1);
  return field;
}

std::optional<MemberAnnouncement> parseAnnouncement(std::string_view line) {
  MemberAnnouncement announcement;
  unsigned draining = 0;
  if (!parseNumber(takeField(line, ' '), announcement.Incarnation.Value) ||
      !parseNumber(takeField(line, ' '), announcement.Revision) ||
      !parseNumber(takeField(line, ' '), draining) || draining > 1 ||
      line.empty())
    return std::nullopt;
  announcement.Draining = draining == 1;
  announcement.Vm = {std::string(line)};
  return announcement;
}

std::size_t announcementBytes(const MemberAnnouncement &announcement) {
  return announcement.Vm.Value.size() + AnnouncementOverheadBytes;
}

std::uint32_t announcementHash(const MemberAnnouncement &announcement) {
  const auto seed =
      base::xxHash64(std::to_string(announcement.Incarnation.Value) + '/' +
                     std::to_string(announcement.Revision));
  return static_cast<std::uint32_t>(
      base::xxHash64(announcement.Vm.Value, seed));
}

} // namespace

std::string toText(const GossipMessage &message) {
  std::string text;
  char buf[48];
  for (const auto it : message.Hashes) {
    std::snprintf(buf, sizeof(buf), "%08x", it);
    text += buf;
  }
  for (const auto &it : message.Announcements) {
    if (it.Vm.Value.find('\n') != std::string::npos)
      continue;
    std::snprintf(buf, sizeof(buf), "\n%llx %x %d ",
                  static_cast<unsigned long long>(it.Incarnation.Value),
                  it.Revision, it.Draining ? 1 : 0);
    text.append(buf).append(it.Vm.Value);
  }
  return text;
}

std::optional<GossipMessage> parseGossipMessage(std::string_view text) {
  GossipMessage message;
  std::string_view hashes = takeField(text, '\n');
  if (hashes.size() != HashesLength)
    return std::nullopt;
  for (auto &it : message.Hashes) {
    if (!parseNumber(hashes.substr(0, HashDigits), it))
      return std::nullopt;
    hashes.remove_prefix(HashDigits);
  }
  while (!text.empty()) {
    auto announcement = parseAnnouncement(takeField(text, '\n'));
    if (!announcement)
      return std::nullopt;
    message.Announcements.push_back(std::move(*announcement));
  }
  return message;
}

std::size_t wireSize(const GossipMessage &message) {
  return FrameOverheadBytes + toText(message).size();
}

MemberGossip::MemberGossip(base::VmId self, Membership &view,
                           GossipSettings settings)
    : Self(std::move(self)), View(view), Settings(settings) {}

void MemberGossip::setDaemons(const std::vector<base::VmId> &daemons) {
  std::vector<std::pair<std::uint64_t, base::VmId>> ring;
  ring.reserve(daemons.size());
  for (const auto &it : daemons)
    ring.emplace_back(base::xxHash64(it.Value), it);
  std::sort(ring.begin(), ring.end());
  const std::pair ownPosition(base::xxHash64(Self.Value), Self);
  const auto successor = static_cast<std::size_t>(
      std::upper_bound(ring.begin(), ring.end(), ownPosition) - ring.begin());
  Peers.clear();
  const std::size_t n = ring.size();
  // `successor` is the index of the daemon at distance 1.
  for (std::size_t distance = 1; distance < n; distance *= 2) {
    addPeer(ring[(successor + distance - 1) % n].second);
    addPeer(ring[(successor + 2 * n - distance - 1) % n].second);
  }
  Daemons = daemons;
  DaemonEntries.clear();
  KnownHashes = {};
  for (const auto &it : Daemons) {
    DaemonEntries[it] = {base::xxHash64(it.Value) % KnownHashes.size(), 0};
    updateHash(it);
  }
  std::erase_if(PeerHashes, [&](const auto &it) {
    return DaemonEntries.count(it.first) == 0;
  });
}

void MemberGossip::addPeer(const base::VmId &vm) {
  if (vm != Self && std::find(Peers.begin(), Peers.end(), vm) == Peers.end())
    Peers.push_back(vm);
}

void MemberGossip::updateHash(const base::VmId &vm) {
  const auto announcement = View.announcement(vm);
  const auto it = DaemonEntries.find(vm);
  if (!announcement || it == DaemonEntries.end())
    return;
  DaemonEntry &entry = it->second;
  KnownHashes[entry.Bucket] ^= entry.Hash;
  entry.Hash = announcementHash(*announcement);
  KnownHashes[entry.Bucket] ^= entry.Hash;
}

void MemberGossip::queueChange(const base::VmId &vm) {
  std::erase_if(PendingChanges,
                [&](const PendingChange &it) { return it.Vm == vm; });
  PendingChanges.push_front({vm, Settings.MaxSendsPerChange});
}

void MemberGossip::markChanged(const base::VmId &vm) {
  if (DaemonEntries.count(vm) == 0)
    return;
  updateHash(vm);
  queueChange(vm);
}

void MemberGossip::apply(const base::VmId &from, const GossipMessage &message) {
  PeerHashes[from] = message.Hashes;
  for (const auto &it : message.Announcements)
    if (DaemonEntries.count(it.Vm) != 0 && View.addAnnouncement(it))
      markChanged(it.Vm);
}

GossipMessage MemberGossip::makeMessage(const base::VmId &to) {
  GossipMessage message{KnownHashes, {}};
  std::size_t bytes = FrameOverheadBytes + HashesLength;
  const auto add = [&](const base::VmId &vm) {
    const auto announcement = View.announcement(vm);
    if (!announcement)
      return true;
    if (bytes + announcementBytes(*announcement) > Settings.MaxMessageBytes)
      return false;
    bytes += announcementBytes(*announcement);
    message.Announcements.push_back(*announcement);
    return true;
  };
  for (auto &it : PendingChanges) {
    if (!add(it.Vm))
      break;
    --it.SendsLeft;
  }
  std::erase_if(PendingChanges,
                [](const PendingChange &it) { return it.SendsLeft == 0; });
  // Changes that were sent the most times go last.
  std::stable_sort(PendingChanges.begin(), PendingChanges.end(),
                   [](const PendingChange &a, const PendingChange &b) {
                     return a.SendsLeft > b.SendsLeft;
                   });
  const auto peer = PeerHashes.find(to);
  if (peer == PeerHashes.end())
    return message;
  for (std::size_t i = 0; i < Daemons.size(); ++i) {
    const auto &vm = Daemons[NextAnnouncement % Daemons.size()];
    const auto bucket = DaemonEntries.at(vm).Bucket;
    if (peer->second[bucket] != KnownHashes[bucket] && !add(vm))
      break;
    NextAnnouncement = (NextAnnouncement + 1) % Daemons.size();
  }
  return message;
}

std::vector<OutgoingGossip> MemberGossip::takeMessages(base::TimePoint now) {
  std::vector<OutgoingGossip> outgoing;
  if (now < NextAt || Peers.empty())
    return outgoing;
  NextAt = now + Settings.Interval;
  for (std::size_t i = 0; i < std::min(Settings.Fanout, Peers.size()); ++i) {
    const auto &peer = Peers[NextPeer++ % Peers.size()];
    outgoing.push_back({peer, makeMessage(peer)});
  }
  return outgoing;
}

} // namespace bergamot::state
