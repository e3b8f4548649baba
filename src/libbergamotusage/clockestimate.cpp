#include "libbergamotusage/clockestimate.h"

#include <algorithm>

namespace bergamot::usage {

using base::Duration;
using base::TimePoint;
using base::WallTime;

namespace {

/// Entries state their clocks about once a second.
constexpr std::chrono::milliseconds ReadingLifetime{2500};

Duration lead(WallTime clock, TimePoint now) {
  return clock.time_since_epoch() - now.time_since_epoch();
}

} // namespace

void ClockEstimate::setOwnClock(WallTime clock, TimePoint now) {
  OwnLead = lead(clock, now);
  update();
}

void ClockEstimate::setClock(const std::string &entry, WallTime clock,
                             TimePoint now) {
  Clocks[entry] = {lead(clock, now), now + ReadingLifetime};
  update();
}

void ClockEstimate::removeExpired(TimePoint now) {
  std::erase_if(Clocks,
                [&](const auto &it) { return it.second.ExpiresAt <= now; });
  update();
}

WallTime ClockEstimate::at(TimePoint time) const {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch() + MedianLead));
}

std::vector<std::string> ClockEstimate::entries() const {
  std::vector<std::string> names;
  for (const auto &[entry, it] : Clocks)
    names.push_back(entry);
  return names;
}

void ClockEstimate::update() {
  std::vector<Duration> leads{OwnLead};
  for (const auto &[entry, it] : Clocks)
    leads.push_back(it.Lead);
  const auto median =
      leads.begin() + static_cast<std::ptrdiff_t>((leads.size() - 1) / 2);
  std::nth_element(leads.begin(), median, leads.end());
  MedianLead = *median;
}

} // namespace bergamot::usage
