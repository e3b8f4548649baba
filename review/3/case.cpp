// A worker's entry is removed from the store just after the entry's open
// channels to the store went silent.
#include "../support/client.h"
#include "../support/deployment.h"
#include "../support/entryprocess.h"
#include "../support/relay.h"
#include "../support/worker.h"

#include <unistd.h>

#include <atomic>
#include <iostream>
#include <map>
#include <thread>

using namespace bergamot::review;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Bounds of the small deployments.
constexpr milliseconds StableWindow{3000};
constexpr milliseconds DrainTimeout{2000};
/// Time from the silence to the removal of the worker's entry.
constexpr milliseconds RemovalDelay{300};
/// The worker serves for DrainTimeout after the removal and some seconds more.
constexpr milliseconds ServingTime{4200};
constexpr milliseconds ObservedTime{7000};
constexpr int Clients = 6;
constexpr milliseconds ClientPause{100};

/// Requests by id.
struct Requests {
  std::mutex Mutex;
  std::map<std::string, ClientResult> Results;
};

void runClient(int number, const Endpoint &entry, Record &record,
               Requests &requests, const std::atomic<bool> &stop) {
  const int fd = connectTo(entry);
  HttpReader reader(fd);
  for (int i = 0; !stop; ++i) {
    ClientRequest request;
    request.Id = "c" + std::to_string(number) + "-" + std::to_string(i);
    request.Target = "/order-desk/reserve";
    const ClientResult result = exchange(fd, reader, request, record);
    const std::lock_guard lock(requests.Mutex);
    requests.Results[request.Id] = result;
    if (result.Status == 0)
      return;
    std::this_thread::sleep_for(ClientPause);
  }
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return static_cast<int>(Verdict::NotRun);
  Record record(argv[2]);
  Store store(pickAddress(1));
  configure(store, {{"order-desk", "unsafe"}});
  WorkerOptions options{.Service = "order-desk", .WorkTime = milliseconds(150)};
  Worker staying(pickAddress(4), "i-staying", options, store, record);
  Worker leaving(pickAddress(5), "i-leaving", options, store, record);
  Relay relay(pickAddress(2), store.endpoint());
  EntryProcess entry(argv[1], "frontend-1", pickAddress(3), relay.endpoint());
  if (!entry.waitUntilReady(Clock::now() + seconds(10)))
    return static_cast<int>(Verdict::NotRun);
  std::this_thread::sleep_for(StableWindow + seconds(1));

  Requests requests;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  clients.reserve(Clients);
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back(
        [&, i] { runClient(i, entry.clients(), record, requests, stop); });
  std::this_thread::sleep_for(seconds(1));

  const milliseconds silentAt = record.now();
  if (hasTrouble())
    record.write(std::to_string(relay.silenceOpenConnections()) +
                 " open channels to the store go silent");
  std::this_thread::sleep_for(RemovalDelay);
  leaving.removeEntry();
  const milliseconds removedAt = record.now();
  record.write("store acknowledges that the entry of i-leaving is gone");
  std::this_thread::sleep_for(ServingTime);
  leaving.exit();
  record.write("worker i-leaving exits");
  std::this_thread::sleep_for(ObservedTime - ServingTime);
  stop = true;
  for (auto &it : clients)
    it.join();

  // The entry's machine is in touch once its channels were last reset (here:
  // silenced) a stable window ago.
  const milliseconds inTouchFrom =
      hasTrouble() ? silentAt + StableWindow : milliseconds(0);
  const milliseconds forbiddenFrom = removedAt + DrainTimeout;
  int late = 0;
  int lost = 0;
  for (const auto &it : leaving.arrivals()) {
    const auto request = requests.Results.find(it.RequestId);
    if (request == requests.Results.end() || it.At <= forbiddenFrom ||
        request->second.SentAt < inTouchFrom)
      continue;
    ++late;
    const int status = request->second.Status;
    // The client has no answer, or one that doesn't say what became of the
    // request.
    const bool isLost = status == 0 || status == 502 || status == 504;
    lost += isLost ? 1 : 0;
    record.write("broken: request " + it.RequestId + " reached i-leaving " +
                 std::to_string((it.At - removedAt).count()) +
                 " ms after the acknowledgement" +
                 (isLost ? " and was lost" : ""));
  }
  const std::string summary =
      std::to_string(late) + " requests reached the worker more than " +
      std::to_string(DrainTimeout.count()) + " ms after its entry was gone, " +
      std::to_string(lost) + " of them were lost";
  record.write(summary);
  std::cout << summary << "\n";
  const Verdict verdict = late > 0 ? Verdict::Broken : Verdict::Held;
  entry.kill();
  std::cout.flush();
  end(verdict);
}
