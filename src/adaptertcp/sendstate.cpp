#include "adaptertcp/sendstate.h"

#include "libbergamotbase/jsonlog.h"

#include <linux/sockios.h>
#include <nlohmann/json.hpp>
#include <sys/ioctl.h>

#include <atomic>
#include <cerrno>
#include <system_error>

namespace bergamot::adaptertcp {

std::optional<std::size_t> sendQueueBytes(int socket) {
  static std::atomic_flag isLogged;
  int n = 0;
  if (::ioctl(socket, SIOCOUTQ, &n) == 0 && n >= 0)
    return static_cast<std::size_t>(n);
  if (!isLogged.test_and_set())
    base::logWarning(
        "connection.send_queue_unknown",
        {{"error", std::generic_category().message(errno)}, {"bytes", n}});
  return std::nullopt;
}

} // namespace bergamot::adaptertcp
