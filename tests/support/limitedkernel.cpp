// Replaces three functions of the C library in the test program.
#include "support/limitedkernel.h"

// glibc's <netinet/tcp.h> lacks the newer fields of tcp_info.
#include <linux/filter.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstring>
#include <system_error>

namespace bergamot::testsupport {

namespace {

std::atomic<KernelLimits> CurrentLimits{KernelLimits::None};

bool areSet(KernelLimits limits) {
  const KernelLimits current = CurrentLimits;
  return current == limits || current == KernelLimits::Nothing;
}

int fail(int error) {
  errno = error;
  return -1;
}

void limitTcpInfo(tcp_info &info, socklen_t &size) {
  switch (CurrentLimits) {
  case KernelLimits::ShortTcpInfo:
    size = std::min<socklen_t>(size, offsetof(tcp_info, tcpi_pacing_rate));
    return;
  case KernelLimits::ZeroTcpInfo: {
    const auto state = info.tcpi_state;
    std::memset(&info, 0, size);
    info.tcpi_state = state;
    return;
  }
  case KernelLimits::SilentWindow:
    info.tcpi_unacked = 1;
    info.tcpi_last_ack_recv = info.tcpi_last_data_sent + 1000;
    return;
  case KernelLimits::UnansweredProbes:
    info.tcpi_probes = 2;
    return;
  default:
    return;
  }
}

void setFilter(int socket, int option, const void *value, socklen_t size) {
  if (::setsockopt(socket, SOL_SOCKET, option, value, size) != 0)
    throw std::system_error(errno, std::generic_category(), "socket filter");
}

} // namespace

std::vector<KernelLimits> allKernelLimits() {
  return {KernelLimits::None,         KernelLimits::NoTcpInfo,
          KernelLimits::ShortTcpInfo, KernelLimits::ZeroTcpInfo,
          KernelLimits::SilentWindow, KernelLimits::UnansweredProbes,
          KernelLimits::NoSendQueue,  KernelLimits::NoUserTimeout,
          KernelLimits::Nothing};
}

void setKernelLimits(KernelLimits limits) { CurrentLimits = limits; }

void startDropping(int socket) {
  sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &dropAll};
  setFilter(socket, SO_ATTACH_FILTER, &program, sizeof program);
}

void stopDropping(int socket) {
  constexpr int Unused = 0;
  setFilter(socket, SO_DETACH_FILTER, &Unused, sizeof Unused);
}

} // namespace bergamot::testsupport

using bergamot::testsupport::areSet;
using bergamot::testsupport::KernelLimits;

extern "C" int ioctl(int socket, unsigned long request, ...) noexcept {
  va_list arguments;
  va_start(arguments, request);
  void *argument = va_arg(arguments, void *);
  va_end(arguments);
  if (request == SIOCOUTQ && areSet(KernelLimits::NoSendQueue))
    return bergamot::testsupport::fail(EINVAL);
  return static_cast<int>(::syscall(SYS_ioctl, socket, request, argument));
}

extern "C" int getsockopt(int socket, int level, int name, void *value,
                          socklen_t *size) noexcept {
  const bool isTcpInfo = level == IPPROTO_TCP && name == TCP_INFO;
  if (isTcpInfo && areSet(KernelLimits::NoTcpInfo))
    return bergamot::testsupport::fail(ENOPROTOOPT);
  const auto result = static_cast<int>(
      ::syscall(SYS_getsockopt, socket, level, name, value, size));
  if (result == 0 && isTcpInfo && *size == sizeof(tcp_info))
    bergamot::testsupport::limitTcpInfo(*static_cast<tcp_info *>(value), *size);
  return result;
}

extern "C" int setsockopt(int socket, int level, int name, const void *value,
                          socklen_t size) noexcept {
  if (level == IPPROTO_TCP && name == TCP_USER_TIMEOUT &&
      areSet(KernelLimits::NoUserTimeout))
    return bergamot::testsupport::fail(ENOPROTOOPT);
  return static_cast<int>(
      ::syscall(SYS_setsockopt, socket, level, name, value, size));
}
