#include "entrypath/topicfollower.h"
#include "platform/decode.h"
#include "platform/engineclient.h"
#include "platform/platformdialect.h"
#include "platform/storelog.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace bergamot;
using namespace bergamot::platform;
using namespace std::chrono_literals;
using entrypath::ReadResult;
using entrypath::TopicRecord;

namespace {

/// A topic whose pages a test provides; without one, calls fail.
class FakeLog final : public entrypath::CompactedTopic {
public:
  struct Topic {
    std::vector<TopicRecord> Records;
    bool Up = true;
    bool Compacted = false;
    int Reads = 0;
    /// Calls get no answer, as on a connection that has gone silent.
    bool Silent = false;
  };

  FakeLog(boost::asio::io_context &loop, Topic &topic)
      : Loop(loop), Source(topic) {}

  void readNewest(const std::string &after, base::TimePoint,
                  Completion completion) override {
    ++Source.Reads;
    ReadResult page = base();
    std::map<std::string, TopicRecord> byKey;
    for (const auto &it : Source.Records)
      byKey[it.Key] = it;
    for (const auto &[key, it] : byKey)
      if (it.Value && key > after)
        page.Records.push_back(it);
    answer(std::move(page), std::move(completion));
  }
  void read(std::uint64_t from, base::TimePoint, base::TimePoint,
            Completion completion) override {
    ++Source.Reads;
    ReadResult page = base();
    if (Source.Compacted && Source.Up)
      page.Status = ReadResult::ReadStatus::Compacted;
    for (const auto &it : Source.Records)
      if (it.Offset >= from)
        page.Records.push_back(it);
    answer(std::move(page), std::move(completion));
  }

  void cancel() override { ++Calls; }

private:
  ReadResult base() const {
    ReadResult page;
    page.Status = Source.Up ? ReadResult::ReadStatus::Read
                            : ReadResult::ReadStatus::Unavailable;
    page.TopicEnd =
        Source.Records.empty() ? 0 : Source.Records.back().Offset + 1;
    return page;
  }
  void answer(ReadResult page, Completion completion) {
    if (page.Status != ReadResult::ReadStatus::Read)
      page.Records.clear();
    if (Source.Silent)
      return;
    boost::asio::post(
        Loop, [this, page, number = Calls, done = std::move(completion)] {
          if (number == Calls)
            done(page);
        });
  }

  boost::asio::io_context &Loop;
  Topic &Source;
  std::uint64_t Calls = 0;
};

struct Follow {
  explicit Follow(FakeLog::Topic &topic)
      : Follower(Loop, settings(), std::make_unique<FakeLog>(Loop, topic),
                 [this](const auto &key, const auto &value, bool reliable) {
                   Values[key] = value.value_or("-");
                   Reliable[key] = reliable;
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
  std::map<std::string, bool> Reliable;
  entrypath::TopicFollower Follower;
};

} // namespace

TEST_CASE("a follower takes changes and removals in their order") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", 0}, {"b", "1", 1}};
  Follow follow(topic);
  follow.run();
  CHECK(follow.Values ==
        std::map<std::string, std::string>{{"a", "1"}, {"b", "1"}});
  topic.Records.push_back({"a", "2", 2});
  topic.Records.push_back({"b", std::nullopt, 3});
  follow.run();
  CHECK(follow.Values ==
        std::map<std::string, std::string>{{"a", "2"}, {"b", "-"}});
}

TEST_CASE("a follower finds out after a compaction what has gone") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", 0}, {"b", "1", 1}};
  Follow follow(topic);
  follow.run();
  topic.Records = {{"a", "2", 7}};
  topic.Compacted = true;
  follow.run();
  CHECK(follow.Values["a"] == "2");
  CHECK(follow.Values["b"] == "-");
}

TEST_CASE(
    "peers' records take effect while the store is away, newer ones only") {
  // Guards against an entry that another one takes back to an older state.
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", 4}};
  Follow follow(topic);
  follow.run();
  topic.Up = false;
  follow.run();
  CHECK_FALSE(follow.Follower.isStoreReachable());
  follow.Follower.addPeerRecords({{"a", "0", 3}, {"b", "1", 5}}, 6);
  CHECK(follow.Values["a"] == "1");
  CHECK(follow.Values["b"] == "1");
  topic.Up = true;
  topic.Records = {{"a", "1", 4}, {"b", "1", 5}, {"a", "2", 6}};
  follow.run();
  CHECK(follow.Values["a"] == "2");
}

TEST_CASE("a refresh doesn't wait for a read in progress") {
  // Guards against a process that acts on what it knew before a pause while its
  // connection to the store is silent.
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", 0}};
  Follow follow(topic);
  follow.run();
  CHECK(follow.Values["a"] == "1");
  topic.Silent = true;
  follow.run();
  topic.Silent = false;
  topic.Records.push_back({"a", "2", 1});
  follow.run();
  CHECK(follow.Values["a"] == "1");
  int refreshes = 0;
  follow.Follower.reload([&] { ++refreshes; });
  follow.run();
  CHECK(refreshes == 1);
  CHECK(follow.Values["a"] == "2");
  // It goes on following, once.
  topic.Records.push_back({"a", "3", 2});
  const int reads = topic.Reads;
  follow.run();
  CHECK(follow.Values["a"] == "3");
  CHECK(topic.Reads <= reads + 14);
}

