#include "../benchoutput.h"
#include "../routingmodel.h"

using namespace bergamot::bench;

namespace {

constexpr std::int64_t RestartMs = 20000;
constexpr std::int64_t AgainMs = 40000;
constexpr std::int64_t EndMs = 90000;

struct ColdResult {
  double StartedAbove = 0;
  double SecondsToFull = 0;
  double P99Ms = 0;
};

ModelSettings settingsOf(bool naive) {
  ModelSettings settings;
  settings.IsNaive = naive;
  settings.IdempotentPart = 1;
  const double capacity = static_cast<double>(settings.TargetCount) *
                          settings.Slots * 1000 / settings.HoldMs;
  for (int i = 0; i < 10; ++i)
    settings.Accounts.push_back(
        {AccountId{std::to_string(i)}, capacity * 0.07, 1});
  return settings;
}

ColdResult runOne(bool naive) {
  RoutingModel model(settingsOf(naive));
  model.run(RestartMs);
  model.clearAbove();
  // One back end turns cold twice in a row without warning.
  model.restartBackEnd(0);
  model.run(RestartMs + 1000);
  model.restartBackEnd(0);
  std::int64_t fullMs = 0;
  bool cold = false;
  for (std::int64_t ms = RestartMs + 1000; ms < AgainMs; ms += 50) {
    model.run(ms);
    cold = cold || model.limitOf(0) <= 2;
    if (cold && fullMs == 0 && model.limitOf(0) >= 16)
      fullMs = ms - RestartMs - 1000;
  }
  ColdResult result;
  result.SecondsToFull = static_cast<double>(fullMs) / 1000;
  result.StartedAbove = static_cast<double>(model.StartedAbove);
  model.run(EndMs);
  std::vector<double> latencies;
  for (const auto &it : model.Outcomes)
    if (it.ArrivedMs >= RestartMs && it.ArrivedMs < AgainMs && it.Answered)
      latencies.push_back(static_cast<double>(it.EndedMs - it.ArrivedMs));
  std::sort(latencies.begin(), latencies.end());
  result.P99Ms = latencies[latencies.size() * 99 / 100];
  return result;
}

} // namespace

int main() {
  printResult("cold.seed", 1, "seed", std::nullopt, std::nullopt);
  const auto ours = runOne(false);
  const auto naive = runOne(true);
  printResult("cold.started_above", ours.StartedAbove, "requests", 0,
              naive.StartedAbove);
  // The naive version has no limit of its own, so it has no time to compare.
  printResult("cold.time_to_full", ours.SecondsToFull, "s", std::nullopt,
              std::nullopt);
  printResult("cold.p99", ours.P99Ms, "ms", std::nullopt, naive.P99Ms);
}
