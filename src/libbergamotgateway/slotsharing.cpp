#include "libbergamotgateway/slotsharing.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bergamot::gateway {

namespace {

/// Slots are contended if the waiting requests exceed this fraction of the free
/// slots. Until the next reports, about as many requests arrive as wait now,
/// and entries collide long before the last slot is taken.
constexpr double ContendedFraction = 0.2;
/// Weight of an entry at which nothing waits, relative to a waiting request.
/// Without it, a request that arrives there would find no slot until the others
/// have heard of it.
constexpr double IdleEntryWeight = 0.5;
/// Free slots from which on a slot of another entry may be filled. The last one
/// is left to its owner.
constexpr std::uint32_t MinFreeForShared = 2;
/// Part of its equal share of the slots that an isolated entry uses. The demand
/// of a single entry varies more than that of all; with no more than the equal
/// share, entries that were partitioned from each other rejected requests while
/// slots were free.
constexpr double IsolatedShareFraction = 1.5;

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
                             const std::set<std::string> &known) {
  std::set<std::string> others = known;
  others.insert(heard.begin(), heard.end());
  others.erase(self);
  const std::size_t heardCount = heard.size() - heard.count(self);
  Isolated = 2 * (heardCount + 1) <= others.size() + 1;
  std::set<std::string> names = Isolated ? others : heard;
  names.insert(self);
  Self = self;
  EntryNames.assign(names.begin(), names.end());
  std::erase_if(WaitingByEntry,
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
  WaitingByService waiting;
  for (const auto &[key, requests] : counts) {
    const auto it = WaitingKeys.find(key);
    if (it != WaitingKeys.end())
      waiting[it->second.Service][it->second.Priority] = requests;
  }
  WaitingByEntry[entry] = std::move(waiting);
}

const WaitingCounts *SlotSharing::waiting(const std::string &entry,
                                          const std::string &service) const {
  const auto byEntry = WaitingByEntry.find(entry);
  if (byEntry == WaitingByEntry.end())
    return nullptr;
  const auto it = byEntry->second.find(service);
  return it == byEntry->second.end() ? nullptr : &it->second;
}

SlotInterval SlotSharing::interval(const std::string &service,
                                   const SlotTotals &slots,
                                   const WaitingCounts &own) const {
  const std::size_t entries = EntryNames.size();
  std::vector<const WaitingCounts *> byEntry(entries);
  std::size_t self = 0;
  // The waiting requests of all entries, the most urgent ones first.
  WaitingCounts total;
  double totalWaiting = 0;
  for (std::size_t i = 0; i < entries; ++i) {
    const bool isSelf = EntryNames[i] == Self;
    self = isSelf ? i : self;
    byEntry[i] = isSelf ? &own : waiting(EntryNames[i], service);
    if (!byEntry[i])
      continue;
    for (const auto &[priority, requests] : *byEntry[i]) {
      total[priority] += requests;
      totalWaiting += requests;
    }
  }
  SlotInterval interval;
  interval.Isolated = Isolated;
  interval.Contended =
      Isolated ||
      totalWaiting > ContendedFraction * static_cast<double>(slots.Free);
  std::vector<double> weights(entries, IdleEntryWeight);
  if (interval.Contended && !Isolated) {
    double remaining = static_cast<double>(slots.Free);
    for (const auto &[priority, requests] : total) {
      if (requests == 0)
        continue;
      const double served = std::min<double>(requests, remaining);
      for (std::size_t i = 0; i < entries; ++i) {
        if (!byEntry[i])
          continue;
        const auto it = byEntry[i]->find(priority);
        if (it != byEntry[i]->end())
          weights[i] += served * it->second / requests;
      }
      remaining -= served;
    }
  }
  double sum = 0;
  double begin = 0;
  for (std::size_t i = 0; i < entries; ++i) {
    begin += i < self ? weights[i] : 0;
    sum += weights[i];
  }
  interval.Begin = begin / sum;
  interval.End = (begin + weights[self]) / sum;
  interval.Exhausted = Isolated && static_cast<double>(slots.Own) >=
                                       IsolatedShareFraction *
                                           static_cast<double>(slots.Limit) /
                                           static_cast<double>(entries);
  return interval;
}

SlotClaim SlotSharing::claim(const SlotInterval &interval,
                             const SlotCounts &counts) {
  const std::uint32_t taken = counts.Others + counts.Own;
  if (taken >= counts.Limit)
    return SlotClaim::None;
  if (counts.Own < counts.OwnReported)
    return SlotClaim::Own;
  if (interval.Isolated)
    return interval.Exhausted ? SlotClaim::None : SlotClaim::Own;
  if (contains(interval, counts.Target, taken + 1))
    return SlotClaim::Own;
  return !interval.Contended && counts.Limit - taken >= MinFreeForShared
             ? SlotClaim::Shared
             : SlotClaim::None;
}

} // namespace bergamot::gateway
