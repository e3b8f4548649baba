// Targets that answer twice, the second time late, in pieces that end anywhere.
#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;
using std::chrono::milliseconds;

namespace {

/// How a response says where its body ends.
enum class Framing { Length, Chunked, Close };

/// Writes pieces of responses to one connection, in order and with pauses.
class PieceWriter : public std::enable_shared_from_this<PieceWriter> {
public:
  PieceWriter(boost::asio::io_context &loop, Connection connection)
      : Timer(loop), Tcp(std::move(connection)) {}

  void add(const std::string &bytes, milliseconds pause) {
    Pieces.emplace_back(bytes, pause);
    if (Pieces.size() == 1)
      writeNext();
  }
  /// Closes the connection after what has been added.
  void addClose() { add("", 0ms); }

private:
  void writeNext() {
    Timer.expires_after(Pieces.front().second);
    Timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code &ec) {
          if (ec)
            return;
          const std::string bytes = std::move(self->Pieces.front().first);
          self->Pieces.pop_front();
          if (bytes.empty())
            self->Tcp->closeAfterSending();
          else
            self->Tcp->send(bytes);
          if (!self->Pieces.empty())
            self->writeNext();
        });
  }

  boost::asio::steady_timer Timer;
  Connection Tcp;
  std::deque<std::pair<std::string, milliseconds>> Pieces;
};

std::string bodyOf(const std::string &id) {
  return "id: 1\ndata: HTTP/1.1 200 OK of " + id + "\n\nid: 2\ndata: end of " +
         id + "\n\n";
}

std::string framed(const RequestHead &head, const std::string &body,
                   Framing framing) {
  std::string text = "HTTP/1.1 200 OK\r\nX-Id: " +
                     std::string(head.Headers.value("X-Id").value_or("")) +
                     "\r\nX-Signed: 1\r\n";
  if (framing == Framing::Length)
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  if (framing == Framing::Close)
    return text + "\r\n" + body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  adaptertcp::appendChunk(text, body.substr(0, body.size() / 2));
  adaptertcp::appendChunk(text, body.substr(body.size() / 2));
  return text + std::string(adaptertcp::LastChunk);
}

/// A target that sends some of its responses twice.
class StutteringTarget {
public:
  StutteringTarget(EntryFixture &fixture, const std::string &id,
                   std::mt19937_64 &random)
      : Loop(fixture.loop()), Random(random) {
    fixture.addTarget(id, [this](const auto &head, const auto &,
                                 const Connection &it) { respond(head, it); });
  }

private:
  std::uint64_t draw(std::uint64_t n) { return Random() % n; }

  void respond(const RequestHead &head, const Connection &connection) {
    auto &writer = Writers[connection.get()];
    if (!writer)
      writer = std::make_shared<PieceWriter>(Loop, connection);
    const std::string id(head.Headers.value("X-Id").value_or(""));
    const auto framing = static_cast<Framing>(draw(8) == 0 ? 2 : draw(2));
    const std::string text = framed(head, bodyOf(id), framing);
    if (framing == Framing::Close) {
      addPieces(*writer, text);
      writer->addClose();
      return;
    }
    if (draw(2) == 0) {
      addPieces(*writer, text);
      return;
    }
    // The first piece of the copy may come with the end of the response.
    const std::size_t joined = draw(3) == 0 ? 0 : draw(text.size());
    addPieces(*writer, text + text.substr(0, joined));
    if (joined < text.size())
      writer->add(text.substr(joined), milliseconds(draw(12)));
  }

  void addPieces(PieceWriter &writer, const std::string &text) {
    const std::size_t split = draw(3) == 0 ? draw(text.size()) : 0;
    if (split > 0)
      writer.add(text.substr(0, split), 0ms);
    writer.add(text.substr(split), milliseconds(draw(2)));
  }

  boost::asio::io_context &Loop;
  std::mt19937_64 &Random;
  std::map<const void *, std::shared_ptr<PieceWriter>> Writers;
};

/// What callers got.
struct Outcome {
  int Served = 0;
  int Failed = 0;
};

/// Sends requests with little pause to two targets and checks what each caller
/// gets.
Outcome play(std::uint64_t seed, const std::string &route) {
  std::mt19937_64 random(seed);
  EntryFixture fixture;
  StutteringTarget first(fixture, "t1", random);
  StutteringTarget second(fixture, "t2", random);
  std::vector<std::pair<std::string, std::shared_ptr<Received>>> sent;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(100 + i);
    sent.emplace_back(id, fixture.send(requestText(route, id)));
    fixture.run(milliseconds(random() % 5));
  }
  const auto isDone = [](const auto &it) {
    return it.second->Closed || it.second->has("end of") ||
           it.second->has("HTTP/1.1 5");
  };
  REQUIRE(fixture.runUntil(
      [&] { return std::all_of(sent.begin(), sent.end(), isDone); }));
  fixture.run(30ms);
  Outcome outcome;
  for (const auto &[id, received] : sent) {
    CAPTURE(seed, route, id, received->Bytes);
    const bool served = received->has("\r\n\r\n") &&
                        received->Bytes.starts_with("HTTP/1.1 200");
    outcome.Served += served ? 1 : 0;
    outcome.Failed += served ? 0 : 1;
    if (!served)
      continue;
    // Its own body, whole and once.
    CHECK(received->has("X-Id: " + id + "\r\n"));
    CHECK(received->has("data: HTTP/1.1 200 OK of " + id + "\n"));
    CHECK(received->has("data: end of " + id + "\n"));
    for (const auto &[other, unused] : sent)
      if (other != id)
        CHECK_FALSE(received->has("of " + other));
    CHECK(received->Bytes.find("X-Signed") ==
          received->Bytes.rfind("X-Signed"));
    CHECK(received->Bytes.find("end of") == received->Bytes.rfind("end of"));
  }
  return outcome;
}

} // namespace

TEST_CASE("a caller gets its own whole answer from targets that answer twice") {
  const std::string route = GENERATE("safe", "once", "stream", "stream-once");
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const Outcome outcome = play(seed, route);
    CAPTURE(seed, route, outcome.Served);
    // All of them were answered; the copies belong to no request.
    CHECK(outcome.Failed == 0);
  }
}
