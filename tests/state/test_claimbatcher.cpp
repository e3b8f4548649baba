#include "fakelog.h"
#include "libbergamotstate/claimbatcher.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>

using namespace bergamot;
using namespace bergamot::state;

namespace {

constexpr std::int64_t WindowMs = 1500;
constexpr std::int64_t MaxDeadlineMs = 500;

template <typename T>
std::vector<T> selectActions(const std::vector<ClaimAction> &all) {
  std::vector<T> found;
  for (const auto &it : all)
    if (const auto *p = std::get_if<T>(&it))
      found.push_back(*p);
  return found;
}

/// One entry with its table and a log without faults.
struct SingleEntry {
  ClaimTable Table{std::chrono::milliseconds(WindowMs)};
  ClaimBatcher Batcher{{"a"}, {1}, Table};
  FakeLog Log{1, 10000};

  ClaimId add(std::uint64_t key, std::int64_t deadline, std::int64_t now) {
    return *Batcher.addClaim({0, key}, {1, 1}, at(deadline), at(now)).Id;
  }
  ClaimAppend nextAppend(std::int64_t now) {
    const auto found = selectActions<ClaimAppend>(Batcher.takeActions(at(now)));
    REQUIRE(found.size() == 1);
    return found[0];
  }
  void replay(std::int64_t now) {
    for (const auto &it : Log.read(Table.next().Value, 1000))
      Batcher.apply(it, at(now));
  }
  std::vector<ClaimDecision> decisions(std::int64_t now) {
    return selectActions<ClaimDecision>(Batcher.takeActions(at(now)));
  }
};

/// The executions by all entries of a run. Checks that none is repeated.
struct Executions {
  std::map<Hash128, std::int64_t> LastClaim;
  std::set<ClaimId> Executed;
  std::set<ClaimId> Withdrawn;
  std::uint64_t Count = 0;

  void add(const Hash128 &key, const ClaimId &id, std::int64_t claimedAt,
           std::int64_t now) {
    REQUIRE(Executed.insert(id).second);
    REQUIRE(Withdrawn.count(id) == 0);
    REQUIRE(now - claimedAt <= MaxDeadlineMs);
    if (const auto it = LastClaim.find(key); it != LastClaim.end())
      REQUIRE(std::abs(claimedAt - it->second) >= WindowMs);
    LastClaim[key] = claimedAt;
    ++Count;
  }
};

/// A simulated entry that may crash, pause and read late.
class SimEntry {
public:
  SimEntry(std::string name, std::uint64_t seed, FakeLog &log,
           Executions &executed)
      : Name(std::move(name)), Random(seed), Log(log), Executed(executed) {
    start();
  }

  void step(std::int64_t now, bool faults) {
    if (now < PausedUntil)
      return;
    if (faults && Random.below(400) == 0)
      start();
    if (faults && Random.below(200) == 0) {
      PausedUntil = now + 100 + std::int64_t(Random.below(3000));
      return;
    }
    if (!Log.Down && Random.chance(80))
      read(now);
    if (Random.chance(25))
      request(now);
    respond(now);
    cancel(now);
    dispatch(now);
    finish(now);
    for (const auto &it : Batcher->takeActions(at(now)))
      handleAction(it, now, faults);
    REQUIRE(Batcher->claimCount() <= 64);
  }

private:
  struct TimedClaim {
    std::int64_t Time;
    ClaimId Id;
  };
  struct Won {
    Hash128 Key;
    std::int64_t Claimed;
  };

  void start() {
    ++Incarnation;
    Table = std::make_unique<ClaimTable>(std::chrono::milliseconds(WindowMs));
    ClaimSettings settings;
    settings.MaxClaims = 64;
    settings.MaxBatchRecords = 8;
    settings.AppendTimeout = std::chrono::milliseconds(60);
    settings.OutcomeGrace = std::chrono::milliseconds(300);
    Batcher = std::make_unique<ClaimBatcher>(
        base::VmId{Name}, base::Incarnation{Incarnation}, *Table, settings);
    Responses.clear();
    ReadBacks.clear();
    Dispatches.clear();
    Outcomes.clear();
    Cancels.clear();
    Claimed.clear();
  }

