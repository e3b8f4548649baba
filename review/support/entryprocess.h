#ifndef BERGAMOT_REVIEW_ENTRYPROCESS_H
#define BERGAMOT_REVIEW_ENTRYPROCESS_H

#include "net.h"

#include <sys/types.h>

#include <map>
#include <string>

namespace bergamot::review {

/// A program of the deploy file as a separate process with the settings of a
/// small deployment. It is killed by its id when this object is destroyed.
class NodeProcess {
public:
  /// Starts the program in the current folder, the root of the repository, with
  /// its template filled in. `folder` is a temporary folder for its settings
  /// and its log.
  NodeProcess(const std::string &folder, const std::string &settingsTemplate,
              const std::map<std::string, std::string> &values);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// Sends SIGTERM.
  void terminate() const;
  /// Ends it with SIGKILL, unless it has ended.
  void kill();
  /// Waits for its end; returns false if it still runs at the deadline.
  bool waitForExit(Clock::time_point deadline);

private:
  pid_t Pid = -1;
};

/// The role `sidecar` of the deploy file, beside a worker.
class SidecarProcess : public NodeProcess {
public:
  SidecarProcess(const std::string &folder, const std::string &name,
                 std::uint16_t peerPort, const Endpoint &worker,
                 const std::string &service, const Endpoint &store);
};

/// The role `entry` of the deploy file.
class EntryProcess : public NodeProcess {
public:
  EntryProcess(const std::string &folder, const std::string &name,
               const std::string &address, const Endpoint &store);

  /// Where it accepts clients.
  const Endpoint &clients() const { return Clients; }
  /// Returns whether it answers `GET /v1/ready` with 200.
  bool isReady() const;
  /// Waits until it is ready; returns false if it isn't by the deadline.
  bool waitUntilReady(Clock::time_point deadline) const;

private:
  EntryProcess(const std::string &folder, const std::string &name,
               const std::string &address, const Endpoint &store,
               std::uint16_t clientPort, std::uint16_t readinessPort);

  Endpoint Clients;
  Endpoint Readiness;
};

/// Returns a loopback address for each number, in a network that this process
/// has picked at random and whose addresses nobody uses.
std::string pickAddress(unsigned number);

} // namespace bergamot::review

#endif
