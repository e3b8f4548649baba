#include "libbergamotbase/error.h"
#include "standin/completion.h"
#include "testdeployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace bergamot;
using namespace bergamot::testpath;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;

namespace {

/// Reads a stream to its end. Throws base::Error if it was cut.
std::string readAll(adapterhttp::HttpStream &stream) {
  std::string body;
  for (;;) {
    const std::string bytes = stream.read(65536, in(60s));
    if (bytes.empty())
      return body;
    body += bytes;
  }
}

std::string reservation(const std::string &order) {
  return R"({"order_id":")" + order + R"(","item":"sheet","quantity":1})";
}

constexpr const char *Reserve = "/services/stock/reservations";

} // namespace

// Guards against responses that are crossed between callers, cut, or put
// together from pieces of several requests when many are under way.
TEST_CASE("2,000 interleaved requests each get their own bytes", "[path]") {
  Sizes sizes;
  sizes.Engines = 3;
  sizes.EngineFlags = {"--token_interval_ms=1", "--first_token_ms=3"};
  TestDeployment deployment(sizes);
  std::atomic<int> right{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 200; ++caller)
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 10; ++i) {
        const std::string prompt = "caller " + std::to_string(caller) +
                                   " request " + std::to_string(i);
        const int tokens = 5 + (caller * 7 + i * 13) % 40;
        try {
          const auto stream = deployment.open(
              caller % 2, completionBody(prompt, tokens, i % 2 == 0));
          const std::string body = readAll(*stream);
          if (standin::textOfBody(body) ==
              standin::completionText(prompt, static_cast<unsigned>(tokens)))
            ++right;
        } catch (const std::exception &) {
          // Counted as not right.
        }
      }
    });
  for (auto &it : callers)
    it.join();
  CHECK(right == 2000);
}

// Guards against streams that a restart of an entry or a target daemon cuts,
// and against new work after the readiness flip.
TEST_CASE("a graceful shutdown cuts no stream", "[path]") {
  Sizes sizes;
  sizes.EngineFlags = {"--token_interval_ms=40"};
  TestDeployment deployment(sizes);
  std::atomic<int> whole{0};
  std::atomic<int> started{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 200; ++caller)
    callers.emplace_back([&, caller] {
      const std::string prompt = "stream " + std::to_string(caller);
      try {
        const auto stream =
            deployment.open(0, completionBody(prompt, 60, true));
        ++started;
        whole += standin::textOfBody(readAll(*stream)) ==
                 standin::completionText(prompt, 60);
      } catch (const std::exception &) {
        // Counted as not whole.
      }
    });
  REQUIRE(waitFor([&] { return started == 200; }, in(10s)));
  deployment.Targets.at(0)->terminate();
  deployment.Entries.at(0)->terminate();
  std::this_thread::sleep_for(500ms); // The grace time of 300 ms has passed.
  const auto late = deployment.call(0, "GET", "/services/stock/stock/x", "");
  CHECK(late.Status == 503);
  CHECK(nlohmann::json::parse(late.Body).at("executed") == "no");
  for (auto &it : callers)
    it.join();
  CHECK(whole == 200);
  CHECK(deployment.Entries.at(0)->waitForExit(in(30s)) == 0);
  CHECK(deployment.Targets.at(0)->waitForExit(in(30s)) == 0);
}

// Guards against a connection between daemons that went silent without an end
// and holds its requests until their deadline.
TEST_CASE("a silent connection is replaced and its work is settled", "[path]") {
  Sizes sizes;
  sizes.Entries = 1;
  sizes.Engines = 1;
  sizes.EngineFlags = {"--token_interval_ms=100"};
  TestDeployment deployment(sizes);
  REQUIRE(deployment.call(0, "GET", "/services/stock/stock/x", "").Status ==
          200);
  const auto stream = deployment.open(0, completionBody("silent", 50, true));
  REQUIRE_FALSE(stream->read(10, in(5s)).empty());
  for (auto &relay : deployment.Relays)
    relay->silenceConnections();
  const auto cutAt = std::chrono::steady_clock::now();
  const auto lost = deployment.call(0, "POST", Reserve, reservation("silent"));
  // Sent on the silent connection: whether it was executed is unknown.
  CHECK(lost.Status == 502);
  CHECK(nlohmann::json::parse(lost.Body).at("executed") == "unknown");
  CHECK(std::chrono::steady_clock::now() - cutAt < 3s);
  CHECK(deployment.executions("silent") <= 1);
  // The stream resumes on the new connection without a gap or a repeat.
  const std::string rest = readAll(*stream);
  CHECK(rest.size() > 1000);
  CHECK(waitFor(
      [&] {
        return deployment.call(0, "GET", "/services/stock/stock/x", "")
                   .Status == 200;
      },
      in(5s)));
}

// Guards against a lost engine that cuts its callers' streams.
TEST_CASE("a stream survives the loss of its engine", "[path]") {
  Sizes sizes;
  sizes.Engines = 3;
  sizes.EngineFlags = {"--token_interval_ms=30"};
  TestDeployment deployment(sizes);
  std::atomic<int> whole{0};
  std::atomic<int> started{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 12; ++caller)
    callers.emplace_back([&, caller] {
      const std::string prompt = "resume " + std::to_string(caller);
      try {
        const auto stream =
            deployment.open(caller % 2, completionBody(prompt, 60, true));
        ++started;
        whole += standin::textOfBody(readAll(*stream)) ==
                 standin::completionText(prompt, 60);
      } catch (const std::exception &) {
        // Counted as not whole.
      }
    });
  REQUIRE(waitFor([&] { return started == 12; }, in(10s)));
  std::this_thread::sleep_for(300ms);
  deployment.BackEnds.at(0)->kill();
  for (auto &it : callers)
    it.join();
  CHECK(whole == 12);
}
