#include "adaptertcp/smallserver.h"
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
using adaptertcp::SmallServer;
using Clock = std::chrono::steady_clock;

namespace {

base::TimePoint at(std::chrono::milliseconds time) {
  return base::TimePoint() + time;
}

/// Sidecars of a group: addresses of the loopback network at one port, each of
/// which answers a call with its own address, and makes batches.
struct Members {
  explicit Members(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      Addresses.push_back("127.0.0." + std::to_string(i + 2));
    Batches.resize(count, 0);
    Singles.resize(count, 0);
    Silent.resize(count, false);
    for (std::size_t i = 0; i < count; ++i)
      addMember(i);
  }

  void addMember(std::size_t i) {
    Runners.push_back(std::make_unique<BatchRunner>(
        Loop, Addresses[i], Port,
        [this, i](const auto &, const auto &body, const auto &done) {
          done(Addresses[i] + body);
        }));
    Servers.push_back(std::make_unique<SmallServer>(
        Loop, [this, i](const adaptertcp::RequestHead &head,
                        const std::string &body, SmallServer::Reply reply) {
          serve(i, head.Target, body, std::move(reply));
        }));
    Servers.back()->listen({boost::asio::ip::make_address(Addresses[i]), Port});
  }

  void serve(std::size_t i, const std::string &target, const std::string &body,
             SmallServer::Reply reply) {
    if (Silent[i]) {
      Unanswered.push_back(std::move(reply));
      return;
    }
    if (!target.starts_with(paths::Batch)) {
      ++Singles[i];
      reply({200, "", Addresses[i] + body});
      return;
    }
    ++Batches[i];
    const auto batch = decodeBatch(body);
    REQUIRE(batch);
    Runners[i]->run(*batch, [reply](const BatchAnswers &answers) {
      reply({200, "", encodeAnswers(answers)});
    });
  }

  /// Calls all members in one turn of the loop; an answer is empty if there
  /// was none.
  std::vector<std::string> call(Branch &branch, const std::string &body) {
    std::vector<std::string> answers(Addresses.size(), "none");
    std::size_t missing = answers.size();
    for (std::size_t i = 0; i < answers.size(); ++i)
      branch.call(Addresses[i], "/rank?by=0", body, Clock::now() + 200ms,
                  [&, i](const adaptertcp::CallResult &it) {
                    answers[i] = it.isStatus(200) ? it.Body : "";
                    --missing;
                  });
    const auto end = Clock::now() + 3s;
    while (missing > 0 && Clock::now() < end)
      Loop.run_one_for(5ms);
    Loop.restart();
    return answers;
  }

  static constexpr std::uint16_t Port = 17341;
  boost::asio::io_context Loop;
  std::vector<std::string> Addresses;
  std::vector<int> Batches;
  std::vector<int> Singles;
  std::vector<bool> Silent;
  std::vector<SmallServer::Reply> Unanswered;
  std::vector<std::unique_ptr<BatchRunner>> Runners;
  std::vector<std::unique_ptr<SmallServer>> Servers;
};

std::shared_ptr<Branch> branchOf(Members &members) {
  return std::make_shared<Branch>(members.Loop, Members::Port,
                                  members.Addresses);
}

/// An engine that has copied a version after some looks.
class CopyingEngine final : public RankPort {
public:
  explicit CopyingEngine(boost::asio::io_context &loop) : Loop(loop) {}
  void fetchState(base::TimePoint, StateCompletion done) override {
    ++Looks;
    if (Looks >= CopiedAtLook)
      State.PreparedVersion = 7;
    boost::asio::post(Loop, [state = State, done] { done(state); });
  }
  void fetchExperts(base::TimePoint, ExpertsCompletion done) override {
    done(std::nullopt);
  }
  void sendOrder(const experts::RankOrder &, base::TimePoint,
                 OrderCompletion done) override {
    done(experts::OrderResult::Unknown);
  }

  boost::asio::io_context &Loop;
  experts::RankState State;
  int Looks = 0;
  int CopiedAtLook = 1000;
};

} // namespace

TEST_CASE("calls of one turn go to a branch's head as one") {
  Members members(4);
  const auto branch = branchOf(members);
  const auto answers = members.call(*branch, "x");
  for (std::size_t i = 0; i < answers.size(); ++i)
    CHECK(answers[i] == members.Addresses[i] + "x");
  CHECK(members.Batches == std::vector<int>{1, 0, 0, 0});
  CHECK(members.Singles == std::vector<int>{0, 1, 1, 1});
}

