#include "libbergamotgateway/promptrecords.h"

#include "libbergamotbase/digest.h"

#include <algorithm>

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Time that a record takes from its writer to the other entries.
constexpr std::chrono::milliseconds TurnLength{1200};

std::uint64_t turnHash(PromptPart part, const std::string &entry) {
  return base::xxHash64(entry, part);
}

} // namespace

void PromptRecords::setStored(PromptPart part,
                              std::optional<std::size_t> crashes) {
  Turns.erase(part);
  if (crashes)
    StoredCrashes[part] = *crashes;
  else
    StoredCrashes.erase(part);
}

std::optional<PromptRecordChange>
PromptRecords::takeDueChange(const std::vector<PartEvidence> &withheld,
                             const std::vector<std::string> &others,
                             TimePoint now) {
  for (const PartEvidence &it : withheld) {
    const auto stored = StoredCrashes.find(it.Part);
    const bool isStored =
        stored != StoredCrashes.end() && stored->second >= it.Crashes.size();
    if (!isStored && isDue(it.Part, others, now))
      return PromptRecordChange{it.Part, it};
  }
  for (const auto &[part, crashes] : StoredCrashes) {
    const bool isWithheld = std::any_of(
        withheld.begin(), withheld.end(),
        [id = part](const PartEvidence &it) { return it.Part == id; });
    if (!isWithheld && isDue(part, others, now))
      return PromptRecordChange{part, std::nullopt};
  }
  return std::nullopt;
}

/// Returns whether this entry's turn has come. It comes again one round later,
/// in case the change fails.
bool PromptRecords::isDue(PromptPart part,
                          const std::vector<std::string> &others,
                          TimePoint now) {
  const std::uint64_t own = turnHash(part, Self);
  const auto before =
      std::count_if(others.begin(), others.end(), [&](const std::string &it) {
        return turnHash(part, it) < own;
      });
  const auto [turn, added] = Turns.try_emplace(part, now + before * TurnLength);
  if (now < turn->second)
    return false;
  turn->second =
      now + static_cast<std::int64_t>(others.size() + 1) * TurnLength;
  return true;
}

} // namespace bergamot::gateway
