// Explanations of decisions that must not change later ones.
#include "libbergamotgateway/targetexplanation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Targets = 12;

/// An entry with targets of a service "s" for whose slots two routes compete.
/// They take few requests while cold.
TargetScheduler scheduler(TimePoint now) {
  SchedulerSettings settings;
  settings.Name = "e0";
  settings.FailureDomain = "d0";
  settings.StartedAt = TimePoint(1h);
  settings.ReportLifetime = 1500ms;
  TargetScheduler it(settings);
  std::vector<Route> routes(2);
  for (auto &route : routes) {
    route.Services = {{"s", 1}};
    route.Streaming = true;
  }
  routes[1].PathPrefix = "/1/";
  routes[1].Priority = 1;
  it.setRouteTable(std::make_shared<const RouteTable>(
      1, routes, std::vector<Service>{{"s", 0, 20, {}}},
      std::vector<ClientAccount>{}, CallerLimits{}));
  it.setEntryNames({"e0", "e1", "e2"});
  for (unsigned i = 0; i <= Targets; ++i) {
    TargetRecord record;
    record.Service = i < Targets ? "s" : "other";
    record.Id = record.Service + std::to_string(i % Targets);
    record.FailureDomain = "d" + std::to_string(i % 3);
    record.Slots = 4;
    if (i % 4 == 0)
      record.Membership = GroupMembership{"g" + std::to_string(i), 0, 1, true};
    it.directory().setTarget(record, now);
  }
  return it;
}

DispatchTerms makeTerms(std::uint32_t priority) {
  DispatchTerms terms;
  terms.Service = "s";
  // Slots are kept free for requests that are more urgent.
  terms.MoreUrgentPerSecond = 20.0 * priority;
  return terms;
}

/// Applies one random event to a scheduler and returns the target that a
/// request is sent to, if any. Equal generators give equal events.
std::string step(TargetScheduler &it, std::mt19937_64 &random, TimePoint now) {
  const auto below = [&](unsigned n) {
    return static_cast<unsigned>(random() % n);
  };
  const std::string target = "s" + std::to_string(below(Targets));
  const unsigned event = below(8);
  if (event == 0)
    it.setReport(
        "e" + std::to_string(1 + below(2)),
        {{targetHash(target), below(4)}, {waitingKey("s", below(2)), below(6)}},
        now);
  else if (event == 1)
    it.removeExpired(now);
  else if (event == 2)
    it.takeReport({{"s", {{0, below(3)}}}});
  else if (event == 3)
    it.health().addResult(target, below(2) == 0, now);
  else if (event == 4)
    it.rateLimits().recordResponse({targetHash(target), 0, 1.0 + below(9), now},
                                   now);
  else if (it.loads().local(target) > 0)
    it.loads().removeLocalRequest(target);
  const std::uint32_t priority = below(2);
  const DispatchTerms terms = makeTerms(priority);
  const Choice choice = it.choose(terms, 0.001 * below(1000), now);
  if (!choice.Target)
    return "";
  it.recordDispatch(*choice.Target, now);
  it.loads().addLocalRequest(choice.Target->Record.Id);
  return choice.Target->Record.Id;
}

} // namespace

// Guards against an explanation that takes a slot, a part of a request rate or
// anything else that a later decision depends on, and against one that differs
// from the decision.
TEST_CASE("explanations don't change decisions", "[explanation]") {
  const auto seed = GENERATE(1U, 2U, 3U, 4U);
  CAPTURE(seed);
  TimePoint now(1h);
  TargetScheduler asked = scheduler(now);
  TargetScheduler unasked = scheduler(now);
  std::mt19937_64 random(seed);
  std::mt19937_64 sameRandom(seed);
  std::mt19937_64 otherRandom(seed + 100);
  std::array<unsigned, 2> sent{};
  for (int i = 0; i < 2000; ++i) {
    now += std::chrono::milliseconds(otherRandom() % 20);
    const auto terms = makeTerms(otherRandom() % 2);
    const ChoiceExplanation explanation = asked.explain(terms, now);
    REQUIRE(explanation.Targets.size() == Targets);
    TargetScheduler copy(asked);
    const Choice choice = copy.choose(terms, 0, now);
    CHECK((choice.Target != nullptr) == (explanation.EquallyGood > 0));
    CHECK(choice.Slots.FreeSlots == explanation.Slots.FreeSlots);
    if (choice.Target) {
      const auto &first = explanation.Targets[0];
      CHECK(first.Id == choice.Target->Record.Id);
      CHECK(first.Claim == choice.Claim);
      CHECK(first.Outcome == TargetOutcome::Chosen);
    }
    const std::string target = step(asked, random, now);
    REQUIRE(target == step(unasked, sameRandom, now));
    ++sent.at(target.empty() ? 0 : 1);
  }
  // Otherwise, the load wouldn't show a slot or rate that was taken.
  CHECK(sent[0] > 100);
  CHECK(sent[1] > 100);
}

// Guards against an explanation that states the wrong reason or inputs.
TEST_CASE("an explanation states why targets are passed over",
          "[explanation]") {
  const TimePoint now(1h);
  TargetScheduler it = scheduler(now + 10s);
  it.setEntryNames({});
  DispatchTerms terms = makeTerms(0);
  terms.FailedTargets = {"s5"};
  terms.BusyTargets = {"s6"};
  it.setReport("e1", {{targetHash("s1"), 3}}, now - 200ms);
  it.setReport("e2", {{targetHash("s1"), 1}, {targetHash("s2"), 2}},
               now - 30ms);
  it.removeExpired(now);
  it.loads().addLocalRequest("s2");
  it.health().markUnresponsive("s3", now + 1s);
  it.drainingTargets().add("s9", 0, now);
  it.rateLimits().recordResponse({targetHash("s7"), 0, 0.5, now}, now);
  const ChoiceExplanation explanation = it.explain(terms, now);
  CHECK(explanation.Reports.Reports == 2);
  CHECK(explanation.Reports.Oldest == now - 200ms);
  CHECK(explanation.Reports.Newest == now - 30ms);
  CHECK(explanation.Slots.Shared);
  const auto find = [&](const std::string &id) {
    const auto target =
        std::find_if(explanation.Targets.begin(), explanation.Targets.end(),
                     [&](const auto &each) { return each.Id == id; });
    REQUIRE(target != explanation.Targets.end());
    return *target;
  };
  CHECK(find("s1").Outcome == TargetOutcome::Full);
  CHECK(find("s1").Claim == SlotClaim::None);
  const TargetExplanation s2 = find("s2");
  CHECK(s2.Slots.Others == 2);
  CHECK(s2.Slots.Own == 1);
  CHECK(s2.Slots.OwnReported == 0);
  CHECK(s2.Slots.Limit == 4);
  CHECK_FALSE(s2.SameFailureDomain);
  CHECK(find("s3").Excluded == Exclusion::Unresponsive);
  CHECK(find("s5").Outcome == TargetOutcome::FailedBefore);
  CHECK(find("s6").Excluded == Exclusion::AttemptInProgress);
  CHECK(find("s7").Excluded == Exclusion::RateLimited);
  CHECK(find("s9").Excluded == Exclusion::NotUsable);
  CHECK(std::is_sorted(
      explanation.Targets.begin(), explanation.Targets.end(),
      [](const auto &a, const auto &b) { return a.Outcome < b.Outcome; }));
}
