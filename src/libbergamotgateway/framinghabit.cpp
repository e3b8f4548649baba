#include "libbergamotgateway/framinghabit.h"

#include <algorithm>
#include <bit>

namespace bergamot::gateway {

namespace {

constexpr std::size_t MaxCount = 64;
constexpr std::size_t MinCount = 8;

} // namespace

void FramingHabit::add(bool framed) {
  Unframed = Unframed << 1 | (framed ? 0U : 1U);
  Count = std::min(Count + 1, MaxCount);
}

bool FramingHabit::isUsuallyUnframed() const {
  return Count >= MinCount &&
         static_cast<std::size_t>(std::popcount(Unframed)) * 2 >= Count;
}

} // namespace bergamot::gateway
