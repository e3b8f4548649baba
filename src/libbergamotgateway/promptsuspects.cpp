#include "libbergamotgateway/promptsuspects.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <utility>

namespace bergamot::gateway {

using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Crashes within this time have a common cause, such as the loss of a failure
/// domain.
constexpr milliseconds MinCrashSeparation{100};
/// Crashes after which a part is blocked, if it never had a response or did.
constexpr unsigned BlockingCrashes = 2;
constexpr unsigned BlockingCrashesAfterResponse = 3;
/// A crashed target takes some seconds to return, and its group is down
/// meanwhile. A probe that crashes another one must not add to that outage.
constexpr seconds ProbeDelay{4};
/// A probe with several suspected parts tells less than one with a single part;
/// it is sent only if there was none for this time.
constexpr seconds JointProbeDelay{8};
/// Time after which a probe without a result is repeated.
constexpr seconds ProbeTimeout{3};
/// Delay of the first new probe of a blocked part; it doubles with each crash.
/// From MaxProbedCrashes on the part isn't probed any more.
constexpr seconds BlockedProbeDelay{60};
constexpr unsigned MaxProbedCrashes = 5;
/// A blocked part is forgotten if no request has had it for this time, and a
/// part that was merely suspected after SuspicionLifetime.
constexpr minutes BlockLifetime{60};
constexpr minutes SuspicionLifetime{10};
/// A cleared part is kept for this time, so that the other entries learn of it.
constexpr seconds ClearedLifetime{10};
/// Times of responses are kept for one to two generations.
constexpr minutes GenerationLength{10};
constexpr std::size_t MaxPartsPerGeneration = 8192;
constexpr std::size_t MaxSuspects = 128;

template <typename Crashes> TimePoint lastTime(const Crashes &crashes) {
  TimePoint last = TimePoint::min();
  for (const auto &[id, at] : crashes)
    last = std::max(last, at);
  return last;
}

} // namespace

std::vector<PromptPart> promptParts(const std::string &service,
                                    const std::vector<std::string> &partIds) {
  std::vector<PromptPart> parts;
  parts.reserve(partIds.size());
  const std::uint64_t seed = base::xxHash64(service);
  for (const auto &it : partIds)
    parts.push_back(base::xxHash64(it, seed));
  return parts;
}

CrashId crashId(const std::string &target, std::int64_t startedAtMs) {
  return base::xxHash64(target, static_cast<std::uint64_t>(startedAtMs));
}

const char *verdictName(PromptVerdict verdict) {
  switch (verdict) {
  case PromptVerdict::Free:
    return "free";
  case PromptVerdict::Held:
    return "held";
  case PromptVerdict::Blocked:
    return "blocked";
  }
  return "";
}

void PromptSuspects::recordBegun(std::span<const PromptPart> parts,
                                 TimePoint now) {
  if (now >= NextGenerationAt || BegunTimes.size() >= MaxPartsPerGeneration) {
    OlderBegunTimes = std::move(BegunTimes);
    BegunTimes.clear();
    NextGenerationAt = now + GenerationLength;
  }
  for (const PromptPart part : parts) {
    BegunTimes[part] = now;
    const auto it = Suspects.find(part);
    if (it == Suspects.end())
      continue;
    const bool wasSuspected = !openCrashes(it->second).empty();
    if (verdictOn(part) != PromptVerdict::Free)
      UrgentChange = true;
    else if (wasSuspected)
      PendingAnswers.insert(part);
    it->second.BegunAt = now;
    VerdictsOutdated = true;
  }
}

void PromptSuspects::addUnconfirmedCrash(CrashId crash,
                                         std::span<const PromptPart> parts) {
  Unconfirmed[crash].insert(parts.begin(), parts.end());
}

void PromptSuspects::settleCrash(CrashId crash, bool confirmed, TimePoint now) {
  const auto unconfirmed = Unconfirmed.extract(crash);
  if (unconfirmed.empty() || !confirmed)
    return;
  for (const PromptPart part : unconfirmed.mapped())
    suspect(part, now).Crashes.try_emplace(crash, now);
  VerdictsOutdated = true;
  UrgentChange = true;
}

void PromptSuspects::merge(const PartEvidence &evidence, TimePoint now) {
  if (evidence.Crashes.empty() && !Suspects.contains(evidence.Part))
    return;
  Suspect &it = suspect(evidence.Part, now);
  const auto begunBefore = it.BegunAt;
  bool changed = false;
  for (const auto &[crash, at] : evidence.Crashes) {
    const auto [known, added] = it.Crashes.try_emplace(crash, at);
    changed = changed || added || at < known->second;
    known->second = std::min(known->second, at);
  }
  const bool knewLater =
      it.BegunAt && (!evidence.BegunAt || *evidence.BegunAt < *it.BegunAt);
  const TimePoint lastCrashAt = lastTime(evidence.Crashes);
  const bool lacksResponse =
      knewLater && (!evidence.BegunAt || (*evidence.BegunAt <= lastCrashAt &&
                                          *it.BegunAt > lastCrashAt));
  if (lacksResponse)
    PendingAnswers.insert(evidence.Part);
  else
    PendingAnswers.erase(evidence.Part);
  if (evidence.BegunAt)
    it.BegunAt =
        std::max(it.BegunAt.value_or(*evidence.BegunAt), *evidence.BegunAt);
  if (changed || it.BegunAt != begunBefore)
    VerdictsOutdated = true;
  if (evidence.ProbedAt)
    it.ProbedAt = std::max(it.ProbedAt.value_or(*evidence.ProbedAt),
                           std::min(*evidence.ProbedAt, now));
}

