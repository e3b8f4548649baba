#include "libbergamotgateway/loadboard.h"

#include <algorithm>

namespace bergamot::gateway {

void LoadBoard::addOwn(const std::string &target, double work) {
  TargetWork &it = Own[target];
  ++it.Requests;
  it.Work += work;
}

void LoadBoard::removeOwn(const std::string &target, double work) {
  const auto it = Own.find(target);
  if (it == Own.end())
    return;
  if (--it->second.Requests == 0)
    Own.erase(it);
  else
    it->second.Work -= work;
}

void LoadBoard::setReport(const std::string &entry, WorkByTarget work,
                          TimePoint now) {
  Reports[entry] = {std::move(work), now + ReportLife};
}

TargetWork LoadBoard::total(const std::string &target, TimePoint now) const {
  TargetWork sum;
  const auto add = [&](const WorkByTarget &work) {
    const auto it = work.find(target);
    if (it == work.end())
      return;
    sum.Requests += it->second.Requests;
    sum.Work += it->second.Work;
  };
  add(Own);
  for (const auto &[entry, report] : Reports)
    if (report.ExpiresAt > now)
      add(report.Work);
  return sum;
}

unsigned LoadBoard::liveEntries(TimePoint now) const {
  return 1 + static_cast<unsigned>(std::count_if(
                 Reports.begin(), Reports.end(),
                 [&](const auto &it) { return it.second.ExpiresAt > now; }));
}

} // namespace bergamot::gateway
