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

/// An engine that answers some sendings of an order, each with one result.
class FickleEngine final : public RankPort {
public:
  explicit FickleEngine(boost::asio::io_context &loop) : Loop(loop) {}
  void fetchState(base::TimePoint, StateCompletion done) override {
    done(std::nullopt);
  }
  void fetchExperts(base::TimePoint, ExpertsCompletion done) override {
    done(std::nullopt);
  }
  void sendOrder(const experts::RankOrder &, base::TimePoint deadline,
                 OrderCompletion done) override {
    const auto answer = Answers.find(++Sendings);
    if (answer != Answers.end()) {
      boost::asio::post(Loop,
                        [done, result = answer->second] { done(result); });
      return;
    }
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(Loop, deadline);
    timer->async_wait(
        [timer, done](const auto &) { done(OrderResult::Unknown); });
  }

  boost::asio::io_context &Loop;
  /// Results by number of the sending; others stay without an answer.
  std::map<int, OrderResult> Answers;
  int Sendings = 0;
};

struct Outcome {
  OrderResult Result = OrderResult::Unknown;
  int Calls = 0;
  base::Duration Took{};
};

Outcome send(FickleEngine &engine, boost::asio::io_context &loop) {
  Outcome outcome;
  const auto start = Clock::now();
  // The engine outlives the call.
  const std::shared_ptr<RankPort> port(&engine, [](RankPort *) {});
  sendRepeatedly(loop, port, {}, start + 200ms, [&](OrderResult result) {
    ++outcome.Calls;
    outcome.Result = result;
    outcome.Took = Clock::now() - start;
  });
  loop.run();
  return outcome;
}

} // namespace

TEST_CASE("an order that an engine leaves unanswered is sent again soon") {
  // Load pattern: engines answer half of the orders; a coordinator that waits
  // for its time limit needs 200 ms a round.
  boost::asio::io_context loop;
  FickleEngine engine(loop);
  engine.Answers = {{3, OrderResult::Accepted}};
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Accepted);
  CHECK(outcome.Calls == 1);
  CHECK(engine.Sendings == 3);
  CHECK(outcome.Took < 180ms);
}

TEST_CASE("an order that is answered is sent once") {
  for (const auto result : {OrderResult::Accepted, OrderResult::Conflict}) {
    boost::asio::io_context loop;
    FickleEngine engine(loop);
    engine.Answers = {{1, result}};
    CHECK(send(engine, loop).Result == result);
    CHECK(engine.Sendings == 1);
  }
}

TEST_CASE("a refusal of a repeated order proves nothing") {
  // The first sending may have been carried out without an answer. Guards
  // against a change that ends as superseded by itself.
  boost::asio::io_context loop;
  FickleEngine engine(loop);
  engine.Answers = {{2, OrderResult::Conflict}};
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Unknown);
  CHECK(outcome.Calls == 1);
}

TEST_CASE("an engine that answers nothing gets a bounded number of orders") {
  boost::asio::io_context loop;
  FickleEngine engine(loop);
  const Outcome outcome = send(engine, loop);
  CHECK(outcome.Result == OrderResult::Unknown);
  CHECK(outcome.Calls == 1);
  CHECK(engine.Sendings <= 5);
}
