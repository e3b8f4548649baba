#ifndef BERGAMOT_TESTS_PATH_TESTDEPLOYMENT_H
#define BERGAMOT_TESTS_PATH_TESTDEPLOYMENT_H

#include "adapterhttp/httpclient.h"
#include "adapterplatform/httplog.h"
#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/signer.h"
#include "support/childprocess.h"
#include "support/tcprelay.h"
#include "support/waiting.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::testpath {

using Process = std::unique_ptr<testsupport::ChildProcess>;
using Flags = std::vector<std::string>;

/// How many parts a deployment has. Targets 0 to Engines-1 are engines of the
/// service "assistant", the others plain services of "stock"; both are spread
/// over the failure domains a, b and c.
struct Sizes {
  int Entries = 2;
  int Engines = 2;
  int Services = 1;
  Flags EngineFlags;
  Flags EntryFlags;
  std::uint32_t ColdSlots = 64;
};

/// A deployment of real processes on loopback. Each target daemon is reached
/// through a relay, so that a test can disturb its connections.
class TestDeployment {
public:
  explicit TestDeployment(const Sizes &sizes);

  /// Starts a daemon again after it was ended or killed.
  void startEntry(int i);
  void startTarget(int i);

  /// Replaces a target's daemon by one with another back end.
  void setBackEnd(int target, const std::string &endpoint);

  /// Publishes a change of the configuration and returns its version.
  std::uint64_t
  publish(const std::function<void(config::Configuration &)> &change);

  /// Publishes a change that builds on an older version, as a second operator
  /// would, and returns the hash of the configuration that it asks for.
  std::string
  publishOn(std::uint64_t base,
            const std::function<void(config::Configuration &)> &change);

  /// Returns the version published last.
  std::uint64_t version() const { return Version; }

  /// Waits until an entry is ready and has a version in force.
  bool waitUntilInForce(int entry, std::uint64_t version,
                        base::TimePoint deadline);

  /// Sends a call to an entry with a valid key.
  adapterhttp::HttpResponse call(int entry, const std::string &method,
                                 const std::string &target,
                                 const std::string &body,
                                 const std::string &key = "");
  std::unique_ptr<adapterhttp::HttpStream> open(int entry,
                                                const std::string &body);

  /// Returns a daemon's status document.
  nlohmann::json entryStatus(int i);
  nlohmann::json targetStatus(int i);

  /// Returns how often a service executed a reservation of the order, over
  /// all services.
  int executions(const std::string &order);

  /// Sets faults of a stand-in.
  void setPlatformFaults(const nlohmann::json &faults);
  void setBackEndFaults(int target, const nlohmann::json &faults);

  const std::string &platformEndpoint() const { return PlatformEndpoint; }
  const std::string &entryEndpoint(int i) const { return EntryHttp.at(i); }

  Process Platform;
  std::vector<Process> BackEnds;
  std::vector<Process> Targets;
  std::vector<Process> Entries;
  std::vector<std::unique_ptr<testsupport::TcpRelay>> Relays;

private:
  std::uint64_t append(const config::Configuration &whole, std::uint64_t base);
  void startBackEnds();
  void makeConfiguration();
  std::string start(const Flags &flags, Process &process);
  nlohmann::json getJson(const std::string &endpoint,
                         const std::string &target);

  const Sizes Counts;
  std::string PlatformEndpoint;
  std::vector<std::string> BackEndEndpoints;
  std::vector<std::string> TargetPeers;
  std::vector<std::string> TargetHttp;
  std::vector<std::string> EntryPeers;
  std::vector<std::string> EntryHttp;
  config::Signer Signer;
  config::Configuration Config;
  std::uint64_t Version = 0;
  int Changes = 0;
};

/// Returns the body of a completion request.
std::string completionBody(const std::string &prompt, int maxTokens,
                           bool isStream);

} // namespace bergamot::testpath

#endif
