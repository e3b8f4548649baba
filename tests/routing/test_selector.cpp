#include "libbergamotrouting/targetselector.h"
#include "routinghelpers.h"

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

const ServiceId Chat{"chat"};

TargetId targetOf(std::uint64_t n) { return TargetId{"t" + std::to_string(n)}; }

FailureDomainId domainOf(std::uint64_t n) {
  return FailureDomainId{"d" + std::to_string(n % 3)};
}

TargetLoad loadOf(std::uint64_t sequence, std::uint32_t used,
                  std::uint32_t limit, std::int64_t ms) {
  TargetLoad load;
  load.Daemon = Incarnation{1};
  load.Sequence = sequence;
  load.SlotsUsed = used;
  load.SlotLimit = limit;
  load.Time = atMs(ms);
  return load;
}

TargetSelector selectorOf(std::uint64_t count, std::uint64_t seed) {
  SelectorSettings settings;
  settings.OwnDomain = FailureDomainId{"d0"};
  TargetSelector selector(settings, seed);
  std::vector<SubsetTarget> subset;
  for (std::uint64_t i = 0; i < count; ++i)
    subset.push_back({targetOf(i), domainOf(i)});
  selector.setSubset(Chat, subset);
  return selector;
}

CacheEvent eventOf(std::uint64_t sequence, std::uint64_t block,
                   CacheEvent::Kind kind = CacheEvent::Kind::Stored) {
  return {Incarnation{1}, sequence, kind, block};
}

} // namespace

// Guards against new work for targets that must not receive any.
TEST_CASE("leaving, ejected and removed targets are never chosen",
          "[selector]") {
  auto selector = selectorOf(6, 1);
  for (int i = 0; i < 6; ++i)
    selector.setLoad(targetOf(i), loadOf(1, 0, 100, 0));
  selector.setLeaving(targetOf(0), true);
  selector.setEjected(targetOf(3), true);
  selector.setRemovedDomains({FailureDomainId{"d1"}});
  selector.setReachable(targetOf(2), false);
  for (int i = 0; i < 50; ++i)
    CHECK(selector.choose(Chat, {}, atMs(1)).Target == targetOf(5));
  auto load = loadOf(2, 0, 100, 1);
  load.Draining = true;
  selector.setLoad(targetOf(5), load);
  CHECK(selector.choose(Chat, {}, atMs(2)).Reason == Refusal::NoTarget);
  selector.setRemovedDomains({});
  CHECK(selector.choose(Chat, {}, atMs(3)).Reason == Refusal::None);
}

// Guards against entries that guess together above a cold target's limit, and
// against late or repeated grants counted twice.
TEST_CASE("warming targets receive granted work only", "[selector]") {
  auto selector = selectorOf(1, 1);
  auto load = loadOf(1, 0, 2, 0);
  load.Warm = false;
  selector.setLoad(targetOf(0), load);
  CHECK(selector.choose(Chat, {}, atMs(1)).Reason == Refusal::NoSlots);
  const Grant grant{GrantId{7}, 1, 50, atMs(500)};
  selector.addGrant(targetOf(0), Incarnation{1}, grant);
  selector.addGrant(targetOf(0), Incarnation{1}, grant);
  SelectionRequest large;
  large.Units = 60;
  CHECK(selector.choose(Chat, large, atMs(2)).Reason == Refusal::NoSlots);
  CHECK(selector.choose(Chat, {}, atMs(2)).Permit == GrantId{7});
  CHECK(selector.choose(Chat, {}, atMs(3)).Reason == Refusal::NoSlots);
  const Grant late{GrantId{8}, 1, 50, atMs(500)};
  selector.addGrant(targetOf(0), Incarnation{1}, late);
  CHECK(selector.choose(Chat, {}, atMs(501)).Reason == Refusal::NoSlots);
  // A restart of the target daemon voids what the former process granted.
  selector.addGrant(targetOf(0), Incarnation{1},
                    {GrantId{9}, 1, 50, atMs(5000)});
  load.Daemon = Incarnation{2};
  selector.setLoad(targetOf(0), load);
  CHECK(selector.choose(Chat, {}, atMs(502)).Reason == Refusal::NoSlots);
}

// Guards against dispatches that a target with requests waiting will refuse.
TEST_CASE("contended targets receive granted work only", "[selector]") {
  auto selector = selectorOf(1, 1);
  auto load = loadOf(1, 0, 10, 0);
  load.Contended = true;
  selector.setLoad(targetOf(0), load);
  CHECK(selector.choose(Chat, {}, atMs(1)).Reason == Refusal::NoSlots);
  selector.addGrant(targetOf(0), Incarnation{1},
                    {GrantId{1}, 1, 50, atMs(500)});
  CHECK(selector.choose(Chat, {}, atMs(2)).Permit == GrantId{1});
  selector.setLoad(targetOf(0), loadOf(2, 0, 10, 3));
  CHECK(selector.choose(Chat, {}, atMs(4)).Reason == Refusal::None);
}

