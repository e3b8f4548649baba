#ifndef BERGAMOT_LIBBERGAMOTBASE_IDS_H
#define BERGAMOT_LIBBERGAMOTBASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bergamot::base {

/// A strongly typed value: values with different tags can't be mixed up.
template <typename T, typename Tag> struct StrongId {
  T Value{};

  auto operator<=>(const StrongId &) const = default;
};

/// Identifies a VM of the platform, as the VM list names it.
using VmId = StrongId<std::string, struct VmIdTag>;

/// Identifies a client request across all its attempts.
using RequestId = StrongId<std::string, struct RequestIdTag>;

/// Identifies a client account of the configuration.
using AccountId = StrongId<std::string, struct AccountIdTag>;

/// Identifies a service of the configuration.
using ServiceId = StrongId<std::string, struct ServiceIdTag>;

/// Identifies a target of the configuration.
using TargetId = StrongId<std::string, struct TargetIdTag>;

/// Identifies a failure domain of the configuration.
using FailureDomainId = StrongId<std::string, struct FailureDomainIdTag>;

/// Number of an attempt of a request, starting at 1.
using AttemptNumber = StrongId<std::uint32_t, struct AttemptNumberTag>;

/// Distinguishes successive starts of a process. A later start has a larger
/// value.
using Incarnation = StrongId<std::uint64_t, struct IncarnationTag>;

/// Offset of a record in a stream of the platform's log.
using LogOffset = StrongId<std::uint64_t, struct LogOffsetTag>;

/// Version of the configuration: the offset of the accepted record plus one;
/// 0 means that no configuration is known.
using ConfigVersion = StrongId<std::uint64_t, struct ConfigVersionTag>;

/// Fencing token of a lease: the offset of its record. A larger token is newer.
using FencingToken = StrongId<std::uint64_t, struct FencingTokenTag>;

} // namespace bergamot::base

template <typename T, typename Tag>
struct std::hash<bergamot::base::StrongId<T, Tag>> {
  std::size_t operator()(const bergamot::base::StrongId<T, Tag> &id) const {
    return std::hash<T>()(id.Value);
  }
};

#endif
