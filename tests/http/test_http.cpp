#include "adapterhttp/clientsocket.h"
#include "adapterhttp/httpclient.h"
#include "adapterhttp/httpserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace bergamot;
using namespace bergamot::adapterhttp;
using namespace std::chrono_literals;

namespace {

base::TimePoint in(std::chrono::milliseconds time) {
  return base::TimePoint::clock::now() + time;
}

HttpServerOptions smallLimits() {
  HttpServerOptions options;
  options.WorkerThreads = 8;
  options.MaxHeaderBytes = 4096;
  options.MaxBodyBytes = 64 * 1024;
  options.RequestTimeout = 500ms;
  return options;
}

std::string endpointOf(const HttpServer &server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

void echo(const HttpRequest &request, HttpResponder &responder) {
  responder.respond(200, {{"X-Path", request.Path}, {"X-Query", request.Query}},
                    request.Body, in(2s));
}

/// Sends pieces with pauses between them, returns all that the server sends
/// until it closes the connection.
std::string exchangeRaw(const HttpServer &server,
                        const std::vector<std::string> &pieces,
                        std::chrono::milliseconds pause) {
  ClientSocket raw(parseEndpoint(endpointOf(server)), "server", in(2s));
  std::string received;
  std::string buffer(4096, '\0');
  // A server that refuses a request early may reset the connection while the
  // rest is still being sent; its response is there to be read.
  try {
    for (const std::string &it : pieces) {
      raw.send(it, in(2s));
      std::this_thread::sleep_for(pause);
    }
  } catch (const HttpClientError &) {
  }
  try {
    while (std::size_t n = raw.receive(buffer.data(), buffer.size(), in(5s)))
      received.append(buffer, 0, n);
  } catch (const HttpClientError &e) {
    if (received.empty())
      received = e.what();
  }
  return received;
}

} // namespace

TEST_CASE("a request and its response keep their bytes", "[http]") {
  HttpServer server(smallLimits(), echo);
  HttpClient client(endpointOf(server));
  std::string body("a\0b\r\n\xff", 6);
  // Several requests in a row use the same connection.
  for (int i = 0; i < 3; ++i) {
    auto response = client.request("POST", "/a%2Fb/../c?x=1&y=", {{"A", "b"}},
                                   body, in(2s));
    CHECK(response.Status == 200);
    CHECK(response.Body == body);
    // A decoded or normalised path would reach the wrong resource of a service.
    CHECK(*response.header("x-path") == "/a%2Fb/../c");
    CHECK(*response.header("X-Query") == "x=1&y=");
  }
  auto empty = client.request("GET", "/", {}, {}, in(2s));
  CHECK(empty.Body.empty());
}

TEST_CASE("pieces of a chunked response arrive as they are written", "[http]") {
  std::promise<void> firstWasRead;
  HttpServer server(smallLimits(), [&](const HttpRequest &, HttpResponder &r) {
    r.start(200, {}, std::nullopt, in(2s));
    r.write("first", in(2s));
    firstWasRead.get_future().wait_for(5s);
    r.write(std::string(100000, 'x'), in(2s));
    r.finish();
  });
  HttpClient client(endpointOf(server));
  auto stream = client.open("GET", "/", {}, {}, in(2s));
  CHECK(stream->read(4096, in(2s)) == "first");
  firstWasRead.set_value();
  std::size_t rest = 0;
  for (;;) {
    std::string piece = stream->read(4096, in(2s));
    if (piece.empty())
      break;
    CHECK(piece.size() <= 4096);
    rest += piece.size();
  }
  CHECK(rest == 100000);
}

TEST_CASE("a request may arrive in pieces", "[http]") {
  HttpServer server(smallLimits(), echo);
  std::string answer =
      exchangeRaw(server,
                  {"POST /p HT", "TP/1.1\r\nHost: h\r\nConn",
                   "ection: close\r\nContent-Length: 6\r", "\n\r\nabc", "def"},
                  20ms);
  CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(answer.substr(answer.size() - 6) == "abcdef");
  std::string chunked =
      exchangeRaw(server,
                  {"POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                   "3\r\ndef\r\n0\r\n\r\n"},
                  20ms);
  CHECK(chunked.substr(chunked.size() - 6) == "abcdef");
}

TEST_CASE("a cut response is never taken as whole", "[http]") {
  std::atomic<bool> withLength{false};
  HttpServer server(smallLimits(), [&](const HttpRequest &, HttpResponder &r) {
    if (withLength)
      r.start(200, {}, 100, in(2s));
    else
      r.start(200, {}, std::nullopt, in(2s));
    r.write("part", in(2s));
  });
  HttpClient client(endpointOf(server));
  for (bool it : {false, true}) {
    withLength = it;
    try {
      client.request("GET", "/", {}, {}, in(2s));
      FAIL("the cut response was taken as whole");
    } catch (const HttpClientError &e) {
      CHECK(e.step() == base::Step::Answer);
      CHECK(e.requestMayHaveBeenSent());
    }
  }
}

TEST_CASE("half-sent requests and slow senders get 408", "[http]") {
  HttpServer server(smallLimits(), echo);
  auto begin = base::TimePoint::clock::now();
  SECTION("half a head") {
    auto answer = exchangeRaw(server, {"GET / HTTP/1.1\r\nHos"}, 0ms);
    CHECK(answer.find("HTTP/1.1 408") == 0);
  }
  SECTION("half a body") {
    auto answer = exchangeRaw(
        server, {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"},
        0ms);
    CHECK(answer.find("HTTP/1.1 408") == 0);
  }
  SECTION("a byte now and then") {
    std::vector<std::string> pieces(20, "a");
    pieces.insert(pieces.begin(),
                  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n");
    auto answer = exchangeRaw(server, pieces, 50ms);
    CHECK(answer.find("HTTP/1.1 408") == 0);
  }
  CHECK(base::TimePoint::clock::now() - begin < 3s);
}

TEST_CASE("requests beyond the limits get problem documents", "[http]") {
  std::atomic<int> handled{0};
  HttpServer server(smallLimits(), [&](const HttpRequest &q, HttpResponder &r) {
    ++handled;
    echo(q, r);
  });
  auto check = [&](const std::string &request, int status) {
    std::string answer = exchangeRaw(server, {request}, 0ms);
    INFO(request.substr(0, 80) << " -> " << answer);
    REQUIRE(answer.find("HTTP/1.1 " + std::to_string(status)) == 0);
    auto problem =
        nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    CHECK(problem["status"] == status);
    CHECK(problem["executed"] == "no");
  };
  check("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", 413);
  for (std::size_t it : {5000, 20000})
    check("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(it, 'x') +
              "\r\n\r\n",
          431);
  check("nonsense\r\n\r\n", 400);
  check("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n", 400);
  // Two lengths, or a length and chunks, can hide a second request.
  check("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nab",
        400);
  check("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400);
  CHECK(handled == 0);
}

TEST_CASE("a handler's exception becomes a problem document", "[http]") {
  HttpServer server(smallLimits(), [](const HttpRequest &, HttpResponder &) {
    throw std::runtime_error("secret detail");
  });
  HttpClient client(endpointOf(server));
  auto response = client.request("GET", "/", {}, {}, in(2s));
  CHECK(response.Status == 500);
  CHECK(nlohmann::json::parse(response.Body)["executed"] == "unknown");
  CHECK(response.Body.find("secret") == std::string::npos);
}

TEST_CASE("the handler notices that its client has left", "[http]") {
  std::promise<bool> noticed;
  HttpServer server(smallLimits(), [&](const HttpRequest &, HttpResponder &r) {
    r.start(200, {}, std::nullopt, in(2s));
    auto deadline = in(3s);
    while (!r.isClientGone() && base::TimePoint::clock::now() < deadline)
      std::this_thread::sleep_for(5ms);
    noticed.set_value(r.isClientGone());
  });
  HttpClient client(endpointOf(server));
  auto stream = client.open("GET", "/", {}, {}, in(2s));
  SECTION("by closing") { stream.reset(); }
  SECTION("by cancelling while another thread reads") {
    std::thread other([&] {
      std::this_thread::sleep_for(50ms);
      stream->cancel();
    });
    CHECK_THROWS_AS(stream->read(10, in(3s)), HttpClientError);
    other.join();
  }
  CHECK(noticed.get_future().get());
}

TEST_CASE("a write to a stalled reader ends at its deadline", "[http]") {
  std::promise<std::chrono::milliseconds> took;
  HttpServer server(smallLimits(), [&](const HttpRequest &, HttpResponder &r) {
    r.start(200, {}, std::nullopt, in(2s));
    auto begin = base::TimePoint::clock::now();
    // More than the kernel buffers of both sides hold.
    while (r.write(std::string(256 * 1024, 'x'), begin + 300ms))
      ;
    took.set_value(std::chrono::duration_cast<std::chrono::milliseconds>(
        base::TimePoint::clock::now() - begin));
  });
  HttpClient client(endpointOf(server));
  auto stream = client.open("GET", "/", {}, {}, in(2s));
  auto time = took.get_future().get();
  CHECK(time >= 300ms);
  CHECK(time < 1000ms);
}

// Guards against a chunked response whose head is cut because the client hasn't
// read the response before it for a second.
TEST_CASE("a client that reads late gets all of its responses", "[http]") {
  // Far more than the kernel buffers of the connection.
  constexpr int Streams = 1500;
  const std::string plainBody(8192, 'x');
  HttpServer server(smallLimits(), [&](const HttpRequest &q, HttpResponder &r) {
    const auto deadline = in(10s);
    if (q.Path == "/plain") {
      r.respond(200, {}, plainBody, deadline);
      return;
    }
    r.start(200, {}, std::nullopt, deadline);
    r.write("body", deadline);
    r.finish();
  });
  ClientSocket client(parseEndpoint(endpointOf(server)), "server", in(2s));
  std::string requests;
  for (int i = 0; i < Streams; ++i)
    requests += "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n";
  client.send(requests, in(2s));
  std::this_thread::sleep_for(2s);
  const std::string stream = "4\r\nbody\r\n0\r\n\r\n";
  std::string received;
  std::string buf(65536, '\0');
  int complete = 0;
  std::size_t at = 0;
  try {
    std::size_t n = 1;
    while (n > 0 && complete < Streams) {
      n = client.receive(buf.data(), buf.size(), in(2s));
      received.append(buf, 0, n);
      for (std::size_t it = received.find(stream, at); it != std::string::npos;
           it = received.find(stream, at)) {
        ++complete;
        at = it + stream.size();
      }
    }
  } catch (const HttpClientError &) {
  }
  CHECK(complete == Streams);
}

TEST_CASE("errors tell whether the request may have been sent", "[http]") {
  SECTION("nobody listens") {
    HttpClient client("127.0.0.1:1");
    try {
      client.request("POST", "/", {}, "x", in(2s));
      FAIL("a request to a closed port succeeded");
    } catch (const HttpClientError &e) {
      CHECK(e.step() == base::Step::Connect);
      CHECK_FALSE(e.requestMayHaveBeenSent());
    }
  }
  SECTION("the server is silent") {
    HttpServer server(smallLimits(), [](const HttpRequest &, HttpResponder &r) {
      std::this_thread::sleep_for(300ms);
      r.respond(200, {}, "late", in(1s));
    });
    HttpClient client(endpointOf(server));
    try {
      client.request("POST", "/", {}, "x", in(100ms));
      FAIL("the deadline was not kept");
    } catch (const HttpClientError &e) {
      CHECK(e.step() == base::Step::Answer);
      CHECK(e.requestMayHaveBeenSent());
    }
  }
  HttpClient client("127.0.0.1:1");
  CHECK_THROWS_AS(client.request("GET", "/\r\nX: y", {}, {}, in(1s)),
                  HttpClientError);
}

TEST_CASE("stopping interrupts no request", "[http]") {
  std::promise<void> entered;
  HttpServer server(smallLimits(), [&](const HttpRequest &, HttpResponder &r) {
    r.start(200, {}, std::nullopt, in(2s));
    entered.set_value();
    std::this_thread::sleep_for(300ms);
    r.write("whole", in(1s));
    r.finish();
  });
  HttpClient client(endpointOf(server));
  auto answer = std::async(std::launch::async, [&] {
    return client.request("GET", "/", {}, {}, in(5s)).Body;
  });
  entered.get_future().wait();
  server.stop();
  CHECK(answer.get() == "whole");
}

TEST_CASE("idle connections don't starve further clients", "[http]") {
  HttpServerOptions options = smallLimits();
  options.WorkerThreads = 4;
  HttpServer server(options, echo);
  // Each client keeps its connection if the server allows it; a kept one
  // holds a worker for seconds.
  std::vector<std::unique_ptr<HttpClient>> clients;
  auto begin = base::TimePoint::clock::now();
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<HttpClient>(endpointOf(server)));
    CHECK(clients.back()->request("GET", "/", {}, {}, in(2s)).Status == 200);
  }
  CHECK(base::TimePoint::clock::now() - begin < 2s);
}

TEST_CASE("responses without a body keep the connection usable", "[http]") {
  HttpServer server(smallLimits(), [](const HttpRequest &q, HttpResponder &r) {
    if (q.Path == "/none")
      r.respond(204, {}, {}, in(1s));
    else
      r.respond(200, {{"X-Bad", "a\r\nX-Added: b"}}, "hidden", in(1s));
  });
  HttpClient client(endpointOf(server));
  auto head = client.request("HEAD", "/", {}, {}, in(2s));
  CHECK(head.Body.empty());
  CHECK(*head.header("Content-Length") == "6");
  // A line break in a value would let a back end add headers.
  CHECK_FALSE(head.header("X-Added"));
  CHECK(client.request("GET", "/none", {}, {}, in(2s)).Status == 204);
  CHECK(client.request("GET", "/", {}, {}, in(2s)).Body == "hidden");
}

TEST_CASE("a bad or taken address is reported", "[http]") {
  HttpServerOptions options = smallLimits();
  HttpServer server(options, echo);
  options.ListenEndpoint = endpointOf(server);
  CHECK_THROWS_AS(HttpServer(options, echo), base::Error);
  options.ListenEndpoint = "localhost:80";
  CHECK_THROWS_AS(HttpServer(options, echo), base::Error);
}