// Guards against affinity that outweighs a full target or survives a restart.
TEST_CASE("the holder of the prefix is preferred while it has room",
          "[selector]") {
  auto selector = selectorOf(30, 3);
  for (int i = 0; i < 30; ++i)
    selector.setLoad(targetOf(i), loadOf(1, 10, 1000, 0));
  selector.addCacheEvent(targetOf(9), eventOf(1, 111));
  selector.addCacheEvent(targetOf(9), eventOf(2, 222));
  const std::uint64_t blocks[] = {111, 222};
  SelectionRequest request;
  request.Blocks = blocks;
  for (int i = 0; i < 20; ++i)
    CHECK(selector.choose(Chat, request, atMs(1)).Target == targetOf(9));
  selector.setLoad(targetOf(9), loadOf(2, 1000, 1000, 2));
  CHECK(selector.choose(Chat, request, atMs(3)).Target != targetOf(9));
  selector.setLoad(targetOf(9), loadOf(3, 0, 1000, 4));
  const TargetId tried[] = {targetOf(9)};
  request.Tried = tried;
  CHECK(selector.choose(Chat, request, atMs(5)).Target != targetOf(9));
}

// Guards against stale, repeated and lost cache events that are taken at face
// value, and against unbounded memory.
TEST_CASE("prefix events may be late and have gaps", "[prefix]") {
  PrefixIndex index(2);
  const std::uint64_t one[] = {1};
  const std::uint64_t oneTwo[] = {1, 2};
  index.addEvent(0, eventOf(1, 1));
  CHECK(index.longestMatch(one).Match == 1.0);
  CHECK(index.longestMatch(oneTwo).Match == 0.5);
  index.addEvent(0, eventOf(3, 2));
  CHECK(index.longestMatch(one).Match == 0.5);
  index.addEvent(0, eventOf(2, 2, CacheEvent::Kind::Evicted));
  CHECK(index.longestMatch(oneTwo).Match == 1.0);
  index.addEvent(0, eventOf(4, 3));
  CHECK(index.size() == 2);
  CHECK(index.longestMatch(one).Match == 0);
  index.addEvent(0, eventOf(5, 0, CacheEvent::Kind::Cleared));
  CHECK(index.longestMatch(oneTwo).Match == 0);
  index.addEvent(0, {Incarnation{2}, 1, CacheEvent::Kind::Stored, 9});
  index.addEvent(0, eventOf(99, 9, CacheEvent::Kind::Evicted));
  const std::uint64_t nine[] = {9};
  CHECK(index.longestMatch(nine).Match == 1.0);
}

// Guards against an eligible list that drifts from the state it is made from:
// a naive full scan has to agree on whether there is a target.
TEST_CASE("selection equals the naive scan", "[selector][differential]") {
  struct State {
    bool Leaving = false;
    bool Ejected = false;
    bool Reachable = true;
    bool LoadKnown = true;
    std::uint32_t Used = 0;
  };
  forEachSeed([](std::mt19937_64 &random) {
    const std::uint64_t count = 1 + below(random, 8);
    auto selector = selectorOf(count, random());
    std::vector<State> naive(count);
    std::set<FailureDomainId> removed;
    std::vector<std::uint64_t> sequences(count, 1);
    for (std::uint64_t i = 0; i < count; ++i)
      selector.setLoad(targetOf(i), loadOf(1, 0, 4, 0));
    for (int step = 0; step < 100; ++step) {
      const std::uint64_t n = below(random, count);
      const bool flag = below(random, 2) == 0;
      switch (below(random, 6)) {
      case 0:
        selector.setLeaving(targetOf(n), naive[n].Leaving = flag);
        break;
      case 1:
        selector.setEjected(targetOf(n), naive[n].Ejected = flag);
        break;
      case 2:
        selector.setReachable(targetOf(n), naive[n].Reachable = flag);
        naive[n].LoadKnown = naive[n].LoadKnown && flag;
        break;
      case 3:
        removed = flag ? std::set{domainOf(n)} : std::set<FailureDomainId>{};
        selector.setRemovedDomains(removed);
        break;
      case 4:
        naive[n].LoadKnown = true;
        naive[n].Used = static_cast<std::uint32_t>(below(random, 5));
        selector.setLoad(targetOf(n),
                         loadOf(++sequences[n], naive[n].Used, 4, 0));
        break;
      default: {
        std::vector<TargetId> tried;
        if (flag)
          tried.push_back(targetOf(n));
        SelectionRequest request;
        request.Tried = tried;
        std::set<TargetId> allowed;
        const bool triedHasRoom = flag && !naive[n].Leaving &&
                                  !naive[n].Ejected && naive[n].Reachable &&
                                  !removed.contains(domainOf(n)) &&
                                  naive[n].LoadKnown && naive[n].Used < 4;
        for (std::uint64_t i = 0; i < count; ++i)
          if (!naive[i].Leaving && !naive[i].Ejected && naive[i].Reachable &&
              !removed.contains(domainOf(i)) && naive[i].LoadKnown &&
              naive[i].Used < 4 && !(flag && i == n))
            allowed.insert(targetOf(i));
        if (allowed.empty() && triedHasRoom)
          allowed.insert(targetOf(n));
        const auto chosen = selector.choose(Chat, request, atMs(1));
        REQUIRE((chosen.Reason == Refusal::None) == !allowed.empty());
        if (allowed.empty())
          break;
        REQUIRE(allowed.contains(chosen.Target));
        ++naive[std::stoul(chosen.Target.Value.substr(1))].Used;
      }
      }
    }
  });
}
