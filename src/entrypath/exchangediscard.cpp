// The part of Exchange that discards what a target sends before the response to
// the request: interim responses and late responses to earlier requests.
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using gateway::AttemptFailure;

namespace {

/// Limit on the bytes of discarded responses, since a faulty target may send
/// them without end.
constexpr std::size_t MaxDiscardedBytes = 262144;

} // namespace

/// Discards what has arrived of a response that isn't the one to this request.
/// Returns whether another response may follow among the bytes at hand; the
/// attempt may have failed otherwise.
bool Exchange::discardResponse() {
  adaptertcp::MessageParser &parser = Current->Parser;
  const bool isInterim = parser.responseHead().Status < 200;
  Current->ReceivedBodyBytes = 0;
  parser.body().clear();
  if (Current->PrecedingBytes > MaxDiscardedBytes) {
    handleAttemptFailure(AttemptFailure::Lost,
                         isInterim ? "endless_interim" : "endless_other");
    return false;
  }
  if (parser.endsWithConnection()) {
    // No response to this request can follow on the connection.
    handleAttemptFailure(AttemptFailure::Lost, "unframed_other");
    return false;
  }
  if (!parser.isComplete())
    return false;
  parser.restart(Head.Method == "HEAD");
  return true;
}

} // namespace bergamot::entrypath