TEST_CASE("a silent member costs only its own answer") {
  Members members(4);
  const auto branch = branchOf(members);
  members.Silent[2] = true;
  const auto answers = members.call(*branch, "");
  CHECK(answers == std::vector<std::string>{members.Addresses[0],
                                            members.Addresses[1], "",
                                            members.Addresses[3]});
}

TEST_CASE("the next member heads a branch whose head is silent") {
  Members members(3);
  const auto branch = branchOf(members);
  members.Silent[0] = true;
  CHECK(members.call(*branch, "") == std::vector<std::string>{"", "", ""});
  const auto answers = members.call(*branch, "");
  CHECK(answers[0].empty());
  CHECK(answers[1] == members.Addresses[1]);
  CHECK(answers[2] == members.Addresses[2]);
  CHECK(members.Batches == std::vector<int>{0, 1, 0});
}

TEST_CASE("a branch that ends takes its calls along") {
  // Guards against completions on a coordinator that has lost its duty.
  Members members(2);
  auto branch = branchOf(members);
  members.Silent[0] = true;
  int answers = 0;
  for (const auto &it : members.Addresses)
    branch->call(it, "/rank?by=0", "", Clock::now() + 50ms,
                 [&](const auto &) { ++answers; });
  members.Loop.run_for(10ms);
  branch.reset();
  members.Loop.restart();
  members.Loop.run_for(100ms);
  CHECK(answers == 0);
}

TEST_CASE("branches grow with the square root of their group") {
  CHECK(branchSize(8) == 1);
  CHECK(branchSize(12) == 1);
  CHECK(branchSize(32) == 6);
  CHECK(branchSize(64) == 8);
  CHECK(branchSize(128) == 11);
}

TEST_CASE("batches and their answers survive their encoding") {
  Batch batch;
  batch.Target = "/order?by=3";
  batch.Bodies = {std::string("\0\xff", 2), "b"};
  batch.Calls = {{"10.1.0.2", 1}, {"10.1.0.3", std::nullopt}};
  batch.Within = 120ms;
  const auto decoded = decodeBatch(encodeBatch(batch));
  REQUIRE(decoded);
  CHECK(decoded->Target == batch.Target);
  CHECK(decoded->Bodies == batch.Bodies);
  CHECK(decoded->Calls[0].Body == 1);
  CHECK_FALSE(decoded->Calls[1].Body);
  CHECK(decoded->Within == 120ms);
  batch.Calls[0].Body = 2;
  CHECK_FALSE(decodeBatch(encodeBatch(batch)));
  CHECK_FALSE(decodeBatch("\x01"));
  const BatchAnswers answers = {"a", std::nullopt, std::string("\0", 1)};
  CHECK(decodeAnswers(encodeAnswers(answers)) == answers);
  CHECK_FALSE(decodeAnswers("\xff"));
}

TEST_CASE("a head sums its members' counts") {
  BatchAnswers answers = {std::nullopt, encodeCounts({1, 2, 3}),
                          encodeCounts({}), "damaged",
                          encodeCounts({10, 20, 30})};
  mergeCounts(answers);
  CHECK_FALSE(answers[0]);
  CHECK(decodeCounts(*answers[1]) == AddedCounts{11, 22, 33});
  CHECK(decodeCounts(*answers[4]) == AddedCounts{});
}

TEST_CASE("counts keep their proportions in one byte each") {
  std::mt19937_64 random(11);
  AddedCounts counts(3072);
  for (auto &it : counts)
    it = static_cast<std::uint32_t>(random() % 40000);
  const std::string bytes = encodeCounts(counts);
  // Load pattern: 64 ranks send 12 sets of 256 counts seven times a second over
  // links of 6 Mbit/s.
  CHECK(bytes.size() < counts.size() + 64);
  const auto decoded = decodeCounts(bytes);
  REQUIRE(decoded);
  for (std::size_t i = 0; i < counts.size(); ++i)
    REQUIRE(std::abs(static_cast<double>((*decoded)[i]) - counts[i]) <= 80);
  CHECK(decodeCounts(encodeCounts({0, 3, 255})) == AddedCounts{0, 3, 255});
}

