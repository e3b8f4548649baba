#ifndef BERGAMOT_ADAPTERHTTP_CONNECTIONPOOL_H
#define BERGAMOT_ADAPTERHTTP_CONNECTIONPOOL_H

#include "adapterhttp/clientsocket.h"
#include "libbergamotbase/timetypes.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bergamot::adapterhttp {

/// Idle connections to one endpoint. Safe to use from several threads.
class ConnectionPool {
public:
  explicit ConnectionPool(const std::string &endpoint);

  /// Returns the endpoint as given.
  const std::string &peer() const { return Peer; }

  /// Returns an idle connection that the peer has not closed, or a new one.
  /// Throws HttpClientError if none can be made before the deadline.
  std::unique_ptr<ClientSocket> take(base::TimePoint deadline);

  /// Keeps a connection whose last response was read completely.
  void add(std::unique_ptr<ClientSocket> connection);

private:
  struct IdleConnection {
    std::unique_ptr<ClientSocket> Connection;
    base::TimePoint Since;
  };

  std::string Peer;
  Endpoint Address;
  std::mutex Mutex;
  std::vector<IdleConnection> Idle;
};

} // namespace bergamot::adapterhttp

#endif
