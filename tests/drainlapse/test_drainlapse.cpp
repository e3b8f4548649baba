// A target is removed while an entry can't reach the store.
#include "libbergamotgateway/targetdirectory.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

TEST_CASE("target removed while the store is unreliable isn't used past the "
          "drain bound") {
  // The store acknowledges the removal at 0 ms, just after an entry has read
  // the record. The entry's next calls to the store fail, and it sees the
  // removal at 461 ms. The drain bound is two seconds.
  const TimePoint acknowledged;
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  TargetRecord record;
  record.Id = "a";
  directory.setTarget(record, acknowledged);
  const RecordRemoval removal{false, acknowledged, acknowledged + 461ms};
  directory.removeTarget("a", removal, acknowledged + 461ms);
  directory.removeExpiredTargets(acknowledged + 2000ms);
  CHECK_FALSE(directory.target("a"));
}
