#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

void echoBody(const RequestHead &head, const std::string &body,
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

TEST_CASE("a request is forwarded with its account and its complete response "
          "relayed") {
  EntryFixture fixture;
  RequestHead seen;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &body, const auto &connection) {
        seen = head;
        echoBody(head, body, connection);
      });
  const auto received =
      fixture.send(requestText("once", "r1", "X-Other: 7\r\n"));
  REQUIRE(fixture.runUntil([&] { return received->has("got:ab"); }));
  CHECK(received->has("HTTP/1.1 200"));
  CHECK(received->has("X-Signed: 1"));
  CHECK(seen.Headers.value("X-Account") == "account");
  CHECK(seen.Headers.value("X-Instance") == "t1");
  CHECK(seen.Headers.value("X-Other") == "7");
  CHECK_FALSE(seen.Headers.value("X-Key"));
}

TEST_CASE("requests without a route or a valid key are rejected") {
  EntryFixture fixture;
  auto &target = fixture.addTarget("t1", echoBody);
  const auto noRoute = fixture.send(
      "GET /none/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: key\r\n\r\n");
  const auto noKey = fixture.send(
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: b\r\nX-Key: no\r\n\r\n");
  REQUIRE(fixture.runUntil(
      [&] { return noRoute->has("404") && noKey->has("401"); }));
  CHECK(target.requestCount() == 0);
}

TEST_CASE("a non-idempotent request is never retried once a byte was sent") {
  // Guards against a second execution after a lost response.
  EntryFixture fixture;
  const auto drop = [](const auto &, const auto &, const auto &connection) {
    connection->abort();
  };
  auto &first = fixture.addTarget("t1", drop);
  auto &second = fixture.addTarget("t2", drop);
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 502"));
  fixture.run(100ms);
  CHECK(first.requestCount() + second.requestCount() == 1);
}

TEST_CASE("an unproven refusal isn't relayed as a 503") {
  // Guards against a 503 for a request that may have been executed.
  EntryFixture fixture;
  fixture.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 503));
  });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 502"));
  CHECK_FALSE(received->has("X-Signed"));
}

TEST_CASE("a proven refusal gives a 503 with Retry-After") {
  EntryFixture fixture;
  fixture.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 503, "X-Not-Executed: 1\r\n"));
  });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
}

TEST_CASE("an idempotent request is retried at another target") {
  EntryFixture fixture;
  const auto drop = [](const auto &, const auto &, const auto &connection) {
    connection->abort();
  };
  fixture.addTarget("t1", drop);
  auto &second = fixture.addTarget("t2", echoBody);
  for (int i = 0; i < 4; ++i) {
    const auto received =
        fixture.send(requestText("safe", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
    CHECK(received->has("HTTP/1.1 200"));
  }
  CHECK(second.requestCount() == 4);
}

TEST_CASE("a response to another request is never relayed") {
  // Guards against a late extra response that is taken as the response to the
  // next request.
  EntryFixture fixture;
  fixture.addTarget("t1",
                    [](const auto &head, const auto &body, const auto &it) {
                      RequestHead other = head;
                      other.Headers.set("X-Id", "another");
                      it->send(signedResponse(other, "wrong"));
                      it->send(signedResponse(head, "right:" + body));
                    });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("right:ab"); }));
  CHECK_FALSE(received->has("wrong"));
}

TEST_CASE("bytes after a response don't reach the next caller") {
  EntryFixture fixture;
  fixture.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "own") + "HTTP/1.1 200 OK\r\nX-Id: r2\r\n"
                                           "X-Signed: 1\r\nContent-Length: "
                                           "5\r\n\r\nextra");
  });
  const auto first = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return first->has("own"); }));
  const auto second = fixture.send(requestText("once", "r2"));
  REQUIRE(fixture.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("own"));
  CHECK_FALSE(second->has("extra"));
}

