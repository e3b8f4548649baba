#include "libbergamotrouting/targetselector.h"
#include "routinghelpers.h"

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

const ServiceId Chat{"chat"};

TargetId targetId(std::uint64_t n) { return TargetId{"t" + std::to_string(n)}; }

FailureDomainId domainId(std::uint64_t n) {
  return FailureDomainId{"d" + std::to_string(n % 3)};
}

TargetLoad makeLoad(std::uint64_t sequence, std::uint32_t used,
                    std::uint32_t limit, std::int64_t ms) {
  TargetLoad load;
  load.DaemonIncarnation = Incarnation{1};
  load.Sequence = sequence;
  load.SlotsUsed = used;
  load.SlotLimit = limit;
  load.ReportedAt = atMs(ms);
  return load;
}

TargetSelector makeSelector(std::uint64_t count, std::uint64_t seed) {
  SelectorSettings settings;
  settings.OwnDomain = FailureDomainId{"d0"};
  TargetSelector selector(settings, seed);
  std::vector<SubsetTarget> subset;
  for (std::uint64_t i = 0; i < count; ++i)
    subset.push_back({targetId(i), domainId(i)});
  selector.setSubset(Chat, subset);
  return selector;
}

CacheEvent makeEvent(std::uint64_t sequence, std::uint64_t prefixHash,
                     CacheEvent::Kind kind = CacheEvent::Kind::Stored) {
  return {Incarnation{1}, sequence, kind, prefixHash};
}

// Naive reference: finds the targets that may be chosen by a full scan.
struct NaiveSelector {
  struct State {
    bool Leaving = false;
    bool Ejected = false;
    bool Reachable = true;
    bool LoadKnown = true;
    std::uint32_t Used = 0;
  };

  std::set<TargetId> allowed(const std::vector<TargetId> &tried) const {
    std::set<TargetId> eligible;
    for (std::size_t i = 0; i < States.size(); ++i) {
      const State &it = States[i];
      if (!it.Leaving && !it.Ejected && it.Reachable && it.LoadKnown &&
          it.Used < 4 && !Removed.contains(domainId(i)))
        eligible.insert(targetId(i));
    }
    std::set<TargetId> untried = eligible;
    for (const auto &id : tried)
      untried.erase(id);
    return untried.empty() ? eligible : untried;
  }

  std::vector<State> States;
  std::set<FailureDomainId> Removed;
};

// Applies one state change to the selector and the naive reference.
void changeState(TargetSelector &selector, NaiveSelector &naive,
                 std::uint64_t action, std::uint64_t n, bool flag,
                 std::uint32_t used, std::uint64_t sequence) {
  NaiveSelector::State &state = naive.States[n];
  switch (action) {
  case 0:
    selector.setLeaving(targetId(n), state.Leaving = flag);
    break;
  case 1:
    selector.setEjected(targetId(n), state.Ejected = flag);
    break;
  case 2:
    selector.setReachable(targetId(n), state.Reachable = flag);
    state.LoadKnown = state.LoadKnown && flag;
    break;
  case 3:
    naive.Removed = flag ? std::set{domainId(n)} : std::set<FailureDomainId>{};
    selector.setRemovedDomains(naive.Removed);
    break;
  default:
    state.LoadKnown = true;
    state.Used = used;
    selector.setLoad(targetId(n), makeLoad(sequence, used, 4, 0));
    break;
  }
}

} // namespace

// Guards against new work for targets that must not receive any.
TEST_CASE("leaving, ejected and removed targets are never chosen",
          "[selector]") {
  auto selector = makeSelector(6, 1);
  for (int i = 0; i < 6; ++i)
    selector.setLoad(targetId(i), makeLoad(1, 0, 100, 0));
  selector.setLeaving(targetId(0), true);
  selector.setEjected(targetId(3), true);
  selector.setRemovedDomains({FailureDomainId{"d1"}});
  selector.setReachable(targetId(2), false);
  for (int i = 0; i < 50; ++i)
    CHECK(selector.choose(Chat, {}, atMs(1)).Target == targetId(5));
  auto load = makeLoad(2, 0, 100, 1);
  load.Draining = true;
  selector.setLoad(targetId(5), load);
  CHECK(selector.choose(Chat, {}, atMs(2)).Reason == Refusal::NoTarget);
  selector.setRemovedDomains({});
  CHECK(selector.choose(Chat, {}, atMs(3)).Reason == Refusal::None);
}

// Guards against entries that send without grants and together exceed a cold
// target's limit, and against counting late or duplicate grants.
TEST_CASE("warming targets receive only requests with a grant", "[selector]") {
  auto selector = makeSelector(1, 1);
  auto load = makeLoad(1, 0, 2, 0);
  load.Warm = false;
  selector.setLoad(targetId(0), load);
  CHECK(selector.choose(Chat, {}, atMs(1)).Reason == Refusal::NoSlots);
  const Grant grant{GrantId{7}, 1, 50, atMs(500)};
  selector.addGrant(targetId(0), Incarnation{1}, grant);
  selector.addGrant(targetId(0), Incarnation{1}, grant);
  SelectionRequest large;
  large.Units = 60;
  CHECK(selector.choose(Chat, large, atMs(2)).Reason == Refusal::NoSlots);
  CHECK(selector.choose(Chat, {}, atMs(2)).UsedGrant == GrantId{7});
  CHECK(selector.choose(Chat, {}, atMs(3)).Reason == Refusal::NoSlots);
  const Grant late{GrantId{8}, 1, 50, atMs(500)};
  selector.addGrant(targetId(0), Incarnation{1}, late);
  CHECK(selector.choose(Chat, {}, atMs(501)).Reason == Refusal::NoSlots);
  // A restart of the target daemon invalidates the grants of the previous
  // process.
  selector.addGrant(targetId(0), Incarnation{1},
                    {GrantId{9}, 1, 50, atMs(5000)});
  load.DaemonIncarnation = Incarnation{2};
  selector.setLoad(targetId(0), load);
  CHECK(selector.choose(Chat, {}, atMs(502)).Reason == Refusal::NoSlots);
}

