#ifndef BERGAMOT_ENTRYPATH_CALLERCONNECTION_H
#define BERGAMOT_ENTRYPATH_CALLERCONNECTION_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "libbergamotbase/timetypes.h"

#include <memory>
#include <string>

namespace bergamot::entrypath {

class Entry;
class Exchange;

/// One caller's connection. Reads one request at a time, writes its response,
/// and buffers pipelined bytes until that response is complete.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(Entry &entry, adaptertcp::TcpConnection::Socket socket);
  ~CallerConnection();

  void start();

  /// Sends a complete response. The response to HEAD has the length in the
  /// head.
  void respond(const adaptertcp::ResponseHead &head, std::string_view body);
  /// Sends a response head; the body follows in sendBody() calls. Without a
  /// length the body is sent in chunked encoding. Nothing follows the head of a
  /// response that has no body.
  void beginResponse(const adaptertcp::ResponseHead &head);
  void sendBody(std::string_view bytes);
  /// Completes a response started with beginResponse().
  void endResponse();
  /// Closes the connection before the response is complete, so that the caller
  /// can tell that it is truncated.
  void abortResponse();

  /// Returns the bytes received of an incomplete request.
  std::size_t uploadBytes() const { return UploadBytes; }
  /// Rejects the incomplete request, as all of them together are too large.
  void rejectUpload();
  std::size_t unsentBytes() const { return Connection->unsentBytes(); }
  bool hasUnreadData() const { return Connection->hasUnreadData(); }
  /// Closes the connection if the caller has exceeded its header or idle
  /// timeout.
  void checkTimeouts(base::TimePoint now);
  /// Closes the connection unless a request is in progress or partly read.
  void closeIfIdle();
  /// Handles a suspension of the process, see Entry::checkSuspension().
  /// `missedTime` is the part of the suspension that the monotonic clock didn't
  /// count.
  void handleSuspension(base::Duration missedTime);
  /// Aborts the request in progress if its prompt is blocked.
  void abortBlockedRequest();
  /// Ends the request in progress, see Exchange::endUnserved().
  void endRequest(const char *reason);
  /// Closes the connection and aborts its request.
  void disconnect();
  bool isIdle() const;

private:
  void onData(std::string_view bytes);
  void onClose();
  bool isBlocked() const;
  void resume();
  void parse();
  void reject(int status);
  void setUploadBytes(std::size_t n);
  void onRequestComplete();
  bool hasBody(const adaptertcp::ResponseHead &head) const;
  void setReadDeadline();
  void finishExchange();
  void closeAfterSending();

  Entry &Owner;
  std::shared_ptr<adaptertcp::TcpConnection> Connection;
  adaptertcp::MessageParser Parser{adaptertcp::MessageParser::Kind::Request};
  std::string Input;
  std::shared_ptr<Exchange> CurrentExchange;
  /// When the first byte of the current request arrived.
  base::TimePoint RequestStartedAt;
  base::TimePoint LastActiveAt;
  std::size_t UploadBytes = 0;
  /// Bytes received of the current request's body, with chunk framing and
  /// trailers, but without those that came together with the head.
  std::size_t BodyWireBytes = 0;
  bool KeepAlive = true;
  bool Chunked = false;
  bool HeadRequested = false;
  /// The response in progress has no body.
  bool WithoutBody = false;
  bool Sent100Continue = false;
  bool Closed = false;
};

} // namespace bergamot::entrypath

#endif
