#include "loadrun.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

namespace bergamot::benchpath {

using adapterhttp::HttpClient;
using base::TimePoint;

namespace {

constexpr std::chrono::seconds RequestTimeout{5};
constexpr std::size_t ReadBytes = 64 * 1024;

double milliseconds(base::Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

void measure(HttpClient &client, const LoadRequest &request, TimePoint begin,
             std::size_t second, LoadResult &result) {
  try {
    auto deadline = TimePoint::clock::now() + RequestTimeout;
    auto stream = client.open(request.Method, request.Target, request.Headers,
                              request.Body, deadline);
    auto first = TimePoint::clock::now();
    while (!stream->read(ReadBytes, deadline).empty())
      continue;
    if (stream->status() >= 300) {
      ++result.Failures["status " + std::to_string(stream->status())];
      return;
    }
    result.Samples.push_back({second, milliseconds(first - begin),
                              milliseconds(TimePoint::clock::now() - begin)});
  } catch (const base::Error &e) {
    ++result.Failures[e.what()];
  }
}

/// Runs the work on several threads and adds up their results.
LoadResult onThreads(int threads,
                     const std::function<void(LoadResult &)> &work) {
  LoadResult all;
  std::mutex mutex;
  std::vector<std::thread> running;
  running.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i)
    running.emplace_back([&] {
      LoadResult own;
      work(own);
      std::lock_guard lock(mutex);
      all.add(own);
    });
  for (std::thread &it : running)
    it.join();
  return all;
}

} // namespace

void LoadResult::add(const LoadResult &other) {
  Samples.insert(Samples.end(), other.Samples.begin(), other.Samples.end());
  for (const auto &[kind, count] : other.Failures)
    Failures[kind] += count;
}

LoadResult runAtRate(const LoadRequest &request, double perSecond,
                     std::chrono::milliseconds time, int threads) {
  HttpClient client(request.Endpoint);
  std::atomic<std::uint64_t> next{0};
  auto count = static_cast<std::uint64_t>(
      perSecond * static_cast<double>(time.count()) / 1000);
  auto begin = TimePoint::clock::now();
  std::chrono::duration<double> interval(1 / perSecond);
  return onThreads(threads, [&](LoadResult &result) {
    for (std::uint64_t i = next++; i < count; i = next++) {
      auto planned = begin + std::chrono::duration_cast<base::Duration>(
                                 interval * static_cast<double>(i));
      std::this_thread::sleep_until(planned);
      auto second =
          static_cast<std::size_t>(static_cast<double>(i) / perSecond);
      measure(client, request, planned, second, result);
    }
  });
}

double quantile(std::vector<double> values, double part) {
  if (values.empty())
    return 0;
  auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

double quantileOf(const LoadResult &result, double LoadSample::*latency,
                  double part) {
  std::vector<double> values;
  values.reserve(result.Samples.size());
  for (const LoadSample &it : result.Samples)
    values.push_back(it.*latency);
  return quantile(std::move(values), part);
}

double medianOfSeconds(const LoadResult &result, double LoadSample::*latency,
                       double part) {
  std::map<std::size_t, std::vector<double>> seconds;
  for (const LoadSample &it : result.Samples)
    seconds[it.Second].push_back(it.*latency);
  std::vector<double> quantiles;
  quantiles.reserve(seconds.size());
  for (const auto &[second, values] : seconds)
    quantiles.push_back(quantile(values, part));
  return quantile(std::move(quantiles), 0.5);
}

double processorSeconds(const std::vector<int> &pids) {
  // Fields 14 and 15 of the line, counted after the name in parentheses.
  constexpr int FieldsBeforeUserTime = 11;
  double ticks = 0;
  for (int it : pids) {
    std::ifstream file("/proc/" + std::to_string(it) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i)
      fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace bergamot::benchpath
