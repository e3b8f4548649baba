#include "fakelog.h"
#include "libbergamotstate/membergossip.h"
#include "libbergamotstate/membership.h"

#include <catch2/catch.hpp>

#include <limits>
#include <memory>

using namespace bergamot;
using namespace bergamot::state;

namespace {

const base::VmId A{"a"};
const base::VmId B{"b"};

std::vector<ListedVm> makeVmList(bool leaving = false) {
  return {{A, "10.0.0.1:1", {"d1"}, leaving}, {B, "10.0.0.2:1", {"d2"}, false}};
}

/// Reference implementation that scans all events for each lookup.
class ReferenceView {
public:
  struct Event {
    std::int64_t Ms;
    std::optional<MemberAnnouncement> Announcement;
    std::uint64_t Sequence = 0; // 0 for a forwarded announcement
    std::vector<ListedVm> List;
    std::int64_t ListTime = 0;
  };
  std::vector<Event> Events;

  MemberState state(const base::VmId &vm, std::int64_t now) const {
    std::optional<ListedVm> listed;
    std::int64_t newestListTime = std::numeric_limits<std::int64_t>::min();
    MemberAnnouncement announced;
    bool reachable = false;
    std::uint64_t lastSequence = 0;
    for (const auto &it : Events) {
      if (!it.List.empty() && it.ListTime >= newestListTime) {
        newestListTime = it.ListTime;
        listed.reset();
        for (const auto &entry : it.List)
          if (entry.Vm == vm)
            listed = entry;
      }
      if (!it.Announcement || it.Announcement->Vm != vm ||
          it.Announcement->Incarnation < announced.Incarnation)
        continue;
      if (it.Announcement->Incarnation > announced.Incarnation) {
        announced = *it.Announcement;
        reachable = false;
        lastSequence = 0;
      }
      if (it.Announcement->Revision > announced.Revision)
        announced = *it.Announcement;
      if (it.Sequence > lastSequence) {
        lastSequence = it.Sequence;
        reachable = now < it.Ms + 1000;
      }
    }
    if (!listed)
      return MemberState::Unlisted;
    if (listed->Leaving)
      return MemberState::Leaving;
    if (announced.Draining)
      return MemberState::Draining;
    return reachable ? MemberState::Usable : MemberState::Unreachable;
  }
};

/// Daemons that exchange gossip messages over a lossy network.
struct Network {
  struct Daemon {
    Membership View;
    MemberGossip Gossip;
    explicit Daemon(const base::VmId &vm) : Gossip(vm, View) {}
  };

  explicit Network(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      Ids.push_back({"vm-" + std::to_string(i)});
      Daemons.emplace(Ids[i], std::make_unique<Daemon>(Ids[i]));
    }
    for (auto &[vm, daemon] : Daemons)
      daemon->Gossip.setDaemons(Ids);
  }

  void announce(std::size_t i, std::uint64_t incarnation,
                std::uint32_t revision) {
    auto &daemon = *Daemons.at(Ids[i]);
    daemon.View.addAnnouncement(
        {Ids[i], {incarnation}, revision, revision > 1});
    daemon.Gossip.markChanged(Ids[i]);
  }

  /// Runs until all daemons agree and returns the time in milliseconds, at most
  /// `limit`.
  std::int64_t converge(std::int64_t limit, unsigned lossPercent,
                        bool partitioned) {
    SeededRandom random(1);
    const auto start = Now;
    for (; Now < start + limit; Now += 500) {
      std::vector<std::pair<base::VmId, OutgoingGossip>> outgoing;
      for (auto &[vm, daemon] : Daemons)
        for (auto &it : daemon->Gossip.takeMessages(at(Now)))
          outgoing.emplace_back(vm, std::move(it));
      for (const auto &[from, send] : outgoing) {
        Bytes += wireSize(send.Message);
        const bool crossesPartition =
            (from.Value.back() % 2) != (send.To.Value.back() % 2);
        if (!(partitioned && crossesPartition) && !random.chance(lossPercent))
          Daemons.at(send.To)->Gossip.apply(from, send.Message);
      }
      if (agree())
        return Now + 500 - start;
    }
    return limit;
  }

