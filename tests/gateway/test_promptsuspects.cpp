#include "libbergamotgateway/promptrecords.h"
#include "libbergamotgateway/promptsuspects.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr PromptPart Harmful = 1000;
using Prompt = std::vector<PromptPart>;

TimePoint at(milliseconds time) { return TimePoint(time); }

/// What happens beside the harmful prompts in a simulated fleet.
struct Troubles {
  /// Targets crash for other reasons, one every two seconds.
  bool OtherCrashes = false;
  /// All entries restart every five seconds.
  bool Restarts = false;
  /// Part of the messages between entries that are lost.
  double Loss = 0;
};

/// Entries that send requests to groups of targets. A request with the harmful
/// part crashes its target when its response would begin, and its group is down
/// for some seconds. Sound requests share the first parts.
class SimulatedFleet {
public:
  SimulatedFleet(unsigned entries, const Troubles &troubles, std::uint64_t seed)
      : Options(troubles), Random(seed), Entries(entries) {}

  void run(milliseconds length) {
    for (Now = 0ms; Now < length; Now += Step) {
      if (Options.Restarts && Now.count() % 5000 == 4000)
        for (auto &it : Entries)
          restart(it);
      if (Options.OtherCrashes && Now.count() % 2000 == 1000)
        crash(Random() % Groups, std::nullopt);
      finishRequests();
      if (Now >= HarmfulFrom && Random() % 60 == 0)
        arrive({1 + Random() % FirstParts, Harmful});
      if (Random() % 2 == 0)
        arrive({1 + Random() % FirstParts});
      if (Random() % 10 == 0)
        arrive({1 + Random() % FirstParts, 2000 + Random() % 50});
      if (Now.count() % 500 == 0)
        for (auto &it : Entries)
          share(it);
    }
  }

  unsigned harmfulCrashes() const { return HarmfulCrashes; }
  /// Part of the sound requests that were withheld.
  double withheldPart() const { return static_cast<double>(Withheld) / Sound; }

private:
  static constexpr auto Step = 10ms;
  static constexpr auto HarmfulFrom = 3000ms;
  static constexpr auto TimeToBegin = 150ms;
  static constexpr auto Outage = 4000ms;
  static constexpr std::size_t Groups = 2;
  static constexpr std::size_t TargetsPerGroup = 8;
  static constexpr PromptPart FirstParts = 20;

  struct Request {
    Prompt Parts;
    std::size_t Entry = 0;
    std::size_t Group = 0;
    std::size_t Target = 0;
    milliseconds BeginsAt{0};
  };

  void restart(PromptSuspects &entry) {
    entry = PromptSuspects();
    for (const auto &[part, evidence] : Stored)
      entry.merge(evidence, at(Now));
  }

  void arrive(const Prompt &parts) {
    const std::size_t entry = Random() % Entries.size();
    PromptSuspects &suspects = Entries[entry];
    const bool isSound = parts.back() != Harmful;
    Sound += isSound ? 1 : 0;
    const std::size_t group = Random() % Groups;
    if (Now < DownUntil[group])
      return;
    const PromptVerdict verdict = suspects.verdict(parts, at(Now));
    const bool sent =
        verdict == PromptVerdict::Free ||
        (verdict == PromptVerdict::Held && suspects.takeProbe(parts, at(Now)));
    shareIfUrgent(suspects);
    if (sent)
      InFlight.push_back(
          {parts, entry, group, Random() % TargetsPerGroup, Now + TimeToBegin});
    else if (isSound)
      ++Withheld;
  }

  void finishRequests() {
    for (bool found = true; found;) {
      found = false;
      for (std::size_t i = 0; i < InFlight.size() && !found; ++i) {
        if (InFlight[i].BeginsAt > Now)
          continue;
        found = true;
        const Request it = InFlight[i];
        if (it.Parts.back() == Harmful) {
          ++HarmfulCrashes;
          crash(it.Group, it.Target);
          continue;
        }
        InFlight.erase(InFlight.begin() + static_cast<std::ptrdiff_t>(i));
        Entries[it.Entry].recordBegun(it.Parts, at(Now));
        shareIfUrgent(Entries[it.Entry]);
      }
    }
  }

  /// Ends a target and the requests of its group. Entries see those at the
  /// target lost, and the others refused.
  void crash(std::size_t group, std::optional<std::size_t> target) {
    const std::size_t crashed = target.value_or(Random() % TargetsPerGroup);
    DownUntil[group] = Now + Outage;
    const CrashId id = ++LastCrash;
    std::erase_if(InFlight, [&](const Request &it) {
      if (it.Group != group)
        return false;
      if (it.Target == crashed)
        Entries[it.Entry].addUnconfirmedCrash(id, it.Parts);
      return true;
    });
    for (auto &it : Entries) {
      it.settleCrash(id, true, at(Now));
      shareIfUrgent(it);
    }
  }

  void shareIfUrgent(PromptSuspects &from) {
    if (from.takeUrgentChange())
      share(from);
  }

