#ifndef BERGAMOT_REVIEW_SUPPORT2_WORKER_H
#define BERGAMOT_REVIEW_SUPPORT2_WORKER_H

#include "record.h"
#include "store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A request that a worker has begun to run.
struct Run {
  std::string RequestId;
  std::string Worker;
  std::string Tenant;
  TimePoint At;
};

/// All runs at the workers of a case.
class Runs {
public:
  void add(Run it);
  std::vector<Run> of(const std::string &requestId) const;

private:
  mutable std::mutex Mutex;
  std::vector<Run> All;
};

/// A sound worker, registered in the store. It answers 421 to requests for
/// another instance.
class Worker {
public:
  struct Settings {
    std::string Id;
    std::string Service;
    std::string Zone;
    unsigned Slots = 6;
    /// Time that a request takes; in a stream, the time to the first event.
    std::chrono::milliseconds Work{20};
    /// Number of events of a stream; 0 for a plain answer.
    unsigned Events = 0;
    std::chrono::milliseconds EventGap{100};
    /// Bytes of a plain answer.
    std::size_t AnswerBytes = 800;
  };

  Worker(Settings settings, Store &store, Runs &runs, Record &record);
  ~Worker();
  const std::string &id() const { return Config.Id; }

private:
  void serve(Socket &socket);
  bool run(Socket &socket, const Message &request);
  bool streamEvents(Socket &socket) const;
  void publish();

  Settings Config;
  Store &Registry;
  Runs &AllRuns;
  Record &Log;
  std::int64_t StartedAtMs;
  std::uint64_t Sequence = 0;
  Listener Entrance;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  std::thread Heartbeat;
};

} // namespace review

#endif
