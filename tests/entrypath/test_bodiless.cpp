// Responses that have no body by their status.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::MessageParser;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

/// A body that a caller would take for a response.
const std::string ForgedResponse =
    "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 6\r\n\r\nforged";

std::string headWithFields(const RequestHead &head, int status,
                           const std::string &fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Id: " + std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\n" + fields + "\r\n";
}

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

/// Returns the statuses and bodies of the responses that a caller reads, and
/// bytes that aren't a complete response as they are.
std::vector<std::string> readResponses(std::string_view bytes,
                                       bool isFirstToHead = false) {
  std::vector<std::string> responses;
  MessageParser parser(MessageParser::Kind::Response);
  parser.restart(isFirstToHead);
  while (!bytes.empty()) {
    const std::size_t n = parser.push(bytes);
    if (!parser.isComplete()) {
      responses.emplace_back(bytes);
      break;
    }
    bytes.remove_prefix(n);
    responses.push_back(std::to_string(parser.responseHead().Status) + " " +
                        parser.body());
    parser.restart();
  }
  return responses;
}

} // namespace

// The caller took the body for the response to its next request.
TEST_CASE("a body after a status that has none doesn't reach the caller") {
  const int status = GENERATE(204, 304);
  const bool isChunked = GENERATE(false, true);
  EntryFixture fixture;
  auto &target =
      fixture.addTarget("t1", [&](const auto &head, const auto &, auto &it) {
        if (head.Headers.value("X-Id") != "r1") {
          it->send(signedResponse(head, "second"));
          return;
        }
        std::string body = ForgedResponse;
        if (isChunked) {
          body.clear();
          adaptertcp::appendChunk(body, ForgedResponse);
          body.append(adaptertcp::LastChunk);
        }
        it->send(headWithFields(head, status,
                                isChunked ? "Transfer-Encoding: chunked\r\n"
                                          : lengthField(body.size())) +
                 body);
      });
  const auto received =
      fixture.send(requestText("safe", "r1") + requestText("safe", "r2"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 2; }));
  fixture.run(50ms);
  CAPTURE(status, isChunked, received->Bytes);
  CHECK(readResponses(received->Bytes) ==
        std::vector<std::string>{std::to_string(status) + " ", "200 second"});
  // Excess bytes may still be in transit.
  CHECK(target.connectionCount() == 2);
}

// They came before the response to the next request on the connection.
TEST_CASE("a connection isn't used again after a 204 that states a body") {
  const bool isChunked = GENERATE(false, true);
  EntryFixture fixture;
  Connection first;
  auto &target =
      fixture.addTarget("t1", [&](const auto &head, const auto &, auto &it) {
        if (!first) {
          first = it;
          it->send(headWithFields(head, 204,
                                  isChunked ? "Transfer-Encoding: chunked\r\n"
                                            : lengthField(4)));
          return;
        }
        first->send("rest");
        it->send(signedResponse(head, "second"));
      });
  const auto received =
      fixture.send(requestText("once", "r1") + requestText("once", "r2"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 2; }));
  fixture.run(50ms);
  CAPTURE(isChunked, received->Bytes);
  CHECK(readResponses(received->Bytes) ==
        std::vector<std::string>{"204 ", "200 second"});
}

// The entry waited for the body until the request's deadline.
TEST_CASE("a 304 with the length of what it stands for is complete") {
  EntryFixture fixture;
  auto &target =
      fixture.addTarget("t1", [&](const auto &head, const auto &, auto &it) {
        it->send(headWithFields(head, 304, lengthField(500)));
      });
  const auto received =
      fixture.send(requestText("safe", "r1") + requestText("safe", "r2"));
  fixture.run(300ms);
  CHECK(readResponses(received->Bytes) ==
        std::vector<std::string>{"304 ", "304 "});
  CHECK(target.connectionCount() == 1);
}

// The last chunk's bytes came before the caller's next response.
TEST_CASE("no byte follows the head of a bodiless response on a route with "
          "streams") {
  const bool isHead = GENERATE(false, true);
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &head, const auto &, auto &it) {
    if (head.Headers.value("X-Id") == "r1")
      it->send(isHead ? headWithFields(head, 200, lengthField(5))
                      : headWithFields(head, 204, ""));
    else
      it->send(signedResponse(head, "id: 2\ndata: second\n\n"));
  });
  const std::string first =
      isHead ? "HEAD /stream/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
               "X-Key: key\r\n\r\n"
             : requestText("stream", "r1");
  const auto received = fixture.send(first + requestText("stream", "r2"));
  REQUIRE(fixture.runUntil([&] { return received->has("second"); }));
  fixture.run(50ms);
  CAPTURE(isHead, received->Bytes);
  CHECK(readResponses(received->Bytes, isHead) ==
        std::vector<std::string>{isHead ? "200 " : "204 ",
                                 "200 id: 2\ndata: second\n\n"});
}

// Callers got a length of 0 for all responses to HEAD.
TEST_CASE("a response to HEAD has the target's length and no body") {
  const int status = GENERATE(200, 404);
  const bool hasLength = GENERATE(false, true);
  const bool sendsBody = GENERATE(false, true);
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &head, const auto &, auto &it) {
    it->send(
        head.Method == "HEAD"
            ? headWithFields(head, status, hasLength ? lengthField(5000) : "") +
                  (sendsBody ? ForgedResponse : "")
            : signedResponse(head, "second"));
  });
  const auto received =
      fixture.send("HEAD /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
                   "X-Key: key\r\n\r\n" +
                   requestText("safe", "r2"));
  REQUIRE(fixture.runUntil([&] { return received->has("second"); }));
  CAPTURE(status, hasLength, sendsBody, received->Bytes);
  CHECK(readResponses(received->Bytes, true) ==
        std::vector<std::string>{std::to_string(status) + " ", "200 second"});
  CHECK(received->has("Content-Length: 5000\r\n") == hasLength);
  CHECK_FALSE(received->has("Content-Length: 0\r\n"));
}

TEST_CASE("a rejection of a HEAD request has a length of 0") {
  EntryFixture fixture;
  const auto received = fixture.send("HEAD /unknown/x HTTP/1.1\r\nHost: h\r\n"
                                     "X-Id: r1\r\nX-Key: key\r\n\r\n");
  REQUIRE(fixture.runUntil([&] { return received->has("\r\n\r\n"); }));
  CHECK(received->has("HTTP/1.1 404"));
  CHECK(received->has("Content-Length: 0\r\n"));
}
