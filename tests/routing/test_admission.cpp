#include "libbergamotrouting/targetadmission.h"
#include "routinghelpers.h"

#include <set>

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

AdmissionSettings makeSettings(std::uint32_t cold, std::uint32_t full) {
  AdmissionSettings settings;
  settings.Warmup.ColdLimit = cold;
  settings.Warmup.FullLimit = full;
  settings.MaxUnits = 1000;
  return settings;
}

AdmissionRequest makeRequest(const std::string &id, std::uint64_t units = 1) {
  AdmissionRequest request;
  request.Key = {RequestId{id}, AttemptNumber{1}};
  request.Entry = VmId{"e1"};
  request.Account = AccountId{"a"};
  request.Units = units;
  request.Deadline = atMs(1000000);
  return request;
}

LoadReport makeReport(std::uint64_t incarnation, std::int64_t ms,
                      std::uint32_t running = 0, bool cold = false) {
  return {bergamot::base::Incarnation{incarnation},
          running,
          0,
          1000,
          cold,
          atMs(ms)};
}

// Reference model of admission with sets of attempts, without pressure, grants
// and warm-up.
class NaiveAdmission {
public:
  bool admit(const AdmissionRequest &request) {
    const auto known = SeenAttempts.lower_bound(request.Key);
    const bool isKnown =
        known != SeenAttempts.end() && known->Request == request.Key.Request;
    std::uint64_t units = request.Units;
    for (const auto &[key, value] : Running)
      units += value;
    SeenAttempts.insert(request.Key);
    if (isKnown || Running.size() >= 6 || units > 40)
      return false;
    Running[request.Key] = request.Units;
    return true;
  }

  void complete(const AttemptKey &key, bool unknown) {
    if (unknown)
      UnknownOutcomes.insert(key);
    else if (!UnknownOutcomes.contains(key))
      Running.erase(key);
  }

  void restart() {
    for (const auto &key : UnknownOutcomes)
      Running.erase(key);
    UnknownOutcomes.clear();
  }

  std::map<AttemptKey, std::uint64_t> Running;

private:
  std::set<AttemptKey> SeenAttempts;
  std::set<AttemptKey> UnknownOutcomes;
};

} // namespace

// Guards against a restarted daemon that overloads a back end still running
// work of the previous process.
TEST_CASE("external work counts as used", "[admission]") {
  TargetAdmission admission(makeSettings(4, 4));
  CHECK(admission.admit(makeRequest("early"), atMs(0)).Reason ==
        Refusal::NotReady);
  admission.addReport(makeReport(1, 1, 3), atMs(1));
  CHECK(admission.admit(makeRequest("r1"), atMs(2)).isAdmitted());
  CHECK(admission.admit(makeRequest("r2"), atMs(2)).Reason == Refusal::NoSlots);
  // A delayed report from before the reservation must not count it twice.
  admission.addReport(makeReport(1, 2, 1), atMs(3));
  CHECK(admission.usedSlots() == 1);
}

// Guards against reusing slots while the back end may still be working on an
// attempt whose connection broke.
TEST_CASE("unknown outcomes keep their slots until a new incarnation",
          "[admission]") {
  TargetAdmission admission(makeSettings(1, 1));
  admission.addReport(makeReport(1, 0), atMs(0));
  CHECK(admission.admit(makeRequest("r1"), atMs(1)).isAdmitted());
  const AttemptKey key{RequestId{"r1"}, AttemptNumber{1}};
  admission.recordResult(key, {Executed::Unknown, true, {}}, atMs(2));
  admission.recordResult(key, {Executed::Yes, true, {}}, atMs(3));
  admission.addReport(makeReport(1, 4), atMs(4));
  CHECK(admission.admit(makeRequest("r2"), atMs(5)).Reason == Refusal::NoSlots);
  admission.addReport(makeReport(2, 6), atMs(6));
  CHECK(admission.admit(makeRequest("r3"), atMs(7)).isAdmitted());
  admission.addReport(makeReport(1, 8, 9), atMs(8));
  CHECK(admission.usedSlots() == 1);
}

// Guards against admitting a duplicate Dispatch of an attempt that was refused
// as not executed.
TEST_CASE("a repeated refused attempt is a duplicate", "[admission]") {
  auto settings = makeSettings(1, 1);
  settings.AttemptCapacity = 4;
  TargetAdmission admission(settings);
  admission.addReport(makeReport(1, 0), atMs(0));
  CHECK(admission.admit(makeRequest("r1"), atMs(1)).isAdmitted());
  CHECK(admission.admit(makeRequest("r2"), atMs(1)).WasExecuted ==
        Executed::No);
  admission.recordResult({RequestId{"r1"}, AttemptNumber{1}}, {}, atMs(2));
  const auto repeat = admission.admit(makeRequest("r2"), atMs(3));
  CHECK(repeat.Reason == Refusal::Duplicate);
  CHECK(repeat.WasExecuted == Executed::Unknown);
  admission.admit(makeRequest("r3"), atMs(4));
  admission.admit(makeRequest("r4"), atMs(4));
  const auto full = admission.admit(makeRequest("r5"), atMs(5));
  CHECK(full.Reason == Refusal::AttemptTableFull);
  CHECK(full.WasExecuted == Executed::Unknown);
  CHECK(admission.admit(makeRequest("r6"), atMs(60000)).Reason !=
        Refusal::AttemptTableFull);
}

