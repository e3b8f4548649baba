// Groups that re-form after a power loss, and what is sent to them meanwhile.
#include "libbergamotgateway/targetscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Ranks = 32;
constexpr auto Current = TargetDirectory::RecordAge::Current;

TimePoint at(milliseconds time) { return TimePoint(1h) + time; }

TargetScheduler scheduler(Activation useRecords) {
  SchedulerSettings settings;
  settings.Name = "e";
  settings.StartedAt = at(0ms);
  settings.UseGroupRecords = useRecords;
  TargetScheduler it(settings);
  it.setRouteTable(std::make_shared<const RouteTable>(
      1, std::vector<Route>{}, std::vector<Service>{{"s", 0, 0, {}}},
      std::vector<ClientAccount>{}, CallerLimits{}));
  it.setEntryNames({"e"});
  return it;
}

TargetRecord record(std::uint32_t rank, bool isOpen,
                    std::int64_t startedAtMs = 1) {
  TargetRecord it;
  it.Id = std::to_string(rank) + "/" + std::to_string(startedAtMs);
  it.Service = "s";
  it.Address = "rank" + std::to_string(rank);
  it.Slots = 6;
  it.StartedAtMs = startedAtMs;
  it.Membership = GroupMembership{"g", rank, Ranks, isOpen};
  return it;
}

struct Outcome {
  unsigned Failed = 0;
  /// The latest start of service.
  milliseconds LastStart{0};
  unsigned SentInFirst50Ms = 0;
};

/// An entry and the ranks of the only group have restarted. The entry reads the
/// records of the former ranks; those of the new ones follow within a second,
/// and the group opens at 1,200 ms. As many requests wait as can be sent.
void replayPowerLoss(Activation useRecords, std::uint64_t seed,
                     Outcome &outcome) {
  constexpr milliseconds OpenAt{1200};
  constexpr int MaxSentAtOnce = 12;
  TargetScheduler it = scheduler(useRecords);
  for (std::uint32_t i = 0; i < Ranks; ++i)
    it.setTarget(record(i, true), at(0ms), Current);
  struct Response {
    milliseconds At;
    KnownTarget Target;
    milliseconds SentAt;
  };
  std::deque<Response> responses;
  std::mt19937_64 random(seed);
  std::optional<milliseconds> servedAt;
  DispatchTerms terms;
  terms.Service = "s";
  for (milliseconds t{0}; t < OpenAt + 400ms; t += 1ms) {
    if (t % 30ms == 0ms && t / 30ms < Ranks)
      it.setTarget(record(t / 30ms, false, 2), at(t), Current);
    for (std::uint32_t i = 0; t == OpenAt + 20ms && i < Ranks; ++i)
      it.setTarget(record(i, true, 2), at(t), Current);
    for (; !responses.empty() && responses.front().At <= t;
         responses.pop_front()) {
      const auto &[time, target, sentAt] = responses.front();
      if (target.Record.StartedAtMs == 1)
        it.recordReplaced(target.Record.Id, at(t));
      else
        it.groups().recordRefusal("g", at(sentAt), at(t));
      ++outcome.Failed;
    }
    for (int i = 0; i < MaxSentAtOnce; ++i) {
      const double draw = std::generate_canonical<double, 53>(random);
      const KnownTarget *target = it.choose(terms, draw, at(t)).Target;
      if (!target)
        break;
      it.recordDispatch(*target, at(t));
      if (t < OpenAt || target->Record.StartedAtMs == 1) {
        responses.push_back({t + 4ms, *target, t});
        continue;
      }
      it.loads().addLocalRequest(target->Record.Id);
      servedAt = servedAt.value_or(t);
      outcome.SentInFirst50Ms += t <= OpenAt + 70ms ? 1 : 0;
    }
  }
  outcome.LastStart =
      std::max(outcome.LastStart, servedAt.value_or(OpenAt + 400ms));
}

} // namespace

// Guards against requests that fail and use up the retry budget because the
// response of a restarted rank is taken for one that its group accepted.
TEST_CASE("few requests fail while a group re-forms after a power loss") {
  Outcome before;
  Outcome now;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    replayPowerLoss(Activation::Off, seed, before);
    replayPowerLoss(Activation::On, seed, now);
  }
  CAPTURE(before.Failed, now.Failed, before.SentInFirst50Ms,
          now.SentInFirst50Ms);
  CHECK(now.Failed <= 20 * 6); // A probe every 250 ms.
  CHECK(before.Failed > 2 * now.Failed);
  // All waiting requests are sent as soon as the records say so.
  CHECK(now.LastStart <= 1221ms);
  CHECK(now.SentInFirst50Ms > before.SentInFirst50Ms);
}

// Guards against a group that is taken for open or closed by a few records,
// while records arrive in any order and repeatedly.
TEST_CASE("the state of a group follows the records of most ranks") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    TargetScheduler it = scheduler(Activation::On);
    std::vector<bool> isOpen(Ranks, true);
    for (std::uint32_t i = 0; i < Ranks; ++i)
      it.setTarget(record(i, true), at(0ms), Current);
    bool expected = true;
    for (int i = 0; i < 2000; ++i) {
      const std::uint32_t rank = random() % Ranks;
      isOpen[rank] = random() % 100 < (i / 200 % 2 == 0 ? 10 : 90);
      const auto change =
          it.setTarget(record(rank, isOpen[rank]), at(1ms * i), Current);
      const auto open = std::count(isOpen.begin(), isOpen.end(), true);
      const bool before = expected;
      expected = open >= 24 || (open >= 16 && expected);
      REQUIRE(change.has_value() == (before != expected));
      REQUIRE((!change || change->Open == expected));
      REQUIRE(it.isStalled("s", at(1ms * i)) == !expected);
    }
  }
}

// Guards against outdated records that keep requests from a group that serves.
TEST_CASE("progress of a group outweighs its records") {
  TargetScheduler it = scheduler(Activation::On);
  for (std::uint32_t i = 0; i < Ranks; ++i)
    it.setTarget(record(i, false), at(0ms), Current);
  CHECK(it.isStalled("s", at(0ms)));
  it.groups().recordProgress("g", at(10ms));
  CHECK_FALSE(it.isStalled("s", at(10ms)));
  // A request to a former instance of a rank says nothing about the group.
  it.recordReplaced("0/1", at(20ms));
  CHECK_FALSE(it.isStalled("s", at(20ms)));
}
