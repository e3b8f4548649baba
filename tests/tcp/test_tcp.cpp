#include "adaptertcp/asynchttpclient.h"
#include "adaptertcp/asynchttpserver.h"
#include "adaptertcp/messageparser.h"
#include "adaptertcp/responsesearch.h"
#include "adaptertcp/tcpconnection.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace bergamot;
using namespace bergamot::adaptertcp;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Pushes the bytes in pieces of the given size and returns whether they form a
/// complete, valid message.
bool parsesInPieces(MessageParser &parser, std::string_view bytes,
                    std::size_t piece) {
  parser.restart();
  while (!bytes.empty() && !parser.hasFailed() && !parser.isComplete()) {
    const auto part = bytes.substr(0, piece);
    const std::size_t n = parser.push(part);
    if (n == 0)
      break;
    bytes.remove_prefix(n);
  }
  return parser.isComplete() && !parser.hasFailed();
}

tcp::endpoint freeEndpoint() {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint();
}

base::TimePoint deadlineIn(std::chrono::milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

} // namespace

// A message whose first part ended within the empty line was rejected if its
// body had a bare line feed.
TEST_CASE("a message may arrive in two parts that are split anywhere") {
  using Kind = MessageParser::Kind;
  const std::string body = "id: 1\ndata: a\n\nid: 2\n";
  const std::string fields =
      "A: b\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const auto kind = GENERATE(Kind::Request, Kind::Response);
  const std::string text =
      (kind == Kind::Request ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n") +
      fields + body;
  for (std::size_t split = 1; split < text.size(); ++split) {
    CAPTURE(split);
    MessageParser parser(kind);
    CHECK(parser.push(text.substr(0, split)) == split);
    CHECK(parser.push(text.substr(split)) == text.size() - split);
    CHECK(parser.isComplete());
    CHECK_FALSE(parser.hasFailed());
    CHECK(parser.body() == body);
  }
  // A carriage return alone ends no line.
  MessageParser parser(kind);
  const std::size_t lineEnd = text.find("\r\n\r\n") + 3;
  parser.push(text.substr(0, lineEnd));
  parser.push("x");
  CHECK(parser.hasFailed());
}

TEST_CASE("a request is parsed regardless of how its bytes are split") {
  const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nX-Long: 1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    MessageParser parser(MessageParser::Kind::Request);
    REQUIRE(parsesInPieces(parser, text, piece));
    CHECK(parser.requestHead().Method == "POST");
    CHECK(parser.requestHead().Target == "/a/b?c");
    CHECK(parser.requestHead().Headers.value("x-long") == "1");
    CHECK(parser.body() == "abcde");
  }
}

