#include "testpath.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

void answerAll(const RequestHead &head, const std::string &body,
               const Connection &connection) {
  connection->send(signedResponse(head, "got:" + body));
}

/// Starts a chunked event stream.
std::string streamHead(const RequestHead &head) {
  return "HTTP/1.1 200 OK\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id) {
  const std::string text =
      "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
  std::string chunk;
  adaptertcp::appendChunk(chunk, text);
  return chunk;
}

} // namespace

TEST_CASE("a request is forwarded with its account and answered whole") {
  TestPath path;
  RequestHead seen;
  path.addTarget(
      "t1", [&](const auto &head, const auto &body, const auto &connection) {
        seen = head;
        answerAll(head, body, connection);
      });
  const auto received = path.send(requestText("once", "r1", "X-Other: 7\r\n"));
  REQUIRE(path.runUntil([&] { return received->has("got:ab"); }));
  CHECK(received->has("HTTP/1.1 200"));
  CHECK(received->has("X-Signed: 1"));
  CHECK(seen.Headers.value("X-Account") == "account");
  CHECK(seen.Headers.value("X-Instance") == "t1");
  CHECK(seen.Headers.value("X-Other") == "7");
  CHECK_FALSE(seen.Headers.value("X-Key"));
}

TEST_CASE("requests without a route or a key are turned away") {
  TestPath path;
  auto &target = path.addTarget("t1", answerAll);
  const auto noRoute = path.send(
      "GET /none/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: key\r\n\r\n");
  const auto noKey = path.send(
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: b\r\nX-Key: no\r\n\r\n");
  REQUIRE(
      path.runUntil([&] { return noRoute->has("404") && noKey->has("401"); }));
  CHECK(target.requestCount() == 0);
}

TEST_CASE("a request that may run once is never sent again after a byte") {
  // Guards against a second execution after a lost response.
  TestPath path;
  const auto drop = [](const auto &, const auto &, const auto &connection) {
    connection->abort();
  };
  auto &first = path.addTarget("t1", drop);
  auto &second = path.addTarget("t2", drop);
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 502"));
  path.run(100ms);
  CHECK(first.requestCount() + second.requestCount() == 1);
}

TEST_CASE("a refusal without proof isn't passed on as a promise") {
  // Guards against a 503 for a request that may have been executed.
  TestPath path;
  path.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 503));
  });
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 502"));
  CHECK_FALSE(received->has("X-Signed"));
}

TEST_CASE("a proven refusal is a 503 with a time to come back") {
  TestPath path;
  path.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 503, "X-Not-Executed: 1\r\n"));
  });
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
}

TEST_CASE("an idempotent request is retried at another target") {
  TestPath path;
  const auto drop = [](const auto &, const auto &, const auto &connection) {
    connection->abort();
  };
  path.addTarget("t1", drop);
  auto &second = path.addTarget("t2", answerAll);
  for (int i = 0; i < 4; ++i) {
    const auto received =
        path.send(requestText("safe", "r" + std::to_string(i)));
    REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
    CHECK(received->has("HTTP/1.1 200"));
  }
  CHECK(second.requestCount() == 4);
}

TEST_CASE("a response to another request is never passed on") {
  // Guards against a late extra response at the next request's place.
  TestPath path;
  path.addTarget("t1", [](const auto &head, const auto &body, const auto &it) {
    RequestHead other = head;
    other.Headers.set("X-Id", "another");
    it->send(signedResponse(other, "wrong"));
    it->send(signedResponse(head, "right:" + body));
  });
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("right:ab"); }));
  CHECK_FALSE(received->has("wrong"));
}

TEST_CASE("bytes behind a response don't reach the next caller") {
  TestPath path;
  path.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "own") + "HTTP/1.1 200 OK\r\nX-Id: r2\r\n"
                                           "X-Signed: 1\r\nContent-Length: "
                                           "5\r\n\r\nextra");
  });
  const auto first = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return first->has("own"); }));
  const auto second = path.send(requestText("once", "r2"));
  REQUIRE(path.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("own"));
  CHECK_FALSE(second->has("extra"));
}

