#include "libbergamotexperts/emergencymap.h"
#include "libbergamotexperts/engineorderstager.h"
#include "libbergamotexperts/initialplacement.h"
#include "libbergamotexperts/transferscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

using namespace bergamot::experts;
using bergamot::base::Duration;
using bergamot::base::FencingToken;
using bergamot::base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TransferKey key(const std::string &group, std::uint32_t expert) {
  return {group, 0, 0, expert};
}

} // namespace

// Guards against reads that exceed the store's rate, groups that receive for
// more than their time fraction, and transfers that restart from the beginning
// after an interruption.
TEST_CASE("transfers respect rate limits and complete despite failures",
          "[transfers]") {
  constexpr std::uint64_t Size = 10'000'000;
  TransferSettings settings;
  settings.BytesPerSecond = 100e6;
  settings.ChunkBytes = 1'000'000;
  TransferScheduler scheduler(settings);
  for (std::uint32_t i = 0; i < 12; ++i)
    scheduler.addTransfer({key(i % 2 ? "a" : "b", i), Size, 1.0 + i});

  struct Running {
    ReadAction Read;
    TimePoint Started;
    TimePoint Until;
    bool Fails;
  };
  std::mt19937_64 random(4);
  std::vector<Running> running;
  std::map<std::string, Duration> busy;
  std::map<TransferKey, std::uint64_t> offsets;
  std::uint64_t read = 0;
  std::size_t ended = 0;
  TimePoint now{};
  for (; scheduler.transferCount() > 0 && now < TimePoint(seconds(30));
       now += milliseconds(1)) {
    for (const auto &action : scheduler.startReads(now)) {
      CHECK(action.Offset == offsets[action.Key]);
      read += action.Length;
      running.push_back({action, now, now + milliseconds(5 + random() % 20),
                         random() % 10 == 0});
    }
    CHECK(
        static_cast<double>(read) <=
        settings.BytesPerSecond *
                std::chrono::duration<double>(now.time_since_epoch()).count() +
            static_cast<double>(settings.ChunkBytes));
    std::erase_if(running, [&](const Running &entry) {
      if (entry.Until > now)
        return false;
      busy[entry.Read.Key.Group] += now - entry.Started;
      if (entry.Fails) {
        scheduler.recordFailure(entry.Read.Key, now, now);
      } else {
        // A repeated response counts once.
        scheduler.recordBytes(entry.Read.Key, entry.Read.Offset,
                              entry.Read.Length, now);
        scheduler.recordBytes(entry.Read.Key, entry.Read.Offset,
                              entry.Read.Length, now);
        offsets[entry.Read.Key] += entry.Read.Length;
      }
      return true;
    });
    for (const auto &end : scheduler.takeResults()) {
      CHECK(end.Complete);
      ++ended;
    }
  }
  CHECK(ended == 12);
  for (const auto &[group, time] : busy)
    CHECK(time <=
          (now - TimePoint()) * settings.MaxBusyFraction + milliseconds(50));
}

// Guards against low-priority transfers before high-priority ones, unbounded
// retries, and reads while the store asks to wait.
TEST_CASE("high-priority transfers go first and retries are bounded",
          "[transfers]") {
  TransferSettings settings;
  settings.ReadTimeout = seconds(1);
  TransferScheduler scheduler(settings);
  scheduler.addTransfer({key("a", 1), 100, 1});
  scheduler.addTransfer({key("a", 2), 100, 5});
  TimePoint now(seconds(1));
  auto reads = scheduler.startReads(now);
  REQUIRE(reads.size() == 1);
  CHECK(reads[0].Key == key("a", 2));
  scheduler.recordThrottle(key("a", 2), now, now + seconds(2));
  CHECK(scheduler.startReads(now + seconds(1)).empty());
  CHECK(scheduler.nextStartTime(now) == now + seconds(2));
  scheduler.removeAllExcept("a", {key("a", 1)}, now);
  // Reads that are never answered end in a reported failure.
  std::vector<TransferResult> ended;
  std::uint32_t started = 0;
  for (; now < TimePoint(seconds(60)) && ended.empty();
       now += milliseconds(100)) {
    started += static_cast<std::uint32_t>(scheduler.startReads(now).size());
    ended = scheduler.takeResults();
  }
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended[0].Complete);
  CHECK(started == settings.MaxFailures);
}

