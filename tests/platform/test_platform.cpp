#include "entrypath/connectionpool.h"
#include "entrypath/topicfollower.h"
#include "fakelog.h"
#include "platform/decode.h"
#include "platform/engineclient.h"
#include "platform/platformheadercodec.h"
#include "platform/storelog.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace bergamot;
using namespace bergamot::platform;
using namespace std::chrono_literals;

namespace {

struct FollowerFixture {
  explicit FollowerFixture(FakeLog::Topic &topic)
      : Follower(Loop, settings(), std::make_unique<FakeLog>(Loop, topic),
                 [this](const auto &key, const auto &value) {
                   Values[key] = value.value_or("-");
                   Removals[key] = Follower.removal();
                 }) {
    Follower.start();
  }
  static entrypath::FollowerSettings settings() {
    entrypath::FollowerSettings it;
    it.Topic = "t";
    it.PollInterval = 5ms;
    it.RetryDelay = 5ms;
    it.MaxRetryDelay = 20ms;
    return it;
  }
  void run() {
    Loop.restart();
    Loop.run_for(60ms);
  }

  boost::asio::io_context Loop;
  std::map<std::string, std::string> Values;
  /// What the follower knew of the store at the last change of each key.
  std::map<std::string, gateway::RecordRemoval> Removals;
  entrypath::TopicFollower Follower;
};

} // namespace

// An odd entry from another writer ended the process or named a target.
TEST_CASE("odd entries among the targets name none and leave the others") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"ready","born":1900000000000,"size":2,)"
      R"("group":{"name":"g","epoch":1,"rank":1,"state":"open"}})";
  const auto replaced = [&](const std::string &from, const std::string &to) {
    std::string text = good;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
  };
  const std::string nested =
      std::string(100000, '[') + std::string(100000, ']');
  std::vector<std::string> odd{
      "",
      "null",
      "1e400",
      nested,
      std::string(100000, '['),
      std::string(100000, '{'),
      "\xff\xfe",
      replaced("\"s\"", nested),
      replaced("{\"name\"", "{\"x\":" + nested + ",\"nme\"")};
  for (const char *port :
       {"0", "65536", "99999", "-1", "4294967376", "1e3", ""})
    odd.push_back(replaced(":80\"", ":" + std::string(port) + "\""));
  for (const char *number : {"1e400", "1e300", "99999999999999999999999", "-1",
                             "4294967296", "1.5", "\"4\"", "true", "{}"}) {
    odd.push_back(replaced("\"slots\":4", "\"slots\":" + std::string(number)));
    odd.push_back(replaced("\"size\":2", "\"size\":" + std::string(number)));
    odd.push_back(replaced("\"rank\":1", "\"rank\":" + std::string(number)));
  }
  for (const char *number : {"1e300", "9223372036854775807", "-5", "\"x\""}) {
    odd.push_back(
        replaced("\"born\":1900000000000", "\"born\":" + std::string(number)));
    odd.push_back(replaced("\"size\":2", "\"size\":2,\"cold-remaining-ms\":" +
                                             std::string(number)));
  }
  REQUIRE(decodeTarget("i", good));
  for (const auto &it : odd) {
    CAPTURE(it.substr(0, 300));
    CHECK_FALSE(decodeTarget("i", it));
  }
}

TEST_CASE("the record of a suspected part of prompts is read as written") {
  const base::TimePoint now{std::chrono::hours(1)};
  const base::WallTime wall = base::fromUnixMilliseconds(1'900'000'000'000);
  const gateway::PartEvidence part{
      0xA7576C512F390022, {{~0ULL, now - 3s}, {2, now}}, {}, {}};
  const std::string key = promptKey(part.Part);
  const std::string value = encodePromptRecord(part, now, wall);
  CHECK(key == "prompt/a7576c512f390022");
  const auto decoded = decodePromptRecord(key, value, now + 10s, wall + 5s);
  REQUIRE(decoded);
  CHECK(decoded->Part == part.Part);
  CHECK(decoded->Crashes.at(~0ULL) == now + 10s - 8s);
  CHECK(decoded->Crashes.size() == 2);
  // The former version takes other keys for names of entries and their values
  // for addresses.
  CHECK_FALSE(entrypath::parseEndpoint(value));
  CHECK_FALSE(decodePromptKey("frontend-a-1"));
  for (const char *bad : {"", "1", "[]", "{}", "{\"crashes\":1}",
                          "{\"crashes\":[1]}", "{\"crashes\":[{\"id\":1}]}",
                          "{\"crashes\":[{\"id\":1,\"at\":\"x\"}]}"})
    CHECK_FALSE(decodePromptRecord(key, bad, now, wall));
  CHECK(decodePromptRecord(key,
                           R"({"crashes":[{"id":1,"at":9223372036854775807}]})",
                           now, wall)
            ->Crashes.empty());
}

