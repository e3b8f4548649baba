// A client sends a request for a stream on an open connection a little over
// three seconds after the entry got SIGTERM.
#include "../support/client.h"
#include "../support/deployment.h"
#include "../support/entryprocess.h"
#include "../support/worker.h"

#include <unistd.h>

#include <array>
#include <iostream>
#include <thread>

using namespace bergamot::review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds StableWindow{3000};
constexpr seconds GracePeriod{8};
/// LOST excuses requests that were sent up to this time after the SIGTERM.
constexpr milliseconds ExcusedUntil{3000};
/// The stream lasts for 5 s, with the pauses that the route declares.
constexpr unsigned Events = 50;
constexpr milliseconds EventInterval{100};
constexpr int Clients = 12;
/// The clients send their requests one after another at this interval.
constexpr milliseconds RequestInterval{50};
/// When the first client sends its request after the SIGTERM.
constexpr milliseconds FirstRequestDelay{2825};
constexpr milliseconds TimeBudget{8000};

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return static_cast<int>(Verdict::NotRun);
  Record record(argv[2]);
  Store store(pickAddress(1));
  RouteOptions quotes{"assistant-llm", "streaming", 8000, 500, 120};
  configure(store, {quotes, {"order-desk", "unsafe"}});
  Worker orders(pickAddress(4), "i-orders", {.Service = "order-desk"}, store,
                record);
  Worker llm(pickAddress(5), "i-llm",
             {.Service = "assistant-llm",
              .Slots = 12,
              .Events = Events,
              .EventInterval = EventInterval},
             store, record);
  EntryProcess entry(argv[1], "frontend-1", pickAddress(3), store.endpoint());
  if (!entry.waitUntilReady(Clock::now() + seconds(10)))
    return static_cast<int>(Verdict::NotRun);
  std::this_thread::sleep_for(StableWindow + seconds(1));

  // Each client has used its connection before.
  std::array<ClientResult, Clients> results;
  std::vector<int> connections;
  for (int i = 0; i < Clients; ++i) {
    const int fd = connectTo(entry.clients());
    HttpReader reader(fd);
    const ClientRequest request{.Id = "o" + std::to_string(i),
                                .Target = "/order-desk/reserve"};
    if (exchange(fd, reader, request, record).Status != 200)
      return static_cast<int>(Verdict::NotRun);
    connections.push_back(fd);
  }
  if (hasTrouble()) {
    record.write("SIGTERM to the entry");
    entry.terminate();
  }
  const auto terminatedAt = Clock::now();
  const milliseconds terminatedAtMs = record.now();
  std::vector<std::thread> clients;
  clients.reserve(Clients);
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back([&, i] {
      std::this_thread::sleep_until(terminatedAt + FirstRequestDelay +
                                    i * RequestInterval);
      const int fd = connections[static_cast<std::size_t>(i)];
      HttpReader reader(fd);
      const ClientRequest request{.Id = "q" + std::to_string(i),
                                  .Target = "/assistant-llm/quote",
                                  .TimeBudget = TimeBudget};
      results.at(static_cast<std::size_t>(i)) =
          exchange(fd, reader, request, record);
    });
  for (auto &it : clients)
    it.join();

  int cut = 0;
  for (const auto &it : llm.arrivals()) {
    const std::size_t i = std::stoul(it.RequestId.substr(1));
    const ClientResult &result = results.at(i);
    const bool isExcused = result.SentAt <= terminatedAtMs + ExcusedUntil;
    if (result.Status != 0 || isExcused ||
        result.EndedAt > terminatedAtMs + GracePeriod + seconds(1) ||
        result.EndedAt >= result.SentAt + TimeBudget)
      continue;
    ++cut;
    record.write("broken: request " + it.RequestId + " was sent " +
                 std::to_string((result.SentAt - terminatedAtMs).count()) +
                 " ms after the SIGTERM, passed on, and cut after " +
                 std::to_string((result.EndedAt - result.SentAt).count()) +
                 " ms");
  }
  const std::string summary =
      std::to_string(cut) +
      " requests that were sent over 3 s after the SIGTERM were passed on to a "
      "worker and cut";
  record.write(summary);
  std::cout << summary << std::endl;
  entry.kill();
  end(cut > 0 ? Verdict::Broken : Verdict::Held);
}
