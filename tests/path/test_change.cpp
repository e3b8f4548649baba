#include "libbergamotbase/error.h"
#include "testdeployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace bergamot;
using namespace bergamot::testpath;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;

// Guards against new work in a failure domain that operators took out, and
// against a service that suffers while it leaves and returns.
TEST_CASE("a removed failure domain gets no new work after 2 s", "[change]") {
  Sizes sizes;
  sizes.Engines = 3;
  sizes.Services = 3;
  TestDeployment deployment(sizes);
  std::atomic<bool> stop{false};
  std::atomic<int> failed{0};
  std::atomic<int> served{0};
  std::vector<std::thread> load;
  for (int i = 0; i < 8; ++i)
    load.emplace_back([&, i] {
      while (!stop) {
        const int status =
            deployment.call(i % 2, "GET", "/services/stock/stock/x", "").Status;
        ++(status == 200 ? served : failed);
        std::this_thread::sleep_for(2ms);
      }
    });
  const auto dispatched = [&](int target) {
    int count = 0;
    for (const auto &entry : deployment.Entries)
      for (const auto &line : entry->logLines())
        count += line.value("decision", "") == "route.choose" &&
                 line.value("target", "") == "target" + std::to_string(target);
    return count;
  };
  REQUIRE(waitFor([&] { return served > 200; }, in(20s)));
  deployment.publish([](config::Configuration &config) {
    config.FailureDomains.at(0).State = config::DomainState::Removed;
  });
  std::this_thread::sleep_for(2s);
  const int before = dispatched(3);
  CHECK(before > 0);
  std::this_thread::sleep_for(1s);
  CHECK(dispatched(3) == before);
  deployment.publish([](config::Configuration &config) {
    config.FailureDomains.at(0).State = config::DomainState::Active;
  });
  CHECK(waitFor([&] { return dispatched(3) > before; }, in(5s)));
  stop = true;
  for (auto &it : load)
    it.join();
  CHECK(failed == 0);
}

// Guards against a daemon that can't start, or that stays behind, while the
// platform's log is down although its peers know the configuration.
TEST_CASE("configuration comes from peers while the log is down", "[change]") {
  TestDeployment deployment({});
  const auto version = deployment.publish(
      [](config::Configuration &config) { config.Accounts.at(0).Weight = 2; });
  REQUIRE(deployment.waitUntilInForce(1, version, in(10s)));
  const std::string hash = deployment.entryStatus(1).at("config_hash");
  deployment.setPlatformFaults({{"down", true}});
  deployment.Targets.at(0)->kill();
  deployment.startTarget(0);
  CHECK(waitFor(
      [&] {
        try {
          return deployment.targetStatus(0).at("config_hash") == hash;
        } catch (const base::Error &) {
          return false;
        }
      },
      in(10s)));
  CHECK(deployment.call(0, "GET", "/services/stock/stock/x", "").Status == 200);
}

// Guards against two operators' changes on the same version that both come
// into force, or of which different daemons take different ones.
TEST_CASE("of two racing changes one is in force everywhere", "[change]") {
  TestDeployment deployment({});
  const auto base = deployment.version();
  const auto first = deployment.publish(
      [](config::Configuration &config) { config.Accounts.at(0).Weight = 3; });
  const auto hash =
      deployment.publishOn(base, [](config::Configuration &config) {
        config.Accounts.at(0).Weight = 4;
      });
  REQUIRE(deployment.waitUntilInForce(0, first, in(10s)));
  REQUIRE(deployment.waitUntilInForce(1, first, in(10s)));
  for (int entry = 0; entry < 2; ++entry) {
    CHECK(deployment.Entries.at(entry)->waitForLog(
        [](const nlohmann::json &line) {
          return line.value("verdict", "") == "conflict";
        },
        in(10s)));
    CHECK(deployment.entryStatus(entry).at("config_version") == first);
    CHECK(deployment.entryStatus(entry).at("config_hash") != hash);
  }
}