TEST_CASE("orders carry a large group's map in one byte per expert") {
  // Load pattern: a change sends the map of 64 ranks to each of them over links
  // of 6 Mbit/s, several times in four seconds.
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
  // Larger numbers need more bytes; ranks may hold nothing.
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

TEST_CASE("each coordinator gets what was counted since its last call") {
  CountWindow window;
  CHECK(window.added(0, {1, 1, {5, 5}}, at(0ms)).empty());
  CHECK(window.added(0, {1, 2, {6, 9}}, at(150ms)) == AddedCounts{1, 4});
  CHECK(window.added(3, {1, 2, {7, 9}}, at(160ms)).empty());
  CHECK(window.added(3, {1, 3, {8, 9}}, at(300ms)) == AddedCounts{1, 0});
  CHECK(window.added(0, {1, 3, {8, 9}}, at(310ms)) == AddedCounts{2, 0});
  // A new epoch, a restarted engine, a long pause, another number of experts.
  CHECK(window.added(0, {2, 0, {9, 9}}, at(400ms)).empty());
  CHECK(window.added(0, {2, 1, {1, 0}}, at(500ms)).empty());
  CHECK(window.added(0, {2, 2, {2, 0}}, at(1600ms)).empty());
  CHECK(window.added(0, {2, 3, {2, 0, 4}}, at(1700ms)).empty());
}

TEST_CASE("a sidecar answers once its engine has copied the experts") {
  boost::asio::io_context loop;
  CopyingEngine engine(loop);
  engine.State.GroupOpen = true;
  std::optional<experts::RankState> answer;
  const auto watch = [&](std::chrono::milliseconds time) {
    answer.reset();
    loop.restart();
    watchCopies(loop, engine, 7, Clock::now() + time,
                [&](const auto &it) { answer = it; });
    loop.run();
    REQUIRE(answer);
  };
  engine.CopiedAtLook = 3;
  watch(5s);
  CHECK(answer->PreparedVersion == 7);
  CHECK(engine.Looks == 3);
  // It doesn't wait for what can't come any more, nor past its time.
  engine.State.PreparedVersion = 0;
  engine.CopiedAtLook = 1000;
  engine.State.Armed = experts::ArmedSwitch{6, 9};
  engine.Looks = 0;
  watch(5s);
  CHECK(engine.Looks == 1);
  engine.State.Armed.reset();
  watch(60ms);
  CHECK(answer->PreparedVersion == 0);
}

TEST_CASE("the time of steps follows from the ranks' reports") {
  StepClock clock;
  const auto report = [&](std::uint64_t epoch, std::uint64_t step,
                          std::chrono::milliseconds time) {
    experts::RankState state;
    state.Epoch = epoch;
    state.Step = step;
    clock.addReport(state, at(time));
  };
  CHECK(clock.stepTime() == 0ms);
  report(1, 10, 5000ms);
  CHECK(clock.stepTime() == 0ms);
  report(1, 12, 5200ms);
  CHECK(clock.stepTime() == 100ms);
  report(1, 11, 5210ms); // An older report of another rank.
  report(1, 13, 5250ms);
  CHECK(clock.stepTime() == 85ms);
  report(1, 14, 9000ms); // The group stood idle.
  CHECK(clock.stepTime() == 85ms);
  report(2, 0, 9100ms);
  report(2, 1, 9185ms);
  CHECK(clock.stepTime() == 85ms);
}

TEST_CASE("the margin of a switch is a time, in steps") {
  CHECK(experts::stepMargin(100ms, 0ms) == experts::MinStepMargin);
  CHECK(experts::stepMargin(100ms, 120ms) == 2);
  CHECK(experts::stepMargin(100ms, 45ms) == 3);
  CHECK(experts::stepMargin(100ms, 20ms) == experts::MaxStepMargin);
  CHECK(experts::stepMargin(10ms, 120ms) == experts::MinStepMargin);
}

TEST_CASE("parameters of a call between sidecars") {
  CHECK(numberParameter("/copies?by=12&version=7&within=400", "version") == 7);
  CHECK(numberParameter("/copies?by=12", "by") == 12);
  CHECK_FALSE(numberParameter("/copies?by=12x", "by"));
  CHECK_FALSE(numberParameter("/copies?by=-1", "by"));
  CHECK_FALSE(numberParameter("/copies", "by"));
  CHECK(batchTarget("/rank?by=4") == "/batch?by=4");
}