TEST_CASE("an unsigned or truncated response is not a success") {
  EntryFixture fixture;
  bool truncated = false;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    if (!truncated) {
      it->send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    const std::string whole = signedResponse(head, "long body");
    it->send(whole.substr(0, whole.size() - 3));
    it->closeAfterSending();
  });
  const auto unsignedResponse = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return unsignedResponse->has("HTTP/1.1 "); }));
  CHECK(unsignedResponse->has("HTTP/1.1 502"));
  truncated = true;
  const auto truncatedResponse = fixture.send(requestText("once", "r1"));
  REQUIRE(
      fixture.runUntil([&] { return truncatedResponse->has("HTTP/1.1 "); }));
  CHECK(truncatedResponse->has("HTTP/1.1 502"));
}

TEST_CASE("an interrupted stream is resumed within the same response") {
  EntryFixture fixture;
  const auto handler = [](const auto &head, const auto &, const auto &it) {
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
  fixture.addTarget("t1", handler);
  fixture.addTarget("t2", handler);
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("0\r\n\r\n"); }));
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

TEST_CASE(
    "a stream is resumed at another rank if its target stops responding") {
  // The VM of one engine's sidecar is suspended: its group makes progress, but
  // the engine's events don't arrive. Guards against callers that disconnect
  // after two seconds while their requests can't be cancelled, and against
  // further requests to the target.
  EntryFixture fixture;
  const auto silent = [](const auto &head, const auto &, const auto &it) {
    it->send(streamHead(head) + event(1));
  };
  const auto healthy = [](const auto &head, const auto &, const auto &it) {
    const bool resumes = head.Headers.value("X-After").has_value();
    it->send(streamHead(head) + (resumes ? "" : event(1)) + event(2) +
             "0\r\n\r\n");
  };
  auto &first = fixture.addTarget("t1", silent, 1, "g");
  const auto stalled = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return stalled->has("id: 1"); }));
  fixture.addTarget("t2", healthy, 1, "g");
  // Other streams show that the group makes progress.
  for (int i = 2; i < 40 && !stalled->has("0\r\n\r\n"); ++i) {
    fixture.send(requestText("stream", "r" + std::to_string(i)));
    fixture.run(20ms);
  }
  CHECK(stalled->has("id: 2"));
  CHECK(stalled->has("0\r\n\r\n"));
  CHECK(first.requestCount() == 1);
}

TEST_CASE("a stream that can't be resumed is visibly truncated") {
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t1", [](const auto &head, const auto &, const auto &it) {
        it->send(streamHead(head) + event(1));
        it->closeAfterSending();
      });
  const auto received = fixture.send(requestText("stream-once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->Closed; }));
  CHECK(received->has("id: 1"));
  CHECK_FALSE(received->has("0\r\n\r\n"));
  CHECK(target.requestCount() == 1);
}

TEST_CASE("a caller that disconnects cancels the request at its target") {
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t1", [](const auto &head, const auto &, const auto &it) {
        it->send(streamHead(head) + event(1));
      });
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("id: 1"); }));
  fixture.disconnect(received);
  REQUIRE(fixture.runUntil([&] { return target.closedCount() == 1; }));
}

TEST_CASE("a request that finds no free slot in time is rejected") {
  // All slots are taken by requests that don't complete.
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 1);
  const auto stalled = fixture.send(requestText("once", "r1"));
  fixture.run(50ms);
  const auto start = std::chrono::steady_clock::now();
  const auto waiting = fixture.send(requestText("once", "r2"));
  REQUIRE(fixture.runUntil([&] { return waiting->has("HTTP/1.1 503"); }));
  const auto waited = std::chrono::steady_clock::now() - start;
  CHECK(waited < 400ms); // The latency objective of the route.
  CHECK(waiting->has("Retry-After: "));
  CHECK_FALSE(stalled->has("HTTP/1.1"));
}

