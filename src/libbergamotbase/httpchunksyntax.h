#ifndef BERGAMOT_LIBBERGAMOTBASE_HTTPCHUNKSYNTAX_H
#define BERGAMOT_LIBBERGAMOTBASE_HTTPCHUNKSYNTAX_H

#include "libbergamotbase/httpheadsyntax.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bergamot::base {

/// Checks the framing of a body in the chunked coding (RFC 9112, 7.1) as it
/// arrives. http_parser skips the bytes where the line ending of a chunk has to
/// be, whatever they are, and so accepts chunks whose size is wrong.
class HttpChunkSyntax {
public:
  /// Checks further bytes, up to the end of the body. Returns how many of them
  /// belong to the body; if that is where it fails, the next one doesn't.
  std::size_t push(std::string_view bytes);

  bool hasFailed() const { return At == State::Failed; }

private:
  enum class State {
    SizeStart,
    Size,
    BlankAfterSize,
    Extension,
    SizeLineEnd,
    Data,
    DataEnd,
    DataLineEnd,
    Trailer,
    Complete,
    Failed,
  };

  State next(char c);
  State nextInSize(char c);
  State nextInTrailer(char c);

  State At = State::SizeStart;
  /// The size of the current chunk, then what is left of its data, in bytes.
  std::uint64_t BytesLeft = 0;
  HttpHeadSyntax Trailer{HttpHeadSyntax::Beginning::Fields};
};

} // namespace bergamot::base

#endif
