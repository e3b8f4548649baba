#ifndef BERGAMOT_ADAPTERTCP_CONNECTIONOPENER_H
#define BERGAMOT_ADAPTERTCP_CONNECTIONOPENER_H

#include "adaptertcp/tcpconnection.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace bergamot::adaptertcp {

/// Receives an open connection that hasn't been started; null and the error if
/// none could be opened. The error is timed_out after the deadline.
using OpenCompletion = std::function<void(std::shared_ptr<TcpConnection>,
                                          const boost::system::error_code &)>;

/// Opens a connection to a server.
void openConnection(boost::asio::io_context &loop,
                    const boost::asio::ip::tcp::endpoint &server,
                    base::TimePoint deadline, OpenCompletion completion);

/// What a server's address did with a connection.
enum class ProbeResult {
  Accepted,
  /// As once the server's process has ended.
  Refused,
  /// Nothing arrived by the deadline, or the network can't reach the host.
  NoAnswer,
  /// The connection failed for another reason, for example for lack of
  /// descriptors in this process, which tells nothing of the server.
  Undecided,
};

/// Returns the name of a result in logs.
const char *probeResultName(ProbeResult result);

/// Tests whether a server accepts connections, and closes the one that this
/// opens.
void probeServer(boost::asio::io_context &loop,
                 const boost::asio::ip::tcp::endpoint &server,
                 base::TimePoint deadline,
                 std::function<void(ProbeResult)> completion);

} // namespace bergamot::adaptertcp

#endif
