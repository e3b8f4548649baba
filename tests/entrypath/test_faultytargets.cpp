// Targets that repeat an earlier response or respond with an error to a stream
// that is resumed.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

std::string streamStart(const RequestHead &head) {
  return "HTTP/1.1 200 X\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "e\r\nid: 1\ndata:1\n\n\r\n";
}

} // namespace

// The head and the text of the error stood in the middle of the stream.
TEST_CASE("an error in response to a resumed stream doesn't reach the caller") {
  const int status = GENERATE(302, 400, 404, 409, 421, 429, 500, 503);
  EntryFixture fixture;
  const auto handler = [status](const auto &head, const auto &,
                                const Connection &it) {
    if (head.Headers.value("X-After")) {
      it->send(signedResponse(head, "the error's text", status));
      return;
    }
    it->send(streamStart(head));
    it->closeAfterSending();
  };
  fixture.addTarget("t1", handler);
  fixture.addTarget("t2", handler);
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->Closed; }));
  CAPTURE(status, received->Bytes);
  CHECK(received->has("id: 1"));
  CHECK_FALSE(received->has("the error's text"));
  CHECK(received->Bytes.find("HTTP/1.1", 1) == std::string::npos);
  CHECK_FALSE(received->has("0\r\n\r\n"));
}
