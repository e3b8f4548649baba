#include "libbergamotrouting/targetadmission.h"
#include "routinghelpers.h"

#include <set>

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

AdmissionSettings settingsOf(std::uint32_t cold, std::uint32_t full) {
  AdmissionSettings settings;
  settings.Warmup.ColdLimit = cold;
  settings.Warmup.FullLimit = full;
  settings.UnitCount = 1000;
  return settings;
}

AdmissionRequest requestOf(const std::string &id, std::uint64_t units = 1) {
  AdmissionRequest request;
  request.Key = {RequestId{id}, AttemptNumber{1}};
  request.Entry = VmId{"e1"};
  request.Account = AccountId{"a"};
  request.Units = units;
  request.Deadline = atMs(1000000);
  return request;
}

LoadReport reportOf(std::uint64_t incarnation, std::int64_t ms,
                    std::uint32_t running = 0, bool cold = false) {
  return {bergamot::base::Incarnation{incarnation},
          running,
          0,
          1000,
          cold,
          atMs(ms)};
}

} // namespace

// Guards against a restarted daemon that overloads a back end still busy with
// work of the former process.
TEST_CASE("work of others counts as used", "[admission]") {
  TargetAdmission admission(settingsOf(4, 4));
  CHECK(admission.admit(requestOf("early"), atMs(0)).Reason ==
        Refusal::NotReady);
  admission.addReport(reportOf(1, 1, 3), atMs(1));
  CHECK(admission.admit(requestOf("r1"), atMs(2)).isAdmitted());
  CHECK(admission.admit(requestOf("r2"), atMs(2)).Reason == Refusal::NoSlots);
  // A lagging report from before the reservation must not count it twice.
  admission.addReport(reportOf(1, 2, 1), atMs(3));
  CHECK(admission.usedSlots() == 1);
}

// Guards against slots given away while the back end may still work on an
// attempt whose connection broke.
TEST_CASE("unknown outcomes keep their slots until a new incarnation",
          "[admission]") {
  TargetAdmission admission(settingsOf(1, 1));
  admission.addReport(reportOf(1, 0), atMs(0));
  CHECK(admission.admit(requestOf("r1"), atMs(1)).isAdmitted());
  const AttemptKey key{RequestId{"r1"}, AttemptNumber{1}};
  admission.setCompleted(key, {Executed::Unknown, true, {}}, atMs(2));
  admission.setCompleted(key, {Executed::Yes, true, {}}, atMs(3));
  admission.addReport(reportOf(1, 4), atMs(4));
  CHECK(admission.admit(requestOf("r2"), atMs(5)).Reason == Refusal::NoSlots);
  admission.addReport(reportOf(2, 6), atMs(6));
  CHECK(admission.admit(requestOf("r3"), atMs(7)).isAdmitted());
  admission.addReport(reportOf(1, 8, 9), atMs(8));
  CHECK(admission.usedSlots() == 1);
}

// Guards against a refusal that becomes untrue because a repeated Dispatch of
// the same attempt is admitted later.
TEST_CASE("a repeat of a refused attempt is a duplicate", "[admission]") {
  auto settings = settingsOf(1, 1);
  settings.AttemptCapacity = 4;
  TargetAdmission admission(settings);
  admission.addReport(reportOf(1, 0), atMs(0));
  CHECK(admission.admit(requestOf("r1"), atMs(1)).isAdmitted());
  CHECK(admission.admit(requestOf("r2"), atMs(1)).WasExecuted == Executed::No);
  admission.setCompleted({RequestId{"r1"}, AttemptNumber{1}}, {}, atMs(2));
  const auto repeat = admission.admit(requestOf("r2"), atMs(3));
  CHECK(repeat.Reason == Refusal::Duplicate);
  CHECK(repeat.WasExecuted == Executed::Unknown);
  admission.admit(requestOf("r3"), atMs(4));
  admission.admit(requestOf("r4"), atMs(4));
  const auto full = admission.admit(requestOf("r5"), atMs(5));
  CHECK(full.Reason == Refusal::RecordsFull);
  CHECK(full.WasExecuted == Executed::Unknown);
  CHECK(admission.admit(requestOf("r6"), atMs(60000)).Reason !=
        Refusal::RecordsFull);
}

// Guards against entries that together hold more grants than the target can
// take, and against grants that admit work after the limit has fallen.
TEST_CASE("grants stay within the limit", "[admission]") {
  TargetAdmission admission(settingsOf(8, 8));
  admission.addReport(reportOf(1, 0), atMs(0));
  admission.addEntry(VmId{"e1"});
  admission.addEntry(VmId{"e2"});
  for (int i = 0; i < 4; ++i)
    admission.admit(requestOf("r" + std::to_string(i)), atMs(1));
  const auto grants = admission.issueGrants(atMs(2));
  std::uint32_t busy = 0;
  std::uint32_t idle = 0;
  for (const auto &it : grants)
    (it.Entry == VmId{"e1"} ? busy : idle) += it.Issued.Slots;
  CHECK(busy > idle);
  CHECK(busy + idle == 3);
  CHECK(admission.issueGrants(atMs(3)).empty());
  auto other = requestOf("x");
  other.Entry = VmId{"e3"};
  CHECK(admission.admit(other, atMs(4)).isAdmitted());
  other.Key.Request = RequestId{"y"};
  CHECK(admission.admit(other, atMs(4)).Reason == Refusal::NoSlots);
  auto granted = requestOf("g");
  granted.Permit = grants.front().Issued.Id;
  granted.Entry = grants.front().Entry;
  CHECK(admission.admit(granted, atMs(5)).isAdmitted());
  // Expired grants free their slots without any message.
  other.Key.Request = RequestId{"z"};
  CHECK(admission.admit(other, atMs(2000)).isAdmitted());
  admission.setDraining(true);
  other.Key.Request = RequestId{"w"};
  CHECK(admission.admit(other, atMs(2001)).Reason == Refusal::Draining);
  CHECK(admission.issueGrants(atMs(2002)).empty());
}

