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

/// The kinds of record in the stream of leases.
enum class LeaseKind { Acquire, Renew, Release };

/// Version of a lease: the token of its holder, and how many renewals followed.
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
  /// Number that the holder's incarnation uses once.
  std::uint64_t Sequence = 0;
  /// For an acquisition the version that the writer saw and that has lapsed,
  /// if any; otherwise the version that the record makes.
  std::optional<LeaseVersion> Version;
  std::chrono::milliseconds Duration{0};

  bool operator==(const LeaseRecord &) const = default;
};

/// Returns the record as one line of JSON with a unique record id.
std::string toText(const LeaseRecord &record);

/// Returns the record of a line of JSON, or nothing if it is malformed.
std::optional<LeaseRecord> parseLeaseRecord(std::string_view text);

} // namespace bergamot::state

#endif