  void read(std::int64_t now) {
    Table->setEarliestOffset({Log.earliest()}, wallAt(now));
    // Overlap with the previous read, as after a lost response.
    const auto from = Table->next().Value;
    for (const auto &it :
         Log.read(from - std::min<std::uint64_t>(from, Random.below(4)),
                  4 + Random.below(20))) {
      const auto applied = Batcher->apply(it, at(now));
      if (applied.Answer.State == ClaimState::Won)
        Claimed[applied.Record.Id] = {applied.Record.Key,
                                      base::toUnixMilliseconds(it.Time)};
    }
    if (Table->next().Value < Log.end())
      return;
    for (const auto number : ReadBacks)
      Batcher->finishReadBack(number);
    ReadBacks.clear();
  }

  void request(std::int64_t now) {
    const Hash128 key{0, Random.below(8)};
    const auto admission = Batcher->addClaim(
        key, {1, Random.below(10) == 0},
        at(now + 20 + std::int64_t(Random.below(MaxDeadlineMs - 20))), at(now));
    if (admission.Id && Random.chance(20))
      Cancels.push_back({now + std::int64_t(Random.below(150)), *admission.Id});
  }

  void respond(std::int64_t now) {
    std::erase_if(Responses, [&](const auto &it) {
      if (it.first > now)
        return false;
      Batcher->recordAppended(it.second);
      return true;
    });
  }

  void cancel(std::int64_t now) {
    std::erase_if(Cancels, [&](const TimedClaim &it) {
      if (it.Time <= now && Batcher->addWithdrawal(it.Id, at(now)))
        Executed.Withdrawn.insert(it.Id);
      return it.Time <= now;
    });
  }

  void dispatch(std::int64_t now) {
    std::vector<TimedClaim> due;
    std::erase_if(Dispatches, [&](const TimedClaim &it) {
      if (it.Time <= now)
        due.push_back(it);
      return it.Time <= now;
    });
    for (const auto &[time, id] : due) {
      if (!Batcher->takeDispatchPermit(id, at(now)))
        continue;
      CHECK_FALSE(Batcher->takeDispatchPermit(id, at(now)));
      if (Random.chance(20)) {
        Batcher->recordRefusedDispatch(id);
        if (Random.chance(50)) {
          CHECK(Batcher->addWithdrawal(id, at(now)));
          Executed.Withdrawn.insert(id);
        } else {
          Dispatches.push_back({now + 20, id});
        }
        continue;
      }
      CHECK_FALSE(Batcher->addWithdrawal(id, at(now)));
      Executed.add(Claimed.at(id).Key, id, Claimed.at(id).Claimed, now);
      if (Random.chance(80))
        Outcomes.push_back({now + std::int64_t(Random.below(200)), id});
    }
  }

  void finish(std::int64_t now) {
    std::erase_if(Outcomes, [&](const TimedClaim &it) {
      if (it.Time > now)
        return false;
      Batcher->addOutcome(it.Id, makeOutcome(200, "", "done"), at(now));
      return true;
    });
  }

  void handleAction(const ClaimAction &action, std::int64_t now, bool faults) {
    if (const auto *p = std::get_if<ClaimAppend>(&action)) {
      const auto response = Log.append(p->Records, now, faults ? 15 : 0);
      if (response == FakeLog::Response::Ok)
        Responses.push_back(
            {now + std::int64_t(Random.below(80)), p->AppendNumber});
      else if (Random.chance(50))
        Batcher->recordUnconfirmed(p->AppendNumber, at(now));
    } else if (const auto *q = std::get_if<ClaimReadBack>(&action)) {
      ReadBacks.push_back(q->AppendNumber);
    } else if (const auto &d = std::get<ClaimDecision>(action);
               d.Answer.State == ClaimState::Won) {
      Dispatches.push_back({now + std::int64_t(Random.below(150)), d.Id});
    }
  }

