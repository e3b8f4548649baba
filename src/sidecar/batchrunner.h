#ifndef BERGAMOT_SIDECAR_BATCHRUNNER_H
#define BERGAMOT_SIDECAR_BATCHRUNNER_H

#include "adaptertcp/httpcaller.h"
#include "sidecar/batch.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamot::sidecar {

/// Makes the calls of batches for a coordinator. All members of a group
/// serve at the same port.
class BatchRunner {
public:
  using Done = std::function<void(const BatchAnswers &)>;
  /// Carries a call out at the own engine; the completion gets an unset value
  /// if it has failed.
  using Completion = std::function<void(const std::optional<std::string> &)>;
  using OwnCall = std::function<void(const std::string &target,
                                     const std::string &body, Completion done)>;

  BatchRunner(boost::asio::io_context &loop, std::string ownAddress,
              std::uint16_t port, OwnCall ownCall)
      : Loop(loop), OwnAddress(std::move(ownAddress)), Port(port),
        CallOwn(std::move(ownCall)) {}
  /// Ends the newest call of each kind to each member without completion.
  ~BatchRunner();
  BatchRunner(const BatchRunner &) = delete;
  BatchRunner &operator=(const BatchRunner &) = delete;

  /// Makes all calls; `done` runs once, when all are answered or the batch's
  /// time has passed.
  void run(const Batch &batch, Done done);

private:
  struct Run;

  void callMember(const std::string &member, const std::string &target,
                  const std::string &body, base::TimePoint deadline,
                  Completion done);

  boost::asio::io_context &Loop;
  std::string OwnAddress;
  std::uint16_t Port;
  OwnCall CallOwn;
  /// Kept callers by path and member: calls of one kind follow one another.
  std::map<std::string, std::shared_ptr<adaptertcp::HttpCaller>> Callers;
};

} // namespace bergamot::sidecar

#endif
