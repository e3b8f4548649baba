#ifndef BERGAMOT_ADAPTERHTTP_HTTPCANCEL_H
#define BERGAMOT_ADAPTERHTTP_HTTPCANCEL_H

#include <mutex>

namespace bergamot::adapterhttp {

class ClientSocket;

/// Lets any thread end an exchange at any point, also while the head of the
/// response is awaited. Must outlive the stream that it was given to.
class HttpCancel {
public:
  /// Ends the exchange in progress, or the next one as soon as it starts. The
  /// thread that runs it gets an HttpClientError.
  void cancel();

  /// Returns whether cancel() was called.
  bool isCancelled() const;

private:
  friend class HttpStream;
  void attach(ClientSocket *connection);

  mutable std::mutex Mutex;
  ClientSocket *Connection = nullptr;
  bool Cancelled = false;
};

} // namespace bergamot::adapterhttp

#endif
