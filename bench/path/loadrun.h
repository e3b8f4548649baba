#ifndef BERGAMOT_PATH_LOADRUN_H
#define BERGAMOT_PATH_LOADRUN_H

#include "adapterhttp/httpclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::benchpath {

/// The request that a load run repeats.
struct LoadRequest {
  std::string Endpoint;
  std::string Method = "GET";
  std::string Target;
  std::vector<adapterhttp::HttpHeader> Headers;
  std::string Body;
};

/// Latencies of one successful request in milliseconds, with the second of the
/// run in which it was due.
struct LoadSample {
  std::size_t Second = 0;
  double FirstByte = 0;
  double Whole = 0;
};

/// Outcome of a load run.
struct LoadResult {
  std::vector<LoadSample> Samples;
  /// Failed requests by their status or error.
  std::map<std::string, std::uint64_t> Failures;

  /// Adds the figures of another run.
  void add(const LoadResult &other);
};

/// Sends requests at a fixed rate, whatever the responses take, for the given
/// time. Latencies count from the planned time of a request, so that a slow
/// response shows in the requests that had to wait for it too.
LoadResult runAtRate(const LoadRequest &request, double perSecond,
                     std::chrono::milliseconds time, int threads);

/// Returns the value below which the given part of the values lies, or 0 if
/// there are none.
double quantile(std::vector<double> values, double part);

/// Returns the quantile of one of the latencies over all samples.
double quantileOf(const LoadResult &result, double LoadSample::*latency,
                  double part);

/// Returns the median over the seconds of the run of the quantile within each
/// second. Bursts of other work on a shared machine change it little.
double medianOfSeconds(const LoadResult &result, double LoadSample::*latency,
                       double part);

/// Returns the processor time that the processes have used, in seconds.
double processorSeconds(const std::vector<int> &pids);

} // namespace bergamot::benchpath

#endif
