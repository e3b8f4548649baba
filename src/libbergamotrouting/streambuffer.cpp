#include "libbergamotrouting/streambuffer.h"

#include <algorithm>

namespace bergamot::routing {

std::uint64_t chunkHash(std::uint64_t seed, std::uint64_t offset,
                        std::string_view bytes) {
  const std::string position = std::to_string(offset);
  return base::xxHash64(bytes, base::xxHash64(position, seed));
}

StreamBuffer::StreamBuffer(StreamId id, bool resumable, BufferBudget &budget,
                           TimePoint now)
    : Id(id), Resumable(resumable), Budget(budget) {
  Budget.addStream(Id, resumable, now);
}

StreamBuffer::~StreamBuffer() { Budget.removeStream(Id); }

StreamResult StreamBuffer::addChunk(std::uint64_t offset,
                                    std::string_view bytes,
                                    std::uint64_t hash) {
  if (Fault)
    return *Fault;
  if (Parked)
    return StreamResult::Ignored;
  if (hash != chunkHash(HashSeed, offset, bytes))
    return fail(StreamResult::HashMismatch);
  if (offset > AcceptedTo)
    return fail(StreamResult::Gap);
  // Bytes that were already accepted are dropped; the hash covers the first
  // copy.
  const std::uint64_t alreadyAccepted = AcceptedTo - offset;
  if (alreadyAccepted >= bytes.size())
    return StreamResult::Repeated;
  bytes.remove_prefix(alreadyAccepted);
  if (ExpectedLength && AcceptedTo + bytes.size() > *ExpectedLength)
    return fail(StreamResult::PastEnd);
  if (AcceptedTo + bytes.size() > WindowEnd)
    return fail(StreamResult::WindowExceeded);
  // Without this, the string would double its capacity beyond the window.
  if (Buffer.capacity() < Buffer.size() + bytes.size())
    Buffer.reserve(
        std::min(StreamWindowBytes, 2 * (Buffer.size() + bytes.size())));
  Buffer.append(bytes);
  AcceptedTo += bytes.size();
  if (UndeliveredHash && AcceptedTo == *ExpectedLength)
    return verifyUndelivered();
  return StreamResult::Accepted;
}

StreamResult StreamBuffer::setEnd(std::uint64_t totalLength,
                                  std::uint64_t hash) {
  if (Fault)
    return *Fault;
  if (Parked)
    return StreamResult::Ignored;
  if (totalLength != AcceptedTo ||
      (ExpectedLength && totalLength != *ExpectedLength))
    return fail(StreamResult::LengthMismatch);
  if (EndSeen)
    return hash == EndHash ? StreamResult::Repeated
                           : fail(StreamResult::HashMismatch);
  Hash.add(Buffer);
  if (Hash.value() != hash)
    return fail(StreamResult::HashMismatch);
  ExpectedLength = totalLength;
  EndHash = hash;
  EndSeen = Verified = true;
  Budget.release(Id, WindowEnd - AcceptedTo);
  WindowEnd = AcceptedTo;
  return StreamResult::Accepted;
}

std::string StreamBuffer::take(std::size_t maxBytes, TimePoint now) {
  std::size_t n = std::min(maxBytes, Buffer.size());
  if (!Verified && ExpectedLength && DeliveredTo + n >= *ExpectedLength &&
      n > 0)
    n = static_cast<std::size_t>(*ExpectedLength - DeliveredTo) - 1;
  if (Fault || Parked || UndeliveredHash || n == 0)
    return {};
  std::string bytes = Buffer.substr(0, n);
  Buffer.erase(0, n);
  if (!EndSeen)
    Hash.add(bytes);
  DeliveredTo += n;
  Budget.release(Id, n);
  Budget.recordRead(Id, now);
  return bytes;
}

std::optional<std::uint64_t> StreamBuffer::extendWindow() {
  if (Fault || Parked || Verified)
    return std::nullopt;
  std::uint64_t end = DeliveredTo + StreamWindowBytes;
  if (ExpectedLength)
    end = std::min(end, *ExpectedLength);
  if (end <= WindowEnd)
    return std::nullopt;
  const std::size_t n = Budget.reserve(Id, end - WindowEnd);
  WindowEnd += n;
  return n == 0 ? std::nullopt : std::optional(WindowEnd);
}

bool StreamBuffer::park() {
  if (!Resumable || Parked || (Fault && *Fault != StreamResult::Gap))
    return false;
  if (Verified && Buffer.empty())
    return false;
  if (Verified) {
    UndeliveredHash = base::xxHash64(Buffer);
    Verified = false;
  }
  discardBuffer();
  Parked = true;
  return true;
}

std::optional<std::uint64_t> StreamBuffer::resume() {
  if (!Parked && !(Resumable && Fault == StreamResult::Gap))
    return std::nullopt;
  if (!Parked)
    discardBuffer();
  Parked = false;
  Fault.reset();
  Hash.reset();
  EndSeen = false;
  return DeliveredTo;
}

StreamResult StreamBuffer::fail(StreamResult fault) {
  Fault = fault;
  return fault;
}

StreamResult StreamBuffer::verifyUndelivered() {
  if (base::xxHash64(Buffer) != *UndeliveredHash)
    return fail(StreamResult::HashMismatch);
  UndeliveredHash.reset();
  Verified = true;
  return StreamResult::Accepted;
}

void StreamBuffer::discardBuffer() {
  Budget.release(Id, WindowEnd - DeliveredTo);
  Buffer.clear();
  Buffer.shrink_to_fit();
  AcceptedTo = WindowEnd = DeliveredTo;
}

} // namespace bergamot::routing
