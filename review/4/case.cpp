// A worker preempts a stream for a moment while the entry is being stopped.
#include "../support/client.h"
#include "../support/deployment.h"
#include "../support/entryprocess.h"
#include "../support/worker.h"

#include <unistd.h>

#include <iostream>
#include <thread>

using namespace bergamot::review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds GracePeriod{8};
/// An entry grants few retries in its first budget window.
constexpr seconds WarmUp{11};
constexpr unsigned Events = 30;
constexpr milliseconds EventInterval{100};
constexpr unsigned PreemptedEvent = 10;
/// Clients disconnect after a gap of two seconds.
constexpr milliseconds PreemptionTime{1600};
constexpr milliseconds TimeBudget{8000};
/// Time within which the request has to reach a worker.
constexpr seconds MaxDispatchTime{2};
/// Time from the start of the request to the SIGTERM.
constexpr milliseconds TerminationDelay{500};

WorkerOptions workerOptions(unsigned rank) {
  WorkerOptions options{.Service = "assistant-llm",
                        .Slots = 12,
                        .Events = Events,
                        .EventInterval = EventInterval,
                        .Group = "g",
                        .Rank = rank,
                        .GroupSize = 2};
  if (hasTrouble()) {
    options.PreemptedEvent = PreemptedEvent;
    options.PreemptionTime = PreemptionTime;
  }
  return options;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return static_cast<int>(Verdict::NotRun);
  Record record(argv[2]);
  Store store(pickAddress(1));
  configure(store, {{"assistant-llm", "streaming", 8000, 500, 120, true}});
  Worker first(pickAddress(4), "i-first", workerOptions(0), store, record);
  Worker second(pickAddress(5), "i-second", workerOptions(1), store, record);
  EntryProcess entry(argv[1], "frontend-1", pickAddress(3), store.endpoint());
  if (!entry.waitUntilReady(Clock::now() + seconds(10))) {
    record.write("not run: the entry isn't ready");
    return static_cast<int>(Verdict::NotRun);
  }
  std::this_thread::sleep_for(WarmUp);

  ClientResult result;
  std::thread client([&] {
    const int fd = connectTo(entry.clients());
    HttpReader reader(fd);
    const ClientRequest request{
        .Id = "q0", .Target = "/assistant-llm/quote", .TimeBudget = TimeBudget};
    result = exchange(fd, reader, request, record);
    ::close(fd);
  });
  const auto isRunning = [&] {
    return !first.arrivals().empty() || !second.arrivals().empty();
  };
  const auto deadline = Clock::now() + MaxDispatchTime;
  while (!isRunning() && Clock::now() < deadline)
    std::this_thread::sleep_for(milliseconds(10));
  if (!isRunning()) {
    record.write("not run: the request reached no worker");
    entry.kill();
    end(Verdict::NotRun);
  }
  std::this_thread::sleep_for(TerminationDelay);
  const bool runsAtFirst = !first.arrivals().empty();
  Worker &other = runsAtFirst ? second : first;
  other.setFull();
  record.write("worker " + other.id() + " is full from now on");
  record.write("SIGTERM to the entry");
  entry.terminate();
  const milliseconds terminatedAt = record.now();
  client.join();

  // LOST excuses what ends with the time budget, and work in the last sixth of
  // the grace period on a request that was sent before the SIGTERM.
  const bool isCut = result.Status == 0 &&
                     result.EndedAt < result.SentAt + TimeBudget &&
                     result.EndedAt < terminatedAt + GracePeriod * 5 / 6;
  const std::string summary =
      isCut ? "the stream was cut " +
                  std::to_string((result.EndedAt - result.SentAt).count()) +
                  " ms after its request"
            : "the stream was complete";
  record.write(summary);
  std::cout << summary << std::endl;
  entry.kill();
  end(isCut ? Verdict::Broken : Verdict::Held);
}
