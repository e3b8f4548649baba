#include "adaptertcp/asynchttpserver.h"
#include "libbergamotexperts/mapchange.h"
#include "sidecar/batchrunner.h"
#include "sidecar/copyprogress.h"
#include "sidecar/countdeltatracker.h"
#include "sidecar/fanoutsubtree.h"
#include "sidecar/peerrankclient.h"
#include "sidecar/rankcodec.h"
#include "sidecar/steptimeestimator.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace bergamot;
using namespace bergamot::sidecar;
using namespace std::chrono_literals;
using adaptertcp::AsyncHttpServer;
using Clock = std::chrono::steady_clock;

namespace {

base::TimePoint at(std::chrono::milliseconds time) {
  return base::TimePoint() + time;
}

/// The sidecars of a group, on loopback addresses with the same port. Each
/// responds to a call with its own address and the call's body, and executes
/// batches.
struct FakeSidecars {
  explicit FakeSidecars(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      Addresses.push_back("127.0.0." + std::to_string(i + 2));
    BatchCalls.resize(count, 0);
    DirectCalls.resize(count, 0);
    Unresponsive.resize(count, false);
    for (std::size_t i = 0; i < count; ++i)
      addSidecar(i);
  }

  void addSidecar(std::size_t i) {
    Runners.push_back(std::make_unique<BatchRunner>(
        Loop, Addresses[i], Port,
        [this, i](const auto &, const auto &body, const auto &done) {
          done(Addresses[i] + body);
        }));
    Servers.push_back(std::make_unique<AsyncHttpServer>(
        Loop,
        [this, i](const adaptertcp::RequestHead &head, const std::string &body,
                  AsyncHttpServer::ResponseCallback reply) {
          serve(i, head.Target, body, std::move(reply));
        }));
    Servers.back()->listen({boost::asio::ip::make_address(Addresses[i]), Port});
  }

  void serve(std::size_t i, const std::string &requestTarget,
             const std::string &body, AsyncHttpServer::ResponseCallback reply) {
    if (Unresponsive[i]) {
      PendingReplies.push_back(std::move(reply));
      return;
    }
    if (!requestTarget.starts_with(paths::Batch)) {
      ++DirectCalls[i];
      reply({200, "", Addresses[i] + body});
      return;
    }
    ++BatchCalls[i];
    const auto batch = decodeBatch(body);
    REQUIRE(batch);
    Runners[i]->run(*batch, [reply](const BatchResponses &responses) {
      reply({200, "", encodeResponses(responses)});
    });
  }

  /// Calls all sidecars in the same iteration of the event loop. The response
  /// of a failed call is empty.
  std::vector<std::string> call(FanoutSubtree &subtree,
                                const std::string &body) {
    std::vector<std::string> responses(Addresses.size(), "none");
    std::size_t pending = responses.size();
    for (std::size_t i = 0; i < responses.size(); ++i)
      subtree.call(Addresses[i], "/rank?by=0", body, Clock::now() + 200ms,
                   [&, i](const adaptertcp::CallResult &it) {
                     responses[i] = it.isStatus(200) ? it.Body : "";
                     --pending;
                   });
    const auto end = Clock::now() + 3s;
    while (pending > 0 && Clock::now() < end)
      Loop.run_one_for(5ms);
    Loop.restart();
    return responses;
  }

