#ifndef BERGAMOT_SIDECAR_BATCHRUNNER_H
#define BERGAMOT_SIDECAR_BATCHRUNNER_H

#include "adaptertcp/asynchttpclient.h"
#include "sidecar/batch.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamot::sidecar {

/// Executes batches of calls for a coordinator. All sidecars of a group listen
/// on the same port.
class BatchRunner {
public:
  /// Gets the responses to all calls of a batch.
  using BatchCompletion = std::function<void(const BatchResponses &)>;
  /// Gets the response body of one call; std::nullopt if the call failed.
  using CallCompletion =
      std::function<void(const std::optional<std::string> &)>;
  /// Executes a call on the local engine.
  using OwnEngineCall =
      std::function<void(const std::string &requestTarget,
                         const std::string &body, CallCompletion done)>;

  BatchRunner(boost::asio::io_context &loop, std::string ownAddress,
              std::uint16_t port, OwnEngineCall ownEngineCall)
      : Loop(loop), OwnAddress(std::move(ownAddress)), Port(port),
        CallOwnEngine(std::move(ownEngineCall)) {}
  /// Cancels the most recent call of each path to each member, whose completion
  /// then doesn't run. Earlier calls that are still pending complete normally.
  ~BatchRunner();
  BatchRunner(const BatchRunner &) = delete;
  BatchRunner &operator=(const BatchRunner &) = delete;

  /// Starts all calls. `done` runs once, when all responses have arrived or the
  /// batch has timed out.
  void run(const Batch &batch, BatchCompletion done);

private:
  struct Run;

  void callMember(const std::string &member, const std::string &requestTarget,
                  const std::string &body, base::TimePoint deadline,
                  CallCompletion done);

  boost::asio::io_context &Loop;
  std::string OwnAddress;
  std::uint16_t Port;
  OwnEngineCall CallOwnEngine;
  /// Reused connections, one per path and member: calls with the same path are
  /// usually sequential and can share a connection.
  std::map<std::string, std::shared_ptr<adaptertcp::AsyncHttpClient>> Callers;
};

} // namespace bergamot::sidecar

#endif
