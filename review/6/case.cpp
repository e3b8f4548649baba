// Two of three entries are turned away by the store for nine seconds. A key is
// revoked meanwhile. The third entry has the new configuration; the other two
// must have it seven seconds after its acknowledgement.
#include "../support-2/entry.h"
#include "../support-2/record.h"
#include "../support-2/worker.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using review::Clock;
using review::TimePoint;

constexpr auto Service = "ledger";
constexpr auto KeptKey = "keptkey0000000000001";
constexpr auto RevokedKey = "revokedkey0000000002";
/// `configuration-ms` and `outer-bound-ms`.
constexpr auto Bound = 2000ms + 5000ms;
/// How long the store turns the two machines away.
constexpr auto OutageTime = 9000ms;

std::string configuration(int version, bool withRevokedKey) {
  json tenants = {{{"name", "kept"}, {"api-keys", {KeptKey}}}};
  if (withRevokedKey)
    tenants.push_back({{"name", "revoked"}, {"api-keys", {RevokedKey}}});
  const json route = {{"name", "pay"},          {"host", review::HostName},
                      {"path-prefix", "/pay/"}, {"kind", "unsafe"},
                      {"timeout-ms", 4000},     {"target-latency-ms", 300},
                      {"priority", 1},          {"service", Service},
                      {"max-attempts", 2},      {"public", false}};
  const json service = {{"name", Service},
                        {"health-path", "/health"},
                        {"connection-limit", 96},
                        {"cold-start-s", 0.0},
                        {"cold-per-s", 0.0}};
  return json{{"version", version},
              {"routes", {route}},
              {"services", {service}},
              {"tenants", tenants},
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
      : Trouble(trouble), Log(record) {
    const unsigned short callerPort = review::freePort();
    const unsigned short readyPort = review::freePort();
    const unsigned short peerPort = review::freePort();
    const unsigned short metricsPort = review::freePort();
    int machine = 0;
    for (const std::string zone : {"erechim-c", "lages-b", "vacaria-a"}) {
      const std::string number = std::to_string(++machine);
      Entries.push_back(std::make_unique<review::Entry>(
          review::Entry::Settings{"frontend-" + zone + "-1", zone,
                                  "127.0.1." + number, callerPort, readyPort,
                                  peerPort, metricsPort, folder},
          Store));
      Workers.push_back(std::make_unique<review::Worker>(
          review::Worker::Settings{"i-" + number, Service, zone}, Store, Runs,
          Log));
    }
  }

  int run() {
    (void)Store.put("keyed.op", "config", configuration(1, true));
    for (const auto &it : Entries)
      it->start();
    if (!review::waitUntil([this] { return areReady(); }, Clock::now() + 15s))
      return cannotRun("the entries aren't ready");
    std::this_thread::sleep_for(3s);
    if (!servesBothKeys())
      return cannotRun("a key isn't served before the disruption");
    if (Trouble)
      setAccess(review::Store::Access::Reset);
    const TimePoint turnedAwayAt = Clock::now();
    std::this_thread::sleep_for(500ms);
    const TimePoint acknowledgedAt =
        Store.put("keyed.op", "config", configuration(2, false));
    Log.line("configuration 2 without the key is acknowledged");
    std::this_thread::sleep_until(acknowledgedAt + Bound + 200ms);
    int broken = 0;
    while (Clock::now() < turnedAwayAt + OutageTime - 200ms) {
      for (const auto &it : Entries)
        broken += runsRevokedKey(*it, acknowledgedAt) ? 1 : 0;
      std::this_thread::sleep_for(100ms);
    }
    setAccess(review::Store::Access::Serve);
    Log.line("requests run with the revoked key: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
  }

  /// Ends the processes.
  void stop() {
    for (const auto &it : Entries)
      it->kill();
  }

private:
  int cannotRun(const std::string &reason) {
    Log.line("can't run: " + reason);
    return 2;
  }

  bool areReady() {
    for (const auto &it : Entries)
      if (!it->isReady())
        return false;
    return true;
  }

  void setAccess(review::Store::Access access) {
    const bool served = access == review::Store::Access::Serve;
    Log.line(std::string("the store ") +
             (served ? "serves all machines" : "turns two machines away"));
    Entries[0]->door().setAccess(access);
    Entries[1]->door().setAccess(access);
  }

  int status(const review::Entry &entry, const std::string &key,
             const std::string &id) {
    const int status =
        review::sendAlone(entry, {id, "POST", "/pay/1", key, "fee"});
    Log.line("request " + id + " with key " + key + " at " +
             entry.settings().Name + ": " + std::to_string(status));
    return status;
  }

  bool servesBothKeys() {
    for (const auto &it : Entries)
      for (const std::string key : {KeptKey, RevokedKey})
        if (status(*it, key, nextId()) != 200)
          return false;
    return true;
  }

  bool runsRevokedKey(const review::Entry &entry, TimePoint acknowledgedAt) {
    const std::string id = nextId();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - acknowledgedAt);
    (void)status(entry, RevokedKey, id);
    if (Runs.of(id).empty())
      return false;
    Log.line("BROKEN: " + id + " was sent " + std::to_string(age.count()) +
             " ms after the acknowledgement and has run");
    return true;
  }

  std::string nextId() { return "request-" + std::to_string(++LastId); }

  bool Trouble;
  review::Record Log;
  review::Store Store;
  review::Runs Runs;
  std::vector<std::unique_ptr<review::Worker>> Workers;
  std::vector<std::unique_ptr<review::Entry>> Entries;
  int LastId = 0;
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
