#ifndef BERGAMOT_REVIEW_RELAY_H
#define BERGAMOT_REVIEW_RELAY_H

#include "net.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace bergamot::review {

/// A TCP proxy whose connections can go silent for good: they stay open, and
/// nothing passes any more in either direction. New connections work.
class Relay {
public:
  Relay(const std::string &address, Endpoint destination);

  const Endpoint &endpoint() const { return Listening; }
  /// Silences the connections that are open now; returns their number.
  std::size_t silenceOpenConnections();

private:
  struct Connection {
    std::atomic<bool> Silent{false};
    std::atomic<bool> Closed{false};
  };

  void serve(int fd);
  static void copy(int from, int to, Connection &connection);

  Endpoint Listening;
  Endpoint Destination;
  std::mutex Mutex;
  std::vector<std::shared_ptr<Connection>> Connections;
};

} // namespace bergamot::review

#endif
