#ifndef BERGAMOT_LIBBERGAMOTWIRE_FRAMECODEC_H
#define BERGAMOT_LIBBERGAMOTWIRE_FRAMECODEC_H

#include <wire_generated.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::wire {

/// A message between daemons in its object form.
using Envelope = fb::EnvelopeT;

/// Largest body of a frame after its length, in bytes.
inline constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/// Largest number of bytes taken from a peer before its proof is verified.
inline constexpr std::size_t MaxUnprovenBytes = 16 * 1024;

/// Returns the message as one frame: a 4-byte little-endian length and the
/// FlatBuffers bytes. Throws Error if it exceeds MaxFrameBytes.
std::string encodeFrame(const Envelope &message);

/// Returns the message of a frame's body. Throws Error if the bytes are no
/// valid message.
Envelope decodeFrame(std::string_view body);

/// Splits a byte stream into frame bodies.
class FrameDecoder {
public:
  explicit FrameDecoder(std::size_t maxFrameBytes = MaxFrameBytes)
      : MaxBytes(maxFrameBytes) {}

  /// Raises the limit once the peer has proven its membership.
  void setMaxFrameBytes(std::size_t bytes) { MaxBytes = bytes; }

  /// Appends received bytes.
  void addBytes(std::string_view bytes);

  /// Removes and returns the next whole frame body, or nothing if more bytes
  /// are needed. Throws Error if a length exceeds the limit or is zero.
  std::optional<std::string> nextFrame();

private:
  std::string Pending;
  std::size_t ReadPosition = 0;
  std::size_t MaxBytes;
};

/// Returns the table of a message, or null if the message is of another type.
template <typename T> const T *payloadAs(const Envelope &message) {
  if (message.payload.type != fb::PayloadUnionTraits<T>::enum_value)
    return nullptr;
  return static_cast<const T *>(message.payload.value);
}

/// Returns a message with this payload and no other field set.
template <typename T> Envelope makeEnvelope(T payload) {
  Envelope message;
  message.payload.Set(std::move(payload));
  return message;
}

} // namespace bergamot::wire

#endif