TEST_CASE("a success without a signature or cut short is no success") {
  TestPath path;
  bool cut = false;
  path.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    if (!cut) {
      it->send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    const std::string whole = signedResponse(head, "long body");
    it->send(whole.substr(0, whole.size() - 3));
    it->closeAfterSending();
  });
  const auto unsignedOne = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return unsignedOne->has("HTTP/1.1 "); }));
  CHECK(unsignedOne->has("HTTP/1.1 502"));
  cut = true;
  const auto cutOne = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return cutOne->has("HTTP/1.1 "); }));
  CHECK(cutOne->has("HTTP/1.1 502"));
}

TEST_CASE("a stream that breaks off is resumed in the same response") {
  TestPath path;
  const auto script = [](const auto &head, const auto &, const auto &it) {
    const auto after = head.Headers.value("X-After");
    if (!after) {
      it->send(streamHead(head) + event(1) + event(2) + "20\r\nid: 3\nda");
      it->closeAfterSending();
      return;
    }
    const int from = static_cast<int>(*adaptertcp::parseNumber(*after));
    std::string rest;
    for (int i = from + 1; i <= 4; ++i)
      rest += event(i);
    it->send(streamHead(head) + rest + "0\r\n\r\n");
  };
  path.addTarget("t1", script);
  path.addTarget("t2", script);
  const auto received = path.send(requestText("stream", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("0\r\n\r\n"); }));
  std::size_t last = 0;
  for (int i = 1; i <= 4; ++i) {
    const std::string text = "id: " + std::to_string(i) + "\n";
    const std::size_t pos = received->Bytes.find(text);
    REQUIRE(pos != std::string::npos);
    CHECK(received->Bytes.find(text, pos + 1) == std::string::npos);
    CHECK(pos > last);
    last = pos;
  }
}

TEST_CASE("a stream goes on elsewhere if its rank falls silent") {
  // Load pattern: the VM beside one engine stands still; its group goes on, but
  // the engine's events don't come. Guards against callers that leave after two
  // seconds, whose work can't be ended, and against placing more there.
  TestPath path;
  const auto silent = [](const auto &head, const auto &, const auto &it) {
    it->send(streamHead(head) + event(1));
  };
  const auto sound = [](const auto &head, const auto &, const auto &it) {
    const bool resumes = head.Headers.value("X-After").has_value();
    it->send(streamHead(head) + (resumes ? "" : event(1)) + event(2) +
             "0\r\n\r\n");
  };
  auto &first = path.addTarget("t1", silent, 1, "g");
  const auto stuck = path.send(requestText("stream", "r1"));
  REQUIRE(path.runUntil([&] { return stuck->has("id: 1"); }));
  path.addTarget("t2", sound, 1, "g");
  // Other streams show that the group goes on.
  for (int i = 2; i < 40 && !stuck->has("0\r\n\r\n"); ++i) {
    path.send(requestText("stream", "r" + std::to_string(i)));
    path.run(20ms);
  }
  CHECK(stuck->has("id: 2"));
  CHECK(stuck->has("0\r\n\r\n"));
  CHECK(first.requestCount() == 1);
}

TEST_CASE("a stream that can't be resumed ends visibly incomplete") {
  TestPath path;
  auto &target =
      path.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
        it->send(streamHead(head) + event(1));
        it->closeAfterSending();
      });
  const auto received = path.send(requestText("stream-once", "r1"));
  REQUIRE(path.runUntil([&] { return received->Closed; }));
  CHECK(received->has("id: 1"));
  CHECK_FALSE(received->has("0\r\n\r\n"));
  CHECK(target.requestCount() == 1);
}

TEST_CASE("a caller that leaves ends the work at its target") {
  TestPath path;
  auto &target =
      path.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
        it->send(streamHead(head) + event(1));
      });
  const auto received = path.send(requestText("stream", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("id: 1"); }));
  path.hangUp(received);
  REQUIRE(path.runUntil([&] { return target.closedCount() == 1; }));
}

TEST_CASE("a request that finds no room in time is rejected at once") {
  // Load pattern: all slots are taken by work that doesn't end.
  TestPath path;
  path.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 1);
  const auto stuck = path.send(requestText("once", "r1"));
  path.run(50ms);
  const auto start = std::chrono::steady_clock::now();
  const auto waiting = path.send(requestText("once", "r2"));
  REQUIRE(path.runUntil([&] { return waiting->has("HTTP/1.1 503"); }));
  const auto waited = std::chrono::steady_clock::now() - start;
  CHECK(waited < 400ms); // The latency objective of the route.
  CHECK(waiting->has("Retry-After: "));
  CHECK_FALSE(stuck->has("HTTP/1.1"));
}

