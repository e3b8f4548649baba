#ifndef BERGAMOT_SIDECAR_COUNTDELTATRACKER_H
#define BERGAMOT_SIDECAR_COUNTDELTATRACKER_H

#include "libbergamotbase/timetypes.h"
#include "sidecar/rankclient.h"

#include <map>

namespace bergamot::sidecar {

/// Turns an engine's totals into what was added since each coordinator last
/// asked: the differences take an eighth of the bytes, and a group of 64 ranks
/// would fill the links of its sidecars with totals.
class CountWindow {
public:
  /// Returns what was added since the coordinator beside rank `caller` last
  /// asked; empty at its first call, after a new epoch or restart of the
  /// engine, and after a pause so long that popularity may have changed in it.
  AddedCounts added(std::uint32_t caller, RankCounts totals,
                    base::TimePoint now);

private:
  struct Answer {
    RankCounts Totals;
    base::TimePoint At;
  };

  std::map<std::uint32_t, Answer> Last;
};

/// Adds counts of another rank to a sum. Counts of another size are ignored.
void addCounts(AddedCounts &sum, const AddedCounts &more);

} // namespace bergamot::sidecar

#endif
