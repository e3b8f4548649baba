#include "../benchoutput.h"
#include "../routingmodel.h"

using namespace bergamot::bench;

namespace {

constexpr std::int64_t LeaveMs = 20000;
constexpr std::int64_t ReturnMs = 50000;
constexpr std::int64_t EndMs = 90000;
constexpr double Load = 0.7;

struct DomainResult {
  double InTimePart = 0;
  double WorstWindowPart = 1;
  double SecondsUntilNone = 0;
  double TargetsAbove = 0;
  double DoubledOrLost = 0;
  double Unknown = 0;
};

ModelSettings settingsOf(bool naive, std::size_t targets, std::uint32_t slots,
                         double holdMs, double idempotentPart) {
  ModelSettings settings;
  settings.IsNaive = naive;
  settings.TargetCount = targets;
  settings.Slots = slots;
  settings.HoldMs = holdMs;
  settings.IdempotentPart = idempotentPart;
  const double capacity = static_cast<double>(targets) * slots * 1000 / holdMs;
  // Three of ten accounts are large; weights follow what they pay for.
  for (int i = 0; i < 10; ++i) {
    const double part = i < 3 ? 0.2 : 0.4 / 7;
    settings.Accounts.push_back(
        {AccountId{std::to_string(i)}, capacity * Load * part, part * 10});
  }
  return settings;
}

DomainResult evaluate(const RoutingModel &model,
                      const ModelSettings &settings) {
  DomainResult result;
  double sent = 0;
  double inTime = 0;
  std::map<std::int64_t, std::pair<double, double>> windows;
  for (const auto &it : model.Outcomes) {
    if (it.ArrivedMs < LeaveMs - 2000 || it.ArrivedMs >= EndMs - 20000)
      continue;
    if (!it.Idempotent) {
      const bool untrue =
          it.Stated == bergamot::routing::Executed::No && it.Executions > 0;
      result.DoubledOrLost += it.Executions > 1 || untrue;
      result.Unknown += it.Stated == bergamot::routing::Executed::Unknown;
      continue;
    }
    const bool good =
        it.Answered && it.EndedMs - it.ArrivedMs <= settings.DeadlineMs;
    ++sent;
    inTime += good;
    auto &window = windows[it.ArrivedMs / 1000];
    ++window.first;
    window.second += good;
  }
  result.InTimePart = inTime / sent;
  for (const auto &[second, window] : windows)
    result.WorstWindowPart =
        std::min(result.WorstWindowPart, window.second / window.first);
  return result;
}

DomainResult runOne(const ModelSettings &settings, bool planned) {
  RoutingModel model(settings);
  model.run(LeaveMs);
  if (planned)
    model.removeDomain(1);
  else
    model.failDomain(1);
  model.run(ReturnMs);
  const double until =
      std::max<double>(0, static_cast<double>(model.LastRemovedStartMs) -
                              LeaveMs) /
      1000;
  model.clearAbove();
  model.returnDomain(1);
  model.run(EndMs);
  DomainResult result = evaluate(model, settings);
  result.SecondsUntilNone = until;
  result.TargetsAbove = static_cast<double>(model.targetsAbove());
  return result;
}

void report(const std::string &name, std::size_t targets, std::uint32_t slots,
            double holdMs, double idempotentPart, bool planned) {
  const auto ours = runOne(
      settingsOf(false, targets, slots, holdMs, idempotentPart), planned);
  const auto naive =
      runOne(settingsOf(true, targets, slots, holdMs, idempotentPart), planned);
  const std::string prefix =
      "domain." + name + (planned ? ".planned." : ".failure.");
  const std::optional<double> bound =
      planned ? std::optional(0.999) : std::nullopt;
  printResult(prefix + "in_time", ours.InTimePart, "part", bound,
              naive.InTimePart);
  printResult(prefix + "worst_window", ours.WorstWindowPart, "part",
              std::nullopt, naive.WorstWindowPart);
  printResult(prefix + "until_no_new_work", ours.SecondsUntilNone, "s", 2,
              naive.SecondsUntilNone);
  printResult(prefix + "pushed_over_on_return", ours.TargetsAbove, "targets", 0,
              naive.TargetsAbove);
  printResult(prefix + "lost_or_doubled", ours.DoubledOrLost, "requests", 0,
              naive.DoubledOrLost);
  printResult(prefix + "unknown_outcome", ours.Unknown, "requests",
              planned ? std::optional(0.0) : std::nullopt, naive.Unknown);
}

} // namespace

int main() {
  printResult("domain.seed", 1, "seed", std::nullopt, std::nullopt);
  for (const bool planned : {true, false}) {
    report("model", 12, 16, 1000, 1.0, planned);
    report("plain", 3, 32, 50, 0.5, planned);
  }
}
