#ifndef BERGAMOT_REVIEW_WORKER_H
#define BERGAMOT_REVIEW_WORKER_H

#include "record.h"
#include "store.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bergamot::review {

/// How a worker answers.
struct WorkerOptions {
  std::string Service;
  std::string Zone = "zone-a";
  unsigned Slots = 6;
  /// Time that a plain request takes, and the size of its response.
  std::chrono::milliseconds WorkTime{60};
  std::size_t ResponseBytes = 800;
  /// Number of events of a stream and the time between them; 0 for plain
  /// requests.
  unsigned Events = 0;
  std::chrono::milliseconds EventInterval{0};
  /// A stream is preempted for this time after PreemptedEvent events, and then
  /// goes on; 0 for never.
  std::chrono::milliseconds PreemptionTime{0};
  unsigned PreemptedEvent = 0;
  /// Its group of ranks, which is open; empty if it has none.
  std::string Group;
  unsigned Rank = 0;
  unsigned GroupSize = 0;
};

/// A request that a worker began to run.
struct Arrival {
  std::string RequestId;
  std::chrono::milliseconds At;
};

/// Stands in for a worker: registers itself in the store, checks in, and
/// answers requests that name its id.
class Worker {
public:
  Worker(const std::string &address, std::string id, WorkerOptions options,
         Store &store, Record &record);

  const std::string &id() const { return Id; }
  /// Removes the entry from the store and stops checking in, without reporting
  /// `draining` before. The worker continues to serve.
  void removeEntry();
  /// From now on the worker is full and rejects requests as not executed.
  void setFull() { Full = true; }
  /// Ends the worker: its port refuses connections, and open ones are reset.
  void exit();
  std::vector<Arrival> arrivals();

private:
  void checkIn();
  void serve(int fd);
  bool run(int fd, const HttpMessage &request);
  bool stream(int fd, const std::string &head, unsigned firstEvent);

  Endpoint Listening;
  int Listener;
  std::string Id;
  WorkerOptions Options;
  Store &Platform;
  Record &Log;
  std::int64_t BornMs;
  std::mutex Mutex;
  bool Listed = true;
  std::uint64_t Sequence = 0;
  std::atomic<bool> Exited{false};
  std::atomic<bool> Full{false};
  std::set<int> Connections;
  std::vector<Arrival> Arrivals;
};

} // namespace bergamot::review

#endif
