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

/// Latencies of the successful requests of a load run, in milliseconds.
struct LoadResult {
  std::vector<double> FirstByte;
  std::vector<double> Whole;
  /// Failed requests by their status or error.
  std::map<std::string, std::uint64_t> Failures;
  double Seconds = 0;

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

/// Returns the processor time that the processes have used, in seconds.
double processorSeconds(const std::vector<int> &pids);

} // namespace bergamot::benchpath

#endif
