#ifndef BERGAMOT_LIBBERGAMOTSTATE_LEASERECORD_H
#define BERGAMOT_LIBBERGAMOTSTATE_LEASERECORD_H

#include "libbergamotbase/ids.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::state {

/// The kinds of records in the lease stream.
enum class LeaseKind { Acquire, Renew, Release };

/// Version of a lease: its fencing token and the number of renewals since its
/// acquisition.
struct LeaseVersion {
  base::FencingToken Token;
  std::uint64_t Renewal = 0;

  auto operator<=>(const LeaseVersion &) const = default;
};

/// One record of the stream `leases`.
struct LeaseRecord {
  LeaseKind Kind = LeaseKind::Acquire;
  /// Name of the lease, such as that of an expert group.
  std::string Lease;
  base::VmId Holder;
  base::Incarnation Incarnation;
  /// Unique within the holder's incarnation.
  std::uint64_t Sequence = 0;
  /// For an acquisition, the latest version that the writer saw, which has
  /// expired or been released, if any. For a renewal, the new version. For a
  /// release, the next version, which is marked as released.
  std::optional<LeaseVersion> Version;
  std::chrono::milliseconds Duration{0};

  bool operator==(const LeaseRecord &) const = default;
};

/// Serializes the record to one line of JSON with a unique record id.
std::string toText(const LeaseRecord &record);

/// Parses a line of JSON. Returns nullopt if it is malformed.
std::optional<LeaseRecord> parseLeaseRecord(std::string_view text);

} // namespace bergamot::state

#endif
