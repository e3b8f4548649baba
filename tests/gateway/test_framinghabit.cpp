// Whether the responses of a service usually state where they end.
#include "libbergamotgateway/framinghabit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace bergamot::gateway;

TEST_CASE("the habit of a service matches a count of its last responses") {
  std::mt19937 random(11);
  for (const unsigned unframedPercent : {0U, 2U, 50U, 100U}) {
    FramingHabit habit;
    std::vector<bool> all;
    CHECK_FALSE(habit.isUsuallyUnframed());
    for (int i = 0; i < 200; ++i) {
      all.push_back(random() % 100 >= unframedPercent);
      habit.add(all.back());
      const auto n =
          static_cast<std::ptrdiff_t>(std::min<std::size_t>(all.size(), 64));
      const auto unframed = std::count(all.end() - n, all.end(), false);
      CAPTURE(unframedPercent, i);
      CHECK(habit.isUsuallyUnframed() == (n >= 8 && unframed * 2 >= n));
    }
  }
}
