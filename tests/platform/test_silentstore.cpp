// Connections to the store that go silent while new ones work.
#include "entrypath/storebounds.h"
#include "fakelog.h"
#include "libbergamotgateway/targetdirectory.h"

#include <catch2/catch.hpp>

#include <random>

using namespace bergamot;
using namespace bergamot::platform;
using namespace std::chrono_literals;
using base::TimePoint;
using entrypath::StoreBounds;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// The bounds of the small, the grown and the large deployments.
const std::vector<StoreBounds> Deployments = {
    {2000ms, 2000ms, 5000ms, 3000ms},
    {3000ms, 3000ms, 5000ms, 4000ms},
    {4000ms, 4000ms, 5000ms, 5000ms},
};
constexpr milliseconds RemovalGrace{2000};
/// As in an entry, for its cleanup period and the way to the target.
constexpr milliseconds DrainMargin{500};

gateway::TargetRecord record(const std::string &id) {
  gateway::TargetRecord it;
  it.Id = id;
  it.Address = id;
  return it;
}

/// An entry's view of two targets, one of which is removed just after the
/// connection to the store has gone silent.
class SilentView {
public:
  SilentView(boost::asio::io_context &loop, const StoreBounds &bounds)
      : Bounds(bounds), Directory(RemovalGrace, bounds.DrainBound - DrainMargin,
                                  bounds.StableWindow - DrainMargin),
        Follower(loop, entrypath::targetsFollowerSettings("t", bounds),
                 std::make_unique<FakeLog>(loop, Topic),
                 [this](const auto &key, const auto &value) {
                   if (value)
                     Directory.setTarget(record(key), Clock::now());
                   else
                     Directory.removeTarget(key, Follower.removal(),
                                            Clock::now());
                 }) {
    Topic.Records = {{"leaving", "1", {0, 0}}, {"staying", "1", {0, 1}}};
    Follower.start();
  }

  /// Sets when the connection goes silent, in order; the target is removed
  /// after the last time.
  void setTimes(std::vector<TimePoint> silentAt, TimePoint removedAt) {
    LastSilentAt = silentAt.back();
    SilentAt = std::move(silentAt);
    RemovedAt = removedAt;
  }

  /// Returns when the removed target may be used no longer.
  TimePoint mustBeGoneAt() const {
    return std::max<TimePoint>(LastSilentAt + Bounds.StableWindow,
                               RemovedAt + Bounds.DrainBound);
  }

  void update(TimePoint now) {
    if (!SilentAt.empty() && now >= SilentAt.front()) {
      SilentAt.erase(SilentAt.begin());
      Topic.silenceConnection();
    }
    if (!Removed && now >= RemovedAt) {
      Removed = true;
      Topic.Records = {{"staying", "1", {0, 1}},
                       {"leaving", std::nullopt, {0, 2}}};
    }
    Directory.removeExpiredTargets(now);
    if (Removed && !GoneAt && !Directory.target("leaving"))
      GoneAt = now;
  }

  bool isLive() const { return Directory.target("staying") != nullptr; }
  std::optional<TimePoint> GoneAt;

private:
  StoreBounds Bounds;
  FakeLog::Topic Topic;
  gateway::TargetDirectory Directory;
  entrypath::TopicFollower Follower;
  std::vector<TimePoint> SilentAt;
  TimePoint LastSilentAt;
  TimePoint RemovedAt;
  bool Removed = false;
};

} // namespace

// Guards against requests to a target whose removal an entry learned of too
// late, as its connection to the store had gone silent just before.
TEST_CASE("a target that leaves while the store is silent isn't used too "
          "long") {
  std::mt19937 random(45);
  boost::asio::io_context loop;
  std::vector<std::unique_ptr<SilentView>> views;
  const TimePoint start = Clock::now();
  for (const StoreBounds &bounds : Deployments) {
    for (int i = 0; i < 8; ++i) {
      views.push_back(std::make_unique<SilentView>(loop, bounds));
      std::vector<TimePoint> silentAt{start + 200ms +
                                      milliseconds(random() % 1500)};
      if (i % 2 == 1)
        silentAt.push_back(silentAt.front() + 500ms +
                           milliseconds(random() % 2500));
      const TimePoint removedAt =
          silentAt.back() + milliseconds(random() % 900);
      views.back()->setTimes(std::move(silentAt), removedAt);
    }
  }
  TimePoint end = start;
  for (const auto &it : views)
    end = std::max(end, it->mustBeGoneAt() + 100ms);
  while (Clock::now() < end) {
    loop.run_one_for(5ms);
    for (const auto &it : views)
      it->update(Clock::now());
  }
  for (std::size_t i = 0; i < views.size(); ++i) {
    CAPTURE(i);
    REQUIRE(views[i]->GoneAt);
    CHECK(*views[i]->GoneAt <= views[i]->mustBeGoneAt());
    CHECK(views[i]->isLive());
  }
}

// Guards against time-outs that keep their own bounds but not, added up, those
// of the deployment.
TEST_CASE("the times of a follower add up to less than the bounds allow") {
  std::vector<StoreBounds> all = Deployments;
  std::mt19937 random(3);
  for (int i = 0; i < 200; ++i) {
    const auto draw = [&](milliseconds min, milliseconds max) {
      return min + milliseconds(random() % (max - min).count());
    };
    all.push_back(
        {draw(500ms, 10s), draw(500ms, 20s), draw(500ms, 20s), draw(2s, 6s)});
  }
  for (const StoreBounds &it : all) {
    CAPTURE(it.DrainBound.count(), it.ConfigurationBound.count(),
            it.EvacuationBound.count(), it.StableWindow.count());
    const auto targets = entrypath::targetsFollowerSettings("t", it);
    // The bound on a removal counts from the start of the last read.
    CHECK(targets.PollTimeout + entrypath::maxSilenceTime(targets) <=
          it.StableWindow - DrainMargin);
    const auto operators = entrypath::operatorFollowerSettings("o", it);
    CHECK(entrypath::maxSilenceTime(operators) <=
          std::max(it.StableWindow,
                   std::min(it.ConfigurationBound, it.EvacuationBound)));
  }
}
