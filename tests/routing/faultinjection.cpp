#include "faultmodel.h"

namespace bergamot::routing::testing {

namespace {

constexpr std::int64_t MaxNotifyDelayMs = 1400;
constexpr std::int64_t MaxPauseMs = 500;

} // namespace

void FaultModel::endFaults() {
  FaultsEnabled = false;
  setRemovedDomain("");
  for (auto &target : Targets) {
    ++target.EngineIncarnation;
    target.Running.clear();
  }
}

void FaultModel::injectFault() {
  const std::size_t index = randomBelow(Random, Targets.size());
  Target &target = Targets[index];
  Entry &entry = Entries[randomBelow(Random, Entries.size())];
  const auto pause = static_cast<std::int64_t>(randomBelow(Random, MaxPauseMs));
  switch (randomBelow(Random, 6)) {
  case 0: // The target daemon crashes; its engine keeps running.
    ++target.ProcessIncarnation;
    target.LoadSequence = 0;
    startTarget(target);
    break;
  case 1: // The engine restarts, possibly twice in a row.
    target.EngineIncarnation += 1 + randomBelow(Random, 2);
    target.Running.clear();
    break;
  case 2:
    target.PausedUntil = Now + pause;
    break;
  case 3:
    entry.PausedUntil = Now + pause;
    break;
  case 4:
    ++entry.ProcessIncarnation;
    startEntry(entry);
    break;
  default:
    setRemovedDomain(RemovedDomain.empty() ? target.Domain.Value : "");
    break;
  }
}

void FaultModel::setRemovedDomain(const std::string &domain) {
  RemovedDomain = domain;
  RemovedSince = Now;
  const std::uint64_t version = ++RemovedVersion;
  const auto notify = [&](const Action &apply) {
    schedule(
        Now + static_cast<std::int64_t>(randomBelow(Random, MaxNotifyDelayMs)),
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
  // Some entries don't learn of the removal, so the targets must enforce it on
  // their own.
  for (std::size_t i = 0; i < Entries.size(); ++i)
    if (!FaultsEnabled || chance(0.7))
      notify([this, i] {
        Entries[i].Selector->setRemovedDomains(
            {FailureDomainId{RemovedDomain}});
      });
}

} // namespace bergamot::routing::testing
