#include "activationexplorer.h"

#include <catch2/catch.hpp>

using namespace bergamot::experts;

namespace {

ExplorerSettings scenario(bool honour, std::uint32_t replacements,
                          bool secondCoordinator) {
  ExplorerSettings settings;
  settings.EnginesHonourTokens = honour;
  settings.Replacements = replacements;
  settings.SecondCoordinator = secondCoordinator;
  settings.MidChange = replacements > 0;
  return settings;
}

void checkSound(const ExplorerSettings &settings) {
  const auto result = explore(settings);
  INFO("replacements " << settings.Replacements << ", second coordinator "
                       << settings.SecondCoordinator << ", engines honour "
                       << settings.EnginesHonourTokens << ", states "
                       << result.States << "\n"
                       << result.Path);
  CHECK(result.Fault.empty());
  CHECK(result.Complete);
  CHECK(result.Switched);
}

void checkFaulty(Removed removed, std::uint32_t replacements,
                 const std::string &fault) {
  auto settings = scenario(false, replacements, false);
  settings.Without = removed;
  const auto result = explore(settings);
  INFO("removed " << static_cast<int>(removed) << ", states " << result.States
                  << "\n"
                  << result.Path);
  CHECK(result.Fault == fault);
}

} // namespace

// Guards against two maps in one step, a confirmed map that is gone when the
// switch is due, and a switch that is undone, in every interleaving of a small
// group.
TEST_CASE("no interleaving of a change gives two maps in one step",
          "[activation][small]") {
  for (const bool honour : {true, false}) {
    checkSound(scenario(honour, 0, false));
    checkSound(scenario(honour, 0, true));
    checkSound(scenario(honour, 1, false));
  }
}

// Guards against the same with a replaced rank or step leader beside an old
// coordinator.
TEST_CASE("no interleaving with a replaced rank and two coordinators does",
          "[activation]") {
  checkSound(scenario(false, 1, true));
}

// Guards against the same with two replacements, as far as the first states in
// depth-first order reach; the whole space is too large.
TEST_CASE("two replacements find no fault in the states visited",
          "[activation]") {
  auto settings = scenario(false, 2, false);
  settings.MaxStates = 100'000;
  const auto result = explore(settings);
  INFO(result.Path);
  CHECK(result.Fault.empty());
  CHECK(result.Switched);
}

// Guards against an explorer that would miss the faults it is written for.
TEST_CASE("the explorer finds the fault when a mechanism is taken out",
          "[activation]") {
  const std::string twoMaps = "two maps in one step";
  checkFaulty(Removed::SwitchAtDecidedStep, 0, twoMaps);
  checkFaulty(Removed::HashCheck, 1, twoMaps);
  checkFaulty(Removed::Confirmations, 0,
              "a confirmed map isn't loaded when the switch is due");
  checkFaulty(Removed::TokenGuard, 1, twoMaps);
  checkFaulty(Removed::LifeInJoinQuery, 2,
              "a switch that was announced did not last");
}