  void share(PromptSuspects &from) {
    for (auto &to : Entries)
      if (&to != &from &&
          std::uniform_real_distribution<double>(0, 1)(Random) >= Options.Loss)
        for (const auto &it : from.evidence())
          to.merge(it, at(Now));
    Stored.clear();
    for (const auto &it : from.withheldParts()) {
      Stored[it.Part] = it;
      Stored[it.Part].BegunAt.reset();
      Stored[it.Part].ProbedAt.reset();
    }
  }

  Troubles Options;
  std::mt19937_64 Random;
  std::vector<PromptSuspects> Entries;
  std::map<PromptPart, PartEvidence> Stored;
  std::vector<Request> InFlight;
  std::array<milliseconds, Groups> DownUntil{};
  milliseconds Now{0};
  CrashId LastCrash = 0;
  unsigned HarmfulCrashes = 0;
  unsigned Sound = 0;
  unsigned Withheld = 0;
};

} // namespace

// Each request with the part was sent to the next target, and retried there.
TEST_CASE("a harmful part of prompts crashes few targets") {
  for (const unsigned entries : {1U, 4U, 24U})
    for (const bool otherCrashes : {false, true})
      for (const bool restarts : {false, true})
        for (const double loss : {0.0, 0.3})
          for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            SimulatedFleet fleet(entries, {otherCrashes, restarts, loss}, seed);
            fleet.run(40000ms);
            CAPTURE(entries, otherCrashes, restarts, loss, seed);
            CHECK(fleet.harmfulCrashes() <= 5);
            CHECK(fleet.withheldPart() < 0.1);
          }
}

TEST_CASE("a harmful part is found after two crashes if nothing else fails") {
  for (const unsigned entries : {1U, 4U, 24U})
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SimulatedFleet fleet(entries, {}, seed);
      fleet.run(40000ms);
      CAPTURE(entries, seed);
      // One more may be on its way when the second one crashes its target.
      CHECK(fleet.harmfulCrashes() >= 2);
      CHECK(fleet.harmfulCrashes() <= 3);
    }
}

TEST_CASE("a crash accuses no part that has had responses") {
  PromptSuspects suspects;
  const Prompt known{1};
  suspects.recordBegun(known, at(0ms));
  suspects.addUnconfirmedCrash(7, known);
  CHECK(suspects.verdict(known, at(1000ms)) == PromptVerdict::Free);
  suspects.settleCrash(7, true, at(1000ms));
  CHECK(suspects.verdict(known, at(1000ms)) == PromptVerdict::Free);
  SECTION("not even after many crashes with responses between them") {
    for (CrashId i = 1; i <= 10; ++i) {
      suspects.recordBegun(known, at(i * 1000ms + 500ms));
      suspects.addUnconfirmedCrash(100 + i, known);
      suspects.settleCrash(100 + i, true, at(i * 1000ms + 900ms));
      CHECK(suspects.verdict(known, at(i * 1000ms + 950ms)) ==
            PromptVerdict::Free);
    }
  }
  SECTION("but after three without a response it is blocked") {
    suspects.addUnconfirmedCrash(8, known);
    suspects.settleCrash(8, true, at(6000ms));
    CHECK(suspects.verdict(known, at(6000ms)) == PromptVerdict::Held);
    suspects.addUnconfirmedCrash(9, known);
    suspects.settleCrash(9, true, at(12000ms));
    CHECK(suspects.verdict(known, at(12000ms)) == PromptVerdict::Blocked);
  }
}

TEST_CASE("a connection that is lost without a crash accuses nobody") {
  PromptSuspects suspects;
  const Prompt prompt{1, 2};
  suspects.addUnconfirmedCrash(7, prompt);
  CHECK(suspects.verdict(prompt, at(0ms)) == PromptVerdict::Held);
  CHECK_FALSE(suspects.takeProbe(prompt, at(10000ms)));
  suspects.settleCrash(7, false, at(5ms));
  CHECK(suspects.verdict(prompt, at(5ms)) == PromptVerdict::Free);
  CHECK(suspects.isEmpty());
}

