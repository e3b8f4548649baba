#ifndef BERGAMOT_REVIEW_ENTRYPROCESS_H
#define BERGAMOT_REVIEW_ENTRYPROCESS_H

#include "net.h"

#include <sys/types.h>

#include <string>

namespace bergamot::review {

/// The program of the role `entry` in the deploy file, as a separate process
/// with the settings of a small deployment. It is killed by its id when this
/// object is destroyed.
class EntryProcess {
public:
  /// Starts the program in the current folder, the root of the repository.
  /// `folder` is a temporary folder for its settings and its log.
  EntryProcess(const std::string &folder, const std::string &name,
               const std::string &address, const Endpoint &store);
  ~EntryProcess();
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  /// Where it accepts clients.
  const Endpoint &clients() const { return Clients; }
  /// Returns whether it answers `GET /v1/ready` with 200.
  bool isReady() const;
  /// Waits until it is ready; returns false if it isn't by the deadline.
  bool waitUntilReady(Clock::time_point deadline) const;
  /// Sends SIGTERM.
  void terminate() const;
  /// Ends it with SIGKILL, unless it has ended.
  void kill();
  /// Waits for its end; returns false if it still runs at the deadline.
  bool waitForExit(Clock::time_point deadline);

private:
  Endpoint Clients;
  Endpoint Readiness;
  pid_t Pid = -1;
};

/// Returns a loopback address for each number, in a network that this process
/// has picked at random and whose addresses nobody uses.
std::string pickAddress(unsigned number);

} // namespace bergamot::review

#endif
