#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RECENTDURATIONS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RECENTDURATIONS_H

#include "libbergamotbase/timetypes.h"

#include <array>
#include <cstddef>
#include <optional>

namespace bergamot::gateway {

/// How long the last requests of a service took, from their arrival to the end
/// of their response.
class RecentDurations {
public:
  void add(base::Duration duration);
  /// Returns a duration that 95 of 100 recent requests didn't exceed;
  /// std::nullopt if there were too few.
  std::optional<base::Duration> usualMaximum() const;

private:
  static constexpr std::size_t MaxSamples = 64;

  std::array<base::Duration, MaxSamples> Samples{};
  std::size_t SampleCount = 0;
  std::size_t Next = 0;
};

} // namespace bergamot::gateway

#endif