  static constexpr std::uint16_t Port = 17341;
  boost::asio::io_context Loop;
  std::vector<std::string> Addresses;
  std::vector<int> BatchCalls;
  std::vector<int> DirectCalls;
  std::vector<bool> Unresponsive;
  std::vector<AsyncHttpServer::ResponseCallback> PendingReplies;
  std::vector<std::unique_ptr<BatchRunner>> Runners;
  std::vector<std::unique_ptr<AsyncHttpServer>> Servers;
};

std::shared_ptr<FanoutSubtree> subtreeOf(FakeSidecars &sidecars) {
  return std::make_shared<FanoutSubtree>(sidecars.Loop, FakeSidecars::Port,
                                         sidecars.Addresses);
}

/// An engine that has copied a version after a given number of state reads.
class CopyingEngine final : public RankClient {
public:
  explicit CopyingEngine(boost::asio::io_context &loop) : Loop(loop) {}
  void fetchState(base::TimePoint, StateCompletion done) override {
    ++StateReads;
    if (StateReads >= CopiedAtRead)
      State.PreparedVersion = 7;
    boost::asio::post(Loop, [state = State, done] { done(state); });
  }
  void fetchExpertIds(base::TimePoint, ExpertIdsCompletion done) override {
    done(std::nullopt);
  }
  void sendOrder(const experts::RankOrder &, base::TimePoint,
                 OrderCompletion done) override {
    done(experts::OrderResult::Unknown);
  }

  boost::asio::io_context &Loop;
  experts::RankState State;
  int StateReads = 0;
  int CopiedAtRead = 1000;
};

} // namespace

TEST_CASE("calls of one loop iteration go to the relay as a batch") {
  FakeSidecars sidecars(4);
  const auto subtree = subtreeOf(sidecars);
  const auto responses = sidecars.call(*subtree, "x");
  for (std::size_t i = 0; i < responses.size(); ++i)
    CHECK(responses[i] == sidecars.Addresses[i] + "x");
  CHECK(sidecars.BatchCalls == std::vector<int>{1, 0, 0, 0});
  CHECK(sidecars.DirectCalls == std::vector<int>{0, 1, 1, 1});
}

TEST_CASE("an unresponsive member fails only its own call") {
  FakeSidecars sidecars(4);
  const auto subtree = subtreeOf(sidecars);
  sidecars.Unresponsive[2] = true;
  const auto responses = sidecars.call(*subtree, "");
  CHECK(responses == std::vector<std::string>{sidecars.Addresses[0],
                                              sidecars.Addresses[1], "",
                                              sidecars.Addresses[3]});
}

TEST_CASE("the next member replaces an unresponsive relay") {
  FakeSidecars sidecars(3);
  const auto subtree = subtreeOf(sidecars);
  sidecars.Unresponsive[0] = true;
  CHECK(sidecars.call(*subtree, "") == std::vector<std::string>{"", "", ""});
  const auto responses = sidecars.call(*subtree, "");
  CHECK(responses[0].empty());
  CHECK(responses[1] == sidecars.Addresses[1]);
  CHECK(responses[2] == sidecars.Addresses[2]);
  CHECK(sidecars.BatchCalls == std::vector<int>{0, 1, 0});
}

TEST_CASE("destroying a subtree cancels its calls") {
  // Guards against completions that reach a coordinator after its replacement.
  FakeSidecars sidecars(2);
  auto subtree = subtreeOf(sidecars);
  sidecars.Unresponsive[0] = true;
  int responses = 0;
  for (const auto &it : sidecars.Addresses)
    subtree->call(it, "/rank?by=0", "", Clock::now() + 50ms,
                  [&](const auto &) { ++responses; });
  sidecars.Loop.run_for(10ms);
  subtree.reset();
  sidecars.Loop.restart();
  sidecars.Loop.run_for(100ms);
  CHECK(responses == 0);
}

TEST_CASE("subtree size grows with the square root of the group size") {
  CHECK(subtreeSize(8) == 1);
  CHECK(subtreeSize(12) == 1);
  CHECK(subtreeSize(32) == 6);
  CHECK(subtreeSize(64) == 8);
  CHECK(subtreeSize(128) == 11);
}

