#include "faultmodel.h"

using namespace bergamot::routing::testing;

// Guards against combinations of faults that break a promise although each
// class keeps its own rules. The checks are in the model.
TEST_CASE("the promises hold under random faults", "[promises]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    FaultModel model(seed);
    model.run(20000, true);
    const auto sent = model.Sent;
    const auto repeated = model.Repeated;
    CHECK(repeated <= sent / 10 + 200);
    // Without faults, service returns: the slots whose outcome is unknown stay
    // reserved, so the bound is not all requests.
    model.run(26000, false);
    const auto answered = model.Answered;
    const auto before = model.Sent;
    model.run(36000, false);
    INFO("answered " << model.Answered - answered << " of "
                     << model.Sent - before);
    CHECK((model.Answered - answered) * 10 >= (model.Sent - before) * 5);
  }
}
