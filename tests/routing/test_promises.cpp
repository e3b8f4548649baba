#include "faultmodel.h"

using namespace bergamot::routing::testing;

// Guards against combinations of faults that break a promise although each
// class keeps its own rules. The checks are in the model.
TEST_CASE("the promises hold under random faults", "[promises]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    FaultModel model(seed);
    model.run(20000);
    CHECK(model.Repeated <= model.Sent / 10 + 200);
    // Service returns at two thirds of the capacity.
    model.endFaults();
    model.run(26000);
    const auto answered = model.Answered;
    const auto before = model.Sent;
    model.run(36000);
    INFO("answered " << model.Answered - answered << " of "
                     << model.Sent - before);
    CHECK((model.Answered - answered) * 100 >= (model.Sent - before) * 95);
  }
}
