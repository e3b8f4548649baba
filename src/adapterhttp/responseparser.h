#ifndef BERGAMOT_ADAPTERHTTP_RESPONSEPARSER_H
#define BERGAMOT_ADAPTERHTTP_RESPONSEPARSER_H

#include "adapterhttp/httpmessage.h"
#include "libbergamotbase/httpchunksyntax.h"
#include "libbergamotbase/httpheadsyntax.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterhttp {

/// Parses the final HTTP response to a request from bytes that arrive in
/// pieces, and skips interim responses before it. It refuses responses that
/// HTTP doesn't allow.
class ResponseParser {
public:
  /// A response to HEAD has no body whatever its headers say.
  explicit ResponseParser(bool isHead);
  ~ResponseParser();
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;

  /// Takes further bytes. Returns an empty string or what is wrong with them.
  std::string add(std::string_view bytes);

  /// Takes the end of the connection. Returns an empty string, or what is
  /// missing from the response.
  std::string addEnd();

  bool isHeadComplete() const;
  bool isComplete() const;

  /// Returns whether the connection can carry another request.
  bool keepsAlive() const;
  int status() const;
  const std::vector<HttpHeader> &headers() const;

  /// Returns the number of body bytes parsed and not taken yet.
  std::size_t availableBytes() const;

  /// Removes and returns at most that many bytes of the body.
  std::string takeBody(std::size_t most);

private:
  class Impl;

  std::string parse(std::string_view bytes);
  std::string skipInterim();

  const bool IsHead;
  std::unique_ptr<Impl> Parser;
  base::HttpHeadSyntax HeadSyntax;
  /// Used if the body is chunked.
  base::HttpChunkSyntax ChunkSyntax;
  /// Bytes that the parser has not consumed yet, e.g. half of a header line, or
  /// that follow the response.
  std::string Unparsed;
  /// Bytes of the interim responses so far.
  std::size_t InterimBytes = 0;
};

} // namespace bergamot::adapterhttp

#endif
