// Responses that HTTP doesn't allow.
#include "adaptertcp/asynchttpclient.h"
#include "adaptertcp/messageparser.h"
#include "support/faultyresponses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::adaptertcp;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr auto End = "Content-Length: 4\r\n\r\nbody";
constexpr auto ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Pushes bytes in pieces of the given size until the response is complete or
/// has failed.
void pushInPieces(MessageParser &parser, std::string_view bytes,
                  std::size_t piece) {
  while (!bytes.empty() && !parser.hasFailed() && !parser.isComplete())
    bytes.remove_prefix(parser.push(bytes.substr(0, piece)));
}

/// Returns the result of a call to a server that answers with bytes and leaves
/// the connection open.
CallResult callServer(const std::string &answer) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::shared_ptr<TcpConnection> peer;
  acceptor.async_accept([&](const auto &ec, tcp::socket socket) {
    REQUIRE_FALSE(ec);
    peer = std::make_shared<TcpConnection>(std::move(socket));
    peer->start({[&](std::string_view) { peer->send(answer); }, {}, {}});
  });
  const auto client =
      std::make_shared<AsyncHttpClient>(loop, acceptor.local_endpoint());
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  std::optional<CallResult> result;
  client->call(head, "", std::chrono::steady_clock::now() + 30s,
               [&](const CallResult &it) {
                 result = it;
                 loop.stop();
               });
  loop.run_for(10s);
  // Not at the deadline of the call.
  REQUIRE(result);
  client->cancel();
  peer->close();
  return *result;
}

} // namespace

// A status of 000 was taken for one that has no body, and the bytes of the body
// for what follows the response.
TEST_CASE("a response with a faulty head fails however it is split") {
  for (const auto &faulty : testsupport::faultyHeads()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(faulty.Flaw, piece);
      MessageParser parser(MessageParser::Kind::Response);
      pushInPieces(parser, faulty.text() + End, piece);
      CHECK(parser.hasFailed());
      CHECK_FALSE(parser.isComplete());
    }
  }
}

TEST_CASE("an unusual head that HTTP allows is parsed however it is split") {
  for (const auto &sound : testsupport::soundHeads()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(sound.Text, piece);
      MessageParser parser(MessageParser::Kind::Response);
      pushInPieces(parser, sound.Text + End, piece);
      CHECK(parser.isComplete());
      CHECK(parser.responseHead().Status == sound.Status);
      CHECK(parser.body() == "body");
    }
  }
}

// The bytes in the place of a chunk's line ending were skipped.
TEST_CASE("a body that isn't in chunks fails however it is split") {
  for (const std::string &body : testsupport::faultyChunkedBodies()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(body, piece);
      MessageParser parser(MessageParser::Kind::Response);
      pushInPieces(parser, ChunkedHead + body, piece);
      CHECK(parser.hasFailed());
      CHECK_FALSE(parser.isComplete());
    }
  }
  for (const std::string &body : testsupport::soundChunkedBodies()) {
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      CAPTURE(body, piece);
      MessageParser parser(MessageParser::Kind::Response);
      pushInPieces(parser, ChunkedHead + body, piece);
      CHECK(parser.isComplete());
      CHECK(parser.body() == "body");
    }
  }
}

TEST_CASE("a call with a faulty answer fails at once") {
  for (const auto &faulty : testsupport::faultyHeads()) {
    CAPTURE(faulty.Flaw);
    CHECK(callServer(faulty.text() + End).Result ==
          CallResult::Outcome::Unknown);
  }
  for (const std::string &body : testsupport::faultyChunkedBodies()) {
    CAPTURE(body);
    CHECK(callServer(ChunkedHead + body).Result ==
          CallResult::Outcome::Unknown);
  }
  CHECK(callServer(ChunkedHead + testsupport::soundChunkedBodies().front())
            .isStatus(200));
}

// They were skipped like interim responses, and the caller held until its
// deadline.
TEST_CASE("a call isn't held by a head alone that is no response") {
  const std::string status = GENERATE("000", "099", "101");
  CAPTURE(status);
  CHECK(callServer("HTTP/1.1 " + status + " X\r\n\r\n").Result ==
        CallResult::Outcome::Unknown);
}
