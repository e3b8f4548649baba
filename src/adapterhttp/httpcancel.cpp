#include "adapterhttp/httpcancel.h"

#include "adapterhttp/clientsocket.h"

namespace bergamot::adapterhttp {

void HttpCancel::cancel() {
  std::lock_guard lock(Mutex);
  Cancelled = true;
  if (Connection)
    Connection->cancel();
}

bool HttpCancel::isCancelled() const {
  std::lock_guard lock(Mutex);
  return Cancelled;
}

void HttpCancel::attach(ClientSocket *connection) {
  std::lock_guard lock(Mutex);
  Connection = connection;
  if (Cancelled && Connection)
    Connection->cancel();
}

} // namespace bergamot::adapterhttp
