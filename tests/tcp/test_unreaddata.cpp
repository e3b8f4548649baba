// Peers that don't read what they are sent: those that read late, those that
// never read, and those behind a partition.
#include "adaptertcp/connectionmonitor.h"
#include "adaptertcp/tcpconnection.h"
#include "adaptertcp/unreaddatapolicy.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>

using namespace bergamot;
using namespace bergamot::adaptertcp;
using namespace std::chrono_literals;
using base::TimePoint;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

const TimePoint Start = TimePoint(1h);

/// A peer and the kernel's view of it, with the kernel's times of
/// retransmissions and window probes.
class ModelPeer {
public:
  explicit ModelPeer(UnreadDataPolicy &policy) : Policy(policy) {
    Policy.dataQueued(Start);
  }

  /// When the peer reads; each time, it acknowledges some bytes.
  std::function<bool(TimePoint)> Reads = [](TimePoint) { return false; };
  /// When segments arrive neither at the peer nor from it.
  std::function<bool(TimePoint)> IsCutOff = [](TimePoint) { return false; };
  /// Whether the peer's window is closed, so that it only gets probes;
  /// otherwise it gets data, which it drops as it has no room.
  bool WindowClosed = true;

  /// Checks the policy until it or the kernel gives the peer up, or the time
  /// has come.
  std::optional<GiveUpReason> runUntil(TimePoint end) {
    while (Now < end) {
      Now += 10ms;
      step();
      if (State.DataUnanswered && Now - AnsweredAt > Policy.kernelTimeout())
        return GiveUpReason::Unreachable;
      if (Now < NextCheckAt)
        continue;
      NextCheckAt = Now + UnreadDataPolicy::CheckPeriod;
      if (const auto reason = Policy.check(State, Now))
        return reason;
    }
    return std::nullopt;
  }
  TimePoint now() const { return Now; }

private:
  void step() {
    const bool isCutOff = IsCutOff(Now);
    if (!isCutOff && Reads(Now)) {
      State.AcknowledgedBytes += 1000;
      State.UnansweredProbes = 0;
      State.DataUnanswered = false;
      AnsweredAt = Now;
      Interval = 200ms;
      NextSegmentAt = Now + Interval;
      return;
    }
    if (Now < NextSegmentAt)
      return;
    Interval = std::min<std::chrono::milliseconds>(2 * Interval, 120s);
    NextSegmentAt = Now + Interval;
    if (!isCutOff) {
      State.UnansweredProbes = 0;
      State.DataUnanswered = false;
      AnsweredAt = Now;
    } else if (WindowClosed) {
      ++State.UnansweredProbes;
    } else {
      State.DataUnanswered = true;
    }
  }

  UnreadDataPolicy &Policy;
  SendState State{4800, 100, false, 0};
  TimePoint Now = Start;
  /// When the peer answered last.
  TimePoint AnsweredAt = Start;
  TimePoint NextCheckAt = Start + UnreadDataPolicy::CheckPeriod;
  std::chrono::milliseconds Interval{200};
  TimePoint NextSegmentAt = Start + Interval;
};

/// In bytes; the system grants the smallest buffer that it has.
constexpr int SmallReceiveBuffer = 1024;
constexpr std::size_t DataBytes = 256 * 1024;

/// A TcpConnection and its peer, which has a small receive buffer and doesn't
/// read by itself.
class SocketPair {
public:
  explicit SocketPair(boost::asio::io_context &loop) : Peer(loop, tcp::v4()) {
    tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    Peer.set_option(
        boost::asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
    Peer.connect(acceptor.local_endpoint());
    Sender = std::make_shared<TcpConnection>(acceptor.accept());
    Sender->start({{},
                   [this](CloseReason reason) {
                     Closed = reason;
                     ClosedAt = Clock::now();
                   },
                   {}});
  }
  ~SocketPair() { Sender->close(); }
  SocketPair(const SocketPair &) = delete;
  SocketPair &operator=(const SocketPair &) = delete;

  void send(std::chrono::milliseconds readTime, std::size_t n = DataBytes) {
    SentAt = Clock::now();
    Sender->setReadDeadline(SentAt + readTime);
    Sender->send(std::string(n, 'x'));
  }
  /// Discards what arrives at the peer from now on, before its kernel sees it.
  void cutOff() {
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog program{1, &dropAll};
    REQUIRE(::setsockopt(Peer.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                         &program, sizeof program) == 0);
  }
  /// Returns how many bytes the peer can read without waiting.
  std::size_t readAvailable() {
    Peer.non_blocking(true);
    std::string buf(DataBytes, '\0');
    boost::system::error_code ec;
    return Peer.read_some(boost::asio::buffer(buf), ec);
  }
  /// Returns how long after send() the connection was given up.
  std::chrono::milliseconds keptFor() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(ClosedAt -
                                                                 SentAt);
  }