  std::string Name;
  SeededRandom Random;
  FakeLog &Log;
  Executions &Executed;
  std::uint64_t Incarnation = 0;
  std::int64_t PausedUntil = 0;
  std::unique_ptr<ClaimTable> Table;
  std::unique_ptr<ClaimBatcher> Batcher;
  std::vector<std::pair<std::int64_t, std::uint64_t>> Responses;
  std::vector<std::uint64_t> ReadBacks;
  std::vector<TimedClaim> Dispatches;
  std::vector<TimedClaim> Outcomes;
  std::vector<TimedClaim> Cancels;
  std::map<ClaimId, Won> Claimed;
};

/// Simulates three entries for 12 s and returns the number of executions.
std::uint64_t simulate(std::uint64_t seed, bool faults) {
  FakeLog log(seed, WindowMs + MaxDeadlineMs + 100);
  Executions executed;
  std::vector<std::unique_ptr<SimEntry>> entries;
  for (std::uint64_t i = 0; i < 3; ++i)
    entries.push_back(std::make_unique<SimEntry>("e" + std::to_string(i),
                                                 seed * 10 + i, log, executed));
  SeededRandom random(seed);
  std::int64_t outageEnd = 0;
  for (std::int64_t now = 0; now < 12000; now += 10) {
    if (faults && random.below(300) == 0)
      outageEnd = now + std::int64_t(random.below(2500));
    log.Down = now < outageEnd;
    log.tick(now);
    for (auto &it : entries)
      it->step(now, faults);
  }
  return executed.Count;
}

} // namespace

// Guards against a separate append for each claim.
TEST_CASE("claims and outcomes are batched", "[batcher]") {
  SingleEntry s;
  for (std::uint64_t i = 0; i < 100; ++i)
    s.add(i, 400, 0);
  CHECK(s.Batcher.takeActions(at(1)).empty());
  const auto append = s.nextAppend(20);
  CHECK(append.Records.size() == 100);
  s.Log.append(append.Records, 21, 0);
  s.Batcher.recordAppended(append.AppendNumber);
  s.replay(30);
  const auto decided = s.decisions(30);
  REQUIRE(decided.size() == 100);
  for (const auto &it : decided) {
    CHECK(it.Answer.State == ClaimState::Won);
    CHECK(s.Batcher.takeDispatchPermit(it.Id, at(31)));
    CHECK(s.Batcher.addOutcome(it.Id, makeOutcome(200, "", "x"), at(32)));
  }
  CHECK(s.Batcher.wakeAt() == at(32) + ClaimSettings().MaxEndRecordWait);
  const auto second = s.nextAppend(282);
  CHECK(second.Records.size() == 100);
  s.Log.append(second.Records, 283, 0);
  s.Batcher.recordAppended(second.AppendNumber);
  s.replay(284);
  CHECK(s.Batcher.claimCount() == 0);
  const auto repeat = s.Batcher.addClaim({0, 5}, {1, 1}, at(500), at(290));
  CHECK(repeat.Answer.State == ClaimState::Completed);
  CHECK(repeat.Answer.RequestOutcome.Body == "x");
}

// Guards against appending a stored claim again, and against losing a claim
// whose append did not take effect.
TEST_CASE("an unconfirmed append is read back before the next append",
          "[batcher]") {
  const bool stored = GENERATE(true, false);
  SingleEntry s;
  s.add(1, 400, 0);
  const auto append = s.nextAppend(20);
  if (stored)
    s.Log.append(append.Records, 20, 0);
  s.Batcher.recordUnconfirmed(append.AppendNumber, at(40));
  s.add(2, 400, 45);
  auto actions = s.Batcher.takeActions(at(70));
  CHECK(selectActions<ClaimAppend>(actions).empty());
  REQUIRE(selectActions<ClaimReadBack>(actions).size() == 1);
  s.replay(75);
  s.Batcher.finishReadBack(append.AppendNumber);
  const auto again = s.nextAppend(80);
  CHECK(again.Records.size() == (stored ? 1 : 2));
}

