// A target is removed shortly after an outage of the store. Listed in
// KNOWN-RED.txt.
#include "libbergamotgateway/targetdirectory.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

TEST_CASE("target removed while the store is unreliable isn't used past the "
          "drain bound") {
  // The store acknowledges the removal at 0 ms. An entry whose calls to the
  // store have just failed sees it at 461 ms. The drain bound is two seconds.
  const TimePoint acknowledged;
  TargetDirectory directory(2000ms);
  TargetRecord record;
  record.Id = "a";
  directory.setTarget(record, acknowledged);
  directory.removeTarget("a", false, acknowledged + 461ms);
  directory.removeExpiredTargets(acknowledged + 2000ms);
  CHECK_FALSE(directory.target("a"));
}