// Guards against grants that together exceed what the target can take, and
// against grants that admit work after the limit has fallen.
TEST_CASE("grants stay within the limit", "[admission]") {
  TargetAdmission admission(makeSettings(8, 8));
  admission.addReport(makeReport(1, 0), atMs(0));
  admission.addEntry(VmId{"e1"});
  admission.addEntry(VmId{"e2"});
  for (int i = 0; i < 4; ++i)
    admission.admit(makeRequest("r" + std::to_string(i)), atMs(1));
  const auto grants = admission.issueGrants(atMs(2));
  std::uint32_t busy = 0;
  std::uint32_t idle = 0;
  for (const auto &it : grants)
    (it.Entry == VmId{"e1"} ? busy : idle) += it.IssuedGrant.Slots;
  CHECK(busy > idle);
  CHECK(busy + idle == 3);
  CHECK(admission.issueGrants(atMs(3)).empty());
  auto other = makeRequest("x");
  other.Entry = VmId{"e3"};
  CHECK(admission.admit(other, atMs(4)).isAdmitted());
  other.Key.Request = RequestId{"y"};
  CHECK(admission.admit(other, atMs(4)).Reason == Refusal::NoSlots);
  auto granted = makeRequest("g");
  granted.UsedGrant = grants.front().IssuedGrant.Id;
  granted.Entry = grants.front().Entry;
  CHECK(admission.admit(granted, atMs(5)).isAdmitted());
  // Expired grants release their slots without any message.
  other.Key.Request = RequestId{"z"};
  CHECK(admission.admit(other, atMs(2000)).isAdmitted());
  admission.setDraining(true);
  other.Key.Request = RequestId{"w"};
  CHECK(admission.admit(other, atMs(2001)).Reason == Refusal::Draining);
  CHECK(admission.issueGrants(atMs(2002)).empty());
}

// Guards against one account or low-priority work taking the whole target.
TEST_CASE("under pressure the account furthest over its share is refused",
          "[admission]") {
  auto settings = makeSettings(20, 20);
  settings.PressureThreshold = 0.8;
  TargetAdmission admission(settings);
  admission.addReport(makeReport(1, 0), atMs(0));
  auto small = makeRequest("small");
  small.Account = AccountId{"b"};
  REQUIRE(admission.admit(small, atMs(1)).isAdmitted());
  for (int i = 0; i < 15; ++i)
    REQUIRE(admission.admit(makeRequest("l" + std::to_string(i)), atMs(1))
                .isAdmitted());
  CHECK(admission.admit(makeRequest("more"), atMs(2)).Reason ==
        Refusal::AccountShareExceeded);
  small.Key.Request = RequestId{"small2"};
  CHECK(admission.admit(small, atMs(2)).isAdmitted());
  small.Key.Request = RequestId{"small3"};
  small.Priority = 3;
  CHECK(admission.admit(small, atMs(2)).Reason == Refusal::PriorityTooLow);
  small.Key.Request = RequestId{"small4"};
  small.Priority = 0;
  const auto verdict = admission.admit(small, atMs(2));
  CHECK(verdict.isAdmitted());
}

// Guards against a ramp that grows with elapsed time, and against one that
// counts responses admitted before a reset.
TEST_CASE("the ramp grows with responses and resets to the cold limit",
          "[warmup]") {
  WarmupSettings settings;
  settings.ColdLimit = 2;
  settings.FullLimit = 8;
  WarmupRamp ramp(settings);
  const auto fast = std::chrono::milliseconds(100);
  const auto slow = std::chrono::seconds(3);
  ramp.addReport(makeReport(1, 0));
  const auto first = ramp.epoch();
  for (int i = 0; i < 20; ++i)
    ramp.addResponse(first, fast, true, true);
  CHECK(ramp.isWarm());
  CHECK(ramp.addReport(makeReport(1, 1, 0, true)) == RampChange::ColdReported);
  CHECK(ramp.limit() == 2);
  CHECK(ramp.addReport(makeReport(1, 2, 0, true)) == RampChange::ColdReported);
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
  CHECK(ramp.addResponse(epoch, slow, true, true) ==
        RampChange::SlowFirstTokens);
  CHECK(ramp.limit() == 2);
  CHECK(ramp.addReport(makeReport(2, 3)) == RampChange::NewIncarnation);
  CHECK(ramp.addReport(makeReport(1, 4, 0, true)) == RampChange::None);
}

// Guards against reservations that leak or are counted twice: a naive model
// with sets of attempts must make the same decision at each step.
TEST_CASE("admission matches the naive model", "[admission][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    auto settings = makeSettings(6, 6);
    settings.MaxUnits = 40;
    settings.PressureThreshold = 1;
    TargetAdmission admission(settings);
    LoadReport report{Incarnation{1}, 0, 0, 0, false, atMs(0)};
    admission.addReport(report, atMs(0));
    NaiveAdmission naive;
    for (int step = 1; step < 120; ++step) {
      auto request = makeRequest("r" + std::to_string(randomBelow(random, 30)),
                                 randomBelow(random, 15));
      request.Key.Attempt.Value = 1 + randomBelow(random, 3);
      const auto action = randomBelow(random, 10);
      if (action < 6) {
        REQUIRE(admission.admit(request, atMs(step)).isAdmitted() ==
                naive.admit(request));
      } else if (action < 9 && !naive.Running.empty()) {
        auto it = naive.Running.begin();
        std::advance(it, randomBelow(random, naive.Running.size()));
        const AttemptKey key = it->first;
        const bool unknown = randomBelow(random, 4) == 0;
        admission.recordResult(
            key, {unknown ? Executed::Unknown : Executed::Yes, true, {}},
            atMs(step));
        naive.complete(key, unknown);
      } else if (randomBelow(random, 4) == 0) {
        ++report.BackEndIncarnation.Value;
        report.ReadAt = atMs(step);
        admission.addReport(report, atMs(step));
        naive.restart();
      }
      REQUIRE(admission.reservedSlots() == naive.Running.size());
    }
  });
}
