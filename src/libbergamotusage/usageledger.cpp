#include "libbergamotusage/usageledger.h"

#include <algorithm>

namespace bergamot::usage {

using base::WallTime;
using std::chrono::milliseconds;

UsageLedger::UsageLedger(UsageSource own, const LedgerSettings &settings)
    : Own(std::move(own)), Settings(settings) {}

void UsageLedger::addRequest(const std::string &account, WallTime begunAt) {
  const WindowNumber window =
      std::max(windowAt(begunAt, Settings.WindowLength), FirstOpenWindow);
  SourceUsage &it = Windows[window][Own];
  it.Usage.Window = window;
  ++it.Usage.Counts[account];
}

void UsageLedger::advance(WallTime now) {
  CurrentWindow = windowAt(now, Settings.WindowLength);
  Windows[CurrentWindow][Own].Usage.Window = CurrentWindow;
  FirstOpenWindow =
      std::max(FirstOpenWindow,
               windowAt(now - Settings.SettleTime, Settings.WindowLength));
  for (auto &[window, sources] : Windows) {
    const auto own = sources.find(Own);
    if (window < FirstOpenWindow && own != sources.end())
      own->second.FinalTotal = totalRequests(own->second.Usage.Counts);
  }
  std::erase_if(Windows, [&](const auto &it) {
    return it.first + Settings.RetainedWindows < CurrentWindow;
  });
}

void UsageLedger::merge(const UsageSource &source, const SourceUsage &it) {
  const WindowNumber window = it.Usage.Window;
  if (source == Own || window > CurrentWindow + 1 ||
      window + Settings.RetainedWindows < CurrentWindow)
    return;
  SourceUsage &known = Windows[window][source];
  known.Usage.Window = window;
  if (it.FinalTotal)
    known.FinalTotal = it.FinalTotal;
  for (const auto &[account, requests] : it.Usage.Counts) {
    std::uint64_t &count = known.Usage.Counts[account];
    count = std::max(count, requests);
  }
}

std::vector<SourceUsage> UsageLedger::ownUsage(WindowNumber window) const {
  std::vector<SourceUsage> usage;
  for (auto it = Windows.upper_bound(window); it != Windows.end(); ++it) {
    const auto own = it->second.find(Own);
    if (own != it->second.end())
      usage.push_back(own->second);
  }
  return usage;
}

AccountCounts UsageLedger::total(WindowNumber window) const {
  AccountCounts total;
  const auto sources = Windows.find(window);
  if (sources == Windows.end())
    return total;
  for (const auto &[source, it] : sources->second)
    for (const auto &[account, requests] : it.Usage.Counts)
      total[account] += requests;
  return total;
}

std::map<std::string, std::uint64_t>
UsageLedger::totalByEntry(WindowNumber window) const {
  std::map<std::string, std::uint64_t> totals;
  const auto sources = Windows.find(window);
  if (sources == Windows.end())
    return totals;
  for (const auto &[source, it] : sources->second)
    totals[source.Entry] += totalRequests(it.Usage.Counts);
  return totals;
}

bool UsageLedger::hasOpenSources(WindowNumber window) const {
  const auto sources = Windows.find(window);
  if (sources != Windows.end() &&
      std::any_of(sources->second.begin(), sources->second.end(),
                  [](const auto &it) { return !it.second.isFinal(); }))
    return true;
  const auto previous = Windows.find(window - 1);
  if (previous == Windows.end())
    return false;
  return std::any_of(
      previous->second.begin(), previous->second.end(), [&](const auto &it) {
        return it.second.FinalTotal && (sources == Windows.end() ||
                                        !sources->second.contains(it.first));
      });
}

std::vector<WindowUsage> UsageLedger::completeWindows(WindowNumber window,
                                                      WallTime now) const {
  std::vector<WindowUsage> complete;
  for (auto it = Windows.upper_bound(window); it != Windows.end(); ++it) {
    const WallTime end = windowEnd(it->first, Settings.WindowLength);
    const bool settled = now >= end + Settings.SettleTime;
    const bool waited = now >= end + Settings.Patience;
    if (!settled || (!waited && hasOpenSources(it->first)))
      break;
    complete.push_back({it->first, total(it->first)});
  }
  return complete;
}

WindowNumber UsageLedger::openWindow(WindowNumber window, WallTime now,
                                     milliseconds delay) const {
  WindowNumber open = 0;
  for (auto it = Windows.upper_bound(window); it != Windows.end(); ++it)
    if (now >= windowEnd(it->first, Settings.WindowLength) + delay &&
        hasOpenSources(it->first))
      open = it->first;
  return open;
}

} // namespace bergamot::usage
