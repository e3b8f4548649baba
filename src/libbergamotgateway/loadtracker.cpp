#include "libbergamotgateway/loadtracker.h"

#include "libbergamotbase/digest.h"

#include <algorithm>

namespace bergamot::gateway {

TargetHash targetHash(std::string_view target) {
  return static_cast<TargetHash>(base::xxHash64(target));
}

void LoadTracker::addLocalRequest(const std::string &target) {
  ++LocalCounts[target];
}

void LoadTracker::removeLocalRequest(const std::string &target) {
  const auto it = LocalCounts.find(target);
  if (it != LocalCounts.end() && --it->second == 0)
    LocalCounts.erase(it);
}

void LoadTracker::subtract(const RequestCounts &counts) {
  for (const auto &[hash, requests] : counts) {
    const auto it = RemoteTotals.find(hash);
    it->second -= requests;
    if (it->second == 0)
      RemoteTotals.erase(it);
  }
}

void LoadTracker::setReport(const std::string &entry, RequestCounts counts,
                            TimePoint now) {
  std::erase_if(counts, [](const auto &it) { return it.second == 0; });
  Report &report = Reports[entry];
  subtract(report.Counts);
  for (const auto &[hash, requests] : counts)
    RemoteTotals[hash] += requests;
  report = {std::move(counts), now, now + ReportLifetime};
}

void LoadTracker::removeExpired(TimePoint now) {
  std::erase_if(Reports, [&](const auto &it) {
    if (it.second.ExpiresAt > now)
      return false;
    subtract(it.second.Counts);
    return true;
  });
}

void LoadTracker::recordReported() { ReportedCounts = LocalCounts; }

std::uint32_t LoadTracker::total(const std::string &target) const {
  return local(target) + remote(targetHash(target));
}

std::uint32_t LoadTracker::local(const std::string &target) const {
  const auto it = LocalCounts.find(target);
  return it == LocalCounts.end() ? 0 : it->second;
}

std::uint32_t LoadTracker::remote(TargetHash target) const {
  const auto it = RemoteTotals.find(target);
  return it == RemoteTotals.end() ? 0 : it->second;
}

std::uint32_t LoadTracker::reported(const std::string &target) const {
  const auto it = ReportedCounts.find(target);
  return it == ReportedCounts.end() ? 0 : it->second;
}

RequestCounts LoadTracker::localCounts() const {
  RequestCounts counts;
  for (const auto &[target, requests] : LocalCounts)
    counts.emplace_back(targetHash(target), requests);
  return counts;
}

std::set<std::string> LoadTracker::liveEntryNames() const {
  std::set<std::string> names;
  for (const auto &[entry, report] : Reports)
    names.insert(entry);
  return names;
}

ReportTimes LoadTracker::reportTimes() const {
  ReportTimes times;
  times.Reports = Reports.size();
  for (const auto &[entry, report] : Reports) {
    times.Oldest =
        std::min(times.Oldest.value_or(report.ReceivedAt), report.ReceivedAt);
    times.Newest =
        std::max(times.Newest.value_or(report.ReceivedAt), report.ReceivedAt);
  }
  return times;
}

} // namespace bergamot::gateway
