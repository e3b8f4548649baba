#ifndef BERGAMOT_ADAPTERTCP_SENDSTATE_H
#define BERGAMOT_ADAPTERTCP_SENDSTATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bergamot::adaptertcp {

/// What is known of the data that was sent on a TCP connection.
struct SendState {
  /// Bytes in the kernel's send queue, sent or not, that the peer hasn't
  /// acknowledged; nullopt if the system doesn't tell.
  std::optional<std::size_t> QueuedBytes;
  /// Bytes that the kernel hasn't accepted yet.
  std::size_t UnsentBytes = 0;
  /// Bytes that the kernel has accepted since the connection was opened.
  std::uint64_t AcceptedBytes = 0;
  /// Those of them that it had no room for at first.
  std::uint64_t DeferredBytes = 0;
  /// Bytes received from the peer since the connection was opened.
  std::uint64_t ReceivedBytes = 0;
};

/// Returns the bytes in the send queue of a socket; nullopt if the system
/// doesn't tell, which is logged once.
std::optional<std::size_t> sendQueueBytes(int socket);

} // namespace bergamot::adaptertcp

#endif
