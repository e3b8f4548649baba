#ifndef BERGAMOT_LIBBERGAMOTSTATE_AUDITRECORD_H
#define BERGAMOT_LIBBERGAMOTSTATE_AUDITRECORD_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::state {

/// The kind of event that an audit record describes.
enum class AuditKind {
  ConfigurationAccepted,
  ConfigurationRefused,
  ConfigurationInForce,
  Claim,
  ClaimOutcome,
  FailureDomainChange,
  ExpertMapActivation,
  /// A change of a target's limit of request slots.
  CreditLimitChange,
  RouteSummary,
  /// Any kind unknown to this release of the software.
  Other,
};

/// Returns the name used for the kind in stored records.
const char *auditKindName(AuditKind kind);

/// One decision, with the ids under which it can be looked up. Ids that don't
/// apply are empty or 0.
struct AuditRecord {
  AuditKind Kind = AuditKind::RouteSummary;
  base::WallTime Time;
  base::RequestId Request;
  base::AccountId Account;
  /// Hash of the idempotency key, as formatted by toText(Hash128).
  std::string KeyHash;
  base::ConfigVersion ConfigurationVersion;
  /// A JSON object with additional details.
  std::string Detail = "{}";

  bool operator==(const AuditRecord &) const = default;
};

/// Position and hash of a batch in the chain of one daemon incarnation.
struct AuditLink {
  base::Incarnation Incarnation;
  /// Starts at 1; 0 means that there is no batch.
  std::uint64_t Sequence = 0;
  std::string Hash;

  bool operator==(const AuditLink &) const = default;
};

/// Records that were dropped because the buffer was full.
struct AuditGap {
  std::uint64_t Count = 0;
  base::WallTime From;
  base::WallTime To;

  bool operator==(const AuditGap &) const = default;
};

/// One log record of the stream `audit.<daemon>`: a batch of audit records.
struct AuditBatch {
  base::VmId Daemon;
  AuditLink Link;
  /// Hash of the previous batch; empty in the first batch of an incarnation.
  std::string PreviousHash;
  /// Last batch of the daemon's earlier incarnation, if known. Set only in the
  /// first batch of an incarnation.
  AuditLink PriorLastLink;
  /// Records dropped between the previous batch and this one.
  AuditGap Gap;
  std::vector<AuditRecord> Records;

  bool operator==(const AuditBatch &) const = default;
};

/// Returns the name of a daemon's audit stream.
std::string auditStream(const base::VmId &daemon);

/// Serializes the batch to one line of JSON and sets its hash: the SHA-256 of
/// all bytes of the line before the hash member.
std::string sealBatch(AuditBatch &batch);

/// A parsed batch, and whether its bytes match its hash.
struct AuditReadResult {
  AuditBatch Batch;
  bool HashMatches = false;
};

/// Parses a line of the stream. Returns nullopt if it is not a batch.
std::optional<AuditReadResult> parseBatch(std::string_view text);

/// Filter for audit records; unset members match all records.
struct AuditQuery {
  std::optional<base::RequestId> Request;
  std::optional<base::AccountId> Account;
  std::optional<std::string> KeyHash;
  std::optional<base::ConfigVersion> ConfigurationVersion;
  /// Time range, both ends inclusive.
  std::optional<base::WallTime> From;
  std::optional<base::WallTime> To;
};

/// Returns whether the record matches the query.
bool matches(const AuditQuery &query, const AuditRecord &record);

/// Serializes the record to one line of JSON.
std::string toText(const AuditRecord &record);

} // namespace bergamot::state

#endif
