#ifndef BERGAMOT_ADAPTERHTTP_SERVERSOCKET_H
#define BERGAMOT_ADAPTERHTTP_SERVERSOCKET_H

#include "libbergamotbase/timetypes.h"

#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <thread>

struct mg_connection;

namespace bergamot::adapterhttp {

/// Returns the descriptor of the socket that carries a CivetWeb connection,
/// or -1. CivetWeb 1.15 doesn't expose it; it is found by its local port and
/// peer address among the descriptors of the process. It is needed because
/// CivetWeb waits in steps of 2 s for a blocked write and can't tell that a
/// client has disconnected.
int findConnectionSocket(const mg_connection *connection);

/// Returns the descriptor of the socket that listens on the port, or -1.
int findListeningSocket(int port);

/// Returns the number of bytes that have arrived and were not read.
std::size_t unreadBytes(int socket);

/// Returns whether the peer has closed its side or the connection is broken.
bool isPeerGone(int socket);

/// Waits until the socket accepts bytes. Returns false if the peer is gone or
/// the deadline has passed.
bool waitWritable(int socket, base::TimePoint deadline);

/// Ends reads that take too long: when the deadline of a socket passes, its
/// receiving side is shut down, which ends a read blocked inside CivetWeb.
class ReadDeadlines {
public:
  ReadDeadlines();
  ~ReadDeadlines();
  ReadDeadlines(const ReadDeadlines &) = delete;
  ReadDeadlines &operator=(const ReadDeadlines &) = delete;

  /// Sets the deadline of the reads of a socket.
  void set(int socket, base::TimePoint deadline);

  /// Removes the deadline. Must be called before the socket is closed.
  void remove(int socket);

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<int, base::TimePoint> Deadlines;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace bergamot::adapterhttp

#endif