TEST_CASE("batches and their responses survive an encoding round trip") {
  Batch batch;
  batch.RequestTarget = "/order?by=3";
  batch.Bodies = {std::string("\0\xff", 2), "b"};
  batch.Calls = {{"10.1.0.2", 1}, {"10.1.0.3", std::nullopt}};
  batch.Timeout = 120ms;
  const auto decoded = decodeBatch(encodeBatch(batch));
  REQUIRE(decoded);
  CHECK(decoded->RequestTarget == batch.RequestTarget);
  CHECK(decoded->Bodies == batch.Bodies);
  CHECK(decoded->Calls[0].Body == 1);
  CHECK_FALSE(decoded->Calls[1].Body);
  CHECK(decoded->Timeout == 120ms);
  batch.Calls[0].Body = 2;
  CHECK_FALSE(decodeBatch(encodeBatch(batch)));
  CHECK_FALSE(decodeBatch("\x01"));
  const BatchResponses responses = {"a", std::nullopt, std::string("\0", 1)};
  CHECK(decodeResponses(encodeResponses(responses)) == responses);
  CHECK_FALSE(decodeResponses("\xff"));
}

TEST_CASE("a relay sums the counts of its members") {
  BatchResponses responses = {std::nullopt, encodeCounts({1, 2, 3}),
                              encodeCounts({}), "damaged",
                              encodeCounts({10, 20, 30})};
  mergeCounts(responses);
  CHECK_FALSE(responses[0]);
  CHECK(decodeCounts(*responses[1]) == CountDeltas{11, 22, 33});
  CHECK(decodeCounts(*responses[4]) == CountDeltas{});
}

TEST_CASE("counts keep their proportions when scaled to one byte each") {
  std::mt19937_64 random(11);
  CountDeltas counts(3072);
  for (auto &it : counts)
    it = static_cast<std::uint32_t>(random() % 40000);
  const std::string bytes = encodeCounts(counts);
  // 64 ranks send 12 sets of 256 counts seven times a second over links of 6
  // Mbit/s.
  CHECK(bytes.size() < counts.size() + 64);
  const auto decoded = decodeCounts(bytes);
  REQUIRE(decoded);
  for (std::size_t i = 0; i < counts.size(); ++i)
    REQUIRE(std::abs(static_cast<double>((*decoded)[i]) - counts[i]) <= 80);
  CHECK(decodeCounts(encodeCounts({0, 3, 255})) == CountDeltas{0, 3, 255});
}

TEST_CASE("orders encode the map of a large group with one byte per expert") {
  // A change sends the map of 64 ranks to each of them over links of 6 Mbit/s,
  // several times in four seconds.
  experts::GroupMap map(12);
  std::mt19937_64 random(3);
  for (auto &set : map) {
    set.resize(64);
    for (auto &rank : set)
      for (int i = 0; i < 5; ++i)
        rank.push_back(static_cast<std::uint32_t>(random() % 256));
  }
  const experts::RankOrder order{experts::OrderKind::Prepare, 1, 2, 3, map};
  CHECK(encodeOrder(order).size() < 12 * 64 * 6 + 100);
  CHECK(decodeOrder(encodeOrder(order))->Map == map);
  // Larger numbers need more bytes; a rank may hold no experts.
  map[3][4] = {};
  map[5][6].push_back(70000);
  CHECK(decodeOrder(encodeOrder({experts::OrderKind::Prepare, 1, 2, 3, map}))
            ->Map == map);
  map[5][6].back() = 600;
  const std::string bytes =
      encodeOrder({experts::OrderKind::Prepare, 1, 2, 3, map});
  CHECK(decodeOrder(bytes)->Map == map);
  CHECK(decodeOrder(encodeOrder({experts::OrderKind::Arm, 1, 2, 3, {}}))
            ->Map.empty());
}

