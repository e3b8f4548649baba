#ifndef BERGAMOT_ADAPTERTCP_SENDSTATE_H
#define BERGAMOT_ADAPTERTCP_SENDSTATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bergamot::adaptertcp {

/// What the kernel tells of the data that was sent on a TCP connection.
struct SendState {
  /// Bytes in the send queue, sent or not, that the peer hasn't acknowledged.
  std::size_t QueuedBytes = 0;
  /// Bytes that the peer has acknowledged since the connection was opened.
  std::uint64_t AcknowledgedBytes = 0;
  /// The peer may not have answered the data sent last.
  bool DataUnanswered = false;
  /// Probes of a closed receive window since the peer's last acknowledgement.
  unsigned UnansweredProbes = 0;
};

/// Returns the bytes in the send queue of a socket; nullopt if the system
/// doesn't tell.
std::optional<std::size_t> sendQueueBytes(int socket);

/// Returns the state of a socket; nullopt if the system doesn't tell or the
/// connection isn't established any more.
std::optional<SendState> readSendState(int socket);

} // namespace bergamot::adaptertcp

#endif