TEST_CASE("shared parts of a prompt are all parts but the last") {
  const auto parts = [](const std::string &text) {
    adaptertcp::RequestHead head;
    head.Headers.add("Bergamotloft-Prompt-Prefix", text);
    return PlatformHeaderCodec().decodeRequest(head).SharedPromptParts;
  };
  using Parts = std::vector<std::string>;
  CHECK(parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(parts("5c1e07a2:800, 91bd3f06:410 ,e4402b7d:250") ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(parts("e4402b7d:250").empty());
  CHECK(parts("").empty());
  CHECK(parts(",,:7,a").empty());
  CHECK(parts(std::string(1000, 'a') + ":1,b:2,c:3") == Parts{"b"});
  std::string many;
  for (int i = 0; i < 1000; ++i)
    many += "a:1,";
  CHECK(parts(many).size() == 32);
}

TEST_CASE("a follower applies changes and removals in order") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}, {"b", "1", {0, 1}}};
  FollowerFixture fixture(topic);
  fixture.run();
  CHECK(fixture.Values ==
        std::map<std::string, std::string>{{"a", "1"}, {"b", "1"}});
  topic.Records.push_back({"a", "2", {0, 2}});
  topic.Records.push_back({"b", std::nullopt, {0, 3}});
  fixture.run();
  CHECK(fixture.Values ==
        std::map<std::string, std::string>{{"a", "2"}, {"b", "-"}});
}

TEST_CASE("a follower knows when a removed record was last in the store") {
  // Guards against targets that are used past the drain bound, which counts
  // from the store's acknowledgement of their removal.
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}};
  FollowerFixture fixture(topic);
  fixture.run();
  const base::TimePoint lost = std::chrono::steady_clock::now();
  topic.Reachable = false;
  fixture.run();
  CHECK_FALSE(fixture.Follower.removal().ReachableSince);
  const base::TimePoint removed = std::chrono::steady_clock::now();
  topic.Records.push_back({"a", std::nullopt, {0, 1}});
  topic.Reachable = true;
  fixture.run();
  REQUIRE(fixture.Values["a"] == "-");
  CHECK(fixture.Removals["a"].PresentAt <= lost);
  CHECK(fixture.Removals["a"].PresentAt > lost - 60ms);
  REQUIRE(fixture.Follower.removal().ReachableSince);
  CHECK(*fixture.Follower.removal().ReachableSince >= removed);
}

TEST_CASE("a follower detects keys removed by a compaction") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}, {"b", "1", {0, 1}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Records = {{"a", "2", {0, 7}}};
  topic.Compacted = true;
  fixture.run();
  CHECK(fixture.Values["a"] == "2");
  CHECK(fixture.Values["b"] == "-");
}

TEST_CASE(
    "newer records from peers take effect while the store is unreachable") {
  // Guards against a peer that reverts an entry to an older state.
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 4}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Reachable = false;
  fixture.run();
  CHECK_FALSE(fixture.Follower.isStoreReachable());
  fixture.Follower.addPeerRecords({{"a", "0", {1, 3}}, {"b", "1", {1, 5}}},
                                  {1, 6});
  CHECK(fixture.Values["a"] == "1");
  CHECK(fixture.Values["b"] == "1");
  topic.Reachable = true;
  topic.Records = {{"a", "1", {0, 4}}, {"b", "1", {0, 5}}, {"a", "2", {0, 6}}};
  fixture.run();
  CHECK(fixture.Values["a"] == "2");
}

