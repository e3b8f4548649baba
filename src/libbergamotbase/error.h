#ifndef BERGAMOT_LIBBERGAMOTBASE_ERROR_H
#define BERGAMOT_LIBBERGAMOTBASE_ERROR_H

#include <stdexcept>
#include <string>

namespace bergamot::base {

/// The processing step in which an error occurred.
enum class Step {
  Settings,
  Configuration,
  Parse,
  Authenticate,
  Admit,
  Route,
  Connect,
  Dispatch,
  Answer,
  Claim,
  Log,
  Membership,
  Experts,
  Audit,
};

/// Returns the name of a step as it appears in logs and problem documents.
const char *stepName(Step step);

/// An error with the step in which it occurred and the peer involved: an
/// address, a stream name or a VM id; empty if there was no peer.
class Error : public std::runtime_error {
public:
  Error(Step step, std::string peer, const std::string &message);

  Step step() const { return ErrorStep; }
  const std::string &peer() const { return ErrorPeer; }

private:
  Step ErrorStep;
  std::string ErrorPeer;
};

} // namespace bergamot::base

#endif
