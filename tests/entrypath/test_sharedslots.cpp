// Entries that share the slots of a service for which routes compete.
#include "entryfixture.h"
#include "entrypath/peerlink.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using base::TimePoint;
using boost::asio::ip::udp;

namespace {

constexpr std::size_t TotalSlots = 16;

TimePoint now() { return std::chrono::steady_clock::now(); }

/// An entry and its link. With an event loop of its own, it ends like a process
/// that is killed.
struct Member {
  boost::asio::io_context Loop;
  TestHeaderCodec Codec;
  base::Metrics Metrics;
  Entry Tested;
  TopicFollower Names{Loop, {}, std::make_unique<SilentTopic>(), {}};
  udp::endpoint Address{freeEndpoint().address(), freeEndpoint().port()};
  PeerLink Link;
  unsigned Sent = 0;
  TimePoint NextSendAt;

  Member(const std::string &name, EntryFixture &fixture)
      : Tested(Loop, entrySettings(name), Codec, Metrics),
        Link(Loop, {name, Address}, Tested, {}, Names) {
    Tested.setRouteTable(competingRoutes());
    for (const auto &[id, it] : fixture.entry().directory().targets())
      Tested.directory().setTarget(it.Record, Tested.now());
    Tested.listen();
    Link.start();
  }
  /// Keeps four requests waiting; so many are always admitted.
  void addLoad(EntryFixture &fixture, base::Duration interval) {
    if (Tested.queuedCount("s") >= 4 || now() < NextSendAt)
      return;
    NextSendAt = now() + interval;
    const char *route = ++Sent % 2 == 0 ? "urgent" : "normal";
    fixture.sendTo(Tested.settings().Listen,
                   requestText(route, Tested.settings().Name));
  }
};

/// Two entries compete for the slots, then one of them is killed. An idle third
/// one keeps the survivor in a majority, which it needs to use all slots.
void killOneOfTwo(base::Duration streamLength) {
  EntryFixture fixture;
  HeldStreams running;
  for (const char *it : {"t1", "t2", "t3", "t4"})
    fixture.addTarget(it, running.handler(), TotalSlots / 4);
  std::vector<std::unique_ptr<Member>> members;
  for (const char *name : {"a", "b", "idle"}) {
    auto added = std::make_unique<Member>(name, fixture);
    for (const auto &it : members)
      it->Link.addPeer(name, added->Address);
    members.push_back(std::move(added));
  }
  bool hasLoad = false;
  TimePoint withinLimitAt = now();
  base::Duration longestExcess{};
  const auto runUntil = [&](const std::function<bool()> &condition) {
    return fixture.runUntil([&] {
      for (const auto &it : members) {
        // Twice the requests that the slots can serve.
        if (hasLoad && it != members.back())
          it->addLoad(fixture,
                      members.size() == 3 ? streamLength / TotalSlots : 0ms);
        it->Loop.poll();
      }
      running.end(streamLength);
      if (running.All.size() <= TotalSlots)
        withinLimitAt = now();
      longestExcess = std::max(longestExcess, now() - withinLimitAt);
      return condition();
    });
  };
  hasLoad = runUntil([&] {
    return std::all_of(members.begin(), members.end(), [](const auto &it) {
      return it->Tested.scheduler().slotSharing().entryCount() == 3;
    });
  });
  REQUIRE(hasLoad);
  const TimePoint contendedUntil = now() + 2s;
  REQUIRE(runUntil([&] {
    return now() > contendedUntil && running.countOf("a") >= TotalSlots / 4;
  }));
  const TimePoint killedAt = now();
  members.erase(members.begin());
  REQUIRE(runUntil([&] { return running.countOf("b") == TotalSlots; }));
  CHECK(now() - killedAt <= 1500ms);
  CHECK(longestExcess <= 300ms);
}

} // namespace

// Guards against slots that stay idle because of an entry that was killed, and
// against entries that again and again fill the same freed slots.
TEST_CASE("an entry gets the slots of one that was killed", "[slotsharing]") {
  killOneOfTwo(250ms);
}

// Guards against single collisions that last as long as their streams. Listed
// in KNOWN-RED.txt.
TEST_CASE("long streams don't exceed the slots for long", "[longstreams]") {
  killOneOfTwo(800ms);
}

// Guards against an urgent request that is rejected or sent late because of
// less urgent ones that wait, and against less urgent ones that wait in vain.
TEST_CASE("an urgent request is sent before less urgent ones", "[priority]") {
  EntryFixture fixture;
  HeldStreams running;
  fixture.addTarget("t", running.handler(), 2);
  fixture.entry().setRouteTable(competingRoutes());
  std::vector<std::shared_ptr<Received>> normal;
  // Two are sent and four wait. At two sends per second, the last one would
  // have to wait for two seconds.
  for (std::size_t i = 0; i < 7; ++i) {
    normal.push_back(
        fixture.send(requestText("normal", "n" + std::to_string(i))));
    REQUIRE(fixture.runUntil([&] {
      return running.All.size() + fixture.entry().queuedCount("s") > i ||
             hasEnded(*normal[i]);
    }));
  }
  const TimePoint sentAt = now();
  const auto urgent = fixture.send(requestText("urgent", "u"));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*normal[5]); }));
  CHECK(now() - sentAt < 700ms);
  for (const auto &it : {normal[5], normal[6]}) {
    CHECK(it->has("HTTP/1.1 503"));
    const auto position = it->Bytes.find("Retry-After: ");
    REQUIRE(position != std::string::npos);
    // Four requests are ahead, and callers ignore more than a third of 20 s.
    const double seconds = std::stod(it->Bytes.substr(position + 13));
    CHECK((seconds >= 1.99 && seconds <= 20.0 / 3));
  }
  running.All[0].StartedAt -= 1h;
  running.end(30min);
  REQUIRE(fixture.runUntil([&] { return running.All.size() == 2; }));
  CHECK(running.countOf("u") == 1);
  running.end(0ms);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*urgent); }));
  CHECK(urgent->has("HTTP/1.1 200"));
}
