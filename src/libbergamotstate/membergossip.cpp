#include "libbergamotstate/membergossip.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace bergamot::state {

namespace {

/// Frame length, envelope and the table around the text; an estimate.
constexpr std::size_t FrameBytes = 72;
constexpr std::size_t HashDigits = 8;
constexpr std::size_t HashesLength = HashDigits * StateHashes{}.size();
/// Longest line of a statement without the VM id, for a change below 10^6.
constexpr std::size_t StatementBytes = 28;

template <typename T> bool parseNumber(std::string_view text, T &value) {
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, 16);
  return ec == std::errc() && stop == end;
}

/// Removes and returns the text up to the separator, or all of it.
std::string_view takeField(std::string_view &text, char separator) {
  const auto n = text.find(separator);
  const auto field = text.substr(0, n);
  text.remove_prefix(n == std::string_view::npos ? text.size() : n + 1);
  return field;
}

std::optional<MemberStatement> parseStatement(std::string_view line) {
  MemberStatement statement;
  unsigned draining = 0;
  if (!parseNumber(takeField(line, ' '), statement.Life.Value) ||
      !parseNumber(takeField(line, ' '), statement.Change) ||
      !parseNumber(takeField(line, ' '), draining) || draining > 1 ||
      line.empty())
    return std::nullopt;
  statement.Draining = draining == 1;
  statement.Vm = {std::string(line)};
  return statement;
}

std::size_t sizeOf(const MemberStatement &statement) {
  return statement.Vm.Value.size() + StatementBytes;
}

std::uint32_t hashOf(const MemberStatement &statement) {
  const auto seed = base::xxHash64(std::to_string(statement.Life.Value) + '/' +
                                   std::to_string(statement.Change));
  return static_cast<std::uint32_t>(base::xxHash64(statement.Vm.Value, seed));
}

} // namespace

std::string toText(const MemberDigest &digest) {
  std::string text;
  char buf[48];
  for (const auto it : digest.Hashes) {
    std::snprintf(buf, sizeof(buf), "%08x", it);
    text += buf;
  }
  for (const auto &it : digest.Statements) {
    if (it.Vm.Value.find('\n') != std::string::npos)
      continue;
    std::snprintf(buf, sizeof(buf), "\n%llx %x %d ",
                  static_cast<unsigned long long>(it.Life.Value), it.Change,
                  it.Draining ? 1 : 0);
    text.append(buf).append(it.Vm.Value);
  }
  return text;
}

std::optional<MemberDigest> parseMemberDigest(std::string_view text) {
  MemberDigest digest;
  std::string_view hashes = takeField(text, '\n');
  if (hashes.size() != HashesLength)
    return std::nullopt;
  for (auto &it : digest.Hashes) {
    if (!parseNumber(hashes.substr(0, HashDigits), it))
      return std::nullopt;
    hashes.remove_prefix(HashDigits);
  }
  while (!text.empty()) {
    auto statement = parseStatement(takeField(text, '\n'));
    if (!statement)
      return std::nullopt;
    digest.Statements.push_back(std::move(*statement));
  }
  return digest;
}

std::size_t wireSize(const MemberDigest &digest) {
  return FrameBytes + toText(digest).size();
}

MemberGossip::MemberGossip(base::VmId self, Membership &view,
                           GossipLimits limits)
    : Self(std::move(self)), View(view), Limits(limits) {}