TEST_CASE("requests are queued for a stalled group") {
  // As after a power loss. Guards against requests that are sent to a stalled
  // group, where they fail, or that are rejected for lack of slots although the
  // group recovers.
  EntryFixture fixture;
  bool open = false;
  std::vector<std::function<void()>> held;
  auto &target = fixture.addTarget(
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
    callers[i] = fixture.send(requestText("stream", "r" + std::to_string(i)));
  fixture.run(220ms);
  CHECK(target.requestCount() >= 1);
  CHECK(target.requestCount() <= 3);
  for (const auto &it : callers)
    CHECK_FALSE(it->has("HTTP/1.1 503"));
  open = true;
  for (const auto &it : held)
    it();
  for (const auto &it : callers)
    CHECK(fixture.runUntil([&] { return it->has("id: 1"); }));
}

TEST_CASE("a slow rank gets fewer requests than it has slots") {
  EntryFixture fixture;
  auto &slow = fixture.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 4, "g");
  fixture.entry().groups().recordProgress("g", fixture.entry().now());
  fixture.entry().slowdowns().setSlowdown(
      "g", 0, 2, fixture.entry().now() + std::chrono::hours(1));
  std::vector<std::shared_ptr<Received>> callers(4);
  for (std::size_t i = 0; i < callers.size(); ++i)
    callers[i] = fixture.send(requestText("once", "r" + std::to_string(i)));
  REQUIRE(fixture.runUntil([&] {
    return std::count_if(callers.begin(), callers.end(), [](const auto &it) {
             return it->has("HTTP/1.1 503");
           }) == 2;
  }));
  CHECK(slow.requestCount() == 2);
}

TEST_CASE("a request ends at its route's timeout") {
  EntryFixture fixture;
  fixture.addTarget("t1", [](const auto &, const auto &, const auto &) {});
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 504"));
}

TEST_CASE("a target is sent at most the caller's remaining time") {
  EntryFixture fixture;
  std::string left;
  fixture.addTarget("t1",
                    [&](const auto &head, const auto &body, const auto &it) {
                      left = head.Headers.value("X-Left").value_or("");
                      echoBody(head, body, it);
                    });
  const auto received =
      fixture.send(requestText("once", "r1", "X-Left: 900\r\n"));
  REQUIRE(fixture.runUntil([&] { return received->has("got:"); }));
  const auto value = adaptertcp::parseNumber(left);
  REQUIRE(value);
  CHECK(*value <= 900);
  CHECK(*value > 0);
}

TEST_CASE("another instance at a target's address is detected and not used") {
  EntryFixture fixture;
  fixture.addTarget("gone", [](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, "", 421));
  });
  auto &good = fixture.addTarget("t2", echoBody);
  for (int i = 0; i < 3; ++i) {
    const auto received =
        fixture.send(requestText("once", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
    if (!received->has("HTTP/1.1 200"))
      CHECK(received->has("HTTP/1.1 503"));
  }
  CHECK(good.requestCount() >= 2);
  CHECK_FALSE(fixture.entry().directory().target("gone"));
}

TEST_CASE("callers' limits are enforced") {
  EntryFixture fixture;
  fixture.addTarget("t1", echoBody);
  const auto longHead = fixture.send(
      "GET /safe/x HTTP/1.1\r\nX-A: " + std::string(4000, 'a') + "\r\n\r\n");
  const auto longBody = fixture.send(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n");
  const auto malformed = fixture.send("GET / HTTP/1.1\nHost: h\n\n");
  const auto slow = fixture.send("GET /safe/x HT");
  REQUIRE(fixture.runUntil([&] {
    return longHead->has("431") && longBody->has("413") &&
           malformed->has("400") && slow->has("408");
  }));
}

TEST_CASE("idle connections and partial requests don't delay others") {
  // Guards against connections that block the entry; 260 of them once did.
  EntryFixture fixture;
  fixture.addTarget("t1", echoBody);
  for (int i = 0; i < 300; ++i)
    fixture.openConnection("");
  for (int i = 0; i < 100; ++i)
    fixture.openConnection("GET /safe/x HTTP/1.1\r\nHo");
  fixture.run(50ms);
  const auto start = std::chrono::steady_clock::now();
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("got:ab"); }));
  CHECK(std::chrono::steady_clock::now() - start < 400ms);
}

