#include "libbergamotgateway/targetexplanation.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bergamot::gateway {

const char *outcomeName(TargetOutcome outcome) {
  switch (outcome) {
  case TargetOutcome::Chosen:
    return "chosen";
  case TargetOutcome::EquallyGood:
    return "equally_good";
  case TargetOutcome::Candidate:
    return "candidate";
  case TargetOutcome::Full:
    return "full";
  case TargetOutcome::LeftToOthers:
    return "left_to_others";
  case TargetOutcome::FailedBefore:
    return "failed_before";
  case TargetOutcome::Excluded:
    return "excluded";
  }
  return "excluded";
}

const char *claimName(SlotClaim claim) {
  switch (claim) {
  case SlotClaim::Own:
    return "own";
  case SlotClaim::Shared:
    return "shared";
  case SlotClaim::None:
    return "none";
  }
  return "none";
}

ChoiceExplanation TargetScheduler::explain(const DispatchTerms &terms,
                                           TimePoint now) const {
  // A decision brings windows and request rates up to date, which may change
  // the next decision by a rounding error, so it is made on a copy.
  TargetScheduler copy(*this);
  return copy.explainDecision(terms, now);
}

ChoiceExplanation TargetScheduler::explainDecision(const DispatchTerms &terms,
                                                   TimePoint now) {
  const Decision decision = decide(terms, now);
  ChoiceExplanation explanation;
  explanation.Slots = decision.Slots;
  explanation.Reports = Loads.reportTimes();

  std::vector<TargetOutcome> outcomes(decision.Options.size(),
                                      TargetOutcome::FailedBefore);
  for (const std::size_t it : decision.OptionIndices)
    outcomes[it] = TargetOutcome::Candidate;
  for (const std::size_t it : equallyGoodCandidates(decision.Candidates)) {
    outcomes[decision.OptionIndices[it]] = explanation.EquallyGood == 0
                                               ? TargetOutcome::Chosen
                                               : TargetOutcome::EquallyGood;
    ++explanation.EquallyGood;
  }

  const auto add = [&](const Option &it, Exclusion excluded,
                       TargetOutcome outcome) {
    const Candidate inputs = candidate(it);
    const bool isFull = inputs.Requests >= inputs.MaxRequests;
    if (excluded == Exclusion::None && isFull)
      outcome = TargetOutcome::Full;
    else if (excluded == Exclusion::None && it.Claim == SlotClaim::None)
      outcome = TargetOutcome::LeftToOthers;
    explanation.Targets.push_back(
        {inputs.Id, it.Target->Record.FailureDomain, inputs.SameFailureDomain,
         outcome, excluded, it.Slots,
         isFull || excluded != Exclusion::None ? SlotClaim::None : it.Claim,
         inputs.Penalty, loadScore(inputs)});
  };
  for (std::size_t i = 0; i < decision.Options.size(); ++i)
    add(decision.Options[i], Exclusion::None, outcomes[i]);
  for (const auto &[id, target] : Directory.targets()) {
    const Exclusion excluded = exclusion(target, terms, now);
    if (excluded != Exclusion::None && excluded != Exclusion::OtherService)
      add(option(target, terms, now), excluded, TargetOutcome::Excluded);
  }
  std::stable_sort(explanation.Targets.begin(), explanation.Targets.end(),
                   [](const auto &a, const auto &b) {
                     return std::tie(a.Outcome, a.Score) <
                            std::tie(b.Outcome, b.Score);
                   });
  return explanation;
}

} // namespace bergamot::gateway
