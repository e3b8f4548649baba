#ifndef BERGAMOT_STANDIN_PLATFORMSTANDIN_H
#define BERGAMOT_STANDIN_PLATFORMSTANDIN_H

#include "standin/logstore.h"
#include "standin/standinserver.h"

#include <mutex>
#include <string>

namespace bergamot::standin {

/// Settings of the platform stand-in.
struct PlatformOptions {
  std::string ListenEndpoint = "127.0.0.1:0";
  int Connections = 128;
  LogStoreOptions Log;
  /// Bytes of one expert's weights.
  std::size_t WeightBytes = 1024 * 1024;
  /// Rate limit of the weight store; 0 means no limit.
  double WeightBytesPerSecond = 0;
  /// How long a change of the VM list takes to become visible.
  std::chrono::milliseconds VmListLag{0};
};

/// Stands in for the platform: log streams, VM list and weight store. Besides
/// the endpoints of the design page it serves `POST /v1/vms`, which sets the
/// list, and `GET /debug/streams`, the next offset of each stream. Faults
/// repeat and reorder apply to appends and reads of the log; `retain_from`
/// with `stream` removes old records.
class PlatformStandin {
public:
  explicit PlatformStandin(const PlatformOptions &options);

  std::uint16_t port() const { return Server.port(); }
  Faults &faults() { return Server.faults(); }
  LogStore &log() { return Log; }

  /// Returns the content of one expert's weights, a function of its name.
  static std::string weightContent(const std::string &name, std::size_t bytes);

private:
  void handle(Exchange &exchange);
  void handleAppend(Exchange &exchange);
  void handleRead(Exchange &exchange);
  void takeRetention(nlohmann::json &faults);
  void setVms(Exchange &exchange);
  void handleVms(Exchange &exchange);
  void handleWeights(Exchange &exchange);
  double takeWeightBytes(double bytes);

  PlatformOptions Options;
  LogStore Log;
  std::mutex Mutex;
  nlohmann::json PastVms = nlohmann::json::array();
  nlohmann::json PresentVms = nlohmann::json::array();
  base::TimePoint VmsVisibleAt;
  base::WallTime PastVmsTime;
  base::WallTime PresentVmsTime;
  double WeightTokens;
  base::TimePoint WeightTokensAt;
  StandinServer Server;
};

} // namespace bergamot::standin

#endif
