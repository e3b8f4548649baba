#include "../benchoutput.h"
#include "libbergamotrouting/accountlimiter.h"
#include "libbergamotrouting/fairqueue.h"
#include "libbergamotrouting/quotaowner.h"
#include "libbergamotrouting/retrypolicy.h"
#include "libbergamotrouting/subsetplanner.h"
#include "libbergamotrouting/targetselector.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>

using namespace bergamot::bench;
using namespace bergamot::routing;

namespace {

constexpr double BoundNs = 10000;
constexpr std::size_t Rounds = 15;
constexpr std::size_t DecisionsPerRound = 2000;
constexpr std::size_t WaitingRequests = 1000;
const ServiceId Service{"chat"};

TimePoint time(std::int64_t us) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::microseconds(us);
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

// An entry with every target in its subset, which is the worst case.
class EntryModel {
public:
  EntryModel(std::size_t targetCount, std::size_t accountCount)
      : Random(7), Selector({}, 7), Limiter(VmId{"e"}, Incarnation{1}, {}),
        Owner(VmId{"e"}, {}), Queue({}), Retries({}) {
    addTargets(targetCount);
    addAccounts(accountCount);
    for (std::size_t i = 0; i < WaitingRequests; ++i)
      enqueue();
  }

  // One request through all the decisions of an entry.
  void decide() {
    ++Step;
    const TimePoint now = time(static_cast<std::int64_t>(Step));
    const AccountId &account = Accounts[Random() % Accounts.size()];
    benchmark::DoNotOptimize(Limiter.admit(account, 0, false, now));
    Limiter.onRequestFinished(account);
    enqueue();
    benchmark::DoNotOptimize(Queue.removeNext(now));
    Retries.addRequest(account, Service);
    SelectionRequest request;
    const std::uint64_t first = Random() % 4000;
    for (std::uint64_t i = 0; i < Blocks.size(); ++i)
      Blocks[i] = first * 16 + i;
    request.PrefixHashes = Blocks;
    request.Units = 1;
    const auto chosen = Selector.choose(Service, request, now);
    benchmark::DoNotOptimize(chosen.Score);
    Selector.onRequestFinished(chosen.Target);
  }

  // Makes every target report that all of its slots are in use.
  void fill() {
    for (std::size_t i = 0; i < Targets.size(); ++i) {
      TargetLoad load;
      load.DaemonIncarnation = Incarnation{1};
      load.Sequence = 2;
      load.SlotsUsed = load.SlotLimit = 64;
      load.Contended = true;
      load.ReportedAt = time(0);
      Selector.setLoad(Targets[i], load);
    }
  }

  // The selection alone when no target has room.
  void decideFull() {
    benchmark::DoNotOptimize(
        Selector.choose(Service, {}, time(20000000)).Reason);
  }

  // The naive selection scans all targets by name.
  void decideNaive() {
    const TargetId *best = nullptr;
    double highest = -1;
    for (const auto &id : Targets) {
      const double free = Naive.at(id);
      if (free > highest) {
        highest = free;
        best = &id;
      }
    }
    benchmark::DoNotOptimize(best);
    Naive[*best] -= 1e-6;
  }

private:
  void addTargets(std::size_t count) {
    std::vector<SubsetTarget> subset;
    for (std::size_t i = 0; i < count; ++i) {
      Targets.push_back(TargetId{"target-" + std::to_string(i)});
      subset.push_back(
          {Targets.back(), FailureDomainId{"d" + std::to_string(i % 7)}});
      Naive[Targets.back()] = static_cast<double>(Random() % 1000) / 1000;
    }
    Selector.setSubset(Service, subset);
    for (std::size_t i = 0; i < count; ++i) {
      TargetLoad load;
      load.DaemonIncarnation = Incarnation{1};
      load.Sequence = 1;
      load.SlotsUsed = static_cast<std::uint32_t>(Random() % 60);
      load.SlotLimit = 64;
      load.ReportedAt = time(0);
      Selector.setLoad(Targets[i], load);
      Selector.addGrant(Targets[i], Incarnation{1},
                        {GrantId{1}, 4, 1000000, time(10000000)});
      for (std::uint64_t j = 0; j < 64000 / count; ++j)
        Selector.addCacheEvent(Targets[i],
                               {Incarnation{1}, j + 1, CacheEvent::Kind::Stored,
                                i * (64000 / count) + j});
    }
  }

  void addAccounts(std::size_t count) {
    std::unordered_map<AccountId, AccountLimits> limits;
    for (std::size_t i = 0; i < count; ++i) {
      Accounts.push_back(AccountId{"account-" + std::to_string(i)});
      limits[Accounts.back()] = {1000, 1000};
    }
    Limiter.setLimits(limits);
    Limiter.setEntries({VmId{"e"}});
    Owner.setLimits(limits);
    Owner.setEntries({VmId{"e"}}, time(-10000000));
    for (const auto &account : Accounts)
      Limiter.admit(account, 1, false, time(0));
    for (const auto &out : Limiter.takeDueRequests(time(0)))
      if (const auto slice = Owner.answer(out.Request, time(0)))
        Limiter.applyAnswer(*slice, time(0));
  }

