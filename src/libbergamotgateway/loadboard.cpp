#include "libbergamotgateway/loadboard.h"

#include "libbergamotbase/digest.h"

namespace bergamot::gateway {

TargetKey targetKey(std::string_view target) {
  return static_cast<TargetKey>(base::xxHash64(target));
}

void LoadBoard::addOwn(const std::string &target) { ++Own[target]; }

void LoadBoard::removeOwn(const std::string &target) {
  const auto it = Own.find(target);
  if (it != Own.end() && --it->second == 0)
    Own.erase(it);
}

void LoadBoard::subtract(const RequestCounts &counts) {
  for (const auto &[key, requests] : counts) {
    const auto it = Reported.find(key);
    it->second -= requests;
    if (it->second == 0)
      Reported.erase(it);
  }
}

void LoadBoard::setReport(const std::string &entry, RequestCounts counts,
                          TimePoint now) {
  std::erase_if(counts, [](const auto &it) { return it.second == 0; });
  Report &report = Reports[entry];
  subtract(report.Counts);
  for (const auto &[key, requests] : counts)
    Reported[key] += requests;
  report = {std::move(counts), now + ReportLife};
}

void LoadBoard::removeExpired(TimePoint now) {
  std::erase_if(Reports, [&](const auto &it) {
    if (it.second.ExpiresAt > now)
      return false;
    subtract(it.second.Counts);
    return true;
  });
}

std::uint32_t LoadBoard::total(const std::string &target) const {
  const auto own = Own.find(target);
  const auto reported = Reported.find(targetKey(target));
  return (own == Own.end() ? 0 : own->second) +
         (reported == Reported.end() ? 0 : reported->second);
}

RequestCounts LoadBoard::own() const {
  RequestCounts counts;
  for (const auto &[target, requests] : Own)
    counts.emplace_back(targetKey(target), requests);
  return counts;
}

} // namespace bergamot::gateway
