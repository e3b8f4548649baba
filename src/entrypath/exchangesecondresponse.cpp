// The part of Exchange that keeps the second response of a target within the
// body of its first from the caller.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using adaptertcp::HeadExtent;
using adaptertcp::ResponseHead;
using adaptertcp::TargetHeadSearch;
using gateway::AttemptFailure;

namespace {

/// Non-streaming responses up to this size are relayed only once complete, so
/// that the request can still be retried after an incomplete or malformed one.
/// Larger ones have to state where they end.
constexpr std::size_t MaxBufferedResponseBytes = 65536;

} // namespace

/// Searches a part of a framed body for the head of a target's response, which
/// has a signature and a request id. Any id counts: the second response may be
/// to an earlier request on the connection.
TargetHeadSearch Exchange::findTargetHead(std::string_view bytes,
                                          HeadExtent extent) const {
  return adaptertcp::findTargetHead(
      bytes, extent, [this](const ResponseHead &head) {
        const TargetResponse it = Owner.codec().decodeResponse(head);
        return it.HasTargetSignature && it.RequestId.has_value();
      });
}

/// Removes the head of a second response and all that follows it from what has
/// arrived of a stream. Returns whether there is one.
bool Exchange::dropSecondResponse() {
  std::string &body = Current->Parser.body();
  const std::string &partial = Events.partialEvent();
  std::size_t before = partial.size();
  std::optional<std::size_t> at;
  if (isUnframedSuccess()) {
    at = adaptertcp::findResponseHead(partial + body, HeadExtent::Whole);
  } else {
    before = std::min(before, Current->UndecidedBytes);
    const TargetHeadSearch search =
        before == 0
            ? findTargetHead(body, HeadExtent::Whole)
            : findTargetHead(partial.substr(partial.size() - before) + body,
                             HeadExtent::Whole);
    Current->UndecidedBytes = before + body.size() - search.DecidedBytes;
    at = search.HeadAt;
  }
  if (!at)
    return false;
  body.resize(*at > before ? *at - before : 0);
  return true;
}

void Exchange::relayNonStreaming() {
  std::string &body = Current->Parser.body();
  if (isUnframedSuccess()) {
    // Nothing is relayed before the end is known.
    if (body.size() > MaxBufferedResponseBytes)
      handleAttemptFailure(AttemptFailure::Lost, "endless_body");
    return;
  }
  if (!ResponseStarted && body.size() <= MaxBufferedResponseBytes)
    return;
  const TargetHeadSearch search = findTargetHead(body, HeadExtent::Whole);
  if (search.HeadAt) {
    handleAttemptFailure(AttemptFailure::Lost, "second_response");
    return;
  }
  if (search.DecidedBytes == 0)
    return;
  relay(std::string_view(body).substr(0, search.DecidedBytes));
  body.erase(0, search.DecidedBytes);
}

/// Returns whether what is left of a complete body holds the head of a second
/// response, or the beginning of one.
bool Exchange::hasSecondResponse() const {
  const std::string &body = Current->Parser.body();
  const std::string &excess = Current->ExcessBytes;
  // The end of a success without a length has been verified.
  if (body.empty() || isUnframedSuccess())
    return false;
  // The end of the body may cut a head, unless another begins behind it.
  if (excess.empty() || adaptertcp::startsWithStatusLine(excess))
    return findTargetHead(body, HeadExtent::MaybeCut).HeadAt.has_value();
  return findTargetHead(body + excess, HeadExtent::MaybeCut)
             .HeadAt.value_or(body.size()) < body.size();
}

} // namespace bergamot::entrypath
