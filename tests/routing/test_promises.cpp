#include "faultmodel.h"

using namespace bergamot::routing::testing;

// Guards against combinations of faults that break a guarantee although each
// class works as specified. FaultModel contains the checks.
TEST_CASE("the guarantees hold under random faults", "[promises]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    FaultModel model(seed);
    model.run(20000);
    CHECK(model.Retried <= model.Sent / 10 + 200);
    // After the faults, requests are answered again at two thirds of the
    // capacity.
    model.endFaults();
    model.run(26000);
    const auto answeredBefore = model.Answered;
    const auto sentBefore = model.Sent;
    model.run(36000);
    INFO("answered " << model.Answered - answeredBefore << " of "
                     << model.Sent - sentBefore);
    CHECK((model.Answered - answeredBefore) * 100 >=
          (model.Sent - sentBefore) * 95);
  }
}