TEST_CASE("ambiguous message framing is rejected") {
  // Guards against request smuggling: a second request hidden in the body of
  // the first.
  const char *ambiguousRequests[] = {
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      ("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\na",
      "GET / HTTP/1.1\nHost: x\n\n",
      "GET / HTTP/1.1\r\nHost: x\nX: y\r\n\r\n",
      "GET /\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
      "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
  };
  for (const char *text : ambiguousRequests) {
    CAPTURE(text);
    for (const std::size_t piece : {1UL, 7UL, 4096UL}) {
      MessageParser parser(MessageParser::Kind::Request);
      CHECK_FALSE(parsesInPieces(parser, text, piece));
      CHECK(parser.hasFailed());
    }
  }
}

TEST_CASE("a corrupted request never completes with ambiguous framing") {
  std::mt19937_64 random(5);
  const std::string seedText =
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
  for (int round = 0; round < 20000; ++round) {
    std::string text = seedText;
    for (std::uint64_t n = 1 + random() % 4; n > 0; --n)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    MessageParser parser(MessageParser::Kind::Request);
    if (parsesInPieces(parser, text, 1 + random() % 20)) {
      const auto &headers = parser.requestHead().Headers;
      REQUIRE(headers.count("Content-Length") +
                  headers.count("Transfer-Encoding") <=
              1);
    }
  }
}

TEST_CASE("a response without a length completes at the end of the stream") {
  MessageParser parser(MessageParser::Kind::Response);
  const std::string text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\npart";
  CHECK(parser.push(text) == text.size());
  CHECK_FALSE(parser.isComplete());
  parser.finish();
  CHECK(parser.isComplete());
  CHECK(parser.body() == "part");
}

TEST_CASE("a response shorter than its Content-Length fails") {
  MessageParser parser(MessageParser::Kind::Response);
  parser.push("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  parser.finish();
  CHECK_FALSE(parser.isComplete());
  CHECK(parser.hasFailed());
}

// The bytes after the head were read as a body, or waited for.
TEST_CASE("a response without a body by its status ends with its head") {
  const std::string status = GENERATE("100", "103", "204", "304");
  const std::string field =
      GENERATE("", "Content-Length: 0\r\n", "Content-Length: 4\r\n",
               "Transfer-Encoding: chunked\r\n");
  const std::string head = "HTTP/1.1 " + status + " X\r\n" + field + "\r\n";
  CAPTURE(head);
  MessageParser parser(MessageParser::Kind::Response);
  CHECK(parser.push(head + "4\r\nbody\r\n0\r\n\r\n") == head.size());
  CHECK(parser.isComplete());
  CHECK_FALSE(parser.hasFailed());
  CHECK_FALSE(parser.endsWithConnection());
  CHECK(parser.body().empty());
}

TEST_CASE("hop-by-hop header fields are removed") {
  HeaderFields headers;
  headers.add("Connection", "close, X-Hop");
  headers.add("X-Hop", "1");
  headers.add("Keep-Alive", "timeout=5");
  headers.add("Transfer-Encoding", "chunked");
  headers.add("X-Kept", "1");
  headers.removeHopByHopFields();
  REQUIRE(headers.fields().size() == 1);
  CHECK(headers.fields().front().Name == "X-Kept");
}

TEST_CASE("successive calls get their responses over one client") {
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  int calls = 0;
  AsyncHttpServer server(loop,
                         [&](const auto &head, const auto &body, auto respond) {
                           ++calls;
                           respond({200, "text/plain", head.Target + body});
                         });
  server.listen(address);
  const auto client = std::make_shared<AsyncHttpClient>(loop, address);
  std::vector<std::string> responses;
  std::function<void()> next = [&] {
    RequestHead head;
    head.Method = "POST";
    head.Target = "/" + std::to_string(responses.size());
    head.Headers.add("Host", "x");
    client->call(head, "b", deadlineIn(2s), [&](const CallResult &it) {
      REQUIRE(it.isStatus(200));
      responses.push_back(it.Body);
      if (responses.size() < 3)
        next();
      else
        loop.stop();
    });
  };
  next();
  loop.run_for(5s);
  client->cancel();
  CHECK(responses == std::vector<std::string>{"/0b", "/1b", "/2b"});
  CHECK(calls == 3);
}

TEST_CASE("a call to an unresponsive server ends as unknown at its deadline") {
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  tcp::acceptor acceptor(loop, address);
  const auto client = std::make_shared<AsyncHttpClient>(loop, address);
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  std::optional<CallResult::Outcome> outcome;
  client->call(head, "", deadlineIn(100ms), [&](const CallResult &it) {
    outcome = it.Result;
    loop.stop();
  });
  loop.run_for(5s);
  CHECK(outcome == CallResult::Outcome::Unknown);
  CHECK_FALSE(client->isBusy());
}

TEST_CASE("a request isn't sent if its condition has become false") {
  // Guards against a report that leaves a VM after its permission has ended,
  // because the VM was suspended while the connection was being opened.
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  int calls = 0;
  AsyncHttpServer server(loop, [&](const auto &, const auto &, auto respond) {
    ++calls;
    respond({200, "text/plain", ""});
  });
  server.listen(address);
  const auto client = std::make_shared<AsyncHttpClient>(loop, address);
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  head.Headers.add("Host", "x");
  bool maySend = true;
  client->setSendCondition([&] { return maySend; });
  std::optional<CallResult::Outcome> outcome;
  client->call(head, "", deadlineIn(2s), [&](const CallResult &it) {
    outcome = it.Result;
    loop.stop();
  });
  maySend = false;
  loop.run_for(5s);
  CHECK(outcome == CallResult::Outcome::NotSent);
  CHECK(calls == 0);
  CHECK_FALSE(client->isBusy());
}

TEST_CASE("a call that times out resets its connection") {
  // Guards against a request that is held up in the network and takes effect
  // long after its caller has given up.
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  tcp::acceptor acceptor(loop, address);
  std::shared_ptr<TcpConnection> peer;
  std::optional<CloseReason> closed;
  acceptor.async_accept([&](const auto &ec, tcp::socket socket) {
    REQUIRE_FALSE(ec);
    peer = std::make_shared<TcpConnection>(std::move(socket));
    peer->start({[](std::string_view) {},
                 [&](CloseReason reason) {
                   closed = reason;
                   loop.stop();
                 },
                 {}});
  });
  const auto client = std::make_shared<AsyncHttpClient>(loop, address);
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  client->call(head, "", deadlineIn(100ms), [](const CallResult &) {});
  loop.run_for(5s);
  CHECK(closed == CloseReason::Reset);
}

TEST_CASE("a queued completion doesn't run after cancel") {
  // Guards against a completion that accesses a destroyed owner.
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  const auto client = std::make_shared<AsyncHttpClient>(loop, address);
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  bool ran = false;
  client->call(head, "", deadlineIn(2s),
               [&](const CallResult &) { ran = true; });
  // The refused connection queues the completion, which must not run yet.
  while (client->isBusy() && loop.run_one_for(1s) > 0) {
  }
  client->cancel();
  loop.run_for(100ms);
  CHECK_FALSE(ran);
}

TEST_CASE("a connection can be closed while its handlers hold its only owner") {
  // Guards against destroying a connection within its own close().
  boost::asio::io_context loop;
  const auto address = freeEndpoint();
  tcp::acceptor acceptor(loop, address);
  struct Owner {
    std::shared_ptr<TcpConnection> Connection;
  };
  for (int closeMethod = 0; closeMethod < 3; ++closeMethod) {
    auto owner = std::make_shared<Owner>();
    owner->Connection =
        std::make_shared<TcpConnection>(TcpConnection::Socket(loop));
    owner->Connection->socket().connect(address);
    TcpConnection &connection = *owner->Connection;
    connection.start({[owner](std::string_view) {}, {}, {}});
    connection.setReading(false);
    loop.poll();
    owner.reset();
    if (closeMethod == 0)
      connection.close();
    else if (closeMethod == 1)
      connection.abort();
    else
      connection.closeAfterSending();
    loop.poll();
  }
  // closeAfterSending() waits for the peer to close.
  acceptor.close();
  loop.run_for(100ms);
  SUCCEED();
}

TEST_CASE("the head of a second response is found within a body") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
  const std::string body = "text that names HTTP/1.1 200 OK\nand more";
  CHECK_FALSE(findResponseHead(body, HeadExtent::Whole));
  CHECK_FALSE(findResponseHead(body, HeadExtent::MaybeCut));
  CHECK(findResponseHead(body + head + "rest", HeadExtent::Whole) ==
        body.size());
  for (std::size_t n = 1; n <= head.size(); ++n) {
    CAPTURE(n);
    const std::string cut = body + head.substr(0, n);
    // Before the end of the status code it can't be told from text.
    const bool isHead = n >= std::string("HTTP/1.1 200").size();
    CHECK(findResponseHead(cut, HeadExtent::MaybeCut).has_value() == isHead);
    CHECK(findResponseHead(cut, HeadExtent::Whole).has_value() ==
          (n == head.size()));
  }
}