  std::shared_ptr<TcpConnection> Sender;
  std::optional<CloseReason> Closed;

private:
  tcp::socket Peer;
  TimePoint SentAt;
  TimePoint ClosedAt;
};

} // namespace

// Guards against the loss of answers to callers, and of requests to targets,
// that pause for longer than UnansweredTimeout while they read.
TEST_CASE("a peer that answers may read until the deadline") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 30s, Start, false);
  ModelPeer peer(policy);
  CHECK_FALSE(peer.runUntil(Start + 29s));
  // The kernel doesn't end the connection earlier.
  CHECK(policy.kernelTimeout() >= 30s);
  CHECK(peer.runUntil(Start + 60s) == GiveUpReason::Unread);
  CHECK(peer.now() <= Start + 30s + UnreadDataPolicy::CheckPeriod);
}

// Guards against connections to peers behind a partition that stay open until a
// distant deadline.
TEST_CASE(
    "a peer that acknowledges nothing is given up, whatever the deadline") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 1h, Start, false);
  ModelPeer peer(policy);
  const bool windowClosed = GENERATE(false, true);
  const auto cutOffAt = GENERATE(0ms, 3000ms, 20000ms);
  CAPTURE(windowClosed, cutOffAt);
  peer.WindowClosed = windowClosed;
  peer.IsCutOff = [&](TimePoint now) { return now > Start + cutOffAt; };
  CHECK(peer.runUntil(Start + 10min) == GiveUpReason::Unreachable);
  // The time until the second unanswered segment is as long as the time without
  // progress before and twice that, since the kernel doubles its intervals.
  const auto noticedAt =
      Start + std::max<base::Duration>(5 * cutOffAt, cutOffAt + 2s);
  CHECK(peer.now() >= Start + cutOffAt + UnansweredTimeout - 1s);
  CHECK(peer.now() <=
        noticedAt + UnansweredTimeout + 2 * UnreadDataPolicy::CheckPeriod);
  CHECK(policy.kernelTimeout() == UnansweredTimeout);
}

TEST_CASE("a lost window probe doesn't end a connection") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 100s, Start, false);
  ModelPeer peer(policy);
  // The interval of the probes is above UnansweredTimeout by then.
  peer.IsCutOff = [](TimePoint now) {
    return now > Start + 6s && now < Start + 7s;
  };
  CHECK_FALSE(peer.runUntil(Start + 99s));
}

TEST_CASE("a pause of this process isn't held against a peer") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 1h, Start, false);
  policy.dataQueued(Start);
  const SendState unanswered{4800, 100, false, 2};
  CHECK_FALSE(policy.check(unanswered, Start + 1s));
  CHECK_FALSE(policy.check(unanswered, Start + 2s));
  CHECK_FALSE(policy.check(unanswered, Start + 10s));
  CHECK_FALSE(policy.check({4800, 100, false, 0}, Start + 11s));
  CHECK_FALSE(policy.check(unanswered, Start + 12s));
}

TEST_CASE("a peer that goes on reading is kept past the deadline") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 2s, Start, false);
  ModelPeer peer(policy);
  peer.Reads = [](TimePoint now) { return now < Start + 40s; };
  CHECK_FALSE(peer.runUntil(Start + 40s));
  CHECK(peer.runUntil(Start + 60s) == GiveUpReason::Unread);
  CHECK(peer.now() <= Start + 42s);
}

TEST_CASE("data without a deadline may remain unread as long as "
          "unacknowledged") {
  UnreadDataPolicy policy;
  // A deadline that has passed is none.
  if (GENERATE(false, true))
    policy.setReadDeadline(Start - 1s, Start, false);
  ModelPeer peer(policy);
  CHECK_FALSE(peer.runUntil(Start + UnansweredTimeout - 10ms));
  CHECK(peer.runUntil(Start + 60s) == GiveUpReason::Unread);
  CHECK(peer.now() <=
        Start + UnansweredTimeout + UnreadDataPolicy::CheckPeriod);
}

TEST_CASE("the deadline of further data replaces the one of data that was "
          "read") {
  UnreadDataPolicy policy;
  policy.setReadDeadline(Start + 1h, Start, false);
  const bool hasUnreadData = GENERATE(false, true);
  policy.setReadDeadline(Start + 8s, Start, hasUnreadData);
  ModelPeer peer(policy);
  CHECK(peer.runUntil(Start + 1min).has_value() == !hasUnreadData);
}

