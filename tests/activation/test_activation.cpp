#include "activationexplorer.h"

#include <catch2/catch.hpp>

using namespace bergamot::experts;

namespace {

ExplorerSettings makeSettings(bool enginesCheckTokens,
                              std::uint32_t replacements,
                              bool secondCoordinator) {
  ExplorerSettings settings;
  settings.EnginesCheckTokens = enginesCheckTokens;
  settings.Replacements = replacements;
  settings.SecondCoordinator = secondCoordinator;
  settings.StartMidChange = replacements > 0;
  return settings;
}

void checkNoViolation(const ExplorerSettings &settings) {
  const auto result = explore(settings);
  INFO("replacements " << settings.Replacements << ", second coordinator "
                       << settings.SecondCoordinator << ", engines honour "
                       << settings.EnginesCheckTokens << ", states "
                       << result.States << "\n"
                       << result.Trace);
  CHECK(result.Violation.empty());
  CHECK(result.Complete);
  CHECK(result.Switched);
}

void checkFindsViolation(DisabledMechanism disabled, std::uint32_t replacements,
                         const std::string &violation) {
  auto settings = makeSettings(false, replacements, false);
  settings.Disabled = disabled;
  const auto result = explore(settings);
  INFO("removed " << static_cast<int>(disabled) << ", states " << result.States
                  << "\n"
                  << result.Trace);
  CHECK(result.Violation == violation);
}

} // namespace

// Guards against two maps in one step, a confirmed map that is gone when the
// switch is due, and a switch that is undone, in every interleaving of a small
// group.
TEST_CASE("no interleaving of a change gives two maps in one step",
          "[activation][small]") {
  for (const bool enginesCheckTokens : {true, false}) {
    checkNoViolation(makeSettings(enginesCheckTokens, 0, false));
    checkNoViolation(makeSettings(enginesCheckTokens, 0, true));
    checkNoViolation(makeSettings(enginesCheckTokens, 1, false));
  }
}

// Guards against the same with a replaced rank or step leader beside an old
// coordinator.
TEST_CASE("no interleaving with a replaced rank and two coordinators does",
          "[activation]") {
  checkNoViolation(makeSettings(false, 1, true));
}

// Guards against the same with two replacements, as far as the first states in
// depth-first order reach; the whole space is too large.
TEST_CASE("two replacements find no fault in the states visited",
          "[activation]") {
  auto settings = makeSettings(false, 2, false);
  settings.MaxStates = 100'000;
  const auto result = explore(settings);
  INFO(result.Trace);
  CHECK(result.Violation.empty());
  CHECK(result.Switched);
}

// Guards against an explorer that would miss the faults it is written for.
TEST_CASE("the explorer finds the fault when a mechanism is taken out",
          "[activation]") {
  const std::string twoMaps = "two maps in one step";
  checkFindsViolation(DisabledMechanism::SwitchAtDecidedStep, 0, twoMaps);
  checkFindsViolation(DisabledMechanism::HashCheck, 1, twoMaps);
  checkFindsViolation(DisabledMechanism::Confirmations, 0,
                      "a confirmed map isn't loaded when the switch is due");
  checkFindsViolation(DisabledMechanism::TokenCheck, 1, twoMaps);
  checkFindsViolation(DisabledMechanism::IncarnationCheck, 2,
                      "a switch that was announced did not last");
}
