#include "libbergamotwire/framecodec.h"

#include "libbergamotbase/error.h"

#include <flatbuffers/flatbuffers.h>

namespace bergamot::wire {

using base::Error;
using base::Step;

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t InitialBuilderBytes = 512;
constexpr int MaxTableDepth = 16;
constexpr int MaxTables = 100000;

std::uint32_t readLength(const char *bytes) {
  std::uint32_t n = 0;
  for (std::size_t i = 0; i < LengthBytes; ++i)
    n |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
         << (8 * i);
  return n;
}

void writeLength(char *bytes, std::uint32_t n) {
  for (std::size_t i = 0; i < LengthBytes; ++i)
    bytes[i] = static_cast<char>((n >> (8 * i)) & 0xff);
}

} // namespace

std::string encodeFrame(const Envelope &message) {
  flatbuffers::FlatBufferBuilder builder(InitialBuilderBytes);
  builder.Finish(fb::Envelope::Pack(builder, &message));
  const std::size_t n = builder.GetSize();
  if (n > MaxFrameBytes)
    throw Error(Step::Dispatch, "",
                "message of " + std::to_string(n) + " bytes exceeds a frame");
  std::string frame(LengthBytes + n, '\0');
  writeLength(frame.data(), static_cast<std::uint32_t>(n));
  std::copy_n(reinterpret_cast<const char *>(builder.GetBufferPointer()), n,
              frame.data() + LengthBytes);
  return frame;
}

Envelope decodeFrame(std::string_view body) {
  const auto *bytes = reinterpret_cast<const std::uint8_t *>(body.data());
  flatbuffers::Verifier verifier(bytes, body.size(), MaxTableDepth, MaxTables);
  if (!fb::VerifyEnvelopeBuffer(verifier))
    throw Error(Step::Connect, "", "frame holds no valid message");
  Envelope message;
  fb::GetEnvelope(bytes)->UnPackTo(&message);
  return message;
}

void FrameDecoder::addBytes(std::string_view bytes) {
  if (ReadOffset > 0 && ReadOffset == Buffer.size()) {
    Buffer.clear();
    ReadOffset = 0;
  } else if (ReadOffset > MaxUnauthenticatedBytes) {
    Buffer.erase(0, ReadOffset);
    ReadOffset = 0;
  }
  Buffer.append(bytes);
}

std::optional<std::string> FrameDecoder::nextFrame() {
  if (Buffer.size() - ReadOffset < LengthBytes)
    return std::nullopt;
  const std::size_t n = readLength(Buffer.data() + ReadOffset);
  if (n == 0 || n > FrameLimitBytes)
    throw Error(Step::Connect, "",
                "frame length " + std::to_string(n) + " is out of bounds");
  if (Buffer.size() - ReadOffset - LengthBytes < n)
    return std::nullopt;
  std::string body = Buffer.substr(ReadOffset + LengthBytes, n);
  ReadOffset += LengthBytes + n;
  return body;
}

} // namespace bergamot::wire
