#ifndef BERGAMOT_ADAPTERTCP_MESSAGEPARSER_H
#define BERGAMOT_ADAPTERTCP_MESSAGEPARSER_H

#include "adaptertcp/httpmessage.h"
#include "libbergamotbase/httpchunksyntax.h"
#include "libbergamotbase/httpheadsyntax.h"

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamot::adaptertcp {

/// Incremental parser for the HTTP/1.1 messages of a connection, one message at
/// a time. The owner pushes bytes and then queries the state; the parser stops
/// after a complete message. It rejects messages that HTTP doesn't allow and
/// those whose framing other implementations could interpret differently, which
/// prevents request smuggling: heads and chunks with the wrong syntax, multiple
/// or conflicting lengths, and an unknown transfer coding.
class MessageParser {
public:
  enum class Kind { Request, Response };

  explicit MessageParser(Kind kind);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Resets the parser for the next message. Set `bodiless` for the response to
  /// a HEAD request.
  void restart(bool bodiless = false);

  /// Parses bytes and returns the number consumed, which is less than the size
  /// only if the message is complete or malformed.
  std::size_t push(std::string_view bytes);
  /// Signals the end of the connection, which completes a response without a
  /// Content-Length.
  void finish();

  bool hasStarted() const { return HeadBytes > 0; }
  bool isHeadComplete() const { return HeadComplete; }
  bool isComplete() const { return Complete; }
  bool hasFailed() const { return Failed; }
  /// Returns the size in bytes of the head received so far.
  std::size_t headBytes() const { return HeadBytes; }
  /// Returns the Content-Length; unset if the body is chunked or there is no
  /// such field.
  std::optional<std::uint64_t> contentLength() const { return ContentLength; }

  /// Returns whether only the end of the connection shows where the body ends.
  bool endsWithConnection() const { return EndsWithConnection; }

  RequestHead &requestHead() { return Request; }
  ResponseHead &responseHead() { return Response; }
  /// Returns the received part of the body. The owner may remove what it has
  /// processed.
  std::string &body() { return Body; }

private:
  static const http_parser_settings &callbacks();
  static MessageParser &fromParser(http_parser *parser);
  static int onTarget(http_parser *parser, const char *at, std::size_t n);
  static int onName(http_parser *parser, const char *at, std::size_t n);
  static int onValue(http_parser *parser, const char *at, std::size_t n);
  static int onHeadComplete(http_parser *parser);
  static int onBody(http_parser *parser, const char *at, std::size_t n);
  static int onComplete(http_parser *parser);

  HeaderFields &headers();
  bool isFramingValid() const;
  std::size_t pushHead(std::string_view bytes);
  std::size_t pushBody(std::string_view bytes);
  std::size_t execute(std::string_view bytes);

  Kind MessageKind;
  http_parser Parser{};
  RequestHead Request;
  ResponseHead Response;
  std::string Body;
  std::optional<std::uint64_t> ContentLength;
  std::size_t HeadBytes = 0;
  base::HttpHeadSyntax HeadSyntax;
  /// Set if the body is chunked.
  std::optional<base::HttpChunkSyntax> Chunks;
  bool InFieldValue = false;
  bool Bodiless = false;
  bool EndsWithConnection = false;
  bool HeadComplete = false;
  bool Complete = false;
  bool Failed = false;
};

} // namespace bergamot::adaptertcp

#endif
