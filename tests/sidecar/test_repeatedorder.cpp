#include "sidecar/orderretry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace bergamot;
using namespace bergamot::sidecar;
using namespace std::chrono_literals;
using experts::OrderResult;
using Clock = std::chrono::steady_clock;

namespace {

/// An engine that responds only to some attempts of an order.
class UnreliableEngine final : public RankClient {
public:
  explicit UnreliableEngine(boost::asio::io_context &loop) : Loop(loop) {}
  void fetchState(base::TimePoint, StateCompletion done) override {
    done(std::nullopt);
  }
  void fetchExpertIds(base::TimePoint, ExpertIdsCompletion done) override {
    done(std::nullopt);
  }
  void sendOrder(const experts::RankOrder &, base::TimePoint deadline,
                 OrderCompletion done) override {
    const auto response = Responses.find(++Attempts);
    if (response != Responses.end()) {
      boost::asio::post(Loop,
                        [done, result = response->second] { done(result); });
      return;
    }
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(Loop, deadline);
    timer->async_wait(
        [timer, done](const auto &) { done(OrderResult::Unknown); });
  }

  boost::asio::io_context &Loop;
  /// Results by number of the attempt; other attempts get no response.
  std::map<int, OrderResult> Responses;
  int Attempts = 0;
};

struct Outcome {
  OrderResult Result = OrderResult::Unknown;
  int Completions = 0;
  base::Duration Elapsed{};
};

Outcome send(UnreliableEngine &engine, boost::asio::io_context &loop) {
  Outcome outcome;
  const auto start = Clock::now();
  // The engine outlives the call.
  const std::shared_ptr<RankClient> client(&engine, [](RankClient *) {});
  sendWithRetries(loop, client, {}, start + 200ms, [&](OrderResult result) {
    ++outcome.Completions;
    outcome.Result = result;
    outcome.Elapsed = Clock::now() - start;
  });
  loop.run();
  return outcome;
}

} // namespace

TEST_CASE("an order without a response is retried before the deadline") {
  // Engines respond to half of the orders. A coordinator that waits for its
  // time limit needs 200 ms per round.
  boost::asio::io_context loop;
  UnreliableEngine engine(loop);
  engine.Responses = {{3, OrderResult::Accepted}};
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Accepted);
  CHECK(outcome.Completions == 1);
  CHECK(engine.Attempts == 3);
  CHECK(outcome.Elapsed < 180ms);
}

TEST_CASE("an order with a response is sent once") {
  for (const auto result : {OrderResult::Accepted, OrderResult::Conflict}) {
    boost::asio::io_context loop;
    UnreliableEngine engine(loop);
    engine.Responses = {{1, result}};
    CHECK(send(engine, loop).Result == result);
    CHECK(engine.Attempts == 1);
  }
}

TEST_CASE("a refusal of a retried order gives an unknown result") {
  // The first attempt may have been executed without a response. Guards against
  // a change that takes its own orders for those of another coordinator and
  // ends as superseded.
  boost::asio::io_context loop;
  UnreliableEngine engine(loop);
  engine.Responses = {{2, OrderResult::Conflict}};
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Unknown);
  CHECK(outcome.Completions == 1);
}

TEST_CASE("an unresponsive engine gets a limited number of attempts") {
  boost::asio::io_context loop;
  UnreliableEngine engine(loop);
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Unknown);
  CHECK(outcome.Completions == 1);
  CHECK(engine.Attempts <= 5);
}
