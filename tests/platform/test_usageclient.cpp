// The calls of the usage reports on the users' platform.
#include "adaptertcp/asynchttpserver.h"
#include "platform/usageclient.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamot;
using namespace bergamot::platform;
using namespace std::chrono_literals;
using adaptertcp::AsyncHttpServer;
using boost::asio::ip::tcp;
using entrypath::ReadResult;
using usage::AppendResult;

namespace {

tcp::endpoint freeEndpoint() {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint();
}

/// A server in place of the store and of the service that accepts reports; it
/// keeps the last request.
struct ClientFixture {
  ClientFixture()
      : Server(Loop,
               [this](const auto &head, const auto &body, auto respond) {
                 Head = head;
                 Body = body;
                 ++Calls;
                 if (Status != 0)
                   respond({Status, "application/json", "{}"});
               }),
        Client(Loop, Address, Address, "entry-1") {
    Server.listen(Address);
  }
  base::TimePoint deadline() const {
    return std::chrono::steady_clock::now() + 200ms;
  }
  void run() {
    Loop.restart();
    Loop.run_for(500ms);
  }

  boost::asio::io_context Loop;
  tcp::endpoint Address = freeEndpoint();
  AsyncHttpServer Server;
  UsageClient Client;
  adaptertcp::RequestHead Head;
  std::string Body;
  int Calls = 0;
  /// 0 for no response.
  int Status = 200;
};

ReadResult page(std::uint64_t end) {
  ReadResult it;
  it.Status = ReadResult::ReadStatus::Read;
  it.TopicEnd = end;
  return it;
}

} // namespace

TEST_CASE("the report record is written at a given offset only") {
  const auto [status, expected] =
      GENERATE(table<int, AppendResult>({{200, AppendResult::Appended},
                                         {412, AppendResult::NotAppended},
                                         {503, AppendResult::NotAppended},
                                         {429, AppendResult::NotAppended},
                                         {0, AppendResult::Unknown}}));
  CAPTURE(status);
  ClientFixture fixture;
  fixture.Status = status;
  std::optional<AppendResult> result;
  const usage::ReportRecord record{"entry-1", 8, 5, {{5, {{"a", 3}}}}};
  fixture.Client.appendRecord(
      {7, record}, fixture.deadline(),
      [&](AppendResult it, std::uint64_t) { result = it; });
  fixture.run();
  CHECK(result == expected);
  CHECK(fixture.Head.Target ==
        "/v1/log-append?topic=keyed.usage-report&part=0&at=7");
  CHECK(fixture.Body ==
        encodeKeyedRecord("report", usage::encodeReportRecord(record)));
}

TEST_CASE("a report names its holder, token, window and counts") {
  ClientFixture fixture;
  std::optional<bool> accepted;
  const usage::SendReport report{12, {353445120, {{"x", 412}, {"y", 7}}}, {}};
  const bool maySend = GENERATE(true, false);
  fixture.Client.sendReport(
      report, fixture.deadline(), [=] { return maySend; },
      [&](bool it) { accepted = it; });
  fixture.run();
  CHECK(accepted == maySend);
  CHECK(fixture.Calls == (maySend ? 1 : 0));
  if (!maySend)
    return;
  CHECK(fixture.Head.Method == "POST");
  CHECK(fixture.Head.Target == "/usage");
  CHECK(fixture.Head.Headers.value("Bergamotloft-Duty-Holder") == "entry-1");
  CHECK(fixture.Head.Headers.value("Bergamotloft-Fencing-Token") == "12");
  CHECK(nlohmann::json::parse(fixture.Body) ==
        nlohmann::json::parse(
            R"({"window":353445120,"counts":{"x":412,"y":7}})"));
}

TEST_CASE("a refused or unanswered report isn't accepted") {
  ClientFixture fixture;
  fixture.Status = GENERATE(429, 503, 0);
  std::optional<bool> accepted;
  fixture.Client.sendReport(
      {}, fixture.deadline(), [] { return true; },
      [&](bool it) { accepted = it; });
  fixture.run();
  CHECK(accepted == false);
}

TEST_CASE("a record that isn't the topic's last one isn't used") {
  // Guards against a conditional write that replaces a record which was written
  // between the two parts of a read.
  const usage::ReportRecord record{"e", 8, 5, {}};
  ReadResult read = page(8);
  read.Records.push_back({"report", usage::encodeReportRecord(record), {1, 7}});
  REQUIRE(toRecordState(read));
  CHECK(toRecordState(read)->End == 8);
  CHECK(toRecordState(read)->Record == record);
  read.TopicEnd = 9;
  CHECK_FALSE(toRecordState(read));
  REQUIRE(toRecordState(page(0)));
  CHECK_FALSE(toRecordState(page(0))->Record);
  CHECK_FALSE(toRecordState(page(3)));
  CHECK_FALSE(toRecordState(ReadResult()));
  read.TopicEnd = 8;
  read.Records.back().Value = "damaged";
  CHECK_FALSE(toRecordState(read));
}
