#include "adaptertcp/messageparser.h"

#include <algorithm>
#include <limits>

namespace bergamot::adaptertcp {

namespace {

/// Bytes of a field besides its name and value: colon, space and CRLF.
constexpr std::size_t FieldOverhead = 4;

base::HttpHeadSyntax makeHeadSyntax(MessageParser::Kind kind) {
  using Beginning = base::HttpHeadSyntax::Beginning;
  return base::HttpHeadSyntax(kind == MessageParser::Kind::Request
                                  ? Beginning::Request
                                  : Beginning::Response);
}

} // namespace

MessageParser::MessageParser(Kind kind)
    : MessageKind(kind), HeadSyntax(makeHeadSyntax(kind)) {
  restart();
}

void MessageParser::restart(bool bodiless) {
  http_parser_init(&Parser,
                   MessageKind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  Request = {};
  Response = {};
  Body.clear();
  ContentLength.reset();
  HeadBytes = 0;
  HeadSyntax = makeHeadSyntax(MessageKind);
  Chunks.reset();
  InFieldValue = false;
  Bodiless = bodiless;
  EndsWithConnection = false;
  HeadComplete = false;
  Complete = false;
  Failed = false;
}

MessageParser &MessageParser::fromParser(http_parser *parser) {
  return *static_cast<MessageParser *>(parser->data);
}

HeaderFields &MessageParser::headers() {
  return MessageKind == Kind::Request ? Request.Headers : Response.Headers;
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_url = onTarget;
    it.on_header_field = onName;
    it.on_header_value = onValue;
    it.on_headers_complete = onHeadComplete;
    it.on_body = onBody;
    it.on_message_complete = onComplete;
    return it;
  }();
  return settings;
}

std::size_t MessageParser::push(std::string_view bytes) {
  std::size_t n = 0;
  if (!HeadComplete)
    n = pushHead(bytes);
  if (HeadComplete)
    n += pushBody(bytes.substr(n));
  return n;
}

/// Parses bytes up to the end of the head. Returns the number consumed.
std::size_t MessageParser::pushHead(std::string_view bytes) {
  if (Failed || bytes.empty())
    return 0;
  const std::size_t headBytes = HeadSyntax.push(bytes);
  if (HeadSyntax.hasFailed()) {
    Failed = true;
    return 0;
  }
  const std::size_t n = execute(bytes.substr(0, headBytes));
  if (!HeadComplete)
    HeadBytes += n;
  return n;
}

/// Parses bytes up to the end of the body. Returns the number consumed.
std::size_t MessageParser::pushBody(std::string_view bytes) {
  if (Failed || Complete || bytes.empty())
    return 0;
  if (!Chunks)
    return execute(bytes);
  const std::size_t n = execute(bytes.substr(0, Chunks->push(bytes)));
  Failed = Failed || Chunks->hasFailed();
  return n;
}

std::size_t MessageParser::execute(std::string_view bytes) {
  // http_parser takes no bytes for the end of the connection.
  if (bytes.empty())
    return 0;
  const std::size_t n =
      http_parser_execute(&Parser, &callbacks(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&Parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    Failed = true;
  // On a protocol upgrade, http_parser stops after the head.
  if (Parser.upgrade != 0 && MessageKind == Kind::Request)
    Failed = true;
  return n;
}

void MessageParser::finish() {
  if (Failed || Complete)
    return;
  (void)http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  const http_errno error = HTTP_PARSER_ERRNO(&Parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    Failed = true;
}

int MessageParser::onTarget(http_parser *parser, const char *at,
                            std::size_t n) {
  fromParser(parser).Request.Target.append(at, n);
  return 0;
}

int MessageParser::onName(http_parser *parser, const char *at, std::size_t n) {
  MessageParser &it = fromParser(parser);
  if (it.HeadComplete)
    return 0; // Trailer fields are ignored.
  auto &fields = it.headers().fields();
  if (it.InFieldValue || fields.empty()) {
    fields.emplace_back();
    it.InFieldValue = false;
  }
  fields.back().Name.append(at, n);
  return 0;
}

int MessageParser::onValue(http_parser *parser, const char *at, std::size_t n) {
  MessageParser &it = fromParser(parser);
  if (it.HeadComplete)
    return 0;
  it.InFieldValue = true;
  it.headers().fields().back().Value.append(at, n);
  return 0;
}

bool MessageParser::isFramingValid() const {
  const HeaderFields &fields =
      MessageKind == Kind::Request ? Request.Headers : Response.Headers;
  const std::size_t lengths = fields.count("Content-Length");
  const std::size_t codings = fields.count("Transfer-Encoding");
  if (lengths + codings > 1)
    return false;
  return codings == 0 ||
         equalsIgnoreCase(*fields.value("Transfer-Encoding"), "chunked");
}

int MessageParser::onHeadComplete(http_parser *parser) {
  MessageParser &it = fromParser(parser);
  it.HeadComplete = true;
  it.HeadBytes = it.Request.Target.size();
  for (const auto &field : it.headers().fields())
    it.HeadBytes += field.Name.size() + field.Value.size() + FieldOverhead;
  it.HeadBytes = std::max<std::size_t>(it.HeadBytes, 1);
  if (parser->http_major != 1 || !it.isFramingValid())
    return -1;
  const bool hasLength =
      parser->content_length != std::numeric_limits<std::uint64_t>::max() &&
      (parser->flags & F_CHUNKED) == 0;
  if (hasLength)
    it.ContentLength = parser->content_length;
  if ((parser->flags & F_CHUNKED) != 0)
    it.Chunks.emplace();
  const bool keepAlive = http_should_keep_alive(parser) != 0;
  if (it.MessageKind == Kind::Request) {
    it.Request.Method =
        http_method_str(static_cast<http_method>(parser->method));
    it.Request.KeepAlive = keepAlive;
    return 0;
  }
  it.Response.Status = static_cast<int>(parser->status_code);
  it.Response.KeepAlive = keepAlive;
  it.Response.Length = it.ContentLength;
  // Whatever the fields say (RFC 9112, 6.3).
  const bool endsWithHead = it.Bodiless || !mayHaveBody(it.Response.Status);
  const bool isChunked = (parser->flags & F_CHUNKED) != 0;
  it.EndsWithConnection = !endsWithHead && !hasLength && !isChunked;
  // The body that a 204 must not state may still be in transit.
  if (it.Response.Status == HTTP_STATUS_NO_CONTENT &&
      (isChunked || it.ContentLength.value_or(0) > 0))
    it.Response.KeepAlive = false;
  return endsWithHead ? 1 : 0;
}

int MessageParser::onBody(http_parser *parser, const char *at, std::size_t n) {
  fromParser(parser).Body.append(at, n);
  return 0;
}

int MessageParser::onComplete(http_parser *parser) {
  fromParser(parser).Complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

} // namespace bergamot::adaptertcp
