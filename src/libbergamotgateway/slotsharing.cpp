#include "libbergamotgateway/slotsharing.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bergamot::gateway {

namespace {

/// Slots are contended if the expected demand exceeds this fraction of the free
/// slots: entries with old views collide long before the last slot is taken.
constexpr double ContendedFraction = 0.5;
/// Fraction of the requests in flight that are replaced by new ones within
/// about two report periods, if streams take a second. The period is
/// proportional to the number of entries, but not below a minimum.
constexpr double MinReplacedFraction = 0.16;
constexpr double ReplacedFractionPerEntry = 0.003;
/// Weight of an entry without requests, relative to a waiting request, if there
/// are more free slots than waiting requests. Without it, a request that
/// arrives there would find no slot until the others have heard of it.
constexpr double IdleEntryWeight = 0.25;
/// Free slots from which on a slot of another entry may be filled. The last one
/// is left to its owner.
constexpr std::uint32_t MinFreeForShared = 2;
/// Free slots that stay free for each request beyond a limit, so that the sum
/// of the limits is kept. With two, slots stayed idle for 1.7 s after entries
/// had been killed.
constexpr double FreeSlotsPerExcess = 1;
/// Targets to withhold for each request beyond the sum of the limits, relative
/// to the requests per target. With ten, too few streams ended without being
/// replaced, and the sum was exceeded for 0.5 s.
constexpr double WithheldPerExcess = 30;
/// Part of its equal share that an entry uses until it hears the others, if it
/// has just started. The others have taken its slots, and with all of the share
/// the sum of the limits was exceeded for 0.35 s.
constexpr double StartingShareFraction = 0.5;

/// Returns the point of a slot in [0, 1). Slots of a target are numbered
/// from 1.
double slotPoint(TargetHash target, std::uint32_t slot) {
  const std::array<std::uint32_t, 2> words = {target, slot};
  const std::uint64_t hash = base::xxHash64(std::string_view(
      reinterpret_cast<const char *>(words.data()), sizeof(words)));
  constexpr int UnusedBits = 11; // A double has 53 bits of precision.
  constexpr double PointCount = 1ULL << (64 - UnusedBits);
  return static_cast<double>(hash >> UnusedBits) / PointCount;
}

bool contains(const SlotInterval &interval, TargetHash target,
              std::uint32_t slot) {
  const double point = slotPoint(target, slot);
  return interval.Begin <= point && point < interval.End;
}

} // namespace

TargetHash waitingKey(const std::string &service, std::uint32_t priority) {
  return targetHash("waiting/" + std::to_string(priority) + "/" + service);
}

void SlotSharing::setEntries(const std::string &self,
                             const std::set<std::string> &heard,
                             const std::set<std::string> &known,
                             bool isStarting) {
  std::set<std::string> others = known;
  others.insert(heard.begin(), heard.end());
  others.erase(self);
  const std::size_t heardCount = heard.size() - heard.count(self);
  IsStarting = isStarting && heardCount < others.size();
  Isolated = 2 * (heardCount + 1) <= others.size() + 1 || IsStarting;
  std::set<std::string> names = Isolated ? others : heard;
  names.insert(self);
  Self = self;
  EntryNames.assign(names.begin(), names.end());
  std::erase_if(Reports,
                [&](const auto &it) { return !names.contains(it.first); });
}

void SlotSharing::setServices(
    const std::map<std::string, std::set<std::uint32_t>> &priorities) {
  PrioritiesByService = priorities;
  WaitingKeys.clear();
  for (const auto &[service, values] : priorities)
    for (const std::uint32_t priority : values)
      WaitingKeys[waitingKey(service, priority)] = {service, priority};
}

void SlotSharing::setReport(const std::string &entry,
                            const RequestCounts &counts) {
  if (WaitingKeys.empty())
    return;
  EntryReport report;
  for (const auto &[key, requests] : counts) {
    const auto it = WaitingKeys.find(key);
    if (it == WaitingKeys.end())
      report.InFlight += requests;
    else
      report.WaitingByService[it->second.Service][it->second.Priority] =
          requests;
  }
  Reports[entry] = std::move(report);
}

const WaitingCounts &
SlotSharing::EntryReport::waiting(const std::string &service) const {
  static const WaitingCounts none;
  const auto it = WaitingByService.find(service);
  return it == WaitingByService.end() ? none : it->second;
}

