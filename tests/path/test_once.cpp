#include "libbergamotbase/error.h"
#include "testdeployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace bergamot;
using namespace bergamot::testpath;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *Reserve = "/services/stock/reservations";

std::string reservation(const std::string &order) {
  return json{{"order_id", order}, {"item", "sheet"}, {"quantity", 1}}.dump();
}

/// Returns the status of a keyed reservation, 0 if the connection broke.
int reserve(TestDeployment &deployment, int entry, const std::string &order,
            std::string *executed = nullptr) {
  try {
    const auto response = deployment.call(entry, "POST", Reserve,
                                          reservation(order), "key-" + order);
    const auto body = json::parse(response.Body, nullptr, false);
    if (executed != nullptr && body.is_object())
      *executed = body.value("executed", "");
    return response.Status;
  } catch (const base::Error &) {
    return 0;
  }
}

} // namespace

// Guards against a key that two entries execute when they receive it at the
// same time.
TEST_CASE("one key sent through two entries at once runs once", "[once]") {
  TestDeployment deployment({});
  for (int i = 0; i < 10; ++i) {
    const std::string order = "race" + std::to_string(i);
    std::atomic<int> created{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller)
      callers.emplace_back([&, caller] {
        created += reserve(deployment, caller % 2, order) == 201;
      });
    for (auto &it : callers)
      it.join();
    CHECK(created >= 1);
    CHECK(deployment.executions(order) == 1);
  }
}

// Guards against a second execution when the entry that dispatched a request
// dies, or pauses and goes on, and the caller repeats it elsewhere.
TEST_CASE("a key runs once over a killed and a paused entry", "[once]") {
  TestDeployment deployment({});
  deployment.setBackEndFaults(
      2, {{"slow_ms", 600}, {"slow_count", 2}, {"path", "/reservations"}});
  std::thread first([&] { reserve(deployment, 0, "killed"); });
  std::this_thread::sleep_for(300ms);
  deployment.Entries.at(0)->kill();
  first.join();
  const int repeated = reserve(deployment, 1, "killed");
  CHECK(repeated != 201);
  CHECK(deployment.executions("killed") <= 1);

  deployment.startEntry(0);
  REQUIRE(deployment.waitUntilInForce(0, 1, in(20s)));
  deployment.setBackEndFaults(
      2, {{"slow_ms", 600}, {"slow_count", 1}, {"path", "/reservations"}});
  std::thread paused([&] { reserve(deployment, 0, "paused"); });
  std::this_thread::sleep_for(300ms);
  deployment.Entries.at(0)->pause();
  CHECK(reserve(deployment, 1, "paused") != 201);
  std::this_thread::sleep_for(4s); // Longer than any deadline of the claim.
  deployment.Entries.at(0)->resume();
  paused.join();
  CHECK(deployment.executions("paused") <= 1);
}

// Guards against a false "not executed" when the target's daemon dies with the
// request at the back end.
TEST_CASE("a killed target daemon leaves an unknown outcome", "[once]") {
  TestDeployment deployment({});
  deployment.setBackEndFaults(
      2, {{"slow_ms", 800}, {"slow_count", 1}, {"path", "/reservations"}});
  std::string executed;
  std::atomic<int> status{-1};
  std::thread caller(
      [&] { status = reserve(deployment, 0, "orphan", &executed); });
  std::this_thread::sleep_for(400ms);
  deployment.Targets.at(2)->kill();
  caller.join();
  CHECK(status == 502);
  CHECK(executed == "unknown");
  deployment.startTarget(2);
  std::this_thread::sleep_for(1s);
  CHECK(reserve(deployment, 1, "orphan", &executed) == 409);
  CHECK(executed == "unknown");
  CHECK(deployment.executions("orphan") <= 1);
}

// Guards against a claim that runs twice, or is refused wrongly, when the log
// loses the response to an append, and against keyed work while it is down.
TEST_CASE("keys are safe when the log loses answers or is down", "[once]") {
  TestDeployment deployment({});
  deployment.setPlatformFaults(
      {{"lose_answers", 2}, {"path", "/v1/streams/claims"}});
  CHECK(reserve(deployment, 0, "lost") == 201);
  CHECK(reserve(deployment, 1, "lost") == 201);
  CHECK(deployment.executions("lost") == 1);

  deployment.setPlatformFaults({{"clear", true}});
  deployment.setPlatformFaults(
      {{"down", true}, {"path", "/v1/streams/claims"}});
  std::string executed;
  CHECK(reserve(deployment, 0, "down", &executed) == 503);
  CHECK(executed == "no");
  CHECK(deployment.executions("down") == 0);
  CHECK(deployment.call(0, "GET", "/services/stock/stock/x", "").Status == 200);

  deployment.setPlatformFaults({{"clear", true}});
  CHECK(
      waitFor([&] { return reserve(deployment, 1, "down") == 201; }, in(10s)));
  CHECK(deployment.executions("down") == 1);
}

// Guards against a refusal that claims "not executed" although the back end
// was reached, without a key.
TEST_CASE("an unkeyed request is never sent again", "[once]") {
  TestDeployment deployment({});
  deployment.setBackEndFaults(2,
                              {{"lose_answers", 1}, {"path", "/reservations"}});
  const auto lost = deployment.call(0, "POST", Reserve, reservation("unkeyed"));
  CHECK(lost.Status == 502);
  CHECK(json::parse(lost.Body).at("executed") != "no");
  CHECK(deployment.executions("unkeyed") == 1);
}
