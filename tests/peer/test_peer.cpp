#include "adapterpeer/peernode.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>

using namespace bergamot;
using namespace std::chrono_literals;
using adapterpeer::PeerNode;
using adapterpeer::PeerSessionPtr;

namespace {

/// Records the events of a node.
class EventRecorder {
public:
  adapterpeer::PeerHandlers handlers() {
    adapterpeer::PeerHandlers peerHandlers;
    peerHandlers.Opened = [this](const PeerSessionPtr &session) {
      update([&] {
        Last = session;
        ++Opened;
      });
    };
    peerHandlers.Received = [this](const PeerSessionPtr &,
                                   const wire::Envelope &message) {
      update([&] {
        if (wire::payloadAs<wire::fb::HeartbeatT>(message) != nullptr)
          ++Heartbeats;
        else
          Requests.push_back(message.request);
      });
    };
    peerHandlers.Closed = [this](const PeerSessionPtr &,
                                 const base::Error &reason) {
      update([&] { Reasons.emplace_back(reason.what()); });
    };
    peerHandlers.MakeHeartbeat = [](const PeerSessionPtr &) {
      return wire::makeEnvelope(wire::fb::HeartbeatT());
    };
    peerHandlers.AddMetadata = [](wire::Envelope &message) {
      message.config_version = 5;
    };
    return peerHandlers;
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
  adapterpeer::PeerOptions peerOptions;
  peerOptions.Secrets = {secret};
  peerOptions.Self = {{vm}, {1}};
  peerOptions.Heartbeat = {50ms, 300ms};
  peerOptions.HandshakeTimeout = 500ms;
  return peerOptions;
}

} // namespace

// Guards against lost or reordered messages, and against a failed connection
// that is not reestablished.
TEST_CASE("messages arrive in order and a closed session is reconnected",
          "[peer]") {
  EventRecorder initiatorEvents;
  EventRecorder acceptorEvents;
  PeerNode acceptor(options("b", "s"), acceptorEvents.handlers(), 2);
  const auto port = acceptor.listen("127.0.0.1:0");
  PeerNode initiator(options("a", "s"), initiatorEvents.handlers(), 2);
  initiator.setPeerEndpoints({"127.0.0.1:" + std::to_string(port)});
  REQUIRE(initiatorEvents.waitFor([&] { return initiatorEvents.Opened == 1; }));
  CHECK(initiatorEvents.last()->peer().Vm.Value == "b");
  for (int i = 0; i < 1000; ++i) {
    auto message = wire::makeEnvelope(wire::fb::CancelT());
    message.request = std::to_string(i);
    const bool isSent = initiatorEvents.last()->send(std::move(message));
    REQUIRE(isSent);
  }
  REQUIRE(acceptorEvents.waitFor(
      [&] { return acceptorEvents.Requests.size() == 1000; }));
  for (int i = 0; i < 1000; ++i)
    REQUIRE(acceptorEvents.Requests[static_cast<std::size_t>(i)] ==
            std::to_string(i));
  REQUIRE(
      initiatorEvents.waitFor([&] { return initiatorEvents.Heartbeats >= 3; }));

  acceptorEvents.last()->close(base::Error(base::Step::Connect, "", "test"));
  REQUIRE(initiatorEvents.waitFor([&] { return initiatorEvents.Opened == 2; }));
  initiator.stop();
  acceptor.stop();
}

// Guards against serving a peer without a valid secret, and against a peer that
// never authenticates and holds its connection open forever.
TEST_CASE("an unauthenticated peer is disconnected", "[peer]") {
  EventRecorder initiatorEvents;
  EventRecorder acceptorEvents;
  PeerNode acceptor(options("b", "s"), acceptorEvents.handlers(), 1);
  const auto port = acceptor.listen("127.0.0.1:0");
  PeerNode initiator(options("a", "other"), initiatorEvents.handlers(), 1);
  initiator.setPeerEndpoints({"127.0.0.1:" + std::to_string(port)});
  REQUIRE(
      acceptorEvents.waitFor([&] { return !acceptorEvents.Reasons.empty(); }));
  CHECK(acceptorEvents.Reasons.front() == "peer's proof is wrong");
  CHECK(acceptorEvents.Opened == 0);
  CHECK(initiatorEvents.Opened == 0);
  initiator.stop();

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket idleSocket(context);
  idleSocket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  const auto countTimeouts = [&] {
    return std::count(acceptorEvents.Reasons.begin(),
                      acceptorEvents.Reasons.end(),
                      "no proof before the deadline") +
           std::count(acceptorEvents.Reasons.begin(),
                      acceptorEvents.Reasons.end(),
                      "no frame before the deadline");
  };
  CHECK(acceptorEvents.waitFor([&] { return countTimeouts() == 1; }));
  acceptor.stop();
}