  bool agree() const {
    const auto first = Daemons.begin()->second->Gossip.announcementHashes();
    return std::all_of(Daemons.begin(), Daemons.end(), [&](const auto &it) {
      return it.second->Gossip.announcementHashes() == first;
    });
  }

  std::vector<base::VmId> Ids;
  std::map<base::VmId, std::unique_ptr<Daemon>> Daemons;
  std::int64_t Now = 0;
  std::uint64_t Bytes = 0;
};

} // namespace

// Guards against new work for a VM that any source has excluded.
TEST_CASE("any source can exclude a VM", "[membership]") {
  Membership view;
  CHECK(view.addHeartbeat({A, {1}, 1, false}, 1, at(0)));
  CHECK(view.state(A, at(0)) == MemberState::Unlisted);
  CHECK(view.setVmList(makeVmList(), wallAt(5), at(0)));
  CHECK(view.state(A, at(999)) == MemberState::Usable);
  CHECK(view.state(A, at(1000)) == MemberState::Unreachable);
  CHECK(view.state(B, at(0)) == MemberState::Unreachable);
  CHECK(view.usable(at(1)) == std::vector{A});
  // Forwarded announcements say nothing about reachability.
  CHECK(view.addAnnouncement({B, {1}, 1, false}));
  CHECK(view.state(B, at(1)) == MemberState::Unreachable);
  // A daemon that announced draining stays so until its next incarnation, also
  // if an older announcement arrives.
  CHECK(view.addAnnouncement({A, {1}, 2, true}));
  CHECK(view.addHeartbeat({A, {1}, 1, false}, 2, at(1)));
  CHECK(view.state(A, at(1)) == MemberState::Draining);
  CHECK(view.addHeartbeat({A, {2}, 1, false}, 1, at(1)));
  CHECK(view.state(A, at(1)) == MemberState::Usable);
  view.setRemovedDomains({{"d1"}});
  CHECK(view.state(A, at(1)) == MemberState::DomainRemoved);
  view.setRemovedDomains({});
  view.setUnreachable(A);
  CHECK(view.state(A, at(1)) == MemberState::Unreachable);
}

// Guards against lists that wrongly restore or remove VMs.
TEST_CASE("older and empty lists are ignored", "[membership]") {
  Membership view;
  view.setVmList(makeVmList(true), wallAt(5), at(0));
  view.addHeartbeat({A, {1}, 1, false}, 1, at(0));
  view.addHeartbeat({B, {1}, 1, false}, 1, at(0));
  CHECK_FALSE(view.setVmList(makeVmList(false), wallAt(4), at(0)));
  CHECK_FALSE(view.setVmList({}, wallAt(6), at(0)));
  CHECK(view.state(A, at(0)) == MemberState::Leaving);
  CHECK(view.state(B, at(0)) == MemberState::Usable);
}

// Guards against work for the former user of an address, and against a paused
// process whose successor is already running.
TEST_CASE("reused addresses and outdated processes", "[membership]") {
  Membership view;
  view.setVmList({{A, "x:1", {"d"}, false}}, wallAt(1), at(0));
  view.addHeartbeat({A, {5}, 1, false}, 9, at(0));
  view.setAnsweringVm(A, B);
  CHECK(view.state(A, at(0)) == MemberState::AddressReused);
  view.setVmList({{A, "x:1", {"d"}, true}, {B, "x:1", {"d"}, false}}, wallAt(2),
                 at(0));
  CHECK(view.vmAt("x:1") == B);
  view.setVmList({{B, "x:1", {"d"}, false}}, wallAt(3), at(0));
  CHECK(view.state(A, at(0)) == MemberState::Unlisted);
  REQUIRE(view.takeEndedIncarnations().size() == 1);
  view.addHeartbeat({B, {2}, 1, false}, 1, at(0));
  CHECK_FALSE(view.addHeartbeat({B, {1}, 7, false}, 50, at(0)));
  CHECK_FALSE(view.isCurrent(B, {1}));
  CHECK(view.isCurrent(B, {2}));
  // A duplicate heartbeat must not make a silent VM appear reachable.
  CHECK_FALSE(view.addHeartbeat({B, {2}, 1, false}, 1, at(900)));
  CHECK(view.state(B, at(1000)) == MemberState::Unreachable);
  CHECK(view.addHeartbeat({B, {3}, 1, false}, 1, at(2000)));
  REQUIRE(view.takeEndedIncarnations().size() == 1);
}

