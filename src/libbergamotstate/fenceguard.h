#ifndef BERGAMOT_LIBBERGAMOTSTATE_FENCEGUARD_H
#define BERGAMOT_LIBBERGAMOTSTATE_FENCEGUARD_H

#include "libbergamotbase/ids.h"

#include <map>
#include <string>

namespace bergamot::state {

/// Result of checking an order.
enum class FenceVerdict {
  Accepted,
  /// A newer acquisition of the lease is known.
  Stale,
  /// The lease stream has not been replayed to its end since the process
  /// started.
  NotReplayed,
};

/// Checks orders in front of a target's engine and rejects those of former
/// lease holders, even if the engine ignores fencing tokens. Nothing is
/// persisted: after a restart, the highest tokens are read from the log.
class FenceGuard {
public:
  /// Sets the token that is in force for a lease after a record of the lease
  /// stream was applied; see LeaseApplyResult.
  void setToken(const std::string &lease, base::FencingToken token);

  /// Records that a read of the lease stream, started after this process, has
  /// reached the end of the stream.
  void setReplayed() { Replayed = true; }

  /// Checks an order, and records its token if it is the highest.
  FenceVerdict checkOrder(const std::string &lease, base::FencingToken token);

  /// Returns the highest token seen for the lease, or 0 if none.
  base::FencingToken highestToken(const std::string &lease) const;

private:
  std::map<std::string, base::FencingToken> HighestTokens;
  bool Replayed = false;
};

} // namespace bergamot::state

#endif
