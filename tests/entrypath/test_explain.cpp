// Reports on where an entry would send a request.
#include "entryfixture.h"
#include "entrypath/decisionreport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

void ignore(const adaptertcp::RequestHead & /*head*/,
            const std::string & /*body*/,
            const TestTarget::Connection & /*connection*/) {}

/// Returns the report on a request, which must have this status.
json report(EntryFixture &fixture, const std::string &query, int status = 200) {
  const auto response = reportDecision(fixture.entry(), "/explain" + query);
  CHECK(response.Status == status);
  CHECK(response.ContentType == "application/json");
  json body = json::parse(response.Body);
  CHECK(body.contains("error") == (status != 200));
  return body;
}

} // namespace

// Guards against reports that name another decision than the entry's, or its
// wrong inputs.
TEST_CASE("a report shows each target and its outcome", "[explain]") {
  EntryFixture fixture;
  fixture.addTarget("busy", ignore, 2);
  fixture.addTarget("full", ignore, 1);
  fixture.addTarget("idle", ignore, 2);
  Entry &entry = fixture.entry();
  entry.addInFlight("busy");
  entry.setPeerRequestCounts("peer", {{gateway::targetHash("full"), 1}});
  const json it =
      report(fixture, "?host=H:80&path=%2Fstream%2Fx%3Fy&account=account");
  CHECK(it["route"] == "stream");
  CHECK(it["service"] == "s");
  CHECK(it["account"] == "account");
  CHECK(it["config_version"] == 1);
  CHECK(it["stalled"] == false);
  CHECK(it["chosen"] == "idle");
  CHECK(it["equally_good"] == 1);
  CHECK(it["reports"]["entries"] == 1);
  CHECK(it["reports"]["oldest_ms"].get<int>() >= 0);
  CHECK(it["slots"]["shared"] == false);
  REQUIRE(it["targets"].size() == 3);
  CHECK(it["targets"][0]["outcome"] == "chosen");
  CHECK(it["targets"][1]["target"] == "busy");
  CHECK(it["targets"][1]["outcome"] == "candidate");
  CHECK(it["targets"][1]["own"] == 1);
  CHECK(it["targets"][1]["limit"] == 2);
  CHECK(it["targets"][2]["outcome"] == "full");
  CHECK(it["targets"][2]["others_reported"] == 1);
  entry.directory().setEvacuated("d", true);
  const json evacuated = report(fixture, "?host=h&path=/safe/x");
  CHECK(evacuated["chosen"].is_null());
  CHECK(evacuated["account"].is_null());
  CHECK(evacuated["targets"][0]["reason"] == "not_usable");
}

// Guards against a report that changes what the entry does later: it sends
// nothing, takes no random draw and no place in the queue.
TEST_CASE("a report leaves the entry as it was", "[explain]") {
  EntryFixture asked;
  EntryFixture unasked;
  for (EntryFixture *fixture : {&asked, &unasked}) {
    for (const char *id : {"a", "b", "c"})
      fixture->addTarget(id, ignore, 1);
    for (int i = 0; i < 5; ++i)
      fixture->send(requestText("stream", std::to_string(i)));
    REQUIRE(fixture->runUntil(
        [&] { return fixture->entry().queuedCount("s") == 2; }));
  }
  const json it = report(asked, "?host=h&path=/stream/x");
  CHECK(it["chosen"].is_null());
  CHECK(it["queue"]["on_time"] == 2);
  CHECK(it["queue"]["on_time_by_priority"] == json{{"0", 2}});
  CHECK(it["queue"]["sent_before"] == 2);
  CHECK(it["targets"][0]["outcome"] == "full");
  CHECK(asked.entry().queuedCount("s") == 2);
  CHECK(asked.entry().takeReport() == unasked.entry().takeReport());
  CHECK(asked.entry().drawUniform() == unasked.entry().drawUniform());
}

// Guards against a report on another service than most requests go to, and
// against one with the route's priority in place of the account's.
TEST_CASE("a report selects one of a route's services", "[explain]") {
  EntryFixture fixture(EntryFixture::Configured::Later);
  gateway::Route route;
  route.Name = "split";
  route.Host = "h";
  route.PathPrefix = "/";
  route.Services = {{"small", 1}, {"s", 3}};
  route.Priority = 2;
  gateway::ClientAccount urgent{"urgent", {"key"}, 0};
  fixture.entry().setRouteTable(std::make_shared<const gateway::RouteTable>(
      7, std::vector{route}, std::vector<gateway::Service>{},
      std::vector{urgent}, gateway::CallerLimits{}));
  const json main = report(fixture, "?host=h&path=/x&account=urgent");
  CHECK(main["service"] == "s");
  CHECK(main["services"].size() == 2);
  CHECK(main["priority"] == 0);
  const json other = report(fixture, "?host=h&path=/x&service=small");
  CHECK(other["service"] == "small");
  CHECK(other["priority"] == 2);
}

// Guards against errors that look like a report, and against a report on
// something else than was asked for.
TEST_CASE("a report on nothing known is an error", "[explain]") {
  EntryFixture fixture;
  report(fixture, "", 400);
  report(fixture, "?host=h", 400);
  report(fixture, "?path=/safe/x", 400);
  report(fixture, "?host=h&path=%2", 400);
  report(fixture, "?host=other&path=/safe/x", 404);
  report(fixture, "?host=h&path=/none/x", 404);
  report(fixture, "?host=h&path=/safe/x&account=other", 404);
  report(fixture, "?host=h&path=/safe/x&service=other", 404);
  const json it = report(fixture, "?host=h&path=/safe/x&service=s");
  CHECK(it["targets"].empty());
  EntryFixture unconfigured(EntryFixture::Configured::Later);
  report(unconfigured, "?host=h&path=/safe/x", 503);
  CHECK(asksForDecision("/explain?host=h"));
  CHECK_FALSE(asksForDecision("/records?topic=explain"));
}
