#ifndef BERGAMOT_LIBBERGAMOTUSAGE_REPORTRECORD_H
#define BERGAMOT_LIBBERGAMOTUSAGE_REPORTRECORD_H

#include "libbergamotusage/windowusage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::usage {

/// The era of a store that has never been restored from an older copy.
constexpr std::uint64_t FirstStoreEra = 1;

/// The record in the platform's store that says which entry reports usage, and
/// what it has fixed. It is only ever written on the condition that the topic
/// hasn't changed since it was read.
struct ReportRecord {
  /// Name of the entry that holds the duty.
  std::string Holder;
  /// Fencing token: rises with each holder, and no two holders have the same.
  std::uint64_t Token = 0;
  /// Windows up to this one have been fixed or will never be reported.
  WindowNumber LastFixed = 0;
  /// Fixed windows that aren't known to have been accepted, oldest first.
  std::vector<WindowUsage> Unconfirmed;
  /// The era of the store for which the record was written. If the store has
  /// been restored since, later versions of the record may have been lost.
  std::uint64_t Era = FirstStoreEra;

  bool operator==(const ReportRecord &) const = default;
};

/// Encodes a record as CBOR. A former version ignores the era.
std::string encodeReportRecord(const ReportRecord &record);
/// Decodes a record. One of a former version states no era, which stands for
/// the first one. Returns std::nullopt and logs a warning if it is malformed.
std::optional<ReportRecord> decodeReportRecord(std::string_view bytes);

} // namespace bergamot::usage

#endif
