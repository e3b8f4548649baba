#include "bergamotd/respond.h"

namespace bergamot::bergamotd {

using adapterhttp::HttpResponder;
using std::chrono::steady_clock;

void respondWithProblem(HttpResponder &responder, const ProblemError &problem) {
  if (responder.isStarted())
    return; // The connection is closed, so the caller sees a cut response.
  std::vector<adapterhttp::HttpHeader> headers = {
      {"Content-Type", "application/problem+json"}};
  if (problem.status() == 401)
    headers.push_back({"WWW-Authenticate", "Bearer"});
  if (const auto wait = problem.retryAfter())
    headers.push_back(
        {"Retry-After",
         std::to_string(
             std::chrono::ceil<std::chrono::seconds>(*wait).count())});
  responder.respond(problem.status(), headers, problem.document(),
                    steady_clock::now() + ShortResponseTimeout);
}

} // namespace bergamot::bergamotd
