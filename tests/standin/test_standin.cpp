#include "adapterhttp/httpclient.h"
#include "libbergamotbase/error.h"
#include "support/childprocess.h"
#include "support/tcprelay.h"
#include "support/waiting.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace bergamot;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;

namespace {

ChildProcess startService() {
  return {programPath("bergamot-standin"),
          {"--kind=service", "--connections=8"}};
}

std::uint16_t portOf(ChildProcess &process) {
  return process.readyLine(in(10s)).at("port").get<std::uint16_t>();
}

int stockStatus(adapterhttp::HttpClient &client,
                std::chrono::milliseconds time) {
  return client.request("GET", "/stock/a", {}, {}, in(time)).Status;
}

} // namespace

TEST_CASE("a stand-in is ready, paused, resumed and ended by pid",
          "[standin]") {
  ChildProcess service = startService();
  adapterhttp::HttpClient client(loopbackEndpoint(portOf(service)));
  CHECK(stockStatus(client, 2s) == 200);
  service.pause();
  CHECK_THROWS_AS(stockStatus(client, 100ms), base::Error);
  service.resume();
  CHECK(stockStatus(client, 2s) == 200);
  service.terminate();
  CHECK(service.waitForExit(in(5s)) == 0);
  CHECK_FALSE(service.isRunning());
}

TEST_CASE("a bad flag is reported and ends the stand-in", "[standin]") {
  ChildProcess wrong(programPath("bergamot-standin"), {"--kind=database"});
  CHECK(wrong.waitForExit(in(5s)) == 2);
  CHECK_THROWS_AS(wrong.readyLine(in(50ms)), base::Error);
  auto line = wrong.waitForLog(
      [](const nlohmann::json &it) {
        return it.dump().find("kind") != std::string::npos;
      },
      in(1s));
  CHECK(line);
  ChildProcess killed = startService();
  portOf(killed);
  killed.kill();
  CHECK(killed.waitForExit(in(5s)) == 128 + SIGKILL);
}

TEST_CASE("a relay delays, cuts, silences and refuses", "[standin]") {
  ChildProcess service = startService();
  TcpRelay relay(portOf(service));
  adapterhttp::HttpClient client(loopbackEndpoint(relay.port()));
  CHECK(stockStatus(client, 2s) == 200);
  relay.setDelay(50ms);
  auto begin = base::TimePoint::clock::now();
  CHECK(stockStatus(client, 2s) == 200);
  CHECK(base::TimePoint::clock::now() - begin >= 100ms);
  relay.setDelay(0ms);
  CHECK(relay.connectionCount() == 1);
  // The kept connection goes silent while a new one works.
  relay.silenceConnections();
  CHECK_THROWS_AS(stockStatus(client, 100ms), base::Error);
  CHECK(stockStatus(client, 2s) == 200);
  auto large = client.request("GET", "/large/3000000", {}, {}, in(5s));
  CHECK(large.Body.size() == 3000000);
  relay.setDelay(300ms);
  auto cut = std::async(std::launch::async, [&] {
    try {
      stockStatus(client, 3s);
      return false;
    } catch (const adapterhttp::HttpClientError &e) {
      return e.requestMayHaveBeenSent();
    }
  });
  std::this_thread::sleep_for(100ms);
  relay.cutConnections();
  CHECK(cut.get());
  relay.setRefusing(true);
  CHECK_THROWS_AS(stockStatus(client, 1s), base::Error);
}

TEST_CASE("free ports differ", "[standin]") { CHECK(freePort() != freePort()); }
