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

/// One caller's connection. Reads one request at a time, keeps what follows
/// it until its response is complete, and writes the response.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(Entry &entry, adaptertcp::TcpConnection::Socket socket);
  ~CallerConnection();

  void start();

  /// Sends a whole response.
  void respond(const adaptertcp::ResponseHead &head, std::string_view body);
  /// Starts a response whose body follows in parts. Without a length, the
  /// body is sent in chunks.
  void beginResponse(const adaptertcp::ResponseHead &head);
  void sendBody(std::string_view bytes);
  /// Ends a response whose body was sent in parts.
  void endResponse();
  /// Breaks off a response, so that the caller sees that it is incomplete.
  void cutResponse();

  std::size_t unsentBytes() const { return Connection->unsentBytes(); }
  /// Closes the connection if the caller was idle or slow for too long.
  void checkTimeouts(base::TimePoint now);
  /// Closes the connection if no request is in progress or partly read.
  void closeIfIdle();
  /// Handles a pause of the process, see Entry::checkPause().
  void endPause(base::Duration uncounted);
  /// Closes the connection and ends its request.
  void drop();
  bool isIdle() const;

private:
  void onData(std::string_view bytes);
  void onClose();
  void parse();
  void reject(int status);
  void onRequestComplete();
  void finishExchange();
  void closeAfterSending();

  Entry &Owner;
  std::shared_ptr<adaptertcp::TcpConnection> Connection;
  adaptertcp::MessageParser Parser{adaptertcp::MessageParser::Kind::Request};
  std::string Input;
  std::shared_ptr<Exchange> Current;
  /// When the first byte of the present request arrived.
  base::TimePoint RequestStartedAt;
  base::TimePoint LastActiveAt;
  bool KeepAlive = true;
  bool Chunked = false;
  bool ContinueSent = false;
  bool Closed = false;
};

} // namespace bergamot::entrypath

#endif
