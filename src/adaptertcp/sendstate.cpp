#include "adaptertcp/sendstate.h"

// glibc's <netinet/tcp.h> lacks the newer fields of tcp_info.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace bergamot::adaptertcp {

namespace {

/// Returns whether the peer hasn't answered the data sent last. One that has no
/// room for data drops it, but acknowledges once more what it has.
bool isDataUnanswered(const tcp_info &info) {
  if (info.tcpi_unacked == 0)
    return false;
  // The ages are in milliseconds, so an answer to data that was just sent can't
  // be told from an earlier one. Retransmissions count as sent data.
  return info.tcpi_last_data_sent == 0 ||
         info.tcpi_last_ack_recv > info.tcpi_last_data_sent;
}

} // namespace

std::optional<std::size_t> sendQueueBytes(int socket) {
  int n = 0;
  if (::ioctl(socket, SIOCOUTQ, &n) != 0 || n < 0)
    return std::nullopt;
  return static_cast<std::size_t>(n);
}

std::optional<SendState> readSendState(int socket) {
  const auto queued = sendQueueBytes(socket);
  if (!queued)
    return std::nullopt;
  tcp_info info{};
  socklen_t n = sizeof info;
  constexpr socklen_t MinBytes =
      offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &n) != 0 ||
      n < MinBytes || info.tcpi_state == 0)
    return std::nullopt;
  return SendState{*queued, info.tcpi_bytes_acked, isDataUnanswered(info),
                   info.tcpi_probes};
}

} // namespace bergamot::adaptertcp