TEST_CASE(
    "an entry that shuts down completes its requests and rejects new ones") {
  EntryFixture fixture;
  Connection open;
  RequestHead head;
  fixture.addTarget("t1",
                    [&](const auto &it, const auto &, const auto &connection) {
                      head = it;
                      open = connection;
                    });
  const auto running = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return open != nullptr; }));
  // Half a second is left, and the route's timeout is 1.5 s.
  fixture.entry().shutDown({fixture.entry().now() - 7s, 8s});
  CHECK_FALSE(fixture.entry().isDrained());
  const auto late = fixture.send(requestText("once", "r2"));
  REQUIRE(fixture.runUntil([&] { return late->has("HTTP/1.1 503"); }));
  open->send(signedResponse(head, "done"));
  REQUIRE(fixture.runUntil([&] { return running->has("done"); }));
  CHECK(running->has("Connection: close"));
  REQUIRE(fixture.runUntil([&] { return fixture.entry().isDrained(); }));
}

// Guards against requests that are passed on although the process ends before
// they are due, and against the refusal of those that it can complete.
TEST_CASE("an entry that shuts down takes only what it can complete") {
  EntryFixture fixture;
  std::vector<std::string> ids;
  fixture.addTarget("t1",
                    [&](const auto &head, const auto &body, const auto &it) {
                      ids.emplace_back(*head.Headers.value("X-Id"));
                      echoBody(head, body, it);
                    });
  // The process ends in one second.
  fixture.entry().shutDown({fixture.entry().now() - 6500ms, 8s});
  const auto longOne =
      fixture.send(requestText("once", "long", "X-Left: 1400\r\n"));
  const auto shortOne =
      fixture.send(requestText("once", "short", "X-Left: 600\r\n"));
  REQUIRE(fixture.runUntil(
      [&] { return longOne->has("HTTP/1.1 ") && shortOne->has("got:"); }));
  CHECK(longOne->has("HTTP/1.1 503"));
  CHECK(longOne->has("Retry-After: "));
  CHECK(ids == std::vector<std::string>{"short"});
}

TEST_CASE("an entry that begins to shut down takes requests that are quick as "
          "a rule") {
  // The process ends before the route's timeout of 1.5 s.
  const bool hasServed = GENERATE(false, true);
  EntryFixture fixture;
  fixture.addTarget("t1", echoBody);
  for (int i = 0; hasServed && i < 30; ++i) {
    const auto it = fixture.send(requestText("once", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return it->has("got:"); }));
  }
  fixture.entry().shutDown({fixture.entry().now(), 1500ms});
  const auto received = fixture.send(requestText("once", "last"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has(hasServed ? "HTTP/1.1 200" : "HTTP/1.1 503"));
}

// Guards against an entry that ends while the rest of an answer waits for a
// caller that reads slowly.
TEST_CASE("an entry isn't drained before all answers are on their way") {
  const std::string route = GENERATE("once", "stream");
  constexpr std::size_t BodyBytes = 600000;
  const std::string body(BodyBytes, 'x');
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    if (route == "once") {
      it->send(signedResponse(head, body));
      return;
    }
    std::string text = streamHead(head);
    for (std::size_t at = 0; at < body.size(); at += 40000) {
      std::string chunk;
      adaptertcp::appendChunk(chunk, "id: 1\ndata: " + body.substr(at, 40000) +
                                         "\n\n");
      text += chunk;
    }
    it->send(text + "0\r\n\r\n");
  });
  const auto received = fixture.sendOverSlowLink(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 200"); }));
  fixture.entry().shutDown({fixture.entry().now(), 8s});
  bool reads = true;
  REQUIRE(fixture.runUntil([&] {
    reads = !reads;
    fixture.setReading(received, reads);
    return fixture.entry().isDrained();
  }));
  const std::size_t before = received->Bytes.size();
  fixture.readWithoutEntry(received);
  CAPTURE(before, received->Bytes.size());
  CHECK(received->Bytes.size() > body.size());
  if (route == "stream")
    CHECK(received->Bytes.ends_with("0\r\n\r\n"));
}

