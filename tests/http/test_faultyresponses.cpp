// Responses that HTTP doesn't allow, or not as the final ones.
#include "adapterhttp/responseparser.h"
#include "support/faultyresponses.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using adapterhttp::ResponseParser;

namespace {

constexpr auto End = "Content-Length: 4\r\n\r\nbody";
constexpr auto SoundResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
constexpr auto ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Adds bytes in pieces of the given size. Returns what is wrong with them.
std::string addInPieces(ResponseParser &parser, std::string_view bytes,
                        std::size_t piece) {
  std::string problem;
  while (!bytes.empty() && problem.empty() && !parser.isComplete()) {
    problem = parser.add(bytes.substr(0, piece));
    bytes.remove_prefix(std::min(piece, bytes.size()));
  }
  return problem;
}

} // namespace

// A status of 000 and a head whose fields were folded were passed on.
TEST_CASE("a response with a faulty head is refused", "[http]") {
  for (const auto &faulty : testsupport::faultyHeads()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(faulty.Flaw, piece);
      ResponseParser parser(false);
      CHECK_FALSE(addInPieces(parser, faulty.text() + End, piece).empty());
      CHECK_FALSE(parser.isComplete());
    }
  }
  for (const auto &sound : testsupport::soundHeads()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(sound.Text, piece);
      ResponseParser parser(false);
      CHECK(addInPieces(parser, sound.Text + End, piece).empty());
      CHECK(parser.isComplete());
      CHECK(parser.status() == sound.Status);
      CHECK(parser.takeBody(9) == "body");
    }
  }
}

TEST_CASE("a body that isn't in chunks is refused", "[http]") {
  for (const std::string &body : testsupport::faultyChunkedBodies()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(body, piece);
      ResponseParser parser(false);
      CHECK_FALSE(addInPieces(parser, ChunkedHead + body, piece).empty());
      CHECK_FALSE(parser.isComplete());
    }
  }
  for (const std::string &body : testsupport::soundChunkedBodies()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(body, piece);
      ResponseParser parser(false);
      CHECK(addInPieces(parser, ChunkedHead + body, piece).empty());
      CHECK(parser.isComplete());
      CHECK(parser.takeBody(9) == "body");
    }
  }
}

// Its bytes were passed on without the name of the coding.
TEST_CASE("a transfer coding other than chunked is refused", "[http]") {
  const std::string coding =
      GENERATE("gzip", "identity", "gzip, chunked", "chunked, chunked");
  CAPTURE(coding);
  ResponseParser parser(false);
  CHECK_FALSE(parser
                  .add("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                       "\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
                  .empty());
}

// They were taken for the response.
TEST_CASE("interim responses are skipped", "[http]") {
  const std::size_t piece = GENERATE(1, 7, 4096);
  const bool isHead = GENERATE(false, true);
  CAPTURE(piece, isHead);
  ResponseParser parser(isHead);
  CHECK(addInPieces(parser,
                    std::string("HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n") +
                        SoundResponse,
                    piece)
            .empty());
  REQUIRE(parser.isComplete());
  CHECK(parser.status() == 200);
  REQUIRE(parser.headers().size() == 1);
  CHECK(parser.headers().front().Name == "Content-Length");
  CHECK(parser.takeBody(9) == (isHead ? "" : "body"));
}

TEST_CASE("an interim response alone is no response", "[http]") {
  ResponseParser parser(false);
  CHECK(parser.add("HTTP/1.1 100 Continue\r\n\r\n").empty());
  CHECK_FALSE(parser.isHeadComplete());
  CHECK_FALSE(parser.addEnd().empty());
}

TEST_CASE("interim responses without end are refused", "[http]") {
  constexpr std::size_t MaxBytes = 512 * 1024;
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  ResponseParser parser(false);
  std::string problem;
  std::size_t sent = 0;
  for (; problem.empty() && sent < 2 * MaxBytes; sent += interim.size())
    problem = parser.add(interim);
  CHECK_FALSE(problem.empty());
  CHECK(sent <= MaxBytes);
}
