#include "libbergamotbase/httpchunksyntax.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace bergamot::base {

namespace {

/// The base of the numbers that state chunk sizes.
constexpr int SizeBase = 16;

std::optional<std::uint64_t> hexDigit(char c) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(&c, &c + 1, value, SizeBase);
  return ec == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace

std::size_t HttpChunkSyntax::push(std::string_view bytes) {
  std::size_t n = 0;
  while (n < bytes.size() && At != State::Complete) {
    if (At == State::Data) {
      const std::size_t taken =
          std::min<std::uint64_t>(BytesLeft, bytes.size() - n);
      BytesLeft -= taken;
      n += taken;
      if (BytesLeft == 0)
        At = State::DataEnd;
      continue;
    }
    At = next(bytes[n]);
    if (At == State::Failed)
      break;
    ++n;
  }
  return n;
}

HttpChunkSyntax::State HttpChunkSyntax::next(char c) {
  switch (At) {
  case State::SizeStart:
  case State::Size:
    return nextInSize(c);
  case State::BlankAfterSize:
    if (c == ';')
      return State::Extension;
    return c == ' ' || c == '\t' ? At : State::Failed;
  case State::Extension:
    if (c == '\r')
      return State::SizeLineEnd;
    return isTextChar(c) ? At : State::Failed;
  case State::SizeLineEnd:
    if (c != '\n')
      return State::Failed;
    return BytesLeft == 0 ? State::Trailer : State::Data;
  case State::DataEnd:
    return c == '\r' ? State::DataLineEnd : State::Failed;
  case State::DataLineEnd:
    return c == '\n' ? State::SizeStart : State::Failed;
  case State::Trailer:
    return nextInTrailer(c);
  case State::Data:
  case State::Complete:
  case State::Failed:
    break;
  }
  return At;
}

HttpChunkSyntax::State HttpChunkSyntax::nextInSize(char c) {
  if (const auto digit = hexDigit(c)) {
    if (BytesLeft > std::numeric_limits<std::uint64_t>::max() / SizeBase)
      return State::Failed;
    BytesLeft = BytesLeft * SizeBase + *digit;
    return State::Size;
  }
  if (At == State::SizeStart)
    return State::Failed;
  if (c == '\r')
    return State::SizeLineEnd;
  if (c == ';')
    return State::Extension;
  return c == ' ' || c == '\t' ? State::BlankAfterSize : State::Failed;
}

HttpChunkSyntax::State HttpChunkSyntax::nextInTrailer(char c) {
  Trailer.push({&c, 1});
  if (Trailer.hasFailed())
    return State::Failed;
  return Trailer.isComplete() ? State::Complete : State::Trailer;
}

} // namespace bergamot::base