  void enqueue() {
    QueuedRequest queued;
    queued.Request = RequestId{std::to_string(++LastId)};
    queued.Account = Accounts[Random() % Accounts.size()];
    queued.Deadline = time(60000000);
    benchmark::DoNotOptimize(
        Queue.add(queued, time(static_cast<std::int64_t>(Step))));
  }

  std::mt19937_64 Random;
  TargetSelector Selector;
  AccountLimiter Limiter;
  QuotaOwner Owner;
  FairQueue Queue;
  RetryPolicy Retries;
  std::vector<TargetId> Targets;
  std::unordered_map<TargetId, double> Naive;
  std::vector<AccountId> Accounts;
  std::array<std::uint64_t, 16> Blocks{};
  std::uint64_t LastId = 0;
  std::uint64_t Step = 0;
};

struct Cost {
  double Ns = 0;
  double NaiveNs = 0;
  double Bytes = 0;
};

template <typename Decide> double medianNs(Decide decide) {
  std::vector<double> rounds;
  for (std::size_t i = 0; i < Rounds; ++i) {
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t j = 0; j < DecisionsPerRound; ++j)
      decide();
    const auto passed = std::chrono::steady_clock::now() - start;
    rounds.push_back(std::chrono::duration<double, std::nano>(passed).count() /
                     DecisionsPerRound);
  }
  std::nth_element(rounds.begin(), rounds.begin() + Rounds / 2, rounds.end());
  return rounds[Rounds / 2];
}

Cost measure(std::size_t targets, std::size_t accounts) {
  const std::size_t before = heapBytes();
  const auto model = std::make_unique<EntryModel>(targets, accounts);
  Cost cost;
  cost.Bytes = static_cast<double>(heapBytes() - before);
  cost.Ns = medianNs([&] { model->decide(); });
  cost.NaiveNs = medianNs([&] { model->decideNaive(); });
  const std::string name = "decisions.targets_" + std::to_string(targets) +
                           ".accounts_" + std::to_string(accounts);
  printResult(name + ".cost", cost.Ns, "ns", BoundNs, cost.NaiveNs);
  printResult(name + ".memory", cost.Bytes, "bytes", std::nullopt,
              std::nullopt);
  model->fill();
  printResult(name + ".cost_all_full", medianNs([&] { model->decideFull(); }),
              "ns", BoundNs, cost.NaiveNs);
  return cost;
}

void measurePlan() {
  std::vector<VmId> entries;
  std::vector<WeightedTarget> targets;
  for (std::size_t i = 0; i < 330; ++i)
    entries.push_back(VmId{"vm-" + std::to_string(i)});
  for (std::size_t i = 0; i < 600; ++i)
    targets.push_back({TargetId{"target-" + std::to_string(i)}, 1});
  const auto start = std::chrono::steady_clock::now();
  const auto plan = SubsetPlanner({}).plan(entries, targets);
  const std::chrono::duration<double, std::milli> passed =
      std::chrono::steady_clock::now() - start;
  benchmark::DoNotOptimize(plan.size());
  printResult("decisions.subset_plan_330x600", passed.count(), "ms",
              std::nullopt, std::nullopt);
}

} // namespace

int main() {
  printResult("decisions.seed", 7, "seed", std::nullopt, std::nullopt);
  std::map<std::pair<std::size_t, std::size_t>, Cost> costs;
  for (const std::size_t targets : {12, 100, 600})
    for (const std::size_t accounts : {10, 1000, 12000})
      costs[{targets, accounts}] = measure(targets, accounts);
  const Cost &largest = costs[{600, 12000}];
  const Cost &fewTargets = costs[{12, 12000}];
  const Cost &fewAccounts = costs[{600, 10}];
  printResult("decisions.slope.cost_per_target",
              (largest.Ns - fewTargets.Ns) / 588, "ns", std::nullopt,
              (largest.NaiveNs - fewTargets.NaiveNs) / 588);
  printResult("decisions.slope.cost_per_account",
              (largest.Ns - fewAccounts.Ns) / 11990, "ns", std::nullopt,
              std::nullopt);
  printResult("decisions.slope.memory_per_target",
              (largest.Bytes - fewTargets.Bytes) / 588, "bytes", std::nullopt,
              std::nullopt);
  printResult("decisions.slope.memory_per_account",
              (largest.Bytes - fewAccounts.Bytes) / 11990, "bytes",
              std::nullopt, std::nullopt);
  measurePlan();
}
