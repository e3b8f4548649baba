#ifndef BERGAMOT_BERGAMOTD_WORKERPOOL_H
#define BERGAMOT_BERGAMOTD_WORKERPOOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bergamot::bergamotd {

/// Threads that run tasks which may block. The admission limit keeps the
/// queue short; the pool itself doesn't bound it.
class WorkerPool {
public:
  explicit WorkerPool(int threadCount);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Queues a task. A task must not throw.
  void addTask(std::function<void()> task);

  /// Runs the tasks that are queued, then joins the threads.
  void stop();

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Tasks;
  bool IsStopping = false;
  std::vector<std::thread> Threads;
};

} // namespace bergamot::bergamotd

#endif
