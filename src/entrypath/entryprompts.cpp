// The part of Entry that keeps requests from targets which their prompts would
// crash.
#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"
#include "entrypath/exchange.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using adaptertcp::ProbeResult;
using base::TimePoint;
using gateway::PromptVerdict;
using std::chrono::milliseconds;

namespace {

/// Time within which a target that runs accepts a connection.
constexpr milliseconds CrashCheckTimeout{400};
/// Bounds the memory for the bodies of requests that wait for a verdict.
constexpr std::size_t MaxSuspectedRequests = 128;

} // namespace

void Entry::recordPromptBegun(const std::vector<gateway::PromptPart> &parts) {
  Suspects.recordBegun(parts, now());
  onPromptSuspectsChanged();
}

void Entry::checkForCrash(const std::string &target, std::int64_t startedAtMs,
                          const std::string &address,
                          const std::vector<gateway::PromptPart> &parts) {
  if (parts.empty())
    return;
  const gateway::CrashId crash = gateway::crashId(target, startedAtMs);
  Suspects.addUnconfirmedCrash(crash, parts);
  Pool.probe(address, now() + CrashCheckTimeout,
             [this, target, crash](ProbeResult it) {
               const bool refused = it == ProbeResult::Refused;
               if (refused && EventLog.admit("target.crashed", now()))
                 base::logDecision("target.crashed", {{"target", target}});
               Suspects.settleCrash(crash, refused, now());
               onPromptSuspectsChanged();
               reviewSuspectedRequests();
             });
}

void Entry::mergePromptEvidence(
    const std::vector<gateway::PartEvidence> &evidence) {
  for (const auto &it : evidence)
    Suspects.merge(it, now());
  abortBlockedRequests();
  reviewSuspectedRequests();
}

void Entry::onPromptSuspectsChanged() {
  if (!Suspects.takeUrgentChange())
    return;
  for (const auto &it : Suspects.evidence())
    if (EventLog.admit("prompt.evidence", now()))
      base::logDecision("prompt.evidence",
                        {{"part", it.Part},
                         {"crashes", it.Crashes.size()},
                         {"had_response", it.BegunAt.has_value()},
                         {"probed", it.ProbedAt.has_value()},
                         {"verdict", gateway::verdictName(Suspects.verdict(
                                         {&it.Part, 1}, now()))}});
  Metrics.setGauge("bergamot_withheld_prompt_parts", "",
                   static_cast<double>(Suspects.withheldParts().size()));
  if (OnPromptEvidence)
    OnPromptEvidence();
  abortBlockedRequests();
}

void Entry::abortBlockedRequests() {
  if (Suspects.withheldParts().empty())
    return;
  const auto callers = Callers;
  for (const auto &it : callers)
    it->abortBlockedRequest();
}

/// Returns whether a request may be queued. Otherwise it is rejected, or it
/// waits for the verdict on its prompt.
bool Entry::admitPrompt(const std::shared_ptr<Exchange> &exchange) {
  const TimePoint at = now();
  const auto &parts = exchange->promptParts();
  const PromptVerdict verdict = Suspects.verdict(parts, at);
  if (verdict == PromptVerdict::Free)
    return true;
  // A request that was at a crashed target is no probe: it could crash a second
  // one at once.
  if (verdict == PromptVerdict::Held && exchange->failedTargets().empty() &&
      Suspects.takeProbe(parts, at)) {
    exchange->setPromptProbe();
    onPromptSuspectsChanged();
    return true;
  }
  const TimePoint until = waitLimits(*exchange).OnTimeUntil;
  if (verdict == PromptVerdict::Blocked || until <= at ||
      Suspects.nextDecisionAt(parts, at) > until ||
      SuspectedRequests.size() >= MaxSuspectedRequests) {
    exchange->rejectQueued(verdict == PromptVerdict::Blocked
                               ? "harmful_prompt"
                               : "suspected_prompt");
    return false;
  }
  SuspectedRequests.push_back({exchange, until});
  return false;
}

/// Decides again on the requests that wait for a verdict.
void Entry::reviewSuspectedRequests() {
  const TimePoint at = now();
  for (const auto &it : std::exchange(SuspectedRequests, {})) {
    if (!it.Request->isQueued())
      continue;
    if (it.Until <= at)
      it.Request->rejectQueued("suspected_prompt");
    else if (admitPrompt(it.Request))
      addToQueue(it.Request);
  }
}

} // namespace bergamot::entrypath
