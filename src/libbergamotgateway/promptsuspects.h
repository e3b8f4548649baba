#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_PROMPTSUSPECTS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_PROMPTSUSPECTS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

/// Identifies a part of the prompts of one service.
using PromptPart = std::uint64_t;
/// Identifies the crash of a target: its id and the start that has ended.
using CrashId = std::uint64_t;

/// Returns the identifiers of a prompt's parts, in their order.
std::vector<PromptPart> promptParts(const std::string &service,
                                    const std::vector<std::string> &partIds);
/// Returns the identifier of the crash of a target. `startedAtMs` is the start
/// time in its record, in Unix milliseconds.
CrashId crashId(const std::string &target, std::int64_t startedAtMs);

/// What is known of a part of prompts that may crash targets. Entries exchange
/// it; times are points on the local monotonic clock.
struct PartEvidence {
  PromptPart Part = 0;
  /// The crashes of targets that had not begun to respond to a request with the
  /// part, and when they were noticed.
  std::map<CrashId, base::TimePoint> Crashes;
  /// When a target last began to respond to a request with the part; unset if
  /// none is known to have done so.
  std::optional<base::TimePoint> BegunAt;
  /// When a request with the part was last sent to find out whether the part is
  /// harmful.
  std::optional<base::TimePoint> ProbedAt;
};

/// What to do with a request, in order of severity.
enum class PromptVerdict {
  /// No part of the prompt is suspected.
  Free,
  /// A part is suspected: only a probe may be sent.
  Held,
  /// A part has crashed targets repeatedly.
  Blocked,
};

/// Returns the name of a verdict as written to the log.
const char *verdictName(PromptVerdict verdict);

/// Finds the parts of prompts that crash each target which begins to respond to
/// them. A target that crashes does so together with requests that have nothing
/// to do with it, and targets also crash for other reasons. Two facts tell the
/// parts apart: a harmful part never gets a response, and it is among the
/// requests without one in each crash that it causes. Therefore a response
/// clears all parts of its prompt, and a part is blocked once it stands in two
/// crashes without a response between them, or in three if there ever was a
/// response. Crashes at the same time count as one, as they have a common
/// cause. A crash that a blocked part explains says nothing about other parts.
///
/// Until then a suspected part is held: one request at a time probes it, not
/// before the crashed target had time to return. A part that has had responses
/// isn't held after a single crash.
class PromptSuspects {
public:
  /// Records that a target has begun to respond to a request.
  void recordBegun(std::span<const PromptPart> parts, base::TimePoint now);
  /// Records a crash that isn't confirmed yet: the connection to a target was
  /// lost while a request with these parts had no response. Parts that never
  /// had a response are held meanwhile.
  void addUnconfirmedCrash(CrashId crash, std::span<const PromptPart> parts);
  /// Confirms or discards an unconfirmed crash.
  void settleCrash(CrashId crash, bool confirmed, base::TimePoint now);
  /// Merges what another entry or an earlier process knew.
  void merge(const PartEvidence &evidence, base::TimePoint now);

  PromptVerdict verdict(std::span<const PromptPart> parts, base::TimePoint now);
  /// Returns whether a request may be sent as a probe, and records the probe.
  bool takeProbe(std::span<const PromptPart> parts, base::TimePoint now);
  /// Returns when the verdict on a request can change at the earliest. It may
  /// be in the past while a probe or a check is in progress.
  base::TimePoint nextDecisionAt(std::span<const PromptPart> parts,
                                 base::TimePoint now) const;

  /// Removes what has expired.
  void removeExpired(base::TimePoint now);
  /// Returns all evidence, to be sent to the other entries.
  std::vector<PartEvidence> evidence() const;
  /// Returns whether the other entries must learn of a change at once, and
  /// resets the flag.
  bool takeUrgentChange();
  /// Returns whether another entry lacks what is known here and hasn't heard it
  /// from a third one meanwhile, and resets the flag.
  bool takePendingAnswer();
  /// Returns the evidence on the parts that are held or blocked.
  std::vector<PartEvidence> withheldParts() const;
  bool isEmpty() const { return Suspects.empty() && Unconfirmed.empty(); }

private:
  using CrashMap = std::map<CrashId, base::TimePoint>;

  struct Suspect {
    CrashMap Crashes;
    std::optional<base::TimePoint> BegunAt;
    std::optional<base::TimePoint> ProbedAt;
    /// When a request with the part last arrived at this entry, or when the
    /// entry first learnt of the suspect.
    base::TimePoint SeenAt;
  };

  Suspect &suspect(PromptPart part, base::TimePoint now);
  std::optional<base::TimePoint> begunAt(PromptPart part) const;
  static CrashMap openCrashes(const Suspect &it);
  static unsigned countSeparate(const CrashMap &crashes);
  using OpenCrashes = std::map<PromptPart, CrashMap>;
  bool hasEqualExplanation(PromptPart part, const OpenCrashes &open) const;
  void updateVerdicts() const;
  PromptVerdict verdictOn(PromptPart part) const;
  bool isBlocked(PromptPart part) const {
    return verdictOn(part) == PromptVerdict::Blocked;
  }
  base::TimePoint probeDueAt(PromptPart part) const;
  static bool isProbing(const Suspect &it, base::TimePoint now);
  bool isProbing(base::TimePoint now) const;
  bool isUnconfirmed(PromptPart part) const;
  void dropOldest();

  std::map<PromptPart, Suspect> Suspects;
  /// The verdicts on Suspects, computed again after a change. A verdict depends
  /// on all suspects, so it isn't computed for each request.
  mutable std::map<PromptPart, PromptVerdict> Verdicts;
  mutable bool VerdictsOutdated = false;
  /// Parts of the requests without a response, by crash.
  std::map<CrashId, std::set<PromptPart>> Unconfirmed;
  /// When parts last got a response. Times older than the last change of
  /// generations are in the second map; those before it are forgotten.
  std::unordered_map<PromptPart, base::TimePoint> BegunTimes;
  std::unordered_map<PromptPart, base::TimePoint> OlderBegunTimes;
  base::TimePoint NextGenerationAt;
  std::set<PromptPart> PendingAnswers;
  bool UrgentChange = false;
};

} // namespace bergamot::gateway

#endif