// Guards against dispatches that a contended target will refuse.
TEST_CASE("contended targets receive only requests with a grant",
          "[selector]") {
  auto selector = makeSelector(1, 1);
  auto load = makeLoad(1, 0, 10, 0);
  load.Contended = true;
  selector.setLoad(targetId(0), load);
  CHECK(selector.choose(Chat, {}, atMs(1)).Reason == Refusal::NoSlots);
  selector.addGrant(targetId(0), Incarnation{1},
                    {GrantId{1}, 1, 50, atMs(500)});
  CHECK(selector.choose(Chat, {}, atMs(2)).UsedGrant == GrantId{1});
  selector.setLoad(targetId(0), makeLoad(2, 0, 10, 3));
  CHECK(selector.choose(Chat, {}, atMs(4)).Reason == Refusal::None);
}

// Guards against prefix affinity that outweighs a full target or survives a
// restart.
TEST_CASE(
    "the target that caches the prefix is preferred while it has capacity",
    "[selector]") {
  auto selector = makeSelector(30, 3);
  for (int i = 0; i < 30; ++i)
    selector.setLoad(targetId(i), makeLoad(1, 10, 1000, 0));
  selector.addCacheEvent(targetId(9), makeEvent(1, 111));
  selector.addCacheEvent(targetId(9), makeEvent(2, 222));
  const std::uint64_t prefixHashes[] = {111, 222};
  SelectionRequest request;
  request.PrefixHashes = prefixHashes;
  for (int i = 0; i < 20; ++i)
    CHECK(selector.choose(Chat, request, atMs(1)).Target == targetId(9));
  selector.setLoad(targetId(9), makeLoad(2, 1000, 1000, 2));
  CHECK(selector.choose(Chat, request, atMs(3)).Target != targetId(9));
  selector.setLoad(targetId(9), makeLoad(3, 0, 1000, 4));
  const TargetId tried[] = {targetId(9)};
  request.Tried = tried;
  CHECK(selector.choose(Chat, request, atMs(5)).Target != targetId(9));
}

// Guards against trusting stale, duplicate or incomplete cache events, and
// against unbounded memory.
TEST_CASE("prefix events may be late and have gaps", "[prefix]") {
  PrefixIndex index(2);
  const std::uint64_t one[] = {1};
  const std::uint64_t oneTwo[] = {1, 2};
  index.addEvent(0, makeEvent(1, 1));
  CHECK(index.longestMatch(one).MatchFraction == 1.0);
  CHECK(index.longestMatch(oneTwo).MatchFraction == 0.5);
  index.addEvent(0, makeEvent(3, 2));
  CHECK(index.longestMatch(one).MatchFraction == 0.5);
  index.addEvent(0, makeEvent(2, 2, CacheEvent::Kind::Evicted));
  CHECK(index.longestMatch(oneTwo).MatchFraction == 1.0);
  index.addEvent(0, makeEvent(4, 3));
  CHECK(index.size() == 2);
  CHECK(index.longestMatch(one).MatchFraction == 0);
  index.addEvent(0, makeEvent(5, 0, CacheEvent::Kind::Cleared));
  CHECK(index.longestMatch(oneTwo).MatchFraction == 0);
  index.addEvent(0, {Incarnation{2}, 1, CacheEvent::Kind::Stored, 9});
  index.addEvent(0, makeEvent(99, 9, CacheEvent::Kind::Evicted));
  const std::uint64_t nine[] = {9};
  CHECK(index.longestMatch(nine).MatchFraction == 1.0);
}

// Guards against an eligible list that diverges from the target states: a naive
// full scan must agree on whether there is a target.
TEST_CASE("selection matches the naive scan", "[selector][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    const std::uint64_t count = 1 + randomBelow(random, 8);
    auto selector = makeSelector(count, random());
    NaiveSelector naive;
    naive.States.resize(count);
    std::uint64_t sequence = 1;
    for (std::uint64_t i = 0; i < count; ++i)
      selector.setLoad(targetId(i), makeLoad(1, 0, 4, 0));
    for (int step = 0; step < 100; ++step) {
      const std::uint64_t n = randomBelow(random, count);
      const bool flag = randomBelow(random, 2) == 0;
      const auto action = randomBelow(random, 6);
      if (action < 5) {
        const auto used = static_cast<std::uint32_t>(randomBelow(random, 5));
        changeState(selector, naive, action, n, flag, used, ++sequence);
        continue;
      }
      std::vector<TargetId> tried;
      if (flag)
        tried.push_back(targetId(n));
      SelectionRequest request;
      request.Tried = tried;
      const auto allowed = naive.allowed(tried);
      const auto chosen = selector.choose(Chat, request, atMs(1));
      REQUIRE((chosen.Reason == Refusal::None) == !allowed.empty());
      if (allowed.empty())
        continue;
      REQUIRE(allowed.contains(chosen.Target));
      ++naive.States[std::stoul(chosen.Target.Value.substr(1))].Used;
    }
  });
}
