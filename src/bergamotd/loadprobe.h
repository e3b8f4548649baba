#ifndef BERGAMOT_BERGAMOTD_LOADPROBE_H
#define BERGAMOT_BERGAMOTD_LOADPROBE_H

#include "adapterhttp/httpclient.h"
#include "libbergamotrouting/routingtypes.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace bergamot::bergamotd {

/// Asks the back end for its load at an interval, on a thread of its own.
class LoadProbe {
public:
  using ReportFunction = std::function<void(const routing::LoadReport &)>;
  using FailureFunction = std::function<void(const std::string &detail)>;

  /// The functions are called on the probe's thread. The client must outlive
  /// the probe.
  LoadProbe(adapterhttp::HttpClient &backEnd,
            std::chrono::milliseconds interval, ReportFunction reported,
            FailureFunction failed);
  ~LoadProbe();
  LoadProbe(const LoadProbe &) = delete;
  LoadProbe &operator=(const LoadProbe &) = delete;

  /// Ends the thread; no function is called afterwards.
  void stop();

private:
  void run();
  void probe();

  adapterhttp::HttpClient &BackEnd;
  const std::chrono::milliseconds Interval;
  ReportFunction Reported;
  FailureFunction Failed;
  std::mutex Mutex;
  std::condition_variable StopChanged;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace bergamot::bergamotd

#endif
