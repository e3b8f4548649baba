#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETEXPLANATION_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETEXPLANATION_H

#include "libbergamotgateway/targetscheduler.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// What a decision does with a target.
enum class TargetOutcome {
  /// The target that the lowest draw selects.
  Chosen,
  /// As good as the chosen one; another draw selects it.
  EquallyGood,
  /// Has a free slot, but others are better.
  Candidate,
  /// Has no free slot.
  Full,
  /// Its next free slot is left to another entry.
  LeftToOthers,
  /// An attempt of the request has failed there, and other targets are left.
  FailedBefore,
  /// See TargetExplanation::Excluded.
  Excluded,
};

/// Returns the name of an outcome for operators.
const char *outcomeName(TargetOutcome outcome);

/// Returns the name of a claim on a slot for operators.
const char *claimName(SlotClaim claim);

/// A target of the service and what the decision knows of it.
struct TargetExplanation {
  std::string Id;
  std::string FailureDomain;
  bool SameFailureDomain = false;
  TargetOutcome Outcome = TargetOutcome::Excluded;
  /// Why the target isn't a candidate; None if it may be one.
  Exclusion Excluded = Exclusion::None;
  SlotCounts Slots;
  /// Whether the next slot is this entry's. None for a full target, and for an
  /// excluded one, whose slots aren't divided.
  SlotClaim Claim = SlotClaim::None;
  double Penalty = 0;
  /// See loadScore().
  double Score = 0;
};

/// A decision on where to send a request, and what it rests on.
struct ChoiceExplanation {
  SlotView Slots;
  /// Ordered by outcome, then by score.
  std::vector<TargetExplanation> Targets;
  /// Targets among which a random draw decides.
  std::size_t EquallyGood = 0;
  ReportTimes Reports;
};

} // namespace bergamot::gateway

#endif
