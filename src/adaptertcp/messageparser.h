#ifndef BERGAMOT_ADAPTERTCP_MESSAGEPARSER_H
#define BERGAMOT_ADAPTERTCP_MESSAGEPARSER_H

#include "adaptertcp/httpmessage.h"

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamot::adaptertcp {

/// Parses one HTTP/1.1 message at a time from the bytes of a connection. The
/// owner pushes bytes and then asks what is known; the parser stops behind a
/// complete message. Rejects messages whose framing two readers could
/// understand differently: several or conflicting lengths, an unknown transfer
/// coding, line feeds without carriage return in the head, and folded fields.
class MessageParser {
public:
  enum class Kind { Request, Response };

  explicit MessageParser(Kind kind);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Starts with the next message. A response to HEAD has no body.
  void restart(bool bodiless = false);

  /// Parses bytes and returns how many were used; fewer than all only if the
  /// message is complete or has failed.
  std::size_t push(std::string_view bytes);
  /// Says that the connection has ended, which completes a response without
  /// a stated length.
  void finish();

  bool hasStarted() const { return HeadBytes > 0; }
  bool isHeadComplete() const { return HeadComplete; }
  bool isComplete() const { return Complete; }
  bool hasFailed() const { return Failed; }
  /// Returns the bytes of the head so far.
  std::size_t headBytes() const { return HeadBytes; }
  /// Returns the length that the head states; unset for chunks or no length.
  std::optional<std::uint64_t> statedLength() const { return StatedLength; }

  RequestHead &requestHead() { return Request; }
  ResponseHead &responseHead() { return Response; }
  /// Returns the part of the body that has arrived and wasn't taken yet.
  std::string &body() { return Body; }

private:
  static const http_parser_settings &callbacks();
  static MessageParser &self(http_parser *parser);
  static int onTarget(http_parser *parser, const char *at, std::size_t n);
  static int onName(http_parser *parser, const char *at, std::size_t n);
  static int onValue(http_parser *parser, const char *at, std::size_t n);
  static int onHeadComplete(http_parser *parser);
  static int onBody(http_parser *parser, const char *at, std::size_t n);
  static int onComplete(http_parser *parser);

  HeaderFields &headers();
  bool isFramingSound() const;
  bool checkLineEnds(std::string_view bytes);

  Kind MessageKind;
  http_parser Parser{};
  RequestHead Request;
  ResponseHead Response;
  std::string Body;
  std::optional<std::uint64_t> StatedLength;
  std::size_t HeadBytes = 0;
  char LastHeadByte = 0;
  bool InValue = false;
  bool Bodiless = false;
  bool HeadComplete = false;
  bool Complete = false;
  bool Failed = false;
};

} // namespace bergamot::adaptertcp

#endif
