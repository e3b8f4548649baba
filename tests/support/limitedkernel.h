#ifndef BERGAMOT_TESTS_SUPPORT_LIMITEDKERNEL_H
#define BERGAMOT_TESTS_SUPPORT_LIMITEDKERNEL_H

#include <vector>

namespace bergamot::testsupport {

/// What the kernel doesn't tell a process of its TCP connections. Only the
/// answers to ioctl(SIOCOUTQ) and getsockopt(TCP_INFO), and what
/// setsockopt(TCP_USER_TIMEOUT) does, change; the connections stay as they are.
enum class KernelLimits {
  None,
  NoTcpInfo,
  /// TCP_INFO ends before the bytes that the peer has acknowledged.
  ShortTcpInfo,
  /// All ages and counters are 0.
  ZeroTcpInfo,
  /// A closed window looks like data that the peer doesn't acknowledge.
  SilentWindow,
  /// Two probes of the window are always unanswered.
  UnansweredProbes,
  NoSendQueue,
  NoUserTimeout,
  /// None of the three calls works.
  Nothing,
};

/// Returns all limits.
std::vector<KernelLimits> allKernelLimits();

/// Sets the limits for the whole process.
void setKernelLimits(KernelLimits limits);

/// Discards what arrives at a socket from now on, before the kernel's TCP sees
/// it; at a listening socket, also new connections. Throws std::system_error.
void startDropping(int socket);
/// Accepts what arrives at a socket again.
void stopDropping(int socket);

} // namespace bergamot::testsupport

#endif