PromptVerdict PromptSuspects::verdict(std::span<const PromptPart> parts,
                                      TimePoint now) {
  PromptVerdict worst = PromptVerdict::Free;
  if (isEmpty())
    return worst;
  for (const PromptPart part : parts) {
    PromptVerdict it = verdictOn(part);
    if (it != PromptVerdict::Free)
      Suspects.at(part).SeenAt = now;
    else if (isUnconfirmed(part))
      it = PromptVerdict::Held;
    // A blocked part is probed again after a while.
    if (it == PromptVerdict::Blocked && now >= probeDueAt(part))
      it = PromptVerdict::Held;
    worst = std::max(worst, it);
  }
  return worst;
}

bool PromptSuspects::takeProbe(std::span<const PromptPart> parts,
                               TimePoint now) {
  if (isProbing(now))
    return false;
  std::set<PromptPart> probed;
  for (const PromptPart part : parts) {
    if (isUnconfirmed(part))
      return false;
    if (verdictOn(part) == PromptVerdict::Free)
      continue;
    if (now < probeDueAt(part))
      return false;
    probed.insert(part);
  }
  if (probed.size() > 1)
    for (const PromptPart part : probed)
      if (now < lastTime(Suspects.at(part).Crashes) + JointProbeDelay)
        return false;
  for (const PromptPart part : probed)
    Suspects.at(part).ProbedAt = now;
  UrgentChange = UrgentChange || !probed.empty();
  return true;
}

TimePoint PromptSuspects::nextDecisionAt(std::span<const PromptPart> parts,
                                         TimePoint now) const {
  TimePoint at;
  for (const PromptPart part : parts) {
    const auto it = Suspects.find(part);
    if (it == Suspects.end() || verdictOn(part) == PromptVerdict::Free)
      continue;
    if (!isProbing(it->second, now))
      at = std::max(at, probeDueAt(part));
  }
  return at;
}

void PromptSuspects::removeExpired(TimePoint now) {
  updateVerdicts();
  const auto removed = std::erase_if(Suspects, [&](const auto &entry) {
    const auto &[part, it] = entry;
    const TimePoint lastCrashAt = lastTime(it.Crashes);
    if (openCrashes(it).empty())
      return now >= std::max(lastCrashAt, it.BegunAt.value_or(lastCrashAt)) +
                        ClearedLifetime;
    if (isBlocked(part))
      return now >= std::max(lastCrashAt, it.SeenAt) + BlockLifetime;
    return now >= lastCrashAt + SuspicionLifetime;
  });
  VerdictsOutdated = VerdictsOutdated || removed > 0;
}

std::vector<PartEvidence> PromptSuspects::evidence() const {
  std::vector<PartEvidence> all;
  for (const auto &[part, it] : Suspects)
    all.push_back({part, it.Crashes, it.BegunAt, it.ProbedAt});
  return all;
}

bool PromptSuspects::takeUrgentChange() {
  return std::exchange(UrgentChange, false);
}

bool PromptSuspects::takePendingAnswer() {
  return !std::exchange(PendingAnswers, {}).empty();
}

std::vector<PartEvidence> PromptSuspects::withheldParts() const {
  std::vector<PartEvidence> withheld = evidence();
  std::erase_if(withheld, [this](const PartEvidence &it) {
    return verdictOn(it.Part) == PromptVerdict::Free;
  });
  return withheld;
}

PromptSuspects::Suspect &PromptSuspects::suspect(PromptPart part,
                                                 TimePoint now) {
  const auto it = Suspects.find(part);
  if (it != Suspects.end())
    return it->second;
  if (Suspects.size() >= MaxSuspects)
    dropOldest();
  Suspect &added = Suspects[part];
  added.BegunAt = begunAt(part);
  added.SeenAt = now;
  return added;
}

/// Removes the suspect whose last crash is the oldest, a blocked one only if
/// there is no other.
void PromptSuspects::dropOldest() {
  const auto oldest = std::min_element(
      Suspects.begin(), Suspects.end(), [this](const auto &a, const auto &b) {
        return std::pair(isBlocked(a.first), lastTime(a.second.Crashes)) <
               std::pair(isBlocked(b.first), lastTime(b.second.Crashes));
      });
  Suspects.erase(oldest);
  VerdictsOutdated = true;
}