// Guards against an entry that ends while the kernel still has an answer to
// send: if the caller sends a further request then, the kernel resets the
// connection and drops the answer.
TEST_CASE("an entry isn't drained before callers have acknowledged their "
          "answers") {
  // More than the caller's receive buffer, and less than the entry's send
  // buffer.
  const std::string body(30000, 'x');
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    it->send(signedResponse(head, body));
  });
  // The second connection stays open after its answer.
  const auto first = fixture.sendOverSlowLink(
      requestText("once", "r1", "Connection: close\r\n"));
  const auto second = fixture.sendOverSlowLink(requestText("once", "r2"));
  fixture.setReading(first, false);
  fixture.setReading(second, false);
  fixture.run(200ms);
  fixture.entry().shutDown({fixture.entry().now(), 8s});
  CHECK_FALSE(fixture.entry().isDrained());
  fixture.setReading(first, true);
  REQUIRE(fixture.runUntil([&] { return completeBody(*first) == body; }));
  CHECK_FALSE(fixture.entry().isDrained());
  fixture.setReading(second, true);
  REQUIRE(fixture.runUntil([&] { return completeBody(*second) == body; }));
  CHECK(fixture.runUntil([&] { return fixture.entry().isDrained(); }));
}

// At the end of the grace period connections were closed without a response.
TEST_CASE("requests that outlast the shutdown of an entry are answered") {
  EntryFixture fixture;
  int requests = 0;
  fixture.addTarget(
      "t1", [&](const auto &, const auto &, const auto &) { ++requests; }, 1);
  const auto sent = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return requests == 1; }));
  const auto queued = fixture.send(requestText("once", "r2"));
  fixture.run(30ms);
  fixture.entry().shutDown({fixture.entry().now() - 8s, 8s});
  fixture.entry().endUnfinishedRequests();
  fixture.entry().closeListener();
  REQUIRE(fixture.runUntil([&] { return sent->Closed && queued->Closed; }));
  // The target may have run the first one, but not the second one.
  CHECK(sent->has("HTTP/1.1 504"));
  CHECK(queued->has("HTTP/1.1 503"));
  CHECK(requests == 1);
}

TEST_CASE("a slow reader pauses its target instead of filling memory") {
  EntryFixture fixture;
  std::size_t unsent = 0;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
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
  const auto received = fixture.send(requestText("stream", "r1"));
  // Only the end is checked: searching 16 MB in each iteration of the loop
  // takes half of the time.
  REQUIRE(
      fixture.runUntil([&] { return received->Bytes.ends_with("0\r\n\r\n"); }));
  // The reader receives everything in the end, and the target was paused
  // meanwhile.
  CHECK(unsent > 0);
  CHECK(received->Bytes.size() > 400 * 40000);
}

TEST_CASE("an entry that was suspended doesn't act on its previous state") {
  // Guards against requests to a target that was removed during the suspension,
  // and against requests that are sent after their caller's deadline.
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t1", [](const auto &, const auto &, const auto &) {}, 1);
  int reloads = 0;
  fixture.entry().setReloadHandler([&] { ++reloads; });
  const auto sent = fixture.send(requestText("stream-once", "r1"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  const auto waiting = fixture.send(requestText("once", "r2"));
  fixture.run(30ms);
  CHECK_FALSE(waiting->has("HTTP/1.1"));
  // A suspension of five seconds during which the monotonic clock stood still;
  // the route's timeout is 4.5 s.
  fixture.entry().checkSuspension(fixture.entry().now(),
                                  base::timeSinceBoot() + 5s);
  CHECK(reloads == 1);
  REQUIRE(fixture.runUntil([&] { return waiting->has("HTTP/1.1 503"); }));
  REQUIRE(fixture.runUntil([&] { return sent->has("HTTP/1.1 504"); }));
  // Nothing is sent until the state has been reloaded.
  CHECK_FALSE(fixture.entry().isStateCurrent());
  const auto next = fixture.send(requestText("safe", "r3"));
  fixture.run(50ms);
  CHECK(target.requestCount() == 1);
  fixture.entry().reloadCompleted();
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 2; }));
}

TEST_CASE("an entry that can't reload its state after a suspension continues") {
  // The store may be unreachable; other entries then provide their records.
  EntryFixture fixture;
  auto &target = fixture.addTarget("t1", echoBody);
  fixture.entry().setReloadHandler([] {});
  fixture.entry().checkSuspension(fixture.entry().now(),
                                  base::timeSinceBoot() + 3s);
  CHECK_FALSE(fixture.entry().isStateCurrent());
  REQUIRE(fixture.runUntil([&] { return fixture.entry().isStateCurrent(); }));
  const auto received = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 200"); }));
  CHECK(target.requestCount() == 1);
}
