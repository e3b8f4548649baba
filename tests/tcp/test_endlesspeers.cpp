// Peers that send bytes without end to clients and servers of calls between
// processes.
#include "adaptertcp/asynchttpclient.h"
#include "adaptertcp/asynchttpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>

using namespace bergamot::adaptertcp;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

/// Far above what a process may buffer of one message, and far below what the
/// peers of these tests send until a call's deadline.
constexpr std::size_t MaxSentBytes = 16 * 1024 * 1024;

const std::string Piece(16384, 'x');

/// Sends the same bytes over a connection until it closes.
class EndlessSender : public std::enable_shared_from_this<EndlessSender> {
public:
  EndlessSender(boost::asio::io_context &loop, tcp::socket socket,
                std::string bytes)
      : Timer(loop), Tcp(std::make_shared<TcpConnection>(std::move(socket))),
        Bytes(std::move(bytes)) {}

  void start(const std::string &beginning) {
    Tcp->start({[](std::string_view) {}, {}, {}});
    Tcp->send(beginning);
    sendMore();
  }
  void close() { Tcp->close(); }
  void setReading(bool on) { Tcp->setReading(on); }
  bool isOpen() const { return Tcp->isOpen(); }
  std::size_t sent() const { return Sent; }

private:
  void sendMore() {
    if (!Tcp->isOpen())
      return;
    for (int i = 0; i < 16 && Tcp->unsentBytes() == 0; ++i) {
      Tcp->send(Bytes);
      Sent += Bytes.size();
    }
    Timer.expires_after(1ms);
    Timer.async_wait([self = shared_from_this()](const auto &ec) {
      if (!ec)
        self->sendMore();
    });
  }

  boost::asio::steady_timer Timer;
  std::shared_ptr<TcpConnection> Tcp;
  std::string Bytes;
  std::size_t Sent = 0;
};

/// A call to a peer that sends a beginning and then bytes without end.
struct EndlessCall {
  EndlessCall(const std::string &beginning, const std::string &bytes,
              std::chrono::milliseconds timeout) {
    tcp::acceptor acceptor(
        Loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    acceptor.async_accept([&](const auto &ec, tcp::socket socket) {
      if (ec)
        return;
      Peer = std::make_shared<EndlessSender>(Loop, std::move(socket), bytes);
      Peer->start(beginning);
    });
    const auto client =
        std::make_shared<AsyncHttpClient>(Loop, acceptor.local_endpoint());
    RequestHead head;
    head.Method = "GET";
    head.Target = "/";
    const auto start = Clock::now();
    client->call(head, "", start + timeout,
                 [&](const CallResult &it) { Result = it; });
    while (!Result && Clock::now() < start + timeout + 2s)
      Loop.run_one_for(5ms);
    Duration = Clock::now() - start;
    client->cancel();
    if (Peer)
      Peer->close();
    Loop.run_for(5ms);
  }

  boost::asio::io_context Loop;
  std::shared_ptr<EndlessSender> Peer;
  std::optional<CallResult> Result;
  Clock::duration Duration{};
};

constexpr auto Pipelined = "GET / HTTP/1.1\r\n\r\n";

std::string repeated(const std::string &text, std::size_t n) {
  std::string out;
  out.reserve(n * text.size());
  for (std::size_t i = 0; i < n; ++i)
    out += text;
  return out;
}

/// A server and one connection to it.
struct ServerFixture {
  explicit ServerFixture(const AsyncHttpServer::Handler &handler)
      : Server(Loop, handler), Socket(Loop) {
    tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), 0);
    {
      tcp::acceptor acceptor(Loop, address);
      address = acceptor.local_endpoint();
    }
    Server.listen(address);
    Socket.connect(address);
  }
  void runUntil(const std::function<bool()> &condition,
                std::chrono::milliseconds time) {
    const auto end = Clock::now() + time;
    while (!condition() && Clock::now() < end)
      Loop.run_one_for(5ms);
  }

  boost::asio::io_context Loop;
  AsyncHttpServer Server;
  tcp::socket Socket;
};

} // namespace

TEST_CASE("a call ends at an endless head, chunk extension or trailer") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [beginning, bytes] = GENERATE_COPY(table<std::string, std::string>(
      {{"HTTP/1.1 200 OK\r\n", "x: " + Piece + "\r\n"},
       {"HTTP/1.1 200 OK\r\nx: ", Piece},
       {chunked + "1;", Piece},
       {chunked, "1;" + Piece + "\r\nx\r\n"},
       {chunked + "0\r\n", "x: " + Piece + "\r\n"}}));
  CAPTURE(beginning, bytes.substr(0, 8));
  const EndlessCall it(beginning, bytes, 2s);
  REQUIRE(it.Result);
  CHECK(it.Result->Result == CallResult::Outcome::Unknown);
  CHECK(it.Duration < 1900ms);
  REQUIRE(it.Peer);
  CHECK(it.Peer->sent() < MaxSentBytes);
}

