#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"
#include "libbergamotbase/settings.h"
#include "standin/enginestandin.h"
#include "standin/platformstandin.h"
#include "standin/servicestandin.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(kind, "", "what to stand in for: platform, engine or service");
DEFINE_string(listen, "127.0.0.1:0", "IP address and port; port 0 picks one");
DEFINE_int32(connections, 256, "concurrent connections");

DEFINE_double(appends_per_second, 0, "platform: rate of appends; 0: no limit");
DEFINE_uint64(retain_records, 1000000, "platform: records kept per stream");
DEFINE_uint64(retain_ms, 86400000, "platform: age up to which records stay");
DEFINE_uint64(weight_bytes, 1048576, "platform: bytes of one expert's weights");
DEFINE_double(weight_bytes_per_second, 0, "platform: rate; 0: no limit");
DEFINE_uint64(vm_list_lag_ms, 0, "platform: delay of changes of the VM list");

DEFINE_string(model, "default", "engine: name of its model");
DEFINE_uint64(kv_tokens, 100000, "engine: memory in tokens");
DEFINE_uint32(max_running, 0, "engine, service: concurrent requests; 0: any");
DEFINE_uint32(cold_limit, 2, "engine: concurrent requests when cold; 0: any");
DEFINE_uint32(warm_after, 8, "engine: completed requests that warm it up");
DEFINE_uint64(cold_grace_ms, 1000, "engine: grace after the fault cold");
DEFINE_uint64(restart_ms, 200, "engine: time of a restart");
DEFINE_uint64(load_lag_ms, 0, "engine: age of load reports");
DEFINE_uint64(event_lag_ms, 0, "engine: delay of cache events");
DEFINE_uint32(event_gap, 0, "engine: every n-th cache event is lost; 0: none");
DEFINE_uint64(cache_blocks, 1000, "engine: blocks in the prefix cache");
DEFINE_uint64(first_token_ms, 0, "engine: time to the first token");
DEFINE_uint64(cold_first_token_ms, 0, "engine: the same when cold");
DEFINE_uint64(token_interval_ms, 0, "engine: time between tokens");
DEFINE_bool(honours_fence, true, "engine: refuses stale fencing tokens");
DEFINE_uint64(seed, 1, "engine: seed of the expert popularity");

DEFINE_uint64(work_ms, 0, "service: time of each request");

using namespace bergamot;
using std::chrono::milliseconds;

namespace {

standin::PlatformOptions platformOptions() {
  standin::PlatformOptions options;
  options.ListenEndpoint = FLAGS_listen;
  options.Connections = FLAGS_connections;
  options.Log.MaxRecordsPerStream = FLAGS_retain_records;
  options.Log.MaxAge = milliseconds(FLAGS_retain_ms);
  options.Log.AppendsPerSecond = FLAGS_appends_per_second;
  options.WeightBytes = FLAGS_weight_bytes;
  options.WeightBytesPerSecond = FLAGS_weight_bytes_per_second;
  options.VmListLag = milliseconds(FLAGS_vm_list_lag_ms);
  return options;
}

standin::EngineOptions engineOptions() {
  standin::EngineOptions options;
  options.ListenEndpoint = FLAGS_listen;
  options.Connections = FLAGS_connections;
  options.Model = FLAGS_model;
  options.Limits.KvTokens = FLAGS_kv_tokens;
  options.Limits.MaxRunning = FLAGS_max_running;
  options.Limits.ColdLimit = FLAGS_cold_limit;
  options.Limits.WarmAfter = FLAGS_warm_after;
  options.Limits.ColdGrace = milliseconds(FLAGS_cold_grace_ms);
  options.Limits.RestartTime = milliseconds(FLAGS_restart_ms);
  options.Limits.LoadLag = milliseconds(FLAGS_load_lag_ms);
  options.Limits.EventLag = milliseconds(FLAGS_event_lag_ms);
  options.Limits.EventGap = FLAGS_event_gap;
  options.Limits.CacheBlocks = FLAGS_cache_blocks;
  options.FirstToken = milliseconds(FLAGS_first_token_ms);
  options.ColdFirstToken =
      milliseconds(std::max(FLAGS_cold_first_token_ms, FLAGS_first_token_ms));
  options.TokenInterval = milliseconds(FLAGS_token_interval_ms);
  options.HonoursFence = FLAGS_honours_fence;
  options.Seed = FLAGS_seed;
  return options;
}

standin::ServiceOptions serviceOptions() {
  standin::ServiceOptions options;
  options.ListenEndpoint = FLAGS_listen;
  options.Connections = FLAGS_connections;
  options.MaxRunning = FLAGS_max_running;
  options.WorkTime = milliseconds(FLAGS_work_ms);
  return options;
}

/// Runs a stand-in until SIGTERM or SIGINT.
template <typename Standin, typename Options>
void run(const Options &options, const sigset_t &signals) {
  Standin standin(options);
  nlohmann::json ready = {
      {"ready", true}, {"kind", FLAGS_kind}, {"port", standin.port()}};
  std::cout << ready.dump() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
}

} // namespace

int main(int argc, char **argv) {
  base::initJsonLog("bergamot-standin");
  // Blocked before any thread starts, so that only sigwait() takes them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    auto problems = base::parseSettings(&argc, &argv);
    base::checkChoice(problems, "kind", FLAGS_kind,
                      {"platform", "engine", "service"});
    base::checkRange(problems, "connections", FLAGS_connections, 1, 4096);
    base::throwIfAny(problems);
    if (FLAGS_kind == "platform")
      run<standin::PlatformStandin>(platformOptions(), signals);
    else if (FLAGS_kind == "engine")
      run<standin::EngineStandin>(engineOptions(), signals);
    else
      run<standin::ServiceStandin>(serviceOptions(), signals);
  } catch (const base::Error &e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
  return 0;
}
