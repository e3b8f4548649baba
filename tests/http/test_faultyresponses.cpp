// Responses that HTTP doesn't allow.
#include "adapterhttp/responseparser.h"
#include "support/faultyresponses.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using adapterhttp::ResponseParser;

namespace {

constexpr auto End = "Content-Length: 4\r\n\r\nbody";
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
