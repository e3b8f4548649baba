#include "bergamotd/loadprobe.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::bergamotd {

using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds LoadTimeout{1000};

routing::LoadReport parseReport(const std::string &body,
                                base::TimePoint sentAt) {
  const auto json = nlohmann::json::parse(body);
  routing::LoadReport report;
  report.BackEndIncarnation =
      base::Incarnation{json.value("incarnation", 0ULL)};
  report.Running = json.value("running", 0U);
  report.UnitsUsed = json.value("kv_tokens_used", 0ULL);
  report.UnitsTotal = json.value("kv_tokens_total", 0ULL);
  report.Cold = json.value("cold", false);
  // The state was read after the request was sent, so work admitted since
  // then may be missing from it.
  report.ReadAt = sentAt;
  return report;
}

} // namespace

LoadProbe::LoadProbe(adapterhttp::HttpClient &backEnd,
                     std::chrono::milliseconds interval,
                     ReportFunction reported, FailureFunction failed)
    : BackEnd(backEnd), Interval(interval), Reported(std::move(reported)),
      Failed(std::move(failed)), Thread([this] { run(); }) {}

LoadProbe::~LoadProbe() { stop(); }

void LoadProbe::stop() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void LoadProbe::run() {
  for (;;) {
    probe();
    std::unique_lock lock(Mutex);
    StopChanged.wait_for(lock, Interval, [this] { return IsStopping; });
    if (IsStopping)
      return;
  }
}

void LoadProbe::probe() {
  const auto now = steady_clock::now();
  try {
    const auto response =
        BackEnd.request("GET", "/v1/load", {}, "", now + LoadTimeout);
    if (response.Status == 200)
      Reported(parseReport(response.Body, now));
  } catch (const std::exception &e) {
    Failed(e.what());
  }
}

} // namespace bergamot::bergamotd
