// Targets that say in their responses that they leave, or want rest.
#include "testpath.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

/// Answers with a status and further fields.
TestTarget::Script answering(int status, const std::string &fields) {
  return [=](const auto &head, const auto &, const auto &connection) {
    connection->send(signedResponse(head, "x", status, fields));
  };
}

gateway::TargetRecord restarted(const Entry &entry, const std::string &id) {
  gateway::TargetRecord record =
      const_cast<Entry &>(entry).directory().target(id)->Record;
  ++record.StartedAtMs;
  return record;
}

/// Sends requests one after the other until each is answered.
void sendSafe(TestPath &path, const std::string &prefix, int count) {
  for (int i = 0; i < count; ++i) {
    const auto received =
        path.send(requestText("safe", prefix + std::to_string(i)));
    REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  }
}

} // namespace

TEST_CASE("a target that says it leaves gets nothing new") {
  // Load pattern: targets are emptied while the store can't be read.
  const auto [status, fields] = GENERATE(table<int, std::string>(
      {{200, "X-Leaving: 1\r\n"},
       {404, "X-Leaving: 1\r\n"},
       {500, "X-Leaving: 1\r\n"},
       {503, "X-Leaving: 1\r\nX-Not-Executed: 1\r\n"}}));
  TestPath path;
  auto &leaving = path.addTarget("t1", answering(status, fields));
  auto &other = path.addTarget("t2", answering(200, ""));
  sendSafe(path, "a", 12);
  CHECK(leaving.requestCount() == 1);
  CHECK(other.requestCount() >= 11);
  // The list shows the target as before; that is no reason to use it again.
  const auto record = path.entry().directory().target("t1")->Record;
  path.entry().directory().removeTarget("t1", true, path.entry().now());
  path.entry().directory().setTarget(record, path.entry().now());
  sendSafe(path, "b", 6);
  CHECK(leaving.requestCount() == 1);
  path.entry().directory().setTarget(restarted(path.entry(), "t1"),
                                     path.entry().now());
  path.entry().directory().removeTarget("t2", true, path.entry().now());
  sendSafe(path, "c", 1);
  CHECK(leaving.requestCount() == 2);
}

TEST_CASE("a stream that has started at a leaving target ends in peace") {
  TestPath path;
  TestTarget::Connection stream;
  std::string id;
  path.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    stream = it;
    id = std::string(head.Headers.value("X-Id").value_or(""));
    it->send("HTTP/1.1 200 OK\r\nX-Id: " + id +
             "\r\nX-Signed: 1\r\nX-Leaving: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  });
  const auto received = path.send(requestText("stream", "s1"));
  REQUIRE(path.runUntil([&] { return stream != nullptr; }));
  path.run(50ms);
  std::string chunks;
  adaptertcp::appendChunk(chunks, "id: 1\ndata: d\n\n");
  stream->send(chunks + std::string(adaptertcp::LastChunk));
  REQUIRE(path.runUntil([&] { return received->has("0\r\n\r\n"); }));
  CHECK(received->has("id: 1"));
}

TEST_CASE("a target that wants rest gets no request until it is over") {
  TestPath path;
  auto &resting = path.addTarget(
      "t1", answering(503, "X-Not-Executed: 1\r\nX-Rest: 400\r\n"));
  auto &other = path.addTarget("t2", answering(200, ""));
  sendSafe(path, "a", 12);
  CHECK(resting.requestCount() == 1);
  CHECK(other.requestCount() >= 11);
  path.run(450ms);
  sendSafe(path, "b", 8);
  CHECK(resting.requestCount() == 2);
}

TEST_CASE("callers are told when all targets of a service rest") {
  // Load pattern: all targets of a service are full and say so.
  TestPath path;
  auto &first = path.addTarget(
      "t1", answering(503, "X-Not-Executed: 1\r\nX-Rest: 1400\r\n"));
  auto &second = path.addTarget(
      "t2", answering(503, "X-Not-Executed: 1\r\nX-Rest: 1400\r\n"));
  sendSafe(path, "a", 1);
  CHECK(first.requestCount() + second.requestCount() == 2);
  const auto sentAt = path.entry().now();
  const auto received = path.send(requestText("once", "b1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
  // Nothing can serve it in time, so it doesn't wait.
  CHECK(path.entry().now() - sentAt < 100ms);
  CHECK(first.requestCount() + second.requestCount() == 2);
}
