#ifndef BERGAMOT_ENTRYPATH_ATTEMPT_H
#define BERGAMOT_ENTRYPATH_ATTEMPT_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "entrypath/headercodec.h"
#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamot::entrypath {

/// One attempt to get a request served by a target: the target as it was when
/// it was chosen, the connection, and what has arrived on it.
struct Attempt {
  /// Unique within the exchange; never 0.
  std::uint64_t Number = 0;
  std::string TargetId;
  /// Address and port.
  std::string TargetAddress;
  /// The start time in the target's record, in Unix milliseconds.
  std::int64_t TargetStartedAtMs = 0;
  /// The target's group of ranks; empty if it has none.
  std::string TargetGroup;
  /// Unset while the connection is being opened.
  std::shared_ptr<adaptertcp::TcpConnection> Connection;
  adaptertcp::MessageParser Parser{adaptertcp::MessageParser::Kind::Response};
  TargetResponse ResponseInfo;
  base::TimePoint SentAt;
  /// When the target last sent a head or a complete event; SentAt before that.
  base::TimePoint LastProgressAt;
  /// Bytes received before the end of the head of the response to this request.
  std::size_t PrecedingBytes = 0;
  /// Bytes of the body of the response to this request.
  std::size_t ReceivedBodyBytes = 0;
  /// Bytes that have come after the response and belong to no request.
  std::string ExcessBytes;
  /// How many of the last bytes of a stream may be the beginning of a second
  /// response's head.
  std::size_t UndecidedBytes = 0;
  bool Sent = false;
  /// The connection has carried other requests before this one.
  bool ConnectionReused = false;
  bool ExecutionRecorded = false;
  bool ResponseHeadValidated = false;
  /// The target has sent an event of a stream, or a whole response.
  bool Begun = false;
  /// The start of an event of which the rest hasn't come. Only used while the
  /// attempt is a standby.
  std::string PartialEvent;
};

} // namespace bergamot::entrypath

#endif