// Guards against differences between the view and a scan of all events.
TEST_CASE("the view matches a scan of all events",
          "[membership][differential]") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    Membership view;
    ReferenceView reference;
    std::int64_t now = 0;
    for (int step = 0; step < 200; ++step) {
      now += std::int64_t(random.below(300));
      const base::VmId vm = random.chance(50) ? A : B;
      ReferenceView::Event event{now, {}, 0, {}, 0};
      if (random.chance(20)) {
        event.List = makeVmList(random.chance(20));
        event.List.resize(random.below(3));
        event.ListTime = now - std::int64_t(random.below(600));
        view.setVmList(event.List, wallAt(event.ListTime), at(now));
      } else {
        const auto incarnation = 1 + std::uint64_t(step) / 40 + random.below(2);
        event.Announcement = {vm,
                              {incarnation},
                              std::uint32_t(1 + random.below(4)),
                              random.chance(30)};
        if (random.chance(80)) {
          event.Sequence =
              std::uint64_t(step) + 1 - random.below(3) % (step + 1);
          view.addHeartbeat(*event.Announcement, event.Sequence, at(now));
        } else {
          view.addAnnouncement(*event.Announcement);
        }
      }
      reference.Events.push_back(event);
      for (const auto &it : {A, B})
        REQUIRE(view.state(it, at(now)) == reference.state(it, now));
    }
  }
}

// Guards against gossip messages that are altered in serialization or crash the
// receiver.
TEST_CASE("gossip messages round-trip", "[membership]") {
  const GossipMessage message{
      {1, 0xffffffff, 3, 4, 5, 6, 7, 8},
      {{{"vm 1"}, {0xfedcba9876543210}, 17, true}, {B, {1}, 1, false}}};
  const std::string text = toText(message);
  const auto parsed = parseGossipMessage(text);
  REQUIRE(parsed);
  CHECK(parsed->Hashes == message.Hashes);
  CHECK(parsed->Announcements == message.Announcements);
  for (std::size_t n = 0; n < text.size(); ++n) {
    const auto truncated = parseGossipMessage(text.substr(0, n));
    CHECK((!truncated || truncated->Announcements.size() < 2));
  }
  CHECK_FALSE(parseGossipMessage(text + "\n1 1 2 vm"));
  CHECK_FALSE(parseGossipMessage(text + "\nx 1 1 vm"));
}

// Guards against views that never converge, and against traffic above the
// limit.
TEST_CASE("gossip converges within its traffic limit",
          "[membership][property]") {
  constexpr std::size_t Count = 128;
  Network network(Count);
  for (std::size_t i = 0; i < Count; ++i)
    network.announce(i, 1, 1);
  const auto all = network.converge(120000, 10, false);
  CHECK(all <= 60000);
  network.Bytes = 0;
  network.announce(5, 1, 2);
  const auto change = network.converge(60000, 10, false);
  CHECK(change <= 15000);
  // Two partitioned regions with changes on both sides, then rejoined. Both
  // sides reach a stable state within a few minutes, so a partition of an hour
  // would show nothing more.
  for (std::size_t i = 0; i < 20; ++i)
    network.announce(i, 2, 1);
  CHECK(network.converge(300000, 0, true) == 300000);
  const auto rejoin = network.converge(120000, 10, false);
  CHECK(rejoin <= 60000);
  const double perDaemon =
      double(network.Bytes) / (double(network.Now) / 1000) / Count;
  WARN("all new " << all << " ms, one change " << change << " ms, rejoin "
                  << rejoin << " ms, " << perDaemon
                  << " bytes/s sent per daemon");
  CHECK(perDaemon <= 1500);
}
