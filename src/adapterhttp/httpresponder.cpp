#include "adapterhttp/httpresponder.h"

#include "adapterhttp/serversocket.h"

#include <civetweb.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace bergamot::adapterhttp {

namespace {

/// A socket that poll() reports as writable accepts at least this much, so
/// that CivetWeb never waits by itself: it would wait 2 s at a time.
constexpr std::size_t LargestWriteBytes = 16 * 1024;

/// Time for the final chunk if the deadline of the response has passed.
constexpr std::chrono::seconds FramingTimeout{1};

bool isFramingHeader(const std::string &name) {
  constexpr std::array<const char *, 3> Names = {
      "Content-Length", "Transfer-Encoding", "Connection"};
  return std::any_of(Names.begin(), Names.end(), [&](const char *it) {
    return strcasecmp(it, name.c_str()) == 0;
  });
}

/// Returns whether the text could end its line and so add headers of its own.
bool hasLineBreak(const std::string &text) {
  return text.find_first_of("\r\n") != std::string::npos;
}

bool isHeadRequest(const mg_connection *connection) {
  return std::strcmp(mg_get_request_info(connection)->request_method, "HEAD") ==
         0;
}

bool acceptsChunks(const mg_connection *connection) {
  const char *version = mg_get_request_info(connection)->http_version;
  return version && std::strcmp(version, "1.1") == 0;
}

} // namespace

HttpResponder::HttpResponder(mg_connection *connection, int socket,
                             bool keepAlive)
    : Connection(connection), Socket(socket), KeepAlive(keepAlive) {}

void HttpResponder::start(int status, const std::vector<HttpHeader> &headers,
                          std::optional<std::size_t> contentLength,
                          base::TimePoint deadline) {
  Started = true;
  Status = status;
  bool bodiless = status < 200 || status == 204 || status == 304;
  WithoutBody = bodiless || isHeadRequest(Connection);
  BytesLeft = contentLength;
  Chunked = !contentLength && !bodiless && acceptsChunks(Connection);
  if (!contentLength && !Chunked && !bodiless)
    KeepAlive = false;
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reasonPhrase(status)).append("\r\n");
  for (const HttpHeader &it : headers)
    if (!isFramingHeader(it.Name) && !hasLineBreak(it.Name) &&
        !hasLineBreak(it.Value))
      head.append(it.Name).append(": ").append(it.Value).append("\r\n");
  if (contentLength && !bodiless)
    head.append("Content-Length: ")
        .append(std::to_string(*contentLength))
        .append("\r\n");
  if (Chunked)
    head.append("Transfer-Encoding: chunked\r\n");
  head.append(KeepAlive ? "Connection: keep-alive\r\n\r\n"
                        : "Connection: close\r\n\r\n");
  PendingHead = std::move(head);
  LastDeadline = deadline;
  if (!contentLength)
    send(takeHead({}), deadline);
}

std::string HttpResponder::takeHead(std::string_view bytes) {
  std::string all = std::exchange(PendingHead, {});
  all.append(bytes);
  return all;
}

bool HttpResponder::write(std::string_view bytes, base::TimePoint deadline) {
  if (!Started || Failed || Finished)
    return false;
  LastDeadline = deadline;
  if (bytes.empty())
    return true;
  if (BytesLeft) {
    if (bytes.size() > *BytesLeft) {
      Failed = true;
      return false;
    }
    *BytesLeft -= bytes.size();
  }
  if (WithoutBody)
    return true;
  if (!Chunked)
    return PendingHead.empty() ? send(bytes, deadline)
                               : send(takeHead(bytes), deadline);
  std::array<char, 20> size{};
  auto [end, ec] =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string chunk = takeHead({size.data(), end});
  chunk.append("\r\n").append(bytes).append("\r\n");
  return send(chunk, deadline);
}

void HttpResponder::finish() {
  if (!Started || Finished)
    return;
  auto deadline =
      std::max(LastDeadline, base::TimePoint::clock::now() + FramingTimeout);
  if (!PendingHead.empty())
    send(takeHead({}), deadline);
  if (Chunked && !WithoutBody)
    send("0\r\n\r\n", deadline);
  if (BytesLeft && *BytesLeft != 0 && !WithoutBody)
    Failed = true;
  Finished = !Failed;
  if (!Finished || !KeepAlive)
    mg_disable_connection_keep_alive(Connection);
}

void HttpResponder::respond(int status, const std::vector<HttpHeader> &headers,
                            std::string_view body, base::TimePoint deadline) {
  start(status, headers, body.size(), deadline);
  write(body, deadline);
  finish();
}

void HttpResponder::drop() {
  Started = true;
  Failed = true;
  PendingHead.clear();
}

bool HttpResponder::isClientGone() const {
  return Failed || isPeerGone(Socket);
}

bool HttpResponder::send(std::string_view bytes, base::TimePoint deadline) {
  while (!bytes.empty() && !Failed) {
    if (!waitWritable(Socket, deadline)) {
      Failed = true;
      break;
    }
    auto n = mg_write(Connection, bytes.data(),
                      std::min(bytes.size(), LargestWriteBytes));
    if (n < 0)
      Failed = true;
    else
      bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return !Failed;
}

} // namespace bergamot::adapterhttp
