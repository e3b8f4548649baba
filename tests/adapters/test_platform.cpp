#include "adapterplatform/httplog.h"
#include "adapterplatform/vmlist.h"
#include "adapterplatform/weightstore.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "standin/platformstandin.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace bergamot;
using namespace bergamot::adapterplatform;
using namespace std::chrono_literals;

namespace {

base::TimePoint after(std::chrono::milliseconds time) {
  return base::TimePoint::clock::now() + time;
}

std::string endpointOf(const standin::PlatformStandin &standin) {
  return "127.0.0.1:" + std::to_string(standin.port());
}

} // namespace

TEST_CASE("reads return batches in order and the earliest retained offset",
          "[log]") {
  standin::PlatformStandin platform({});
  HttpLog log(endpointOf(platform));
  CHECK(log.append("s", {"a", "b"}, after(2s)).Value == 0);
  CHECK(log.append("s", {"c"}, after(2s)).Value == 2);
  auto page = log.read("s", base::LogOffset{1}, 10, after(2s));
  REQUIRE(page.Records.size() == 2);
  CHECK(page.Records[0].Text == "b");
  CHECK(page.Records[1].Offset.Value == 2);
  CHECK(page.Next.Value == 3);
  platform.log().removeBefore("s", 2);
  page = log.read("s", base::LogOffset{0}, 10, after(2s));
  // A reader that assumed the first record to have offset 0 would assign wrong
  // offsets in its replay.
  CHECK(page.Earliest.Value == 2);
  REQUIRE(page.Records.size() == 1);
  CHECK(page.Records[0].Offset.Value == 2);
}

TEST_CASE("a read waits for the next record", "[log]") {
  standin::PlatformStandin platform({});
  HttpLog log(endpointOf(platform));
  auto page = std::async(std::launch::async, [&] {
    return log.read("s", base::LogOffset{0}, 10, after(3s));
  });
  std::this_thread::sleep_for(100ms);
  auto begin = base::TimePoint::clock::now();
  log.append("s", {"late"}, after(2s));
  CHECK(page.get().Records.size() == 1);
  CHECK(base::TimePoint::clock::now() - begin < 1s);
  CHECK(log.read("t", base::LogOffset{0}, 10, after(600ms)).Records.empty());
}

TEST_CASE("log failures are reported to the caller", "[log]") {
  standin::PlatformStandin platform({});
  HttpLog log(endpointOf(platform));
  // The response is lost after the append took effect: the error must not say
  // that the request wasn't sent.
  platform.faults().set({{"lose_answers", 1}});
  try {
    log.append("s", {"once"}, after(2s));
    FAIL("the lost response was not reported");
  } catch (const adapterhttp::HttpClientError &e) {
    CHECK(e.requestMayHaveBeenSent());
  }
  CHECK(log.read("s", base::LogOffset{0}, 10, after(2s)).Records.size() == 1);
  platform.faults().set({{"down", 1}});
  CHECK_THROWS_AS(log.append("s", {"x"}, after(2s)), base::Error);
  CHECK(log.read("s", base::LogOffset{0}, 10, after(2s)).Records.size() == 1);
  platform.faults().set({{"repeat", 1}});
  log.append("s", {"twice"}, after(2s));
  platform.faults().set({{"reorder", 1}});
  auto page = log.read("s", base::LogOffset{0}, 10, after(2s));
  REQUIRE(page.Records.size() == 3);
  CHECK(page.Records[0].Offset.Value == 2);
  platform.faults().set({{"silent", 1}});
  auto begin = base::TimePoint::clock::now();
  CHECK_THROWS_AS(log.append("s", {"x"}, after(200ms)), base::Error);
  CHECK(base::TimePoint::clock::now() - begin < 1s);
  platform.faults().set({{"slow_ms", 150}, {"slow_count", 1}});
  begin = base::TimePoint::clock::now();
  log.append("s", {"slow"}, after(2s));
  CHECK(base::TimePoint::clock::now() - begin >= 150ms);
  CHECK_THROWS_AS(platform.faults().set({{"dwon", 1}}), base::Error);
}

TEST_CASE("the log rejects appends above its rate limit", "[log]") {
  standin::PlatformOptions options;
  options.Log.AppendsPerSecond = 2;
  standin::PlatformStandin platform(options);
  HttpLog log(endpointOf(platform));
  log.append("s", {"a"}, after(2s));
  log.append("s", {"b"}, after(2s));
  CHECK_THROWS_AS(log.append("s", {"c"}, after(2s)), base::Error);
  CHECK(platform.log().ends()["s"] == 2);
}

TEST_CASE("changes appear in the VM list after a delay", "[vms]") {
  standin::PlatformOptions options;
  options.VmListLag = 200ms;
  standin::PlatformStandin platform(options);
  adapterhttp::HttpClient client(endpointOf(platform));
  client.request("POST", "/v1/vms", {},
                 R"({"vms":[{"id":"v1","address":"10.0.0.1",
                 "failure_domain":"a","state":"live"},{"id":"v2","address":
                 "10.0.0.2","failure_domain":"b","state":"leaving"}]})",
                 after(2s));
  HttpVmList list(endpointOf(platform));
  CHECK(list.read(after(2s)).Vms.empty());
  std::this_thread::sleep_for(220ms);
  auto listing = list.read(after(2s));
  REQUIRE(listing.Vms.size() == 2);
  CHECK_FALSE(listing.Vms[0].Leaving);
  CHECK(listing.Vms[1].Leaving);
  CHECK(listing.Vms[1].FailureDomain.Value == "b");
  CHECK(base::wallNow() - listing.Time < 5s);
}

TEST_CASE("weights are read in ranges and rate-limited", "[weights]") {
  standin::PlatformOptions options;
  options.WeightBytes = 1000;
  options.WeightBytesPerSecond = 1500;
  standin::PlatformStandin platform(options);
  HttpWeightStore store(endpointOf(platform));
  ExpertWeightsId id{"m", 3, 7};
  auto first = store.read(id, 0, 600, after(2s));
  auto second = store.read(id, 600, 600, after(2s));
  CHECK(first.Bytes.size() == 600);
  CHECK(second.Bytes.size() == 400);
  CHECK(first.TotalBytes == 1000);
  CHECK(base::sha256Hex(first.Bytes + second.Bytes) == first.ContentHash);
  auto refused = store.read(id, 0, 1000, after(2s));
  REQUIRE(refused.RetryAfter);
  CHECK(*refused.RetryAfter == 1s);
}
