#ifndef BERGAMOT_BERGAMOTD_ANSWERSTREAM_H
#define BERGAMOT_BERGAMOTD_ANSWERSTREAM_H

#include "adapterhttp/httpmessage.h"
#include "bergamotd/answermemory.h"
#include "bergamotd/problem.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/ids.h"
#include "libbergamotrouting/streambuffer.h"
#include "libbergamotwire/framecodec.h"

#include <condition_variable>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

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
  std::vector<adapterhttp::HttpHeader> Headers;
};

/// The next bytes of the body.
struct AnswerBytes {
  std::string Bytes;
};

/// The body is complete and its length and hash are right.
struct AnswerEnd {};

/// The attempt failed or its connection was lost.
struct AttemptFailed {
  Executed ExecutedState;
  std::string Step;
  std::string Detail;
};

/// The stream was released at the engine because its reader was stalled; it
/// can be resumed from the offset delivered.
struct AnswerParked {};

using AnswerEvent = std::variant<AttemptRefused, AnswerHead, AnswerBytes,
                                 AnswerEnd, AttemptFailed, AnswerParked>;

/// Carries one call's answer over all its attempts from the network threads to
/// the thread that serves the caller.
class AnswerStream {
public:
  AnswerStream(AnswerMemory &memory, const base::RequestId &request,
               bool resumable);
  ~AnswerStream();
  AnswerStream(const AnswerStream &) = delete;
  AnswerStream &operator=(const AnswerStream &) = delete;

  /// Begins an attempt. Returns the offset from which the target sends: what
  /// was delivered, if the stream resumes, else 0.
  std::uint64_t startAttempt();

  /// Returns the offset up to which the target may send, if it has risen.
  /// Parks another stream if memory is short.
  std::optional<std::uint64_t> takeWindow();

  /// Takes a message of the target. Called by network threads.
  void addMessage(const wire::Envelope &message);

  /// Ends the attempt with a failure unless it has ended already.
  void addFailure(AttemptFailed failure);

  /// Returns the next event, or nothing at the deadline. With whole, bytes are
  /// kept until the body ends or fills the window.
  std::optional<AnswerEvent> nextEvent(bool whole, base::TimePoint deadline);

  /// Returns all bytes of a body that has ended.
  std::string takeRest();

  std::uint64_t deliveredTo() const;

  /// Returns the xxHash64 of all bytes taken so far.
  std::uint64_t deliveredHash() const;

private:
  using Lock = std::unique_lock<std::mutex>;

  void addHead(const wire::fb::HeadT &head);
  void addChunk(const wire::fb::ChunkT &chunk);
  void addEnd(const wire::fb::EndT &end);
  void addPark();
  void setFinal(AnswerEvent event);
  void setCorrupted(const char *what);
  bool isBytesReady(bool whole) const;
  std::optional<AnswerEvent> takeEvent(bool whole);
  void park();
  void resetBuffer();
  std::string take(std::size_t most);

  AnswerMemory &Memory;
  const std::uint64_t HashSeed;
  const bool IsResumable;
  std::condition_variable Changed;
  routing::StreamId Id;
  std::unique_ptr<routing::StreamBuffer> Buffer;
  base::StreamHash Delivered;
  std::optional<AnswerHead> Head;
  std::optional<AnswerEvent> Final;
  bool HasHead = false;
  bool IsFirstAttempt = true;
};

} // namespace bergamot::bergamotd

#endif
