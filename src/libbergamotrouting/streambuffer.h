#ifndef BERGAMOT_LIBBERGAMOTROUTING_STREAMBUFFER_H
#define BERGAMOT_LIBBERGAMOTROUTING_STREAMBUFFER_H

#include "libbergamotbase/digest.h"
#include "libbergamotrouting/bufferbudget.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::routing {

/// Most bytes that a target may have sent beyond what the reader has taken.
inline constexpr std::size_t StreamWindowBytes = std::size_t{32} << 10;

/// What became of a chunk or of the end of a stream. All but the first three
/// are faults of the stream. After Gap, the stream can be resumed; after the
/// others, what the reader has received may be wrong.
enum class StreamResult {
  Accepted,
  Repeated,
  Ignored,
  Gap,
  WindowExceeded,
  PastEnd,
  LengthMismatch,
  HashMismatch,
};

/// Returns the hash that binds the bytes of a chunk to its request, by the
/// seed, and to its offset.
std::uint64_t chunkHash(std::uint64_t seed, std::uint64_t offset,
                        std::string_view bytes);

/// Response bytes between a target and the caller. The response counts as
/// complete only if its offsets have no gap and its total length and xxHash64
/// match, so that a cut, repeated or crossed chunk is never handed on as whole.
class StreamBuffer {
public:
  /// The budget must outlive the buffer.
  StreamBuffer(StreamId id, bool resumable, BufferBudget &budget,
               TimePoint now);
  ~StreamBuffer();
  StreamBuffer(const StreamBuffer &) = delete;
  StreamBuffer &operator=(const StreamBuffer &) = delete;

  /// Sets the length that the head of the response announced. The last byte is
  /// then held back until the end has been checked.
  void setExpectedLength(std::uint64_t length) { ExpectedLength = length; }

  /// Sets the seed of the chunk hashes, which is that of the request.
  void setHashSeed(std::uint64_t seed) { HashSeed = seed; }

  /// Takes bytes that start at the offset of the response. The hash is their
  /// chunkHash(): the end's hash covers a resumed stream only in part, so each
  /// chunk proves by itself that it belongs here.
  StreamResult addChunk(std::uint64_t offset, std::string_view bytes,
                        std::uint64_t hash);

  /// Takes the end of the response and checks it. The hash covers the bytes
  /// since the last resume(): a target that resumes a stream doesn't have the
  /// bytes before.
  StreamResult setEnd(std::uint64_t totalLength, std::uint64_t hash);

  /// Removes and returns up to the number of bytes for the reader. Empty if
  /// nothing may be handed on now.
  std::string take(std::size_t most, TimePoint now);

  /// Reserves budget for more of the response. Returns the offset up to which
  /// the target may send, if it has risen.
  std::optional<std::uint64_t> extendWindow();

  /// Drops the buffered bytes and gives back their budget. The target's stream
  /// is to be cancelled. Says whether the stream could be parked.
  bool park();

  /// Ends the parked state or a gap, with a stream that starts at the offset
  /// returned. Empty if the stream can't be resumed.
  std::optional<std::uint64_t> resume();

  /// Says whether the whole response was checked and handed on.
  bool isComplete() const {
    return Verified && DeliveredTo == ExpectedLength.value_or(0);
  }

  /// Says whether the stream ended in a fault.
  bool isFaulty() const { return Fault.has_value(); }
  bool isParked() const { return Parked; }
  std::uint64_t deliveredTo() const { return DeliveredTo; }
  std::size_t buffered() const { return Buffer.size(); }

  /// Says whether the target may not send more until bytes were taken.
  bool isWindowFull() const { return AcceptedTo >= WindowEnd; }

  /// Says whether the end has been checked.
  bool isVerified() const { return Verified; }

private:
  StreamResult fail(StreamResult fault);
  StreamResult checkTail();
  void dropBuffer();

  StreamId Id;
  bool Resumable;
  BufferBudget &Budget;
  std::string Buffer;
  std::uint64_t HashSeed = 0;
  base::StreamHash Hash;
  std::uint64_t DeliveredTo = 0;
  std::uint64_t AcceptedTo = 0;
  std::uint64_t WindowEnd = 0;
  std::optional<std::uint64_t> ExpectedLength;
  std::optional<StreamResult> Fault;
  /// Hash of the bytes after DeliveredTo that were dropped after the end had
  /// been checked; they have to arrive again unchanged.
  std::optional<std::uint64_t> TailHash;
  std::uint64_t EndHash = 0;
  bool EndSeen = false;
  bool Verified = false;
  bool Parked = false;
};

} // namespace bergamot::routing

#endif
