#ifndef BERGAMOT_PATH_DEPLOYMENT_H
#define BERGAMOT_PATH_DEPLOYMENT_H

#include "support/childprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace bergamot::benchpath {

/// A deployment on loopback with one entry and one target in front of a plain
/// service, and one account whose limits are far above the measured rates.
class Deployment {
public:
  /// Starts the processes, publishes the configuration and waits until the
  /// entry answers. Throws base::Error if that takes more than 20 s.
  Deployment();
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  const std::string &direct() const { return ServiceEndpoint; }
  const std::string &through() const { return EntryEndpoint; }
  const std::string &apiKey() const { return ApiKey; }

  /// Returns the process ids of the entry and of the target's daemon.
  std::vector<int> daemonPids() const;

private:
  using Process = std::unique_ptr<testsupport::ChildProcess>;

  std::string startStandin(const std::string &kind, Process &process);
  void publish(const std::string &platform);
  void startDaemons(const std::string &platform);
  void waitUntilReady() const;

  std::string Folder;
  std::string ServiceEndpoint;
  std::string EntryEndpoint;
  std::string EntryPeer;
  std::string TargetPeer;
  std::string ApiKey;
  Process Platform;
  Process Service;
  Process TargetDaemon;
  Process EntryDaemon;
};

} // namespace bergamot::benchpath

#endif
