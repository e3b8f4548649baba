#include "faultmodel.h"

namespace bergamot::routing::testing {

namespace {

constexpr std::int64_t NoticeMs = 1400;
constexpr std::int64_t LongestPauseMs = 500;

} // namespace

void FaultModel::endFaults() {
  Faults = false;
  setRemoved("");
  for (auto &target : Targets) {
    ++target.EngineLife;
    target.Running.clear();
  }
}

void FaultModel::injectFault() {
  const std::size_t index = below(Random, Targets.size());
  Target &target = Targets[index];
  Entry &entry = Entries[below(Random, Entries.size())];
  const auto pause = static_cast<std::int64_t>(below(Random, LongestPauseMs));
  switch (below(Random, 6)) {
  case 0: // The target daemon crashes; its engine goes on.
    ++target.Life;
    target.LoadSequence = 0;
    startTarget(target);
    break;
  case 1: // The engine restarts, perhaps twice in a row.
    target.EngineLife += 1 + below(Random, 2);
    target.Running.clear();
    break;
  case 2:
    target.PausedUntil = Now + pause;
    break;
  case 3:
    entry.PausedUntil = Now + pause;
    break;
  case 4:
    ++entry.Life;
    startEntry(entry);
    break;
  default:
    setRemoved(RemovedDomain.empty() ? target.Domain.Value : "");
    break;
  }
}

void FaultModel::setRemoved(const std::string &domain) {
  RemovedDomain = domain;
  RemovedSince = Now;
  const std::uint64_t version = ++RemovedVersion;
  const auto notify = [&](const Action &apply) {
    at(Now + static_cast<std::int64_t>(below(Random, NoticeMs)),
       [this, version, apply] {
         if (version == RemovedVersion)
           apply();
       });
  };
  for (std::size_t i = 0; i < Targets.size(); ++i)
    notify([this, i] {
      Targets[i].Admission->setDomainRemoved(Targets[i].Domain.Value ==
                                             RemovedDomain);
    });
  // Some entries never hear of it; the targets have to hold on their own.
  for (std::size_t i = 0; i < Entries.size(); ++i)
    if (!Faults || chance(0.7))
      notify([this, i] {
        Entries[i].Selector->setRemovedDomains(
            {FailureDomainId{RemovedDomain}});
      });
}

} // namespace bergamot::routing::testing
