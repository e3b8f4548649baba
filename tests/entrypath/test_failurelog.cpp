// What the log and the metrics tell of failed attempts.
#include "decisionlog.h"
#include "entryfixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using adaptertcp::RequestHead;
using nlohmann::json;

namespace {

std::string signedHead(const RequestHead &head, const std::string &framing) {
  return "HTTP/1.1 200 X\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\n" + framing + "\r\n";
}

} // namespace

TEST_CASE("a failed attempt is logged with its cause and the bytes relayed") {
  constexpr std::size_t Sent = 100000;
  DecisionLog log;
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedHead(head, "Content-Length: 200000\r\n") +
                         std::string(Sent, 'x'));
        connection->closeAfterSending();
      });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->Closed; }));
  const json failed = log.only("attempt.failed");
  REQUIRE(failed.is_object());
  CHECK(failed["outcome"] == "lost");
  CHECK(failed["cause"] == "closed");
  CHECK(failed["framing"] == "length");
  CHECK(failed["received"] == Sent);
  CHECK(failed["relayed"] == Sent);
  CHECK(failed["reused"] == false);
  const json end = log.only("request.end");
  REQUIRE(end.is_object());
  CHECK(end["sources"] == json{"t1"});
  CHECK(end["relayed"] == Sent);
  CHECK(fixture.metrics().prometheusText().find(
            "bergamot_attempt_failures_total{failure=\"lost\",cause=\"closed\","
            "response_started=\"true\"} 1") != std::string::npos);
}

TEST_CASE("a served request is logged with the target its body came from") {
  DecisionLog log;
  EntryFixture fixture;
  const TestTarget &first = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedHead(head, "Transfer-Encoding: chunked\r\n") +
                         "3\r\nabc\r\nno chunk\r\n");
      });
  const auto received = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  fixture.addTarget("t2", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "whole"));
  });
  REQUIRE(fixture.runUntil([&] { return received->has("whole"); }));
  const json failed = log.only("attempt.failed");
  REQUIRE(failed.is_object());
  CHECK(failed["cause"] == "malformed");
  CHECK(failed["framing"] == "chunked");
  CHECK(failed["received"] == 3);
  CHECK(failed["relayed"] == 0);
  const json end = log.only("request.end");
  REQUIRE(end.is_object());
  CHECK(end["outcome"] == "served");
  CHECK(end["sources"] == json{"t2"});
  CHECK(end["relayed"] == 5);
}