TEST_CASE("one request at a time probes a part that is held") {
  PromptSuspects suspects;
  const Prompt prompt{1};
  suspects.addUnconfirmedCrash(7, prompt);
  suspects.settleCrash(7, true, at(0ms));
  REQUIRE(suspects.takeUrgentChange());
  CHECK_FALSE(suspects.takeProbe(prompt, at(3900ms)));
  CHECK(suspects.nextDecisionAt(prompt, at(0ms)) == at(4000ms));
  CHECK(suspects.takeProbe(prompt, at(4000ms)));
  CHECK(suspects.takeUrgentChange());
  CHECK_FALSE(suspects.takeProbe(prompt, at(4100ms)));
  SECTION("at all entries") {
    PromptSuspects other;
    other.merge(suspects.evidence().front(), at(4100ms));
    CHECK(other.verdict(prompt, at(4100ms)) == PromptVerdict::Held);
    CHECK_FALSE(other.takeProbe(prompt, at(4100ms)));
  }
  SECTION("a response clears the part at all entries") {
    PromptSuspects other;
    other.merge(suspects.evidence().front(), at(4100ms));
    suspects.recordBegun(prompt, at(4200ms));
    CHECK(suspects.takeUrgentChange());
    CHECK(suspects.verdict(prompt, at(4200ms)) == PromptVerdict::Free);
    other.merge(suspects.evidence().front(), at(4201ms));
    CHECK(other.verdict(prompt, at(4201ms)) == PromptVerdict::Free);
  }
  SECTION("a probe without a result is repeated") {
    CHECK(suspects.takeProbe(prompt, at(7000ms)));
  }
  SECTION("a second crash blocks the part, which is probed again much later") {
    suspects.addUnconfirmedCrash(8, prompt);
    suspects.settleCrash(8, true, at(4200ms));
    CHECK(suspects.verdict(prompt, at(10000ms)) == PromptVerdict::Blocked);
    CHECK(suspects.verdict(prompt, at(64200ms)) == PromptVerdict::Held);
    CHECK(suspects.takeProbe(prompt, at(64200ms)));
    CHECK(suspects.verdict(prompt, at(64300ms)) == PromptVerdict::Blocked);
  }
}

TEST_CASE("parts with the same crashes are told apart before one is blocked") {
  // All entries have just started, so that no part has had a response.
  PromptSuspects suspects;
  const Prompt both{1, Harmful};
  suspects.addUnconfirmedCrash(7, both);
  suspects.settleCrash(7, true, at(0ms));
  suspects.addUnconfirmedCrash(8, both);
  suspects.settleCrash(8, true, at(5000ms));
  const Prompt first{1};
  CHECK(suspects.verdict(first, at(5000ms)) == PromptVerdict::Held);
  CHECK(suspects.verdict(both, at(5000ms)) == PromptVerdict::Held);
  CHECK_FALSE(suspects.takeProbe(both, at(9000ms)));
  REQUIRE(suspects.takeProbe(first, at(9000ms)));
  suspects.recordBegun(first, at(9200ms));
  CHECK(suspects.verdict(first, at(9200ms)) == PromptVerdict::Free);
  CHECK(suspects.verdict(both, at(9200ms)) == PromptVerdict::Blocked);
}

TEST_CASE(
    "another entry answers if it has seen responses to a suspected part") {
  PromptSuspects restarted;
  PromptSuspects other;
  const Prompt prompt{1};
  other.recordBegun(prompt, at(0ms));
  restarted.addUnconfirmedCrash(7, prompt);
  restarted.settleCrash(7, true, at(1000ms));
  CHECK(restarted.verdict(prompt, at(1000ms)) == PromptVerdict::Held);
  other.merge(restarted.evidence().front(), at(1001ms));
  CHECK(other.verdict(prompt, at(1001ms)) == PromptVerdict::Free);
  REQUIRE(other.takePendingAnswer());
  restarted.merge(other.evidence().front(), at(1002ms));
  CHECK(restarted.verdict(prompt, at(1002ms)) == PromptVerdict::Free);
  CHECK_FALSE(restarted.takePendingAnswer());
}

TEST_CASE("suspects are bounded and expire") {
  PromptSuspects suspects;
  for (CrashId i = 0; i < 1000; ++i) {
    const Prompt prompt{10000 + i};
    suspects.addUnconfirmedCrash(i, prompt);
    suspects.settleCrash(i, true, at(i * 1ms));
  }
  CHECK(suspects.evidence().size() == 128);
  suspects.removeExpired(at(11min));
  CHECK(suspects.isEmpty());
}

TEST_CASE(
    "one entry writes the record of a part, and the next one if it fails") {
  const std::vector<std::string> names{"a", "b", "c"};
  const std::vector<PartEvidence> withheld{{42, {{7, at(0ms)}}, {}, {}}};
  std::vector<PromptRecords> entries(names.begin(), names.end());
  const auto othersOf = [&](std::size_t i) {
    std::vector<std::string> others = names;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    return others;
  };
  std::vector<std::size_t> writers;
  for (auto now = 0ms; now < 3600ms; now += 100ms)
    for (std::size_t i = 0; i < entries.size(); ++i)
      if (entries[i].takeDueChange(withheld, othersOf(i), at(now)))
        writers.push_back(i);
  // No record arrives, so each entry writes once in its turn.
  REQUIRE(writers.size() == 3);
  CHECK(writers[0] != writers[1]);
  CHECK(writers[1] != writers[2]);
  for (auto &it : entries)
    it.setStored(42, 1);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    CHECK_FALSE(entries[i].takeDueChange(withheld, othersOf(i), at(10000ms)));
    // A part that isn't withheld any more loses its record.
    if (const auto change =
            entries[i].takeDueChange({}, othersOf(i), at(20000ms)))
      CHECK_FALSE(change->Value);
  }
}
