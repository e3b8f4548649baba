#include "adapterhttp/responseparser.h"

#include "libbergamotbase/httpheadsyntax.h"
#include "libbergamotbase/responsestatus.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>

namespace bergamot::adapterhttp {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

namespace {

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
/// Limit on the bytes of interim responses, since a faulty peer may send them
/// without end.
constexpr std::size_t MaxInterimBytes = 256 * 1024;

} // namespace

/// Parses one response, interim or final.
class ResponseParser::Impl : public http::basic_parser<false> {
public:
  explicit Impl(bool isHead) {
    eager(true);
    skip(isHead);
    header_limit(MaxHeadBytes);
    // Callers bound what they read. boost::none refuses every body here.
    body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  bool isInterim() const { return base::isInterimStatus(Status); }

  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  std::size_t Taken = 0;

protected:
  void on_request_impl(http::verb, string_view, string_view, int,
                       error_code &) override {}
  void on_response_impl(int code, string_view, int, error_code &) override {
    Status = code;
  }
  void on_field_impl(http::field, string_view name, string_view value,
                     error_code &) override {
    Headers.push_back({std::string(name), std::string(value)});
  }
  void on_header_impl(error_code &ec) override {
    // Beast passes on a body in any other coding as it comes.
    const auto *coding = findHeader(Headers, "Transfer-Encoding");
    if (coding && !boost::beast::iequals(*coding, "chunked"))
      ec = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         error_code &) override {}
  std::size_t on_body_impl(string_view body, error_code &) override {
    Body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override {
  }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view body,
                                 error_code &) override {
    Body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code &) override {}
};

ResponseParser::ResponseParser(bool isHead)
    : IsHead(isHead), Parser(std::make_unique<Impl>(isHead)),
      HeadSyntax(base::HttpHeadSyntax::Beginning::Response) {}

ResponseParser::~ResponseParser() = default;

std::string ResponseParser::add(std::string_view bytes) {
  std::string problem;
  while (problem.empty() && !bytes.empty() && !isComplete()) {
    std::size_t n = bytes.size();
    if (!HeadSyntax.isComplete())
      n = HeadSyntax.push(bytes);
    else if (Parser->chunked())
      n = ChunkSyntax.push(bytes);
    if (HeadSyntax.hasFailed())
      return "malformed response: HTTP doesn't allow such a head";
    if (ChunkSyntax.hasFailed())
      return "malformed response: the body isn't in chunks";
    problem = parse(bytes.substr(0, n));
    bytes.remove_prefix(n);
    if (problem.empty() && Parser->is_done() && Parser->isInterim())
      problem = skipInterim();
  }
  Unparsed.append(bytes);
  return problem;
}

/// Passes bytes to Beast, which keeps none of them. Returns an empty string or
/// what is wrong with them.
std::string ResponseParser::parse(std::string_view bytes) {
  Unparsed.append(bytes);
  std::size_t used = 0;
  while (used < Unparsed.size() && !Parser->is_done()) {
    error_code ec;
    used += Parser->put(
        boost::asio::buffer(Unparsed.data() + used, Unparsed.size() - used),
        ec);
    if (ec == http::error::need_more)
      break;
    if (ec)
      return "malformed response: " + ec.message();
  }
  Unparsed.erase(0, used);
  InterimBytes += Parser->isInterim() ? used : 0;
  // Beast limits the head, but neither chunk extensions nor trailers.
  if (!Parser->is_done() && Unparsed.size() > MaxHeadBytes)
    return "malformed response: a chunk's line or a trailer is too long";
  return "";
}

/// Prepares for the response that follows an interim one. Returns an empty
/// string, or that there were too many.
std::string ResponseParser::skipInterim() {
  if (InterimBytes > MaxInterimBytes)
    return "malformed response: interim responses without end";
  Parser = std::make_unique<Impl>(IsHead);
  HeadSyntax = base::HttpHeadSyntax(base::HttpHeadSyntax::Beginning::Response);
  return "";
}

std::string ResponseParser::addEnd() {
  error_code ec;
  if (!Parser->is_done()) {
    if (Parser->got_some())
      Parser->put_eof(ec);
    else
      ec = http::error::end_of_stream;
  }
  return ec ? "the connection ended inside the response" : "";
}

bool ResponseParser::isHeadComplete() const { return Parser->is_header_done(); }

bool ResponseParser::isComplete() const { return Parser->is_done(); }

bool ResponseParser::keepsAlive() const {
  return Parser->is_done() && Unparsed.empty() && Parser->keep_alive();
}

int ResponseParser::status() const { return Parser->Status; }

const std::vector<HttpHeader> &ResponseParser::headers() const {
  return Parser->Headers;
}

std::size_t ResponseParser::availableBytes() const {
  return Parser->Body.size() - Parser->Taken;
}

std::string ResponseParser::takeBody(std::size_t most) {
  std::string taken = Parser->Body.substr(Parser->Taken, most);
  Parser->Taken += taken.size();
  if (Parser->Taken == Parser->Body.size()) {
    Parser->Body.clear();
    Parser->Taken = 0;
  }
  return taken;
}

} // namespace bergamot::adapterhttp
