#include "libbergamotbase/error.h"
#include "libbergamotbase/settings.h"
#include "loadrun.h"
#include "standin/servicestandin.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

DEFINE_string(direct, "", "endpoint of the back end; empty: one of its own");
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

/// Both paths are measured in turns of this length, so that noise of the
/// machine hits both.
constexpr std::chrono::milliseconds Turn{1000};

constexpr std::chrono::milliseconds Saturated{2000};
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

void printLatencies(const LoadResult &direct, const LoadResult &through) {
  for (double part : {0.5, 0.99}) {
    std::string suffix = part == 0.5 ? "_p50" : "_p99";
    double first = quantile(direct.FirstByte, part);
    double whole = quantile(direct.Whole, part);
    print("direct_first_byte" + suffix, first, "ms", nullptr, nullptr);
    print("direct_whole" + suffix, whole, "ms", nullptr, nullptr);
    if (through.Whole.empty())
      continue;
    double firstThrough = quantile(through.FirstByte, part);
    double wholeThrough = quantile(through.Whole, part);
    print("through_first_byte" + suffix, firstThrough, "ms", nullptr, first);
    print("through_whole" + suffix, wholeThrough, "ms", nullptr, whole);
    nlohmann::json bound = nullptr;
    if (part == 0.99)
      bound = AddedP99BoundMs;
    print("added_first_byte" + suffix, firstThrough - first, "ms", bound, 0);
    print("added_whole" + suffix, wholeThrough - whole, "ms", bound, 0);
  }
}

void printPerCore(const LoadRequest &request) {
  std::vector<int> pids = parsePids();
  double before = processorSeconds(pids);
  LoadResult result = runSaturated(request, Saturated, FLAGS_threads);
  double used = processorSeconds(pids) - before;
  auto count = static_cast<double>(result.Whole.size());
  print("saturated_rate", count / result.Seconds, "1/s", nullptr, nullptr);
  if (!pids.empty() && used > 0)
    print("requests_per_core", count / used, "1/s", nullptr, nullptr);
}

void run() {
  standin::ServiceStandin own({});
  LoadRequest direct;
  direct.Endpoint = FLAGS_direct.empty()
                        ? "127.0.0.1:" + std::to_string(own.port())
                        : FLAGS_direct;
  direct.Target = FLAGS_direct_target;
  direct.Method = FLAGS_method;
  direct.Body = FLAGS_body;
  LoadRequest through = direct;
  through.Endpoint = FLAGS_through;
  through.Target = FLAGS_through_target;
  if (!FLAGS_api_key.empty())
    through.Headers.push_back({"Authorization", "Bearer " + FLAGS_api_key});
  bool hasThrough = !FLAGS_through.empty();
  LoadResult directResult;
  LoadResult throughResult;
  for (int i = 0; i < FLAGS_seconds; ++i) {
    directResult.add(runAtRate(direct, FLAGS_rate, Turn, FLAGS_threads));
    if (hasThrough)
      throughResult.add(runAtRate(through, FLAGS_rate, Turn, FLAGS_threads));
  }
  printLatencies(directResult, throughResult);
  print("failures",
        static_cast<double>(directResult.Failures + throughResult.Failures),
        "requests", 0, nullptr);
  printPerCore(hasThrough ? through : direct);
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
