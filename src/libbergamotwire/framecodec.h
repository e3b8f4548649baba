#ifndef BERGAMOT_LIBBERGAMOTWIRE_FRAMECODEC_H
#define BERGAMOT_LIBBERGAMOTWIRE_FRAMECODEC_H

#include <wire_generated.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::wire {

/// A message between daemons, as the FlatBuffers object API represents it.
using Envelope = fb::EnvelopeT;

/// Maximum size of the body of a frame, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/// Maximum size of the body of a frame from a peer that has not authenticated
/// itself yet.
inline constexpr std::size_t MaxUnauthenticatedBytes = 16 * 1024;

/// Encodes a message as a frame: a 4-byte little-endian length, followed by the
/// FlatBuffers bytes. Throws Error if these exceed MaxFrameBytes.
std::string encodeFrame(const Envelope &message);

/// Decodes the body of a frame. Throws Error if it is not a valid message.
Envelope decodeFrame(std::string_view body);

/// Splits a byte stream into frame bodies.
class FrameDecoder {
public:
  explicit FrameDecoder(std::size_t maxFrameBytes = MaxFrameBytes)
      : FrameLimitBytes(maxFrameBytes) {}

  /// Sets the maximum size of a frame body. The limit is raised once the peer
  /// has authenticated itself.
  void setMaxFrameBytes(std::size_t bytes) { FrameLimitBytes = bytes; }

  /// Appends received bytes.
  void addBytes(std::string_view bytes);

  /// Removes and returns the next complete frame body, or nothing if more bytes
  /// are needed. Throws Error if a frame length is zero or exceeds the limit.
  std::optional<std::string> nextFrame();

private:
  std::string Buffer;
  std::size_t ReadOffset = 0;
  std::size_t FrameLimitBytes;
};

/// Returns the payload of a message, or null if it is of another type.
template <typename T> const T *payloadAs(const Envelope &message) {
  if (message.payload.type != fb::PayloadUnionTraits<T>::enum_value)
    return nullptr;
  return static_cast<const T *>(message.payload.value);
}

/// Returns a message with the given payload and all other fields at their
/// defaults.
template <typename T> Envelope makeEnvelope(T payload) {
  Envelope message;
  message.payload.Set(std::move(payload));
  return message;
}

} // namespace bergamot::wire

#endif