TEST_CASE("requests wait for a group that stands still") {
  // Load pattern: right after a power loss. Guards against requests that are
  // sent to a group in vain, or rejected for want of room although it returns.
  TestPath path;
  bool open = false;
  std::vector<std::function<void()>> held;
  auto &target = path.addTarget(
      "t1",
      [&](const auto &head, const auto &, const auto &it) {
        held.push_back([head, it] {
          it->send(streamHead(head) + event(1) + "0\r\n\r\n");
        });
        if (open)
          held.back()();
      },
      8, "g");
  std::vector<std::shared_ptr<Received>> callers(6);
  for (std::size_t i = 0; i < callers.size(); ++i)
    callers[i] = path.send(requestText("stream", "r" + std::to_string(i)));
  path.run(220ms);
  CHECK(target.requestCount() >= 1);
  CHECK(target.requestCount() <= 3);
  for (const auto &it : callers)
    CHECK_FALSE(it->has("HTTP/1.1 503"));
  open = true;
  for (const auto &it : held)
    it();
  for (const auto &it : callers)
    CHECK(path.runUntil([&] { return it->has("id: 1"); }));
}

TEST_CASE("a slow rank gets fewer requests than it has slots") {
  TestPath path;
  auto &slow = path.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 4, "g");
  path.entry().groups().noteProgress("g", path.entry().now());
  path.entry().paces().setPace("g", 0, 2,
                               path.entry().now() + std::chrono::hours(1));
  std::vector<std::shared_ptr<Received>> callers(4);
  for (std::size_t i = 0; i < callers.size(); ++i)
    callers[i] = path.send(requestText("once", "r" + std::to_string(i)));
  REQUIRE(path.runUntil([&] {
    return std::count_if(callers.begin(), callers.end(), [](const auto &it) {
             return it->has("HTTP/1.1 503");
           }) == 2;
  }));
  CHECK(slow.requestCount() == 2);
}

TEST_CASE("a request ends at its route's timeout") {
  TestPath path;
  path.addTarget("t1", [](const auto &, const auto &, const auto &) {});
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 504"));
}

TEST_CASE("a target gets what is left of the caller's time, never more") {
  TestPath path;
  std::string left;
  path.addTarget("t1", [&](const auto &head, const auto &body, const auto &it) {
    left = head.Headers.value("X-Left").value_or("");
    answerAll(head, body, it);
  });
  const auto received = path.send(requestText("once", "r1", "X-Left: 900\r\n"));
  REQUIRE(path.runUntil([&] { return received->has("got:"); }));
  const auto value = adaptertcp::parseNumber(left);
  REQUIRE(value);
  CHECK(*value <= 900);
  CHECK(*value > 0);
}

TEST_CASE("another instance at the address is found out and left alone") {
  TestPath path;
  path.addTarget("gone", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 421));
  });
  auto &good = path.addTarget("t2", answerAll);
  for (int i = 0; i < 3; ++i) {
    const auto received =
        path.send(requestText("once", "r" + std::to_string(i)));
    REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
    if (!received->has("HTTP/1.1 200"))
      CHECK(received->has("HTTP/1.1 503"));
  }
  CHECK(good.requestCount() >= 2);
  CHECK_FALSE(path.entry().directory().target("gone"));
}

TEST_CASE("callers' limits are kept") {
  TestPath path;
  path.addTarget("t1", answerAll);
  const auto longHead = path.send(
      "GET /safe/x HTTP/1.1\r\nX-A: " + std::string(4000, 'a') + "\r\n\r\n");
  const auto longBody = path.send(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n");
  const auto malformed = path.send("GET / HTTP/1.1\nHost: h\n\n");
  const auto slow = path.send("GET /safe/x HT");
  REQUIRE(path.runUntil([&] {
    return longHead->has("431") && longBody->has("413") &&
           malformed->has("400") && slow->has("408");
  }));
}

TEST_CASE("idle and half-sent connections don't keep others waiting") {
  // Guards against an entry that 260 such connections stopped.
  TestPath path;
  path.addTarget("t1", answerAll);
  for (int i = 0; i < 300; ++i)
    path.openIdle("");
  for (int i = 0; i < 100; ++i)
    path.openIdle("GET /safe/x HTTP/1.1\r\nHo");
  path.run(50ms);
  const auto start = std::chrono::steady_clock::now();
  const auto received = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("got:ab"); }));
  CHECK(std::chrono::steady_clock::now() - start < 400ms);
}

