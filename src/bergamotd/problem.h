#ifndef BERGAMOT_BERGAMOTD_PROBLEM_H
#define BERGAMOT_BERGAMOTD_PROBLEM_H

#include "libbergamotbase/error.h"
#include "libbergamotrouting/routingtypes.h"

#include <chrono>
#include <optional>
#include <string>

namespace bergamot::bergamotd {

using routing::Executed;

/// Returns "no", "yes" or "unknown".
const char *executedName(Executed executed);

/// An error that is answered to the caller as an RFC 9457 problem document.
class ProblemError : public base::Error {
public:
  ProblemError(int status, base::Step step, std::string peer,
               const std::string &detail, Executed executed = Executed::No);

  /// Sets when the caller should come back.
  ProblemError &retryAfter(std::chrono::milliseconds wait);

  int status() const { return HttpStatus; }
  Executed executed() const { return ExecutedState; }
  std::optional<std::chrono::milliseconds> retryAfter() const { return Wait; }

  /// Returns the problem document.
  std::string document() const;

private:
  int HttpStatus;
  Executed ExecutedState;
  std::optional<std::chrono::milliseconds> Wait;
};

} // namespace bergamot::bergamotd

#endif
