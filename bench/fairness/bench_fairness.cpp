#include "../benchoutput.h"
#include "../routingmodel.h"

using namespace bergamot::bench;

namespace {

constexpr std::int64_t FromMs = 15000;
constexpr std::int64_t UntilMs = 60000;

struct FairnessResult {
  double OthersP99Ms = 0;
  double OthersGoodput = 0;
  double GreedyGoodput = 0;
};

FairnessResult runOne(bool naive, double factor) {
  ModelSettings settings;
  settings.IsNaive = naive;
  settings.IdempotentPart = 1;
  const double capacity = static_cast<double>(settings.TargetCount) *
                          settings.Slots * 1000 / settings.HoldMs;
  // Ten equal accounts at 70% together; the first sends factor times that.
  for (int i = 0; i < 10; ++i)
    settings.Accounts.push_back({AccountId{std::to_string(i)},
                                 capacity * 0.07 * (i == 0 ? factor : 1), 1});
  RoutingModel model(settings);
  model.run(UntilMs + 20000);
  std::vector<double> latencies;
  double sent = 0;
  double greedySent = 0;
  FairnessResult result;
  for (const auto &it : model.Outcomes) {
    if (it.ArrivedMs < FromMs || it.ArrivedMs >= UntilMs)
      continue;
    const bool good =
        it.Answered && it.EndedMs - it.ArrivedMs <= settings.DeadlineMs;
    (it.Account == 0 ? greedySent : sent) += 1;
    (it.Account == 0 ? result.GreedyGoodput : result.OthersGoodput) += good;
    if (it.Account != 0 && it.Answered)
      latencies.push_back(static_cast<double>(it.EndedMs - it.ArrivedMs));
  }
  result.OthersGoodput /= sent;
  result.GreedyGoodput /= greedySent;
  std::sort(latencies.begin(), latencies.end());
  if (!latencies.empty())
    result.OthersP99Ms = latencies[latencies.size() * 99 / 100];
  return result;
}

} // namespace

int main() {
  printResult("fairness.seed", 1, "seed", std::nullopt, std::nullopt);
  const auto calm = runOne(false, 1);
  const auto calmNaive = runOne(true, 1);
  const auto ours = runOne(false, 10);
  const auto naive = runOne(true, 10);
  printResult("fairness.others_p99.calm", calm.OthersP99Ms, "ms", std::nullopt,
              calmNaive.OthersP99Ms);
  printResult("fairness.others_p99", ours.OthersP99Ms, "ms", std::nullopt,
              naive.OthersP99Ms);
  printResult("fairness.others_goodput", ours.OthersGoodput, "part",
              std::nullopt, naive.OthersGoodput);
  printResult("fairness.greedy_goodput", ours.GreedyGoodput, "part",
              std::nullopt, naive.GreedyGoodput);
}