TEST_CASE("a response that trickles without end ends at the call's deadline") {
  const EndlessCall it("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
                       "x", 300ms);
  REQUIRE(it.Result);
  CHECK(it.Result->Result == CallResult::Outcome::Unknown);
  CHECK(it.Duration < 1s);
}

TEST_CASE("an interim response isn't taken for the response to a call") {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::asio::io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::shared_ptr<TcpConnection> peer;
  acceptor.async_accept([&](const auto &, tcp::socket socket) {
    peer = std::make_shared<TcpConnection>(std::move(socket));
    const auto answer = [&](std::string_view) {
      peer->send(interim + interim +
                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    };
    peer->start({answer, {}, {}});
  });
  const auto client =
      std::make_shared<AsyncHttpClient>(loop, acceptor.local_endpoint());
  RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  std::optional<CallResult> result;
  client->call(head, "", Clock::now() + 2s, [&](const CallResult &it) {
    result = it;
    loop.stop();
  });
  loop.run_for(5s);
  REQUIRE(result);
  CHECK(result->isStatus(200));
  CHECK(result->Body == "body");
  client->cancel();
  peer->close();

  std::string many;
  while (many.size() < Piece.size())
    many += interim;
  const EndlessCall it(interim, many, 2s);
  REQUIRE(it.Result);
  CHECK(it.Result->Result == CallResult::Outcome::Unknown);
  CHECK(it.Duration < 1900ms);
}

TEST_CASE("a server doesn't collect responses that its peer doesn't read") {
  // Guards against unbounded memory use: one read of pipelined requests has up
  // to 1800 of them.
  constexpr std::size_t MaxUnreadBytes = 24 * 1024 * 1024;
  std::size_t responseBytes = 0;
  ServerFixture it([&](const auto &, const auto &, const auto &respond) {
    responseBytes += Piece.size();
    respond({200, "text/plain", Piece});
  });
  const auto peer = std::make_shared<EndlessSender>(
      it.Loop, std::move(it.Socket), repeated(Pipelined, 900));
  peer->start("");
  peer->setReading(false);
  it.runUntil([&] { return responseBytes > 4 * MaxUnreadBytes; }, 500ms);
  CHECK(responseBytes > 0);
  CHECK(responseBytes < MaxUnreadBytes);
  peer->close();
  it.Loop.run_for(5ms);
}

TEST_CASE("pipelined requests are answered after a late response") {
  // Guards against a recursion of the depth of the number of requests.
  constexpr std::size_t Requests = 14000;
  AsyncHttpServer::ResponseCallback first;
  std::size_t responses = 0;
  ServerFixture it([&](const auto &, const auto &, const auto &respond) {
    if (!first)
      first = respond;
    else
      respond({204, "", ""});
  });
  const auto peer = std::make_shared<TcpConnection>(std::move(it.Socket));
  MessageParser parser(MessageParser::Kind::Response);
  peer->start({[&](std::string_view bytes) {
                 while (!bytes.empty()) {
                   bytes.remove_prefix(parser.push(bytes));
                   if (!parser.isComplete())
                     return;
                   ++responses;
                   parser.restart();
                 }
               },
               {},
               {}});
  peer->send(repeated(Pipelined, Requests));
  it.runUntil([] { return false; }, 100ms);
  REQUIRE(first);
  first({200, "", ""});
  it.runUntil([&] { return responses == Requests; }, 5s);
  CHECK(responses == Requests);
  peer->close();
  it.Loop.run_for(5ms);
}

TEST_CASE("a server closes a connection whose request is endless") {
  const std::string chunked =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [beginning, bytes] = GENERATE_COPY(table<std::string, std::string>(
      {{"GET / HTTP/1.1\r\n", "x: " + Piece + "\r\n"},
       {"GET / HTTP/1.1\r\nx: ", Piece},
       {"GET /", Piece},
       {chunked, "1000\r\n" + Piece.substr(0, 4096) + "\r\n"},
       {chunked + "1;", Piece},
       {chunked, "1;" + Piece + "\r\nx\r\n"},
       {chunked + "0\r\n", "x: " + Piece + "\r\n"}}));
  CAPTURE(beginning, bytes.substr(0, 8));
  bool called = false;
  ServerFixture it(
      [&](const auto &, const auto &, const auto &) { called = true; });
  const auto peer =
      std::make_shared<EndlessSender>(it.Loop, std::move(it.Socket), bytes);
  peer->start(beginning);
  it.runUntil([&] { return !peer->isOpen(); }, 1s);
  CHECK_FALSE(peer->isOpen());
  CHECK(peer->sent() < MaxSentBytes);
  CHECK_FALSE(called);
  peer->close();
  it.Loop.run_for(5ms);
}
