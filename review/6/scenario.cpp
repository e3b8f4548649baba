// Clients pause for six seconds while they read the answers to their requests.
// The entry that they are connected to gets SIGTERM meanwhile.
#include "../support-2/entry.h"
#include "../support-2/record.h"
#include "../support-2/worker.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using review::Channel;
using review::Clock;

constexpr auto Service = "desk";
constexpr int Clients = 8;
/// The sheet's largest time budget.
constexpr auto Budget = 8000ms;
constexpr auto ReadPause = 6000ms;
/// The site file's largest plain answer.
constexpr std::size_t AnswerBytes = 4800;
/// The smallest receive buffer that the system grants.
constexpr int ReceiveBytes = 1024;
/// `stable-window-ms`, and half a second.
constexpr auto SettleTime = 3500ms;

std::string configuration() {
  const json route = {{"name", "reserve"},
                      {"host", review::HostName},
                      {"path-prefix", "/reserve/"},
                      {"kind", "unsafe"},
                      {"timeout-ms", 8000},
                      {"target-latency-ms", 300},
                      {"priority", 2},
                      {"service", Service},
                      {"max-attempts", 2},
                      {"public", true}};
  const json service = {{"name", Service},
                        {"health-path", "/health"},
                        {"connection-limit", 110},
                        {"cold-start-s", 0.0},
                        {"cold-per-s", 0.0}};
  return json{{"version", 1},
              {"routes", {route}},
              {"services", {service}},
              {"limits",
               {{"max-header-bytes", 16384},
                {"max-body-bytes", 4194304},
                {"header-timeout-ms", 3000},
                {"idle-timeout-ms", 15000}}}}
      .dump();
}

class Case {
public:
  Case(const std::string &folder, const std::string &record, bool trouble)
      : Trouble(trouble), Log(record),
        Entry({"frontend-kumamoto-b-1", "kumamoto-b", "127.0.3.1",
               review::freePort(), review::freePort(), review::freePort(),
               review::freePort(), folder},
              Store) {
    review::Worker::Settings settings{"i-1", Service, "kumamoto-b", Clients};
    settings.AnswerBytes = AnswerBytes;
    Worker = std::make_unique<review::Worker>(settings, Store, Runs, Log);
  }

  int run() {
    (void)Store.put("keyed.op", "config", configuration());
    Entry.start();
    if (!review::waitUntil([this] { return Entry.isReady(); },
                           Clock::now() + 15s))
      return cannotRun("the entry isn't ready");
    std::this_thread::sleep_for(SettleTime);
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int i = 0; i < Clients; ++i)
      clients.emplace_back([this, i] { beClient(std::to_string(i)); });
    std::this_thread::sleep_for(300ms);
    Log.line("SIGTERM to the entry");
    Entry.signal(SIGTERM);
    for (auto &it : clients)
      it.join();
    Log.line("complete: " + std::to_string(Complete) +
             ", run by the worker and not answered in full: " +
             std::to_string(Lost));
    if (Complete + Lost < Clients)
      return cannotRun("not all requests have run");
    return Lost > 0 ? 1 : 0;
  }

  /// Ends the process.
  void stop() { Entry.kill(); }

private:
  int cannotRun(const std::string &reason) {
    Log.line("can't run: " + reason);
    return 2;
  }

  void beClient(const std::string &name) {
    Channel channel(Entry, ReceiveBytes);
    review::Request request{"request-" + name, "POST", "/reserve/1", "",
                            "bundle",          Budget};
    if (Trouble)
      request.ReadPause = ReadPause;
    Log.line("client " + name + " sends " + request.Id);
    int status = 0;
    const auto ending = channel.exchange(request, status);
    const bool isComplete = ending == Channel::Ending::Complete;
    Log.line("client " + name + ": " + std::to_string(status) +
             (isComplete ? ", complete" : ", the channel has ended before"));
    if (isComplete)
      ++Complete;
    else if (!Runs.of(request.Id).empty())
      ++Lost;
  }

  bool Trouble;
  review::Record Log;
  review::Store Store;
  review::Runs Runs;
  review::Entry Entry;
  std::unique_ptr<review::Worker> Worker;
  std::atomic<int> Complete = 0;
  std::atomic<int> Lost = 0;
};

} // namespace

int main(int argc, char **argv) {
  const char *record = std::getenv("RECORD");
  if (argc != 2 || !record) {
    std::cerr << "usage: RECORD=FILE case-6 FOLDER\n";
    return 2;
  }
  const char *trouble = std::getenv("TROUBLE");
  int result = 2;
  // Not destroyed, since the threads of its connections use it until the end.
  auto *it = new Case(argv[1], record, !trouble || std::string(trouble) != "0");
  try {
    result = it->run();
  } catch (const std::exception &e) {
    std::cerr << e.what() << "\n";
  }
  it->stop();
  std::_Exit(result);
}