void MemberGossip::setDaemons(const std::vector<base::VmId> &daemons) {
  std::vector<std::pair<std::uint64_t, base::VmId>> ring;
  ring.reserve(daemons.size());
  for (const auto &it : daemons)
    ring.emplace_back(base::xxHash64(it.Value), it);
  std::sort(ring.begin(), ring.end());
  const std::pair own(base::xxHash64(Self.Value), Self);
  const auto place = static_cast<std::size_t>(
      std::upper_bound(ring.begin(), ring.end(), own) - ring.begin());
  Peers.clear();
  const std::size_t n = ring.size();
  // The place is that of the successor, at distance 1.
  for (std::size_t distance = 1; distance < n; distance *= 2) {
    addPeer(ring[(place + distance - 1) % n].second);
    addPeer(ring[(place + 2 * n - distance - 1) % n].second);
  }
  Daemons = daemons;
  Entries.clear();
  Known = {};
  for (const auto &it : Daemons) {
    Entries[it] = {base::xxHash64(it.Value) % Known.size(), 0};
    updateHash(it);
  }
  std::erase_if(PeerHashes,
                [&](const auto &it) { return Entries.count(it.first) == 0; });
}

void MemberGossip::addPeer(const base::VmId &vm) {
  if (vm != Self && std::find(Peers.begin(), Peers.end(), vm) == Peers.end())
    Peers.push_back(vm);
}

void MemberGossip::updateHash(const base::VmId &vm) {
  const auto statement = View.statement(vm);
  const auto it = Entries.find(vm);
  if (!statement || it == Entries.end())
    return;
  Entry &entry = it->second;
  Known[entry.Eighth] ^= entry.Hash;
  entry.Hash = hashOf(*statement);
  Known[entry.Eighth] ^= entry.Hash;
}

void MemberGossip::addFresh(const base::VmId &vm) {
  std::erase_if(FreshOnes, [&](const Fresh &it) { return it.Vm == vm; });
  FreshOnes.push_front({vm, Limits.Repeats});
}

void MemberGossip::setChanged(const base::VmId &vm) {
  if (Entries.count(vm) == 0)
    return;
  updateHash(vm);
  addFresh(vm);
}

void MemberGossip::apply(const base::VmId &from, const MemberDigest &digest) {
  PeerHashes[from] = digest.Hashes;
  for (const auto &it : digest.Statements)
    if (Entries.count(it.Vm) != 0 && View.addStatement(it))
      setChanged(it.Vm);
}

MemberDigest MemberGossip::makeDigest(const base::VmId &to) {
  MemberDigest digest{Known, {}};
  std::size_t bytes = FrameBytes + HashesLength;
  const auto add = [&](const base::VmId &vm) {
    const auto statement = View.statement(vm);
    if (!statement)
      return true;
    if (bytes + sizeOf(*statement) > Limits.MaxBytes)
      return false;
    bytes += sizeOf(*statement);
    digest.Statements.push_back(*statement);
    return true;
  };
  for (auto &it : FreshOnes) {
    if (!add(it.Vm))
      break;
    --it.Left;
  }
  std::erase_if(FreshOnes, [](const Fresh &it) { return it.Left == 0; });
  // What was sent most often goes last.
  std::stable_sort(
      FreshOnes.begin(), FreshOnes.end(),
      [](const Fresh &a, const Fresh &b) { return a.Left > b.Left; });
  const auto peer = PeerHashes.find(to);
  if (peer == PeerHashes.end())
    return digest;
  for (std::size_t i = 0; i < Daemons.size(); ++i) {
    const auto &vm = Daemons[NextSlice % Daemons.size()];
    const auto eighth = Entries.at(vm).Eighth;
    if (peer->second[eighth] != Known[eighth] && !add(vm))
      break;
    NextSlice = (NextSlice + 1) % Daemons.size();
  }
  return digest;
}

std::vector<DigestSend> MemberGossip::takeDigests(base::TimePoint now) {
  std::vector<DigestSend> sends;
  if (now < NextAt || Peers.empty())
    return sends;
  NextAt = now + Limits.Interval;
  for (std::size_t i = 0; i < std::min(Limits.Fanout, Peers.size()); ++i) {
    const auto &peer = Peers[NextPeer++ % Peers.size()];
    sends.push_back({peer, makeDigest(peer)});
  }
  return sends;
}

} // namespace bergamot::state