// Guards against a group that still receives requests while an expert is lost,
// and against an emergency map that needs weights to be transferred.
TEST_CASE("a lost rank yields an emergency map or takes the group out of "
          "service",
          "[emergency]") {
  std::vector<RankInfo> ranks;
  for (std::uint32_t r = 0; r < 8; ++r)
    ranks.push_back({1e6, r / 2, r / 4});
  std::vector<double> tokens;
  for (std::uint32_t e = 0; e < 12; ++e)
    tokens.push_back(1000.0 / (e + 1));
  const std::vector<std::vector<double>> layerTokens = {tokens, tokens};
  const std::vector<ExpertMap> spread(2, initialMap(ranks, 4, tokens, 2));
  const std::vector<ExpertMap> single(2, initialMap(ranks, 2, tokens, 1));
  for (std::uint32_t lost = 0; lost < 8; ++lost) {
    auto remaining = ranks;
    remaining[lost].Speed = 0;
    const auto result = emergencyMaps(spread, remaining, layerTokens);
    REQUIRE(std::holds_alternative<EmergencyMaps>(result));
    for (std::size_t layer = 0; layer < 2; ++layer) {
      const auto &map = std::get<EmergencyMaps>(result).Layers[layer];
      CHECK(map.errors().empty());
      CHECK(transfersBetween(spread[layer], map).empty());
      for (const Slot &slot : map.slots(lost))
        CHECK(slot.Share == 0);
    }
  }
  // A whole failure domain may be lost, as each expert has replicas in both.
  auto remaining = ranks;
  for (std::uint32_t r = 0; r < 4; ++r)
    remaining[r].Speed = 0;
  CHECK(std::holds_alternative<EmergencyMaps>(
      emergencyMaps(spread, remaining, layerTokens)));
  const auto result = emergencyMaps(single, remaining, layerTokens);
  REQUIRE(std::holds_alternative<GroupOutOfService>(result));
  for (const auto &lost : std::get<GroupOutOfService>(result).Lost)
    for (const auto rank : single[lost.Layer].replicaRanks(lost.Expert))
      CHECK(remaining[rank].Speed == 0);
}

// Guards against a late order from a former lease holder, and against a switch
// to unconfirmed content.
TEST_CASE("orders are fenced, staged and confirmed before a switch",
          "[orders]") {
  EngineOrderStager stager(FencingToken{5});
  const EngineOrder v1{EngineOrderKind::LoadAdapter, 1, "h1"};
  const EngineOrder v2{EngineOrderKind::LoadAdapter, 2, "h2"};
  const EngineOrder forged{EngineOrderKind::LoadAdapter, 2, "other"};
  CHECK(stager.stageOrder({4}, v1) == OrderVerdict::StaleToken);
  CHECK(stager.stageOrder({5}, v2) == OrderVerdict::MustStage);
  CHECK(stager.stageOrder({5}, v2) == OrderVerdict::MustStage);
  CHECK(stager.stageOrder({5}, forged) == OrderVerdict::Conflict);
  CHECK(stager.stageOrder({5}, v1) == OrderVerdict::StaleVersion);
  CHECK(stager.requestSwitch({5}, v2) == OrderVerdict::NotStaged);
  CHECK_FALSE(stager.confirmStaged(forged));
  CHECK(stager.confirmStaged(v2));
  CHECK(stager.requestSwitch({6}, v2) == OrderVerdict::MustSwitch);
  CHECK(stager.requestSwitch({5}, v2) == OrderVerdict::StaleToken);
  CHECK(stager.activeOrder(EngineOrderKind::LoadAdapter) == std::nullopt);
  stager.setActive(v2);
  CHECK(stager.activeOrder(EngineOrderKind::LoadAdapter) == v2);
  CHECK(stager.requestSwitch({6}, v2) == OrderVerdict::Done);
  CHECK(stager.stageOrder({7}, v1) == OrderVerdict::StaleVersion);
  CHECK(stager.stageOrder({7}, forged) == OrderVerdict::Conflict);
  // A new lease holder may replace what the old one staged.
  const EngineOrder v3{EngineOrderKind::LoadAdapter, 3, "h3"};
  const EngineOrder v3b{EngineOrderKind::LoadAdapter, 3, "h3b"};
  CHECK(stager.stageOrder({7}, v3) == OrderVerdict::MustStage);
  CHECK(stager.stageOrder({8}, v3b) == OrderVerdict::MustStage);
  CHECK(stager.requestSwitch({8}, v3) == OrderVerdict::NotStaged);
}