TEST_CASE("each coordinator gets the counts since its previous call") {
  CountDeltaTracker tracker;
  CHECK(tracker.takeDeltas(0, {1, 1, {5, 5}}, at(0ms)).empty());
  CHECK(tracker.takeDeltas(0, {1, 2, {6, 9}}, at(150ms)) == CountDeltas{1, 4});
  CHECK(tracker.takeDeltas(3, {1, 2, {7, 9}}, at(160ms)).empty());
  CHECK(tracker.takeDeltas(3, {1, 3, {8, 9}}, at(300ms)) == CountDeltas{1, 0});
  CHECK(tracker.takeDeltas(0, {1, 3, {8, 9}}, at(310ms)) == CountDeltas{2, 0});
  // A new epoch, a restarted engine, a long gap, a different number of experts.
  CHECK(tracker.takeDeltas(0, {2, 0, {9, 9}}, at(400ms)).empty());
  CHECK(tracker.takeDeltas(0, {2, 1, {1, 0}}, at(500ms)).empty());
  CHECK(tracker.takeDeltas(0, {2, 2, {2, 0}}, at(1600ms)).empty());
  CHECK(tracker.takeDeltas(0, {2, 3, {2, 0, 4}}, at(1700ms)).empty());
}

TEST_CASE("copy progress is polled until the engine has copied the experts") {
  boost::asio::io_context loop;
  CopyingEngine engine(loop);
  engine.State.GroupOpen = true;
  std::optional<experts::RankState> response;
  const auto pollCopies = [&](std::chrono::milliseconds time) {
    response.reset();
    loop.restart();
    pollCopyProgress(loop, engine, 7, Clock::now() + time,
                     [&](const auto &it) { response = it; });
    loop.run();
    REQUIRE(response);
  };
  engine.CopiedAtRead = 3;
  pollCopies(5s);
  CHECK(response->PreparedVersion == 7);
  CHECK(engine.StateReads == 3);
  // Doesn't wait if the copy can no longer complete, nor beyond the deadline.
  engine.State.PreparedVersion = 0;
  engine.CopiedAtRead = 1000;
  engine.State.Armed = experts::ArmedSwitch{6, 9};
  engine.StateReads = 0;
  pollCopies(5s);
  CHECK(engine.StateReads == 1);
  engine.State.Armed.reset();
  pollCopies(60ms);
  CHECK(response->PreparedVersion == 0);
}

TEST_CASE("step time is estimated from the ranks' reports") {
  StepTimeEstimator estimator;
  const auto report = [&](std::uint64_t epoch, std::uint64_t step,
                          std::chrono::milliseconds time) {
    experts::RankState state;
    state.Epoch = epoch;
    state.Step = step;
    estimator.addReport(state, at(time));
  };
  CHECK(estimator.stepTime() == 0ms);
  report(1, 10, 5000ms);
  CHECK(estimator.stepTime() == 0ms);
  report(1, 12, 5200ms);
  CHECK(estimator.stepTime() == 100ms);
  report(1, 11, 5210ms); // An older report, from another rank.
  report(1, 13, 5250ms);
  CHECK(estimator.stepTime() == 85ms);
  report(1, 14, 9000ms); // The group was idle.
  CHECK(estimator.stepTime() == 85ms);
  report(2, 0, 9100ms);
  report(2, 1, 9185ms);
  CHECK(estimator.stepTime() == 85ms);
}

TEST_CASE("step margin covers the time to arm all ranks") {
  CHECK(experts::stepMargin(100ms, 0ms) == experts::MinStepMargin);
  CHECK(experts::stepMargin(100ms, 120ms) == 2);
  CHECK(experts::stepMargin(100ms, 45ms) == 3);
  CHECK(experts::stepMargin(100ms, 20ms) == experts::MaxStepMargin);
  CHECK(experts::stepMargin(10ms, 120ms) == experts::MinStepMargin);
}

TEST_CASE("query parameters of calls between sidecars") {
  CHECK(numberParameter("/copies?by=12&version=7&within=400", "version") == 7);
  CHECK(numberParameter("/copies?by=12", "by") == 12);
  CHECK_FALSE(numberParameter("/copies?by=12x", "by"));
  CHECK_FALSE(numberParameter("/copies?by=-1", "by"));
  CHECK_FALSE(numberParameter("/copies", "by"));
  CHECK(batchRequestTarget("/rank?by=4") == "/batch?by=4");
}
