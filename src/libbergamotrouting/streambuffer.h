#ifndef BERGAMOT_LIBBERGAMOTROUTING_STREAMBUFFER_H
#define BERGAMOT_LIBBERGAMOTROUTING_STREAMBUFFER_H

#include "libbergamotbase/digest.h"
#include "libbergamotrouting/bufferbudget.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::routing {

/// Flow-control window: maximum bytes that a target may have sent beyond what
/// the reader has taken.
inline constexpr std::size_t StreamWindowBytes = std::size_t{32} << 10;

/// Result of adding a chunk or the end of a stream. Repeated means that all of
/// it was accepted before, Ignored that the stream is parked; all but the first
/// three are stream faults. After Gap, the stream can be resumed; after the
/// other faults, the reader may have received wrong bytes.
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

/// Returns the hash of a chunk. It covers the chunk's bytes, its offset and,
/// through the seed, the request that the chunk belongs to.
std::uint64_t chunkHash(std::uint64_t seed, std::uint64_t offset,
                        std::string_view bytes);

/// Buffers response bytes between a target and the reader, which passes them on
/// to the client. A response is complete only if its offsets have no gap and
/// its total length and xxHash64 match, so that a truncated response, a
/// repeated chunk or a chunk of another stream never passes as a complete
/// response.
class StreamBuffer {
public:
  /// The budget must outlive the buffer.
  StreamBuffer(StreamId id, bool resumable, BufferBudget &budget,
               TimePoint now);
  ~StreamBuffer();
  StreamBuffer(const StreamBuffer &) = delete;
  StreamBuffer &operator=(const StreamBuffer &) = delete;

  /// Sets the length announced in the head of the response. The last byte is
  /// then held back until the end has been verified.
  void setExpectedLength(std::uint64_t length) { ExpectedLength = length; }

  /// Sets the seed of the chunk hashes, which is the request's seed.
  void setHashSeed(std::uint64_t seed) { HashSeed = seed; }

  /// Adds bytes at an offset of the response. The hash is their chunkHash().
  /// Each chunk is verified by itself, since the hash in setEnd() doesn't cover
  /// bytes from before the last resume().
  StreamResult addChunk(std::uint64_t offset, std::string_view bytes,
                        std::uint64_t hash);

  /// Adds the end of the response and verifies it. The hash covers the bytes
  /// since the last resume(), as a target that resumes a stream doesn't have
  /// the earlier ones.
  StreamResult setEnd(std::uint64_t totalLength, std::uint64_t hash);

  /// Removes and returns up to maxBytes for the reader. Empty if nothing may be
  /// delivered now.
  std::string take(std::size_t maxBytes, TimePoint now);

  /// Reserves budget for more of the response. Returns the offset up to which
  /// the target may send, if it has increased.
  std::optional<std::uint64_t> extendWindow();

  /// Discards the buffered bytes and releases their budget. The calling code
  /// must cancel the target's stream. Returns whether the stream could be
  /// parked.
  bool park();

  /// Ends the parked state or recovers from a gap. Returns the offset at which
  /// the new stream must start; empty if the stream can't be resumed.
  std::optional<std::uint64_t> resume();

  /// Returns whether the complete response was verified and delivered.
  bool isComplete() const {
    return Verified && DeliveredTo == ExpectedLength.value_or(0);
  }

  /// Returns whether the stream has failed.
  bool isFaulty() const { return Fault.has_value(); }
  bool isParked() const { return Parked; }
  std::uint64_t deliveredTo() const { return DeliveredTo; }
  std::size_t buffered() const { return Buffer.size(); }

  /// Returns whether the target must wait until the reader has taken bytes.
  bool isWindowFull() const { return AcceptedTo >= WindowEnd; }

  /// Returns whether the end has been verified.
  bool isVerified() const { return Verified; }

private:
  StreamResult fail(StreamResult fault);
  StreamResult verifyUndelivered();
  void discardBuffer();

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
  /// Hash of the bytes that were verified but not yet delivered when the stream
  /// was parked. After resume(), the same bytes must arrive again.
  std::optional<std::uint64_t> UndeliveredHash;
  std::uint64_t EndHash = 0;
  bool EndSeen = false;
  bool Verified = false;
  bool Parked = false;
};

} // namespace bergamot::routing

#endif