TEST_CASE("a follower calls a failing store less and less often") {
  // Load pattern: the store refuses a third of the entries for nine seconds;
  // each call is charged.
  FakeLog::Topic topic;
  topic.Up = false;
  Follow follow(topic);
  follow.Loop.run_for(200ms);
  CHECK(topic.Reads >= 3);
  CHECK(topic.Reads <= 12); // 40 with a constant pause.
}

TEST_CASE("a removal right after an outage isn't reliable") {
  FakeLog::Topic topic;
  topic.Records = {{"a", "1", 0}};
  Follow follow(topic);
  follow.run();
  topic.Up = false;
  follow.run();
  topic.Up = true;
  topic.Records.push_back({"a", std::nullopt, 1});
  follow.run();
  CHECK(follow.Values["a"] == "-");
  CHECK_FALSE(follow.Reliable["a"]);
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
  CHECK(page->Records[0].Offset == 7);
  CHECK(page->Records[1].Offset == 8);
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

TEST_CASE("a configuration is decoded; unreadable parts are left out") {
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
  CHECK(table->service("x")->Engine->MoeLayers == 3);
  CHECK(table->service("x")->Engine->PrefillTokensPerMs == Approx(61.4));
  CHECK(std::chrono::duration<double, std::milli>(
            table->service("x")->Engine->ExpertCopyTime)
            .count() == Approx(76.36).epsilon(0.001));
  CHECK(table->limits().HeaderBytes == 100);
  CHECK_FALSE(decodeConfiguration("no"));
  CHECK_FALSE(decodeConfiguration("{}"));
}

TEST_CASE("a rank's pace survives its record; damaged ones are left out") {
  const RankPaceRecord record{"g0-1", 7, 2.5};
  const auto decoded = decodePace(paceKey(record), encodePace(record, 3));
  REQUIRE(decoded);
  CHECK(decoded->Group == "g0-1");
  CHECK(decoded->Rank == 7);
  CHECK(decoded->Pace == 2.5);
  CHECK_FALSE(decodePace("pace/", encodePace(record, 3)));
  CHECK_FALSE(decodePace("pace/g/x", encodePace(record, 3)));
  CHECK_FALSE(decodePace(paceKey(record), "no"));
  CHECK_FALSE(decodePace(paceKey(record), R"({"pace":"2"})"));
}

TEST_CASE("records of other writers name no target") {
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

TEST_CASE("only the system sets the fields that targets trust") {
  // Guards against forged account names and instances.
  PlatformDialect dialect;
  adaptertcp::HeaderFields headers;
  headers.add("Authorization", "Token secret");
  headers.add("bergamotloft-tenant", "forged");
  headers.add("Bergamotloft-Expect-Instance", "forged");
  headers.add("Bergamotloft-Request-Id", "r1");
  dialect.prepareForwarding(headers, "account");
  CHECK(headers.count("Bergamotloft-Tenant") == 1);
  CHECK(headers.value("Bergamotloft-Tenant") == "account");
  CHECK_FALSE(headers.value("Authorization"));
  CHECK_FALSE(headers.value("Bergamotloft-Expect-Instance"));
  CHECK(headers.value("Bergamotloft-Request-Id") == "r1");
}

TEST_CASE("only a marked refusal counts as not executed") {
  PlatformDialect dialect;
  adaptertcp::ResponseHead head;
  head.Status = 503;
  CHECK_FALSE(dialect.decodeResponse(head).NotExecuted);
  head.Headers.add("Bergamotloft-Not-Executed", "1");
  CHECK(dialect.decodeResponse(head).NotExecuted);
  head.Status = 200;
  CHECK_FALSE(dialect.decodeResponse(head).NotExecuted);
  head.Headers.add("Keep-Alive", "timeout=5, max=3");
  CHECK(dialect.decodeResponse(head).KeepAliveFor == 5000ms);
}

TEST_CASE("a target's statements on leaving and rest are decoded") {
  const PlatformDialect dialect;
  const auto decode = [&](int status, const char *name, const char *value) {
    adaptertcp::ResponseHead head;
    head.Status = status;
    head.Headers.add(name, value);
    return dialect.decodeResponse(head);
  };
  CHECK(decode(200, "Server-Leaving", "1").IsDraining);
  CHECK(decode(500, "server-leaving", "1").IsDraining);
  CHECK_FALSE(decode(200, "Server-Leaving", "0").IsDraining);
  CHECK(decode(503, "Retry-After", "2").BackoffFor == 2000ms);
  CHECK(decode(503, "Retry-After", "0.25").BackoffFor == 250ms);
  CHECK(decode(503, "Retry-After", "0").BackoffFor == 0ms);
  CHECK_FALSE(decode(429, "Retry-After", "2").BackoffFor);
  // Huge values stay within the range of the clock.
  CHECK(decode(503, "Retry-After", "99999999999999999999").BackoffFor == 24h);
  for (const char *bad : {"", "soon", "-1", "1s", "nan", "inf", "1e3",
                          "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    CAPTURE(bad);
    const auto response = decode(503, "Retry-After", bad);
    CHECK_FALSE(response.BackoffFor);
    CHECK(response.HasInvalidBackoff);
  }
}
