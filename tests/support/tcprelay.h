#ifndef BERGAMOT_SUPPORT_TCPRELAY_H
#define BERGAMOT_SUPPORT_TCPRELAY_H

#include "libbergamotbase/timetypes.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace bergamot::testsupport {

/// Forwards TCP connections to a loopback port through one thread, so that a
/// test can disturb the way between two processes.
class TcpRelay {
public:
  /// Listens on a free loopback port.
  explicit TcpRelay(std::uint16_t targetPort);
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  TcpRelay &operator=(const TcpRelay &) = delete;

  std::uint16_t port() const { return Port; }

  /// Delays all bytes from now on by the span in each direction.
  void setDelay(std::chrono::milliseconds delay);

  /// Closes the present connections. New ones work.
  void cutConnections();

  /// Closes new connections at once while set.
  void setRefusing(bool isRefusing);

  /// Makes the present connections silent for good: they stay open, but no
  /// byte and no end passes any more. New ones work.
  void silenceConnections();

  /// Makes new connections silent from their start while set.
  void setSilent(bool isSilent);

  /// Returns the number of connections accepted so far.
  std::uint64_t connectionCount() const { return Accepted; }

private:
  struct Delayed {
    base::TimePoint Due;
    std::string Bytes;
  };
  struct Direction {
    int From = -1;
    int To = -1;
    std::deque<Delayed> Queue;
    std::size_t QueuedBytes = 0;
    bool HasEnded = false;
    bool HasPassedEnd = false;
  };
  struct Link {
    Direction Forth;
    Direction Back;
    bool IsSilent = false;
    bool IsBroken = false;
  };

  void run();
  void accept();
  int waitTime() const;
  void wait(int timeout);
  void receive(Direction &direction, Link &link);
  void deliver(Direction &direction, Link &link);
  static void closeLink(const Link &link);

  int Listener = -1;
  int Wake = -1;
  std::uint16_t Port = 0;
  std::uint16_t TargetPort;
  std::atomic<std::uint64_t> Accepted{0};
  mutable std::mutex Mutex;
  std::list<Link> Links;
  std::chrono::milliseconds Delay{0};
  bool IsRefusing = false;
  bool IsSilent = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace bergamot::testsupport

#endif
