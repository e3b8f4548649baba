#include "adapterpeer/peernode.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>

using namespace bergamot;
using namespace std::chrono_literals;
using adapterpeer::PeerNode;
using adapterpeer::PeerSessionPtr;

namespace {

/// Records what one node saw.
class Observer {
public:
  adapterpeer::PeerHandlers handlers() {
    adapterpeer::PeerHandlers h;
    h.Opened = [this](const PeerSessionPtr &session) {
      update([&] {
        Last = session;
        ++Opened;
      });
    };
    h.Received = [this](const PeerSessionPtr &, const wire::Envelope &message) {
      update([&] {
        if (wire::payloadAs<wire::fb::HeartbeatT>(message) != nullptr)
          ++Heartbeats;
        else
          Requests.push_back(message.request);
      });
    };
    h.Closed = [this](const PeerSessionPtr &, const base::Error &reason) {
      update([&] { Reasons.emplace_back(reason.what()); });
    };
    h.MakeHeartbeat = [](const PeerSessionPtr &) {
      return wire::makeEnvelope(wire::fb::HeartbeatT());
    };
    h.Stamp = [](wire::Envelope &message) { message.config_version = 5; };
    return h;
  }

  template <typename Predicate> bool waitFor(Predicate predicate) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, 10s, predicate);
  }

  PeerSessionPtr last() {
    const std::lock_guard lock(Mutex);
    return Last;
  }

  int Opened = 0;
  int Heartbeats = 0;
  std::vector<std::string> Requests;
  std::vector<std::string> Reasons;

private:
  template <typename Change> void update(Change change) {
    const std::lock_guard lock(Mutex);
    change();
    Changed.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  PeerSessionPtr Last;
};

adapterpeer::PeerOptions options(const std::string &vm,
                                 const std::string &secret) {
  adapterpeer::PeerOptions o;
  o.Secrets = {secret};
  o.Self = {{vm}, {1}};
  o.Heartbeat = {50ms, 300ms};
  o.HandshakeTimeout = 500ms;
  return o;
}

} // namespace

// Guards against lost or reordered messages and against a connection that is
// not replaced after it failed.
TEST_CASE("messages arrive in order and a closed session is replaced",
          "[peer]") {
  Observer a;
  Observer b;
  PeerNode acceptor(options("b", "s"), b.handlers(), 2);
  const auto port = acceptor.listen("127.0.0.1:0");
  PeerNode initiator(options("a", "s"), a.handlers(), 2);
  initiator.setPeerEndpoints({"127.0.0.1:" + std::to_string(port)});
  REQUIRE(a.waitFor([&] { return a.Opened == 1; }));
  CHECK(a.last()->peer().Vm.Value == "b");
  for (int i = 0; i < 1000; ++i) {
    auto message = wire::makeEnvelope(wire::fb::CancelT());
    message.request = std::to_string(i);
    const bool isSent = a.last()->send(std::move(message));
    REQUIRE(isSent);
  }
  REQUIRE(b.waitFor([&] { return b.Requests.size() == 1000; }));
  for (int i = 0; i < 1000; ++i)
    REQUIRE(b.Requests[static_cast<std::size_t>(i)] == std::to_string(i));
  REQUIRE(a.waitFor([&] { return a.Heartbeats >= 3; }));

  b.last()->close(base::Error(base::Step::Connect, "", "test"));
  REQUIRE(a.waitFor([&] { return a.Opened == 2; }));
  initiator.stop();
  acceptor.stop();
}

// Guards against a stranger that is served, or that holds a connection open
// for ever without proving itself.
TEST_CASE("a stranger gets nothing and is dropped", "[peer]") {
  Observer a;
  Observer b;
  PeerNode acceptor(options("b", "s"), b.handlers(), 1);
  const auto port = acceptor.listen("127.0.0.1:0");
  PeerNode initiator(options("a", "other"), a.handlers(), 1);
  initiator.setPeerEndpoints({"127.0.0.1:" + std::to_string(port)});
  REQUIRE(b.waitFor([&] { return !b.Reasons.empty(); }));
  CHECK(b.Reasons.front() == "peer's proof is wrong");
  CHECK(b.Opened == 0);
  CHECK(a.Opened == 0);
  initiator.stop();

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket silent(context);
  silent.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  const auto seen = [&] {
    return std::count(b.Reasons.begin(), b.Reasons.end(),
                      "no proof before the deadline") +
           std::count(b.Reasons.begin(), b.Reasons.end(),
                      "no frame before the deadline");
  };
  CHECK(b.waitFor([&] { return seen() == 1; }));
  acceptor.stop();
}
