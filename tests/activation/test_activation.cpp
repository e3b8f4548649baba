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
                       << settings.SecondCoordinator
                       << ", engines check tokens "
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
  INFO("disabled " << static_cast<int>(disabled) << ", states " << result.States
                   << "\n"
                   << result.Trace);
  CHECK(result.Violation == violation);
}

} // namespace

// Guards against two maps in one step, a confirmed map that is not loaded when
// the switch is due, and a reverted switch, in every interleaving of a small
// group.
TEST_CASE("no interleaving of a change runs two maps in one step",
          "[activation][small]") {
  for (const bool enginesCheckTokens : {true, false}) {
    checkNoViolation(makeSettings(enginesCheckTokens, 0, false));
    checkNoViolation(makeSettings(enginesCheckTokens, 0, true));
    checkNoViolation(makeSettings(enginesCheckTokens, 1, false));
  }
}

// Guards against the same faults when a rank or the step leader is replaced
// while orders of a former coordinator are still in flight.
TEST_CASE("no interleaving with a replaced rank and two coordinators runs two "
          "maps in one step",
          "[activation]") {
  checkNoViolation(makeSettings(false, 1, true));
}

// Guards against the same faults with two replacements, as far as the first
// states in depth-first order reach; the whole state space is too large.
TEST_CASE("two replacements cause no violation in the visited states",
          "[activation]") {
  auto settings = makeSettings(false, 2, false);
  settings.MaxStates = 100'000;
  const auto result = explore(settings);
  INFO(result.Trace);
  CHECK(result.Violation.empty());
  CHECK(result.Switched);
}

// Guards against an explorer that misses the faults it has to find.
TEST_CASE("the explorer finds the violation when a mechanism is disabled",
          "[activation]") {
  const std::string twoMaps = "two maps in one step";
  checkFindsViolation(DisabledMechanism::SwitchAtDecidedStep, 0, twoMaps);
  checkFindsViolation(DisabledMechanism::HashCheck, 1, twoMaps);
  checkFindsViolation(DisabledMechanism::Confirmations, 0,
                      "a confirmed map isn't loaded when the switch is due");
  checkFindsViolation(DisabledMechanism::TokenCheck, 1, twoMaps);
  checkFindsViolation(DisabledMechanism::IncarnationCheck, 2,
                      "an announced switch was reverted");
}
