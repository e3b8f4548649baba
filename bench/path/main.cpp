#include "deployment.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/settings.h"
#include "loadrun.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

DEFINE_string(direct, "", "endpoint of the back end; empty: starts all parts");
DEFINE_string(through, "", "endpoint of an entry in front of the back end");
DEFINE_string(direct_target, "/stock/pillow", "path at the back end");
DEFINE_string(through_target, "/services/stock/stock/pillow",
              "path at the entry");
DEFINE_string(method, "GET", "method of the request");
DEFINE_string(body, "", "body of the request");
DEFINE_string(api_key, "", "key of a client account at the entry");
DEFINE_string(pids, "", "process ids of the daemons, separated by commas");
DEFINE_double(rate, 500, "requests per second");
DEFINE_int32(seconds, 10, "time at that rate on each path");
DEFINE_int32(threads, 32, "threads of the load generator");

using namespace bergamot;
using namespace bergamot::benchpath;

namespace {

/// Bound of the design page on what the entry adds to the p99 latency.
constexpr double AddedP99BoundMs = 2;

constexpr std::chrono::milliseconds WarmUp{3000};

/// A higher rate, at which the fixed cost of the daemons weighs less.
constexpr double HighRate = 2000;
constexpr std::chrono::milliseconds HighRateTime{4000};
constexpr int ConnectionTrials = 2000;

void print(const std::string &name, double value, const char *unit,
           const nlohmann::json &bound, const nlohmann::json &naive) {
  std::cout << nlohmann::ordered_json{{"name", name},
                                      {"value", value},
                                      {"unit", unit},
                                      {"bound", bound},
                                      {"naive", naive}}
                   .dump()
            << std::endl;
}

std::vector<int> parsePids() {
  std::vector<int> pids;
  std::istringstream text(FLAGS_pids);
  std::string part;
  while (std::getline(text, part, ','))
    pids.push_back(std::stoi(part));
  return pids;
}

/// Compares a kept connection with a new one for each request.
void printClientCost(const LoadRequest &request) {
  std::vector<double> reused;
  std::vector<double> fresh;
  adapterhttp::HttpClient kept(request.Endpoint);
  auto measure = [&](adapterhttp::HttpClient &client,
                     std::vector<double> &times) {
    auto begin = base::TimePoint::clock::now();
    client.request(request.Method, request.Target, request.Headers,
                   request.Body, begin + std::chrono::seconds(5));
    times.push_back(std::chrono::duration<double, std::micro>(
                        base::TimePoint::clock::now() - begin)
                        .count());
  };
  for (int i = 0; i < ConnectionTrials; ++i) {
    measure(kept, reused);
    adapterhttp::HttpClient single(request.Endpoint);
    measure(single, fresh);
  }
  print("client_request_p50", quantile(reused, 0.5), "us", nullptr,
        quantile(fresh, 0.5));
}

/// Prints one figure of both paths and what the entry adds to it.
void printAdded(const std::string &name, double direct, double through,
                const nlohmann::json &bound) {
  print("through_" + name, through, "ms", nullptr, direct);
  print("added_" + name, through - direct, "ms", bound, 0);
}

void printLatencies(const LoadResult &direct, const LoadResult &through) {
  for (bool isFirst : {true, false}) {
    auto latency = isFirst ? &LoadSample::FirstByte : &LoadSample::Whole;
    std::string name = isFirst ? "first_byte" : "whole";
    for (double part : {0.5, 0.99}) {
      std::string suffix = part == 0.5 ? "_p50" : "_p99";
      nlohmann::json bound = nullptr;
      if (part != 0.5)
        bound = AddedP99BoundMs;
      double value = quantileOf(direct, latency, part);
      double median = medianOfSeconds(direct, latency, part);
      print("direct_" + name + suffix, value, "ms", nullptr, nullptr);
      if (through.Samples.empty())
        continue;
      printAdded(name + suffix, value, quantileOf(through, latency, part),
                 bound);
      printAdded(name + suffix + "_median_second", median,
                 medianOfSeconds(through, latency, part), bound);
    }
  }
}

void printFailures(const std::string &path, const LoadResult &result) {
  std::uint64_t sum = 0;
  for (const auto &[kind, count] : result.Failures) {
    std::cerr << path << ": " << count << " x " << kind << std::endl;
    sum += count;
  }
  print(path + "_failures", static_cast<double>(sum), "requests", 0, nullptr);
}

/// Runs the path through the entry at a rate and prints how many requests the
/// daemons serve per second of processor time.
LoadResult runPerCore(const LoadRequest &request, const std::vector<int> &pids,
                      double rate, std::chrono::milliseconds time) {
  double before = processorSeconds(pids);
  LoadResult result = runAtRate(request, rate, time, FLAGS_threads);
  double used = processorSeconds(pids) - before;
  if (!pids.empty() && used > 0)
    print("requests_per_core_at_" + std::to_string(std::lround(rate)),
          static_cast<double>(result.Samples.size()) / used, "1/s", nullptr,
          nullptr);
  return result;
}

/// Measures both paths at the same time, so that noise of the machine hits
/// both and the demand on the entry is steady.
void runBoth(const LoadRequest &direct, const LoadRequest &through,
             const std::vector<int> &pids) {
  std::chrono::seconds time(FLAGS_seconds);
  bool hasThrough = !through.Endpoint.empty();
  // The account's quota and the target's grants follow the demand.
  if (hasThrough)
    runAtRate(through, FLAGS_rate, WarmUp, FLAGS_threads);
  LoadResult throughResult;
  std::thread other([&] {
    if (hasThrough)
      throughResult = runPerCore(through, pids, FLAGS_rate, time);
  });
  LoadResult directResult = runAtRate(direct, FLAGS_rate, time, FLAGS_threads);
  other.join();
  printLatencies(directResult, throughResult);
  printFailures("direct", directResult);
  if (!hasThrough)
    return;
  printFailures("through", throughResult);
  runAtRate(through, HighRate, WarmUp, FLAGS_threads);
  printFailures("high_rate", runPerCore(through, pids, HighRate, HighRateTime));
}

/// What to measure, and the daemons whose processor time counts.
struct Paths {
  LoadRequest Direct;
  LoadRequest Through;
  std::vector<int> Pids;
};

Paths pathsOf(const Deployment *own) {
  Paths paths;
  paths.Direct.Endpoint = own ? own->direct() : FLAGS_direct;
  paths.Direct.Target = FLAGS_direct_target;
  paths.Direct.Method = FLAGS_method;
  paths.Direct.Body = FLAGS_body;
  paths.Through = paths.Direct;
  paths.Through.Endpoint = own ? own->through() : FLAGS_through;
  paths.Through.Target = FLAGS_through_target;
  std::string key = own ? own->apiKey() : FLAGS_api_key;
  if (!key.empty())
    paths.Through.Headers.push_back({"Authorization", "Bearer " + key});
  paths.Pids = own ? own->daemonPids() : parsePids();
  return paths;
}

void run() {
  std::unique_ptr<Deployment> own;
  if (FLAGS_direct.empty())
    own = std::make_unique<Deployment>();
  auto [direct, through, pids] = pathsOf(own.get());
  runBoth(direct, through, pids);
  printClientCost(direct);
}

} // namespace

int main(int argc, char **argv) {
  try {
    auto problems = base::parseSettings(&argc, &argv);
    base::checkRange(problems, "seconds", FLAGS_seconds, 1, 600);
    base::checkRange(problems, "threads", FLAGS_threads, 1, 256);
    base::throwIfAny(problems);
    run();
  } catch (const base::Error &e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
  return 0;
}
