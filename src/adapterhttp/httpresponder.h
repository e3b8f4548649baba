#ifndef BERGAMOT_ADAPTERHTTP_HTTPRESPONDER_H
#define BERGAMOT_ADAPTERHTTP_HTTPRESPONDER_H

#include "adapterhttp/httpmessage.h"
#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;

namespace bergamot::adapterhttp {

/// Sends the response to one request. Used by the handler's thread only.
class HttpResponder {
public:
  /// The socket is the descriptor that carries the connection. With keepAlive
  /// the connection stays open after a finished response.
  HttpResponder(mg_connection *connection, int socket, bool keepAlive);
  HttpResponder(const HttpResponder &) = delete;
  HttpResponder &operator=(const HttpResponder &) = delete;

  /// Starts the response. Without a content length it is sent in chunks and
  /// the head goes out at once, by the deadline; with one, the head goes out
  /// with the first bytes. Content-Length, Transfer-Encoding and Connection are
  /// set here and ignored among the headers, as are headers with a line break.
  void start(int status, const std::vector<HttpHeader> &headers,
             std::optional<std::size_t> contentLength,
             base::TimePoint deadline);

  /// Sends bytes of the body. Returns false if the client is gone, the
  /// deadline has passed, or more bytes than the content length were given;
  /// the connection is then closed after the handler returns.
  bool write(std::string_view bytes, base::TimePoint deadline);

  /// Ends the response. Without it, or if fewer bytes than the content length
  /// were written, the connection is closed so that the client can tell that
  /// the response was cut.
  void finish();

  /// Sends a complete response.
  void respond(int status, const std::vector<HttpHeader> &headers,
               std::string_view body, base::TimePoint deadline);

  /// Cuts the response, or closes the connection without one. Nothing can be
  /// sent after it.
  void drop();

  /// Returns whether the client has closed the connection or its sending
  /// side.
  bool isClientGone() const;

  /// Returns whether start() was called.
  bool isStarted() const { return Started; }

  /// Returns whether the response was sent completely.
  bool isFinished() const { return Finished; }

  /// Returns the status given to start(), or 0.
  int status() const { return Status; }

private:
  bool send(std::string_view bytes, base::TimePoint deadline);
  std::string takeHead(std::string_view bytes);

  mg_connection *Connection;
  int Socket;
  bool KeepAlive;
  bool Started = false;
  bool Finished = false;
  bool Failed = false;
  bool Chunked = false;
  bool WithoutBody = false;
  int Status = 0;
  std::optional<std::size_t> BytesLeft;
  std::string PendingHead;
  base::TimePoint LastDeadline;
};

} // namespace bergamot::adapterhttp

#endif
