#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_PROMPTRECORDS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_PROMPTRECORDS_H

#include "libbergamotgateway/promptsuspects.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// A change of the records of withheld parts: a value to write, or a record to
/// remove.
struct PromptRecordChange {
  PromptPart Part = 0;
  std::optional<PartEvidence> Value;
};

/// Decides which entry writes the records of withheld parts to the store, from
/// which entries read them after a restart. All entries know the withheld
/// parts, and each record needs one writer: the entries take turns in an order
/// that differs by part, and one whose turn comes finds the record written
/// unless those before it have failed.
class PromptRecords {
public:
  explicit PromptRecords(std::string self) : Self(std::move(self)) {}

  /// Records how many crashes the store has for a part; nullopt after a
  /// removal.
  void setStored(PromptPart part, std::optional<std::size_t> crashes);
  /// Returns a change that this entry has to make now. `withheld` are the parts
  /// that are held or blocked, and `others` the names of the other entries.
  std::optional<PromptRecordChange>
  takeDueChange(const std::vector<PartEvidence> &withheld,
                const std::vector<std::string> &others, base::TimePoint now);

private:
  bool isDue(PromptPart part, const std::vector<std::string> &others,
             base::TimePoint now);

  std::string Self;
  std::map<PromptPart, std::size_t> StoredCrashes;
  /// When this entry's turn to change a record comes.
  std::map<PromptPart, base::TimePoint> Turns;
};

} // namespace bergamot::gateway

#endif