SlotInterval SlotSharing::interval(const std::string &service,
                                   const SlotTotals &totals) const {
  static const EntryReport noReport;
  const std::size_t entries = EntryNames.size();
  std::vector<const EntryReport *> reports(entries, &noReport);
  std::size_t self = 0;
  // The waiting requests of all entries, the most urgent ones first.
  WaitingCounts total;
  const double replacedFraction =
      std::max(MinReplacedFraction,
               ReplacedFractionPerEntry * static_cast<double>(entries));
  double demand = 0;
  for (std::size_t i = 0; i < entries; ++i) {
    self = EntryNames[i] == Self ? i : self;
    const auto it = Reports.find(EntryNames[i]);
    if (it != Reports.end())
      reports[i] = &it->second;
    demand += replacedFraction * reports[i]->InFlight;
    for (const auto &[priority, requests] : reports[i]->waiting(service)) {
      total[priority] += requests;
      demand += requests;
    }
  }
  const auto freeSlots = static_cast<double>(totals.Free);
  const auto reserved = std::min(
      freeSlots, FreeSlotsPerExcess * static_cast<double>(totals.Excess));
  SlotInterval interval;
  interval.Isolated = Isolated;
  interval.ShareFraction = IsStarting ? StartingShareFraction : 1;
  interval.Contended = Isolated || demand > ContendedFraction * freeSlots;
  std::vector<double> weights(entries, 0);
  double remaining = freeSlots;
  if (!Isolated) {
    for (const auto &[priority, requests] : total) {
      if (requests == 0)
        continue;
      const double served = std::min<double>(requests, remaining);
      for (std::size_t i = 0; i < entries; ++i) {
        const WaitingCounts &waiting = reports[i]->waiting(service);
        const auto it = waiting.find(priority);
        if (it != waiting.end())
          weights[i] += served * it->second / requests;
      }
      remaining -= served;
    }
  }
  // An idle entry leaves no slot unused for which another has a request.
  if (Isolated || remaining > 0 || freeSlots == 0)
    for (std::size_t i = 0; i < entries; ++i)
      weights[i] +=
          IdleEntryWeight +
          (interval.Contended ? 0 : replacedFraction * reports[i]->InFlight);
  double sum = 0;
  double begin = 0;
  for (std::size_t i = 0; i < entries; ++i) {
    begin += i < self ? weights[i] : 0;
    sum += weights[i];
  }
  interval.Begin = begin / sum;
  const double usable =
      Isolated || reserved == 0 ? 1 : 1 - reserved / freeSlots;
  interval.End = (begin + usable * weights[self]) / sum;
  if (!Isolated && totals.Excess > totals.Free)
    interval.Withheld = WithheldPerExcess *
                        static_cast<double>(totals.Excess - totals.Free) /
                        static_cast<double>(totals.Taken);
  return interval;
}

SlotClaim SlotSharing::claim(const SlotInterval &interval,
                             const SlotCounts &counts) {
  const std::uint32_t taken = counts.Others + counts.Own;
  if (taken >= counts.Limit)
    return SlotClaim::None;
  if (interval.Isolated) {
    // The other entries are assumed to use all slots outside the interval.
    std::uint32_t share = 0;
    for (std::uint32_t slot = 1; slot <= counts.Limit; ++slot)
      share += contains(interval, counts.Target, slot) ? 1 : 0;
    return counts.Own < interval.ShareFraction * share ? SlotClaim::Own
                                                       : SlotClaim::None;
  }
  // No slot has the number 0, so the point is independent of the intervals.
  if (slotPoint(counts.Target, 0) < interval.Withheld)
    return SlotClaim::None;
  if (counts.Own < counts.OwnReported)
    return SlotClaim::Own;
  // Other entries may have freed slots since this one took some that it hasn't
  // reported, so each of these has to be in its interval, too.
  bool ownsNext = true;
  for (std::uint32_t slot = counts.Others + counts.OwnReported + 1;
       slot <= taken + 1; ++slot)
    ownsNext = ownsNext && contains(interval, counts.Target, slot);
  if (ownsNext)
    return SlotClaim::Own;
  return !interval.Contended && counts.Limit - taken >= MinFreeForShared
             ? SlotClaim::Shared
             : SlotClaim::None;
}

} // namespace bergamot::gateway