std::optional<TimePoint> PromptSuspects::begunAt(PromptPart part) const {
  if (const auto it = BegunTimes.find(part); it != BegunTimes.end())
    return it->second;
  if (const auto it = OlderBegunTimes.find(part); it != OlderBegunTimes.end())
    return it->second;
  return std::nullopt;
}

/// Returns the crashes since the last response.
PromptSuspects::CrashMap PromptSuspects::openCrashes(const Suspect &it) {
  CrashMap open = it.Crashes;
  if (it.BegunAt)
    std::erase_if(
        open, [&](const auto &crash) { return crash.second <= *it.BegunAt; });
  return open;
}

/// Counts crashes; those at the same time count as one.
unsigned PromptSuspects::countSeparate(const CrashMap &crashes) {
  std::vector<TimePoint> times;
  for (const auto &[id, at] : crashes)
    times.push_back(at);
  std::sort(times.begin(), times.end());
  unsigned count = 0;
  std::optional<TimePoint> last;
  for (const TimePoint at : times) {
    if (last && at < *last + MinCrashSeparation)
      continue;
    ++count;
    last = at;
  }
  return count;
}

/// Returns whether another part that is at least as suspect stands in all
/// crashes of this one.
bool PromptSuspects::hasEqualExplanation(PromptPart part,
                                         const OpenCrashes &open) const {
  const CrashMap &own = open.at(part);
  const bool hadResponse = Suspects.at(part).BegunAt.has_value();
  return std::any_of(open.begin(), open.end(), [&](const auto &other) {
    const CrashMap &crashes = other.second;
    if (other.first == part || crashes.size() < own.size() ||
        (Suspects.at(other.first).BegunAt && !hadResponse))
      return false;
    return std::all_of(own.begin(), own.end(), [&](const auto &crash) {
      return crashes.contains(crash.first);
    });
  });
}

void PromptSuspects::updateVerdicts() const {
  if (!std::exchange(VerdictsOutdated, false))
    return;
  Verdicts.clear();
  OpenCrashes open;
  for (const auto &[part, it] : Suspects)
    open[part] = openCrashes(it);
  std::set<CrashId> explained;
  for (const auto &[part, it] : Suspects) {
    const unsigned blockingCrashes =
        it.BegunAt ? BlockingCrashesAfterResponse : BlockingCrashes;
    if (countSeparate(open[part]) < blockingCrashes ||
        hasEqualExplanation(part, open))
      continue;
    Verdicts[part] = PromptVerdict::Blocked;
    for (const auto &[crash, at] : it.Crashes)
      explained.insert(crash);
  }
  for (const auto &[part, it] : Suspects) {
    CrashMap &unexplained = open[part];
    std::erase_if(unexplained, [&](const auto &crash) {
      return explained.contains(crash.first);
    });
    const unsigned maxFree = it.BegunAt ? 1 : 0;
    Verdicts.try_emplace(part, countSeparate(unexplained) > maxFree
                                   ? PromptVerdict::Held
                                   : PromptVerdict::Free);
  }
}

PromptVerdict PromptSuspects::verdictOn(PromptPart part) const {
  updateVerdicts();
  const auto it = Verdicts.find(part);
  return it == Verdicts.end() ? PromptVerdict::Free : it->second;
}

/// Returns when the next probe of a part that isn't free may be sent.
TimePoint PromptSuspects::probeDueAt(PromptPart part) const {
  const Suspect &it = Suspects.at(part);
  const TimePoint lastCrashAt = lastTime(it.Crashes);
  TimePoint due = lastCrashAt + ProbeDelay;
  if (isBlocked(part)) {
    const unsigned crashes = countSeparate(openCrashes(it));
    if (crashes >= MaxProbedCrashes)
      return TimePoint::max();
    due = lastCrashAt + BlockedProbeDelay * (1U << (crashes - BlockingCrashes));
  }
  return it.ProbedAt ? std::max(due, *it.ProbedAt + ProbeTimeout) : due;
}

/// Returns whether the result of the part's last probe is still open.
bool PromptSuspects::isProbing(const Suspect &it, TimePoint now) {
  return it.ProbedAt && now < *it.ProbedAt + ProbeTimeout &&
         lastTime(it.Crashes) < *it.ProbedAt &&
         it.BegunAt.value_or(TimePoint::min()) < *it.ProbedAt;
}

/// Returns whether any probe's result is open. Two probes at a time would stand
/// in each other's crash.
bool PromptSuspects::isProbing(TimePoint now) const {
  return std::any_of(Suspects.begin(), Suspects.end(),
                     [&](const auto &it) { return isProbing(it.second, now); });
}

bool PromptSuspects::isUnconfirmed(PromptPart part) const {
  return !begunAt(part) &&
         std::any_of(Unconfirmed.begin(), Unconfirmed.end(),
                     [&](const auto &it) { return it.second.contains(part); });
}

} // namespace bergamot::gateway