// Guards against a dispatch by an entry that was paused past the deadline.
TEST_CASE("no dispatch after a pause past the deadline", "[batcher]") {
  SingleEntry s;
  const auto id = s.add(1, 400, 0);
  s.Log.append(s.nextAppend(20).Records, 20, 0);
  const bool pausedBeforeReplay = GENERATE(true, false);
  s.replay(pausedBeforeReplay ? 401 : 30);
  CHECK_FALSE(s.Batcher.takeDispatchPermit(id, at(401)));
  CHECK(s.decisions(401).back().Answer.State == ClaimState::Undecided);
  CHECK_FALSE(s.Batcher.takeDispatchPermit(id, at(30)));
}

// Guards against a request that hangs, or is executed later, while the log is
// unavailable.
TEST_CASE("an outage refuses and later withdraws claims", "[batcher]") {
  SingleEntry s;
  const auto id = s.add(1, 400, 0);
  const auto append = s.nextAppend(20);
  const auto decided = s.decisions(400);
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].Answer.State == ClaimState::Undecided);
  s.Batcher.takeActions(at(1100));
  const auto refused = s.Batcher.addClaim({0, 2}, {1, 1}, at(9000), at(2500));
  CHECK_FALSE(refused.Id);
  CHECK(refused.Answer.State == ClaimState::Undecided);
  // The first append takes effect late, after the read-back.
  s.Batcher.finishReadBack(append.AppendNumber);
  const auto withdrawal = s.nextAppend(2700);
  REQUIRE(withdrawal.Records.size() == 1);
  s.Log.append(withdrawal.Records, 2700, 0);
  s.Log.append(append.Records, 2750, 0);
  s.replay(2800);
  CHECK_FALSE(s.Batcher.takeDispatchPermit(id, at(30)));
  CHECK(s.Table.answer({0, 1}, {1, 1}).State == ClaimState::Free);
  CHECK(s.Batcher.claimCount() == 0);
}

// Guards against unbounded memory when outcomes are never reported.
TEST_CASE("claims are bounded and end with an unknown outcome", "[batcher]") {
  ClaimSettings settings;
  settings.MaxClaims = 1;
  ClaimTable table{std::chrono::milliseconds(WindowMs)};
  ClaimBatcher batcher({"a"}, {1}, table, settings);
  CHECK(batcher.addClaim({0, 1}, {1, 1}, at(100), at(0)).Id);
  CHECK(batcher.addClaim({0, 1}, {1, 1}, at(100), at(0)).Answer.State ==
        ClaimState::InProgress);
  CHECK(batcher.addClaim({0, 1}, {2, 2}, at(100), at(0)).Answer.State ==
        ClaimState::FingerprintMismatch);
  CHECK_FALSE(batcher.addClaim({0, 2}, {1, 1}, at(100), at(0)).Id);
  auto append = selectActions<ClaimAppend>(batcher.takeActions(at(20))).at(0);
  batcher.recordAppended(append.AppendNumber);
  batcher.apply({{0}, wallAt(20), append.Records[0]}, at(30));
  CHECK(batcher.takeDispatchPermit({{"a"}, {1}, 1}, at(40)));
  CHECK(batcher.wakeAt() <= at(40));
  batcher.takeActions(at(40));
  CHECK(batcher.wakeAt() == at(100) + settings.OutcomeGrace);
  batcher.takeActions(at(70000));
  append = selectActions<ClaimAppend>(batcher.takeActions(at(70250))).at(0);
  batcher.apply({{1}, wallAt(70000), append.Records[0]}, at(70000));
  CHECK(batcher.claimCount() == 0);
  CHECK_FALSE(batcher.addOutcome({{"a"}, {1}, 1}, {}, at(70000)));
}

// Guards against a second execution of a key under combined faults.
TEST_CASE("no key is executed twice", "[batcher][property]") {
  std::uint64_t executions = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    INFO("seed " << seed);
    executions += simulate(seed, true);
  }
  WARN("seeds 1 to 150: " << executions << " executions");
  CHECK(executions > 150 * 10);
}

// Guards against a batcher that is safe but makes no progress: without faults,
// each of the eight keys is executed about once per window, over eight windows.
TEST_CASE("keys make progress without faults", "[batcher][property]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    CHECK(simulate(seed, false) >= 8 * 5);
  }
}
