#ifndef BERGAMOT_BERGAMOTD_ANSWERCHANNEL_H
#define BERGAMOT_BERGAMOTD_ANSWERCHANNEL_H

#include "bergamotd/problem.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotwire/framecodec.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <variant>

namespace bergamot::bergamotd {

/// The target refused the attempt; no byte of it reached the back end.
struct AttemptRefused {
  wire::fb::RefusalReason Reason;
  std::chrono::milliseconds RetryAfter;
  std::string Detail;
};

/// The back end's status and headers.
struct AnswerHead {
  int Status;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// The next bytes of the body.
struct AnswerBytes {
  std::string Bytes;
};

/// The body is complete and its length and hash are right.
struct AnswerEnd {
  std::uint64_t TotalLength;
};

/// The attempt failed or its connection was lost.
struct AttemptFailed {
  Executed ExecutedState;
  std::string Step;
  std::string Detail;
};

/// The target released the engine's stream because this entry's window stayed
/// full; the stream can be resumed from the offset reached.
struct AnswerParked {};

using AnswerEvent = std::variant<AttemptRefused, AnswerHead, AnswerBytes,
                                 AnswerEnd, AttemptFailed, AnswerParked>;

/// Carries one attempt's answer from the network thread to the thread that
/// serves the caller. Checks that the bytes are contiguous and, at the end,
/// that length and hash match, so that a crossed or cut answer is never taken
/// as whole. Holds at most one window of bytes, as the target sends no more.
class AnswerChannel {
public:
  /// A resumed stream starts at the offset that was already delivered. The
  /// hash at the end covers the bytes of this attempt only.
  AnswerChannel(std::uint64_t offset, std::uint64_t windowBytes);

  /// Takes a message of the target. Called by the network thread. Returns
  /// false if the message is no part of an answer or violates its order; the
  /// channel then ends with AttemptFailed.
  bool addMessage(const wire::Envelope &message);

  /// Ends the channel with a failure unless it has ended already.
  void addFailure(AttemptFailed failure);

  /// Returns the next event; AttemptFailed at the deadline.
  AnswerEvent nextEvent(base::TimePoint deadline);

  /// Returns whether an event waits or the channel ends within the time.
  bool waitForEvent(base::TimePoint deadline);

private:
  bool addChunk(const wire::fb::ChunkT &chunk);
  bool addEnd(const wire::fb::EndT &end);
  void push(AnswerEvent event, bool isLast);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<AnswerEvent> Events;
  std::size_t HeldBytes = 0;
  std::uint64_t NextOffset;
  std::uint64_t WindowBytes;
  base::StreamHash Hash;
  bool HasHead = false;
  bool HasEnded = false;
};

} // namespace bergamot::bergamotd

#endif