// Compares with an exhaustive statement of the rule: reachable peers are kept
// exactly until they have paused for the limit after the deadline.
TEST_CASE("random pauses of reachable peers end connections only after their "
          "deadlines") {
  constexpr unsigned Seeds = 2000;
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto upTo = [&](int n) {
      return std::uniform_int_distribution<int>(0, n)(random);
    };
    const TimePoint deadline = Start + 500ms + upTo(20000) * 1ms;
    std::vector<std::pair<TimePoint, TimePoint>> pauses;
    TimePoint end = Start;
    for (int i = 0; i < 6; ++i) {
      const TimePoint from = end + upTo(4000) * 1ms;
      end = from + upTo(9000) * 1ms;
      pauses.emplace_back(from, end);
    }
    UnreadDataPolicy policy;
    policy.setReadDeadline(deadline, Start, false);
    ModelPeer peer(policy);
    TimePoint lastRead = Start;
    peer.Reads = [&](TimePoint now) {
      const bool pausing =
          std::any_of(pauses.begin(), pauses.end(), [&](const auto &it) {
            return now >= it.first && now < it.second;
          });
      if (!pausing)
        lastRead = now;
      return !pausing;
    };
    if (const auto reason = peer.runUntil(end)) {
      CHECK(*reason == GiveUpReason::Unread);
      CHECK(peer.now() >= deadline);
      CHECK(peer.now() - lastRead >= 1s);
      // Progress is noticed up to a period late.
      CHECK(peer.now() <= std::max(deadline, lastRead + 1s) +
                              2 * UnreadDataPolicy::CheckPeriod);
    } else {
      const bool mustEnd =
          std::any_of(pauses.begin(), pauses.end(), [&](const auto &it) {
            return std::max(it.first + 1s, deadline) +
                       2 * UnreadDataPolicy::CheckPeriod <
                   it.second;
          });
      CHECK_FALSE(mustEnd);
    }
  }
}

// Guards against memory that is held until the deadlines of many callers that
// don't read.
TEST_CASE("stalled connections are given up if unread data takes too much "
          "memory") {
  constexpr unsigned Seeds = 500;
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<UnreadData> data(random() % 40);
    std::size_t sum = 0;
    for (auto &it : data) {
      it = {random() % 1000, random() % 2 == 0};
      sum += it.Bytes;
    }
    const std::size_t maxBytes = random() % 20000;
    const auto chosen = connectionsToGiveUp(data, maxBytes);
    std::vector<bool> isChosen(data.size(), false);
    std::size_t smallest = SIZE_MAX;
    for (const std::size_t i : chosen) {
      CHECK(data[i].Stalled);
      CHECK_FALSE(isChosen[i]);
      isChosen[i] = true;
      sum -= data[i].Bytes;
      smallest = std::min(smallest, data[i].Bytes);
    }
    for (std::size_t i = 0; i < data.size(); ++i) {
      if (!data[i].Stalled || isChosen[i])
        continue;
      // The rest fits, and no larger one was left.
      CHECK(sum <= maxBytes);
      CHECK(data[i].Bytes <= smallest);
    }
    // None was given up without need.
    if (!chosen.empty())
      CHECK(sum + smallest > maxBytes);
  }
}

// With real sockets, all at once, as the kernel's times can't be passed in.
// Before, the kernel reset all of them after 5 to 6.5 s (TCP_USER_TIMEOUT).
TEST_CASE("sockets of peers that don't read are kept until their deadlines") {
  boost::asio::io_context loop;
  SocketPair paused(loop);
  SocketPair unread(loop);
  SocketPair closing(loop);
  SocketPair cutOff(loop);
  SocketPair cutOffLater(loop);
  SocketPair large(loop);
  paused.send(30s);
  large.send(30s, ConnectionMonitor::MaxUnreadBytes);
  unread.send(7s);
  closing.send(7s);
  closing.Sender->closeAfterSending();
  cutOff.cutOff();
  cutOff.send(30s);
  cutOffLater.send(30s);
  loop.run_for(1s);
  cutOffLater.cutOff();
  loop.run_for(5500ms);
  CHECK_FALSE(paused.Closed);
  CHECK_FALSE(unread.Closed);
  CHECK(closing.Sender->isOpen());
  CHECK(paused.Sender->hasUnreadData());
  loop.run_for(3500ms);

  CHECK(unread.Closed == CloseReason::TimedOut);
  CHECK(unread.keptFor() >= 7s);
  CHECK(unread.keptFor() < 9s);
  CHECK_FALSE(closing.Sender->isOpen());
  CHECK(cutOff.Closed == CloseReason::TimedOut);
  CHECK(cutOff.keptFor() >= UnansweredTimeout);
  CHECK(cutOff.keptFor() < 8s);
  CHECK(cutOffLater.Closed == CloseReason::TimedOut);
  CHECK(cutOffLater.keptFor() < 10s);
  // All together exceed the bound on memory.
  CHECK(large.Closed == CloseReason::TimedOut);
  CHECK(large.keptFor() >= UnansweredTimeout);
  CHECK(large.keptFor() < 8s);

  std::size_t n = 0;
  const auto end = Clock::now() + 5s;
  while (n < DataBytes && Clock::now() < end) {
    n += paused.readAvailable();
    loop.run_for(1ms);
  }
  CHECK(n == DataBytes);
  CHECK_FALSE(paused.Closed);
  loop.run_for(UnreadDataPolicy::CheckPeriod);
  CHECK_FALSE(paused.Sender->hasUnreadData());
}
