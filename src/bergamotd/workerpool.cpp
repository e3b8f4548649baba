#include "bergamotd/workerpool.h"

#include <utility>

namespace bergamot::bergamotd {

WorkerPool::WorkerPool(int threadCount) {
  Threads.reserve(static_cast<std::size_t>(threadCount));
  for (int i = 0; i < threadCount; ++i)
    Threads.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::addTask(std::function<void()> task) {
  {
    const std::lock_guard lock(Mutex);
    Tasks.push_back(std::move(task));
  }
  Changed.notify_one();
}

void WorkerPool::stop() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  Changed.notify_all();
  for (auto &thread : Threads)
    if (thread.joinable())
      thread.join();
}

void WorkerPool::run() {
  for (;;) {
    std::function<void()> task;
    {
      std::unique_lock lock(Mutex);
      Changed.wait(lock, [this] { return IsStopping || !Tasks.empty(); });
      if (Tasks.empty())
        return;
      task = std::move(Tasks.front());
      Tasks.pop_front();
    }
    task();
  }
}

} // namespace bergamot::bergamotd