TEST_CASE("an entry that ends completes what it has and takes nothing new") {
  TestPath path;
  Connection open;
  RequestHead head;
  path.addTarget("t1",
                 [&](const auto &it, const auto &, const auto &connection) {
                   head = it;
                   open = connection;
                 });
  const auto running = path.send(requestText("once", "r1"));
  REQUIRE(path.runUntil([&] { return open != nullptr; }));
  path.entry().shutDown();
  path.entry().leave();
  CHECK_FALSE(path.entry().isDrained());
  const auto late = path.send(requestText("once", "r2"));
  REQUIRE(path.runUntil([&] { return late->has("HTTP/1.1 503"); }));
  open->send(signedResponse(head, "done"));
  REQUIRE(path.runUntil([&] { return running->has("done"); }));
  CHECK(running->has("Connection: close"));
  REQUIRE(path.runUntil([&] { return path.entry().isDrained(); }));
}

TEST_CASE("a slow reader holds its target back instead of filling memory") {
  TestPath path;
  std::size_t unsent = 0;
  path.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    std::string text = streamHead(head);
    for (int i = 1; i <= 400; ++i) {
      std::string chunk;
      adaptertcp::appendChunk(chunk, "id: " + std::to_string(i) + "\ndata: " +
                                         std::string(40000, 'x') + "\n\n");
      text += chunk;
    }
    it->send(text + "0\r\n\r\n");
    unsent = it->unsentBytes();
  });
  const auto received = path.send(requestText("stream", "r1"));
  // Only the end is looked at: searching 16 MB at each turn of the loop takes
  // half of the time.
  REQUIRE(
      path.runUntil([&] { return received->Bytes.ends_with("0\r\n\r\n"); }));
  // The reader takes all in the end; the target had to wait meanwhile.
  CHECK(unsent > 0);
  CHECK(received->Bytes.size() > 400 * 40000);
}

TEST_CASE("an entry that was suspended acts on nothing it knew before") {
  // Guards against a request to a target that was taken out meanwhile, and
  // against one that is sent although its caller's time is over.
  TestPath path;
  auto &target = path.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 1);
  int refreshes = 0;
  path.entry().onPause([&] { ++refreshes; });
  const auto sent = path.send(requestText("stream-once", "r1"));
  REQUIRE(path.runUntil([&] { return target.requestCount() == 1; }));
  const auto waiting = path.send(requestText("once", "r2"));
  path.run(30ms);
  CHECK_FALSE(waiting->has("HTTP/1.1"));
  // Five seconds that the monotonic clock doesn't count; the route allows 4.5.
  path.entry().checkPause(path.entry().now(), base::timeSinceBoot() + 5s);
  CHECK(refreshes == 1);
  REQUIRE(path.runUntil([&] { return waiting->has("HTTP/1.1 503"); }));
  REQUIRE(path.runUntil([&] { return sent->has("HTTP/1.1 504"); }));
  // Nothing is sent until the state is up to date.
  CHECK_FALSE(path.entry().isFresh());
  const auto next = path.send(requestText("safe", "r3"));
  path.run(50ms);
  CHECK(target.requestCount() == 1);
  path.entry().refreshed();
  REQUIRE(path.runUntil([&] { return target.requestCount() == 2; }));
}

TEST_CASE("an entry that can't refresh after a pause goes on") {
  // The store may be away; other entries hand on what they know.
  TestPath path;
  auto &target = path.addTarget("t1", answerAll);
  path.entry().onPause([] {});
  path.entry().checkPause(path.entry().now(), base::timeSinceBoot() + 3s);
  CHECK_FALSE(path.entry().isFresh());
  REQUIRE(path.runUntil([&] { return path.entry().isFresh(); }));
  const auto received = path.send(requestText("safe", "r1"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 200"); }));
  CHECK(target.requestCount() == 1);
}
