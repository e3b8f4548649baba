#include "bergamotd/problem.h"

#include "adapterhttp/httpmessage.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::bergamotd {

const char *executedName(Executed executed) {
  switch (executed) {
  case Executed::No:
    return "no";
  case Executed::Yes:
    return "yes";
  case Executed::Unknown:
    break;
  }
  return "unknown";
}

ProblemError::ProblemError(int status, base::Step step, std::string peer,
                           const std::string &detail, Executed executed)
    : base::Error(step, std::move(peer), detail), HttpStatus(status),
      ExecutedState(executed) {}

ProblemError &ProblemError::retryAfter(std::chrono::milliseconds wait) {
  Wait = wait;
  return *this;
}

std::string ProblemError::document() const {
  nlohmann::json body = {{"type", "about:blank"},
                         {"title", adapterhttp::reasonPhrase(HttpStatus)},
                         {"status", HttpStatus},
                         {"detail", what()},
                         {"step", base::stepName(step())},
                         {"peer", peer()},
                         {"executed", executedName(ExecutedState)}};
  if (Wait)
    body["retry_after_ms"] = Wait->count();
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bergamot::bergamotd