// Offsets of the log before the restoration outlived it: a change that got one
// of them again was never applied.
TEST_CASE("a change after the store was restored from an older copy is "
          "applied") {
  FakeLog::Topic topic;
  topic.Era = 1;
  topic.Records = {{"a", "1", {0, 0}}, {"a", "2", {0, 1}}, {"a", "3", {0, 2}}};
  FollowerFixture fixture(topic);
  int restorations = 0;
  fixture.Follower.setRestoredHandler([&] { ++restorations; });
  fixture.run();
  CHECK(fixture.Values["a"] == "3");
  const bool sawOutage = GENERATE(true, false);
  for (int era = 2; era <= 3; ++era) {
    CAPTURE(era, sawOutage);
    topic.Reachable = !sawOutage;
    fixture.run();
    topic.Reachable = true;
    topic.Era = static_cast<std::uint64_t>(era);
    topic.Records = {{"a", "3", {0, 0}}};
    fixture.run();
    topic.Records.push_back({"a", std::to_string(10 * era), {0, 1}});
    fixture.run();
    CHECK(fixture.Values["a"] == std::to_string(10 * era));
    CHECK(restorations == era - 1);
  }
  CHECK(fixture.Follower.end() == entrypath::TopicPosition{3, 2});
}

TEST_CASE("a follower that reads only later sees a longer restored log") {
  // The log has grown past the former end before the process that stood still
  // reads again, so that its offset is valid.
  FakeLog::Topic topic;
  topic.Era = 1;
  topic.Records = {{"a", "1", {0, 0}}, {"b", "1", {0, 1}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Era = 2;
  topic.Records = {{"a", "2", {0, 0}}, {"b", "2", {0, 1}}, {"c", "1", {0, 2}}};
  fixture.run();
  CHECK(fixture.Values ==
        std::map<std::string, std::string>{{"a", "2"}, {"b", "2"}, {"c", "1"}});
}

TEST_CASE("records of the log before a restoration don't come back") {
  FakeLog::Topic topic;
  topic.Era = 2;
  topic.Records = {{"a", "new", {0, 3}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Reachable = false;
  fixture.run();
  // From an entry that hasn't seen the restoration yet.
  fixture.Follower.addPeerRecords({{"a", "old", {1, 40}}, {"b", "1", {1, 41}}},
                                  {1, 42});
  CHECK(fixture.Values == std::map<std::string, std::string>{{"a", "new"}});
  // And to one: it gets all records of the restored log.
  const auto records = fixture.Follower.recordsFrom({1, 42});
  REQUIRE(records.size() == 1);
  CHECK(records.front().Position == entrypath::TopicPosition{2, 3});
}

TEST_CASE("an entry that is cut off learns of the restored log from others") {
  FakeLog::Topic topic;
  topic.Era = 1;
  topic.Records = {{"a", "1", {0, 7}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Reachable = false;
  fixture.run();
  fixture.Follower.addPeerRecords({{"a", "2", {2, 3}}}, {2, 4});
  CHECK(fixture.Values["a"] == "2");
  // A response that the store gave before doesn't take it back.
  topic.Reachable = true;
  fixture.run();
  CHECK(fixture.Values["a"] == "2");
  CHECK_FALSE(fixture.Follower.isStoreReachable());
  topic.Era = 2;
  topic.Records = {{"a", "3", {0, 4}}};
  fixture.run();
  CHECK(fixture.Values["a"] == "3");
}

TEST_CASE("a key that a restored store lacks is removed only if it stays so") {
  // Owners write again what the copy lacks, but not all in the same moment.
  FakeLog::Topic topic;
  topic.Era = 1;
  topic.Records = {{"a", "1", {0, 0}}, {"b", "1", {0, 1}}, {"c", "1", {0, 2}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Era = 2;
  topic.Records = {{"a", "1", {0, 0}}};
  fixture.run();
  CHECK(fixture.Values["b"] == "1");
  CHECK(fixture.Values["c"] == "1");
  CHECK_FALSE(fixture.Follower.removal().Reliable);
  topic.Records.push_back({"b", "1", {0, 1}});
  fixture.Loop.run_for(2500ms);
  CHECK(fixture.Values["b"] == "1");
  CHECK(fixture.Values["c"] == "-");
}

TEST_CASE("a store that doesn't state its era is read as before") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Reachable = false;
  fixture.run();
  // A former version states no era either, which stands for the first one.
  fixture.Follower.addPeerRecords({{"a", "2", {entrypath::FirstEra, 1}}},
                                  {entrypath::FirstEra, 2});
  CHECK(fixture.Values["a"] == "2");
  topic.Reachable = true;
  topic.Records = {{"a", "2", {0, 1}}, {"a", "3", {0, 2}}};
  fixture.run();
  CHECK(fixture.Values["a"] == "3");
}

TEST_CASE("a reload doesn't wait for a read in progress") {
  // Guards against a process that was paused and then acts on outdated state,
  // because nothing arrives on its old connection to the store.
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}};
  FollowerFixture fixture(topic);
  fixture.run();
  CHECK(fixture.Values["a"] == "1");
  topic.Silent = true;
  fixture.run();
  topic.Silent = false;
  topic.Records.push_back({"a", "2", {0, 1}});
  fixture.run();
  CHECK(fixture.Values["a"] == "1");
  int reloads = 0;
  fixture.Follower.reload([&] { ++reloads; });
  fixture.run();
  CHECK(reloads == 1);
  CHECK(fixture.Values["a"] == "2");
  // The follower continues, with a single read loop.
  topic.Records.push_back({"a", "3", {0, 2}});
  const int reads = topic.Reads;
  fixture.run();
  CHECK(fixture.Values["a"] == "3");
  CHECK(topic.Reads <= reads + 14);
}

TEST_CASE("a follower backs off from a failing store") {
  // Load pattern: the store rejects the calls of a third of the entries for
  // nine seconds, and the platform bills each call.
  FakeLog::Topic topic;
  topic.Reachable = false;
  FollowerFixture fixture(topic);
  fixture.Loop.run_for(200ms);
  CHECK(topic.Reads >= 3);
  CHECK(topic.Reads <= 12); // 40 with a constant delay.
}

TEST_CASE("a removal right after a store outage is reported as unreliable") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", {0, 0}}};
  FollowerFixture fixture(topic);
  fixture.run();
  topic.Reachable = false;
  fixture.run();
  topic.Reachable = true;
  topic.Records.push_back({"a", std::nullopt, {0, 1}});
  fixture.run();
  CHECK(fixture.Values["a"] == "-");
  CHECK_FALSE(fixture.Removals["a"].Reliable);
}

TEST_CASE("records are decoded with their offsets") {
  std::string bytes(16, '\0');
  bytes[7] = 9;
  bytes += encodeKeyedRecord("k1", "v1") + encodeKeyedRecord("k2", "");
  const auto page = decodeRecords(bytes, 7);
  REQUIRE(page);
  CHECK(page->TopicEnd == 9);
  REQUIRE(page->Records.size() == 2);
  CHECK(page->Records[0].Key == "k1");
  CHECK(page->Records[0].Value == "v1");
  CHECK(page->Records[0].Position.Offset == 7);
  CHECK(page->Records[1].Position.Offset == 8);
  CHECK_FALSE(page->Records[1].Value);
  for (std::size_t n = 17; n < bytes.size(); ++n)
    if (n != 16 + encodeKeyedRecord("k1", "v1").size())
      CHECK_FALSE(decodeRecords(bytes.substr(0, n), 7));
}

TEST_CASE("newest records are decoded from base64") {
  const auto page = decodeNewest(
      R"({"items":[{"key":"a","value":"aGk=","offset":3}],"has-more":true,"end-offset":8})");
  REQUIRE(page);
  CHECK(page->HasMore);
  CHECK(page->TopicEnd == 8);
  REQUIRE(page->Records.size() == 1);
  CHECK(page->Records[0].Value == "hi");
  CHECK_FALSE(decodeNewest("{"));
  CHECK_FALSE(decodeNewest("[]"));
}

TEST_CASE("a configuration is decoded without its malformed parts") {
  const auto table = decodeConfiguration(R"({"version":7,"routes":[
    {"name":"r1","host":"h","path-prefix":"/a/","kind":"streaming",
     "timeout-ms":8000,"target-latency-ms":500,"priority":1,
     "traffic-split":[{"service":"x","weight":9},{"service":"y","weight":1}],
     "max-attempts":2,"resumable":true,"target-gap-ms":120},
    {"name":"r2","host":"h","path-prefix":"/b/","kind":"unsafe","service":"x"},
    {"name":"bad","host":3}],
    "services":[{"name":"x","cold-per-s":36.0,"engine":{"slots":12,"sets":3,
     "expert-mb":420.0,"link-mbps":44000.0,
     "read_per_s":61400.0,"usual":{"prompt":835,"answer":97}}}],
    "limits":{"max-header-bytes":100},
    "tenants":[{"name":"t","api-keys":["k"],"priority":1}]})");
  REQUIRE(table);
  CHECK(table->version() == 7);
  CHECK(table->routeCount() == 2);
  const auto *stream = table->route("h", "/a/x");
  REQUIRE(stream);
  CHECK(stream->Streaming);
  CHECK(stream->Resumable);
  CHECK(stream->isRetryable());
  CHECK(stream->Services.size() == 2);
  CHECK(stream->EventGapObjective == 120ms);
  CHECK_FALSE(table->route("h", "/b/x")->isRetryable());
  CHECK(table->account("k")->Name == "t");
  CHECK(table->service("x")->Engine->LayerSets == 3);
  CHECK(table->service("x")->Engine->PrefillTokensPerMs == Approx(61.4));
  CHECK(std::chrono::duration<double, std::milli>(
            table->service("x")->Engine->ExpertCopyTime)
            .count() == Approx(76.36).epsilon(0.001));
  CHECK(table->limits().HeaderBytes == 100);
  CHECK_FALSE(decodeConfiguration("no"));
  CHECK_FALSE(decodeConfiguration("{}"));
}

TEST_CASE("a rank's slowdown round-trips; malformed records are rejected") {
  const RankSlowdown record{"g0-1", 7, 2.5};
  const auto decoded =
      decodeSlowdown(slowdownKey(record), encodeSlowdown(record, 3));
  REQUIRE(decoded);
  CHECK(decoded->Group == "g0-1");
  CHECK(decoded->Rank == 7);
  CHECK(decoded->Slowdown == 2.5);
  CHECK_FALSE(decodeSlowdown("pace/", encodeSlowdown(record, 3)));
  CHECK_FALSE(decodeSlowdown("pace/g/x", encodeSlowdown(record, 3)));
  CHECK_FALSE(decodeSlowdown(slowdownKey(record), "no"));
  CHECK_FALSE(decodeSlowdown(slowdownKey(record), R"({"pace":"2"})"));
}

TEST_CASE("malformed target records of other writers are rejected") {
  const std::string good =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":6,"state":"ready"})";
  REQUIRE(decodeTarget("i", good));
  for (
      const char *bad :
      {"", "[]", "\xff\xfe", R"({"service":"s"})",
       R"({"service":1,"address":"a","zone":"z","slots":6,"state":"ready"})",
       R"({"service":"s","address":"a","zone":"z","slots":"6","state":"ready"})",
       R"({"service":"s","address":"a","zone":"z","slots":6,"state":"odd"})"})
    CHECK_FALSE(decodeTarget("i", bad));
}

TEST_CASE("a rank's report is decoded") {
  const auto state = decodeRankState(
      R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":12,
      "sequence":0,"step":59,"map":7,"prepared":{"version":9},
      "armed":{"version":9,"step":61},"held":61})");
  REQUIRE(state);
  CHECK(state->Rank == 3);
  CHECK(state->Epoch == 2);
  CHECK(state->PreparedVersion == 9);
  CHECK(state->Armed == experts::ArmedSwitch{9, 61});
  CHECK(state->HeldStep == 61);
  CHECK_FALSE(decodeRankState("{}"));
  CHECK_FALSE(decodeRankState(R"({"group":{"name":4}})"));
}

TEST_CASE("callers can't set the headers that targets trust") {
  // Guards against forged client account names and instances.
  PlatformHeaderCodec codec;
  adaptertcp::HeaderFields headers;
  headers.add("Authorization", "Token secret");
  headers.add("bergamotloft-tenant", "forged");
  headers.add("Bergamotloft-Expect-Instance", "forged");
  headers.add("Bergamotloft-Request-Id", "r1");
  codec.prepareForwarding(headers, "account");
  CHECK(headers.count("Bergamotloft-Tenant") == 1);
  CHECK(headers.value("Bergamotloft-Tenant") == "account");
  CHECK_FALSE(headers.value("Authorization"));
  CHECK_FALSE(headers.value("Bergamotloft-Expect-Instance"));
  CHECK(headers.value("Bergamotloft-Request-Id") == "r1");
}

TEST_CASE("only an error marked as not executed counts as such") {
  PlatformHeaderCodec codec;
  adaptertcp::ResponseHead head;
  head.Status = 503;
  CHECK_FALSE(codec.decodeResponse(head).NotExecuted);
  head.Headers.add("Bergamotloft-Not-Executed", "1");
  CHECK(codec.decodeResponse(head).NotExecuted);
  head.Status = 200;
  CHECK_FALSE(codec.decodeResponse(head).NotExecuted);
  head.Headers.add("Keep-Alive", "timeout=5, max=3");
  CHECK(codec.decodeResponse(head).KeepAliveFor == 5000ms);
}

TEST_CASE("draining and back-off headers of a target are decoded") {
  const PlatformHeaderCodec codec;
  const auto decode = [&](int status, const char *name, const char *value) {
    adaptertcp::ResponseHead head;
    head.Status = status;
    head.Headers.add(name, value);
    return codec.decodeResponse(head);
  };
  CHECK(decode(200, "Server-Leaving", "1").IsDraining);
  CHECK(decode(500, "server-leaving", "1").IsDraining);
  CHECK_FALSE(decode(200, "Server-Leaving", "0").IsDraining);
  CHECK(decode(503, "Retry-After", "2").BackoffFor == 2000ms);
  CHECK(decode(503, "Retry-After", "0.25").BackoffFor == 250ms);
  CHECK(decode(503, "Retry-After", "0").BackoffFor == 0ms);
  CHECK_FALSE(decode(429, "Retry-After", "2").BackoffFor);
  // Huge values are clamped to the range of the clock.
  CHECK(decode(503, "Retry-After", "99999999999999999999").BackoffFor == 24h);
  for (const char *bad : {"", "soon", "-1", "1s", "nan", "inf", "1e3",
                          "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    CAPTURE(bad);
    const auto response = decode(503, "Retry-After", bad);
    CHECK_FALSE(response.BackoffFor);
    CHECK(response.HasInvalidBackoff);
  }
}

TEST_CASE("a target's request rate is decoded") {
  const PlatformHeaderCodec codec;
  const auto decode = [&](int status, const char *value) {
    adaptertcp::ResponseHead head;
    head.Status = status;
    head.Headers.add("server-limit", value);
    return codec.decodeResponse(head);
  };
  CHECK(decode(200, "2.5").RequestRateLimit == 2.5);
  CHECK(decode(503, "0").RequestRateLimit == 0.0);
  CHECK(decode(500, "12").RequestRateLimit == 12.0);
  for (const char *bad : {"", "few", "-1", "2/s", "nan", "inf"}) {
    CAPTURE(bad);
    CHECK_FALSE(decode(200, bad).RequestRateLimit);
    CHECK(decode(200, bad).HasInvalidRateLimit);
  }
  const auto none = codec.decodeResponse({});
  CHECK_FALSE(none.RequestRateLimit);
  CHECK_FALSE(none.HasInvalidRateLimit);
  CHECK(codec.isKnownResponseField("SERVER-LIMIT"));
  CHECK_FALSE(codec.isKnownResponseField("Server-Limits"));
}