// Guards against one account or low-priority work taking the whole target.
TEST_CASE("under pressure the furthest above its share is refused",
          "[admission]") {
  auto settings = settingsOf(20, 20);
  settings.PressureFrom = 0.8;
  TargetAdmission admission(settings);
  admission.addReport(reportOf(1, 0), atMs(0));
  auto small = requestOf("small");
  small.Account = AccountId{"b"};
  REQUIRE(admission.admit(small, atMs(1)).isAdmitted());
  for (int i = 0; i < 15; ++i)
    REQUIRE(admission.admit(requestOf("l" + std::to_string(i)), atMs(1))
                .isAdmitted());
  CHECK(admission.admit(requestOf("more"), atMs(2)).Reason ==
        Refusal::AccountShare);
  small.Key.Request = RequestId{"small2"};
  CHECK(admission.admit(small, atMs(2)).isAdmitted());
  small.Key.Request = RequestId{"small3"};
  small.Priority = 3;
  CHECK(admission.admit(small, atMs(2)).Reason == Refusal::Priority);
  small.Key.Request = RequestId{"small4"};
  small.Priority = 0;
  const auto verdict = admission.admit(small, atMs(2));
  CHECK(verdict.isAdmitted());
}

// Guards against a ramp that grows by the clock, or one that trusts responses
// admitted before it fell back.
TEST_CASE("the ramp grows with responses and falls back twice", "[warmup]") {
  WarmupSettings settings;
  settings.ColdLimit = 2;
  settings.FullLimit = 8;
  WarmupRamp ramp(settings);
  const auto fast = std::chrono::milliseconds(100);
  const auto slow = std::chrono::seconds(3);
  ramp.addReport(reportOf(1, 0));
  const auto first = ramp.epoch();
  for (int i = 0; i < 20; ++i)
    ramp.addResponse(first, fast, true, true);
  CHECK(ramp.isWarm());
  CHECK(ramp.addReport(reportOf(1, 1, 0, true)) == RampChange::ColdReported);
  CHECK(ramp.limit() == 2);
  CHECK(ramp.addReport(reportOf(1, 2, 0, true)) == RampChange::ColdReported);
  ramp.addResponse(first, fast, true, true);
  CHECK(ramp.limit() == 2);
  const auto epoch = ramp.epoch();
  ramp.addResponse(epoch, fast, true, false);
  ramp.addResponse(epoch, fast, false, true);
  CHECK(ramp.limit() == 2);
  for (int i = 0; i < 4; ++i)
    ramp.addResponse(epoch, fast, true, true);
  CHECK(ramp.limit() == 4);
  CHECK(ramp.addResponse(epoch, slow, true, true) == RampChange::None);
  CHECK(ramp.addResponse(epoch, slow, true, true) == RampChange::SlowTokens);
  CHECK(ramp.limit() == 2);
  CHECK(ramp.addReport(reportOf(2, 3)) == RampChange::NewIncarnation);
  CHECK(ramp.addReport(reportOf(1, 4, 0, true)) == RampChange::None);
}

// Guards against reservations that leak or are counted twice: a naive model
// with sets of attempts has to come to the same decision at each step.
TEST_CASE("admission equals the naive model", "[admission][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    auto settings = settingsOf(6, 6);
    settings.UnitCount = 40;
    settings.PressureFrom = 1;
    TargetAdmission admission(settings);
    admission.addReport(
        {bergamot::base::Incarnation{1}, 0, 0, 0, false, atMs(0)}, atMs(0));
    std::set<AttemptKey> seen;
    std::map<AttemptKey, std::uint64_t> running;
    std::set<AttemptKey> stuck;
    std::uint64_t incarnation = 1;
    for (int step = 1; step < 120; ++step) {
      auto request =
          requestOf("r" + std::to_string(below(random, 30)), below(random, 15));
      request.Key.Attempt.Value = 1 + below(random, 3);
      const auto action = below(random, 10);
      if (action < 6) {
        const auto known = seen.lower_bound(request.Key);
        const bool isKnown =
            known != seen.end() && known->Request == request.Key.Request;
        std::uint64_t units = request.Units;
        for (const auto &[key, value] : running)
          units += value;
        const bool expected = !isKnown && running.size() < 6 && units <= 40;
        seen.insert(request.Key);
        REQUIRE(admission.admit(request, atMs(step)).isAdmitted() == expected);
        if (expected)
          running[request.Key] = request.Units;
      } else if (action < 9 && !running.empty()) {
        auto it = running.begin();
        std::advance(it, below(random, running.size()));
        const bool unknown = below(random, 4) == 0;
        admission.setCompleted(
            it->first, {unknown ? Executed::Unknown : Executed::Yes, true, {}},
            atMs(step));
        if (unknown)
          stuck.insert(it->first);
        else if (!stuck.contains(it->first))
          running.erase(it);
      } else if (below(random, 4) == 0) {
        admission.addReport({bergamot::base::Incarnation{++incarnation}, 0, 0,
                             0, false, atMs(step)},
                            atMs(step));
        for (const auto &key : stuck)
          running.erase(key);
        stuck.clear();
      }
      REQUIRE(admission.reservedSlots() == running.size());
    }
  });
}
