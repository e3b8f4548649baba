#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"
#include "libbergamotbase/metrics.h"
#include "libbergamotbase/pausedetector.h"
#include "libbergamotbase/settings.h"
#include "libbergamotbase/urlquery.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamot::base;

// Guards against log lines that a JSON parser rejects.
TEST_CASE("log lines are valid JSON objects for any message", "[log]") {
  const auto plain = nlohmann::json::parse(
      formatLogLine("t", "INFO", "a.cpp:1", "quote \" and \xff byte"));
  CHECK(plain["source"] == "a.cpp:1");
  const auto merged = nlohmann::json::parse(
      formatLogLine("t", "INFO", "a.cpp:1", R"({"decision":"x","n":1})"));
  CHECK(merged["decision"] == "x");
  CHECK(merged["level"] == "INFO");
}

// Guards against a digest that depends on how the input is split.
TEST_CASE("the hash of a stream equals the hash of its contents", "[digest]") {
  StreamHash hash;
  hash.add("abc");
  hash.add("");
  hash.add("defgh");
  CHECK(hash.value() == xxHash64("abcdefgh"));
  CHECK(fromHex(toHex("\x01\xfe")) == "\x01\xfe");
  CHECK_THROWS_AS(fromHex("0g"), Error);
  CHECK(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca4959"
                         "91b7852b855");
  CHECK(equalsConstantTime("same", "same"));
  CHECK_FALSE(equalsConstantTime("same", "sama"));
}

// Guards against validation that stops at the first invalid setting.
TEST_CASE("all invalid settings are reported at once", "[settings]") {
  std::vector<SettingProblem> problems;
  checkRange(problems, "port", 70000, 1, 65535);
  checkChoice(problems, "role", "entri", {"entry", "target"});
  checkEndpoint(problems, "listen", "localhost:80");
  checkEndpoint(problems, "listen", "127.0.0.1:0");
  checkEndpoint(problems, "listen", "[::1]:7000");
  REQUIRE(problems.size() == 4);
  CHECK_THROWS_WITH(throwIfAny(problems),
                    Catch::Contains("--port='70000': allowed: 1 to 65535") &&
                        Catch::Contains("--role='entri'"));
}

// Guards against histogram buckets that aren't cumulative.
TEST_CASE("latency buckets are cumulative", "[metrics]") {
  Metrics metrics;
  metrics.addLatency("x_seconds", "", std::chrono::milliseconds(1));
  metrics.addLatency("x_seconds", "", std::chrono::seconds(1));
  metrics.addCount("x_total", "a=\"b\"", 2);
  const std::string text = metrics.prometheusText();
  CHECK_THAT(text, Catch::Contains("x_seconds_bucket{le=\"100\"} 2\n"));
  CHECK_THAT(text, Catch::Contains("x_seconds_count 2\n"));
  CHECK_THAT(text, Catch::Contains("x_total{a=\"b\"} 2\n"));
}

TEST_CASE("a pause is detected even if the monotonic clock stops during it") {
  using namespace std::chrono_literals;
  const bergamot::base::TimePoint start;
  bergamot::base::PauseDetector detector(start, 100s);
  // Checks of a busy process.
  CHECK(detector.check(start + 25ms, 100025ms).Length == 0ms);
  CHECK(detector.check(start + 925ms, 100925ms).Length == 0ms);
  // The process is stopped for four seconds.
  auto pause = detector.check(start + 4925ms, 104925ms);
  CHECK(pause.Length == 4s);
  CHECK(pause.Suspended == 0ms);
  // The VM is suspended for four seconds.
  pause = detector.check(start + 4950ms, 108950ms);
  CHECK(pause.Length == 4025ms);
  CHECK(pause.Suspended == 4s);
  CHECK(detector.check(start + 4975ms, 108975ms).Length == 0ms);
  // The boot-time clock advances.
  const auto before = bergamot::base::timeSinceBoot();
  CHECK(before > 0ms);
  CHECK(bergamot::base::timeSinceBoot() >= before);
}

// Guards against parameters that are taken for others, and against reads past
// the end of an incomplete percent-encoding.
TEST_CASE("values of a query are found and decoded", "[query]") {
  CHECK(queryParameter("from=3&limit=10", "limit") == "10");
  CHECK(queryParameter("from=3", "limit", "7") == "7");
  CHECK(percentDecoded("a%20b%2Fc+%C3%bc") == "a b/c+\xc3\xbc");
  CHECK(percentDecoded("") == "");
  for (const char *text : {"%", "a%2", "%zz", "%2", "%%20"})
    CHECK_FALSE(percentDecoded(text));
}
