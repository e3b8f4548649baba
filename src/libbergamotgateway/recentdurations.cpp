#include "libbergamotgateway/recentdurations.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

constexpr std::size_t MinSamples = 20;
constexpr std::size_t UsualPercent = 95;

} // namespace

void RecentDurations::add(base::Duration duration) {
  Samples.at(Next) = duration;
  Next = (Next + 1) % MaxSamples;
  SampleCount = std::min(SampleCount + 1, MaxSamples);
}

std::optional<base::Duration> RecentDurations::usualMaximum() const {
  if (SampleCount < MinSamples)
    return std::nullopt;
  auto sorted = Samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(SampleCount);
  const auto rank =
      static_cast<std::ptrdiff_t>((SampleCount * UsualPercent + 99) / 100 - 1);
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  return sorted.at(static_cast<std::size_t>(rank));
}

} // namespace bergamot::gateway
