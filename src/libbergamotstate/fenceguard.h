#ifndef BERGAMOT_LIBBERGAMOTSTATE_FENCEGUARD_H
#define BERGAMOT_LIBBERGAMOTSTATE_FENCEGUARD_H

#include "libbergamotbase/ids.h"

#include <map>
#include <string>

namespace bergamot::state {

/// What the guard says about an order.
enum class FenceVerdict {
  Accepted,
  /// A newer holder is known.
  Stale,
  /// The stream of leases has not been replayed to its end since the start.
  NotReplayed,
};

/// Stands in front of a target's engine and refuses orders of former lease
/// holders, also where the engine ignores tokens. Nothing is persisted: after
/// a restart, the highest tokens are learned from the log.
class FenceGuard {
public:
  /// Takes the token in force after a record of the stream of leases; see
  /// LeaseApplied.
  void setToken(const std::string &group, base::FencingToken token);

  /// Tells that a read which started after this process did has reached the
  /// end of the stream.
  void setReplayed() { Replayed = true; }

  /// Decides about an order, and keeps its token if it is the highest.
  FenceVerdict checkOrder(const std::string &group, base::FencingToken token);

  /// Returns the highest token seen for the group, 0 if none.
  base::FencingToken highestToken(const std::string &group) const;

private:
  std::map<std::string, base::FencingToken> HighestTokens;
  bool Replayed = false;
};

} // namespace bergamot::state

#endif
