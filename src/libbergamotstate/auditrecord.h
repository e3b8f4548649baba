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

/// What an audit record tells of.
enum class AuditKind {
  ConfigurationAccepted,
  ConfigurationRefused,
  ConfigurationInForce,
  Claim,
  Outcome,
  FailureDomainChange,
  ExpertMapActivation,
  CreditLimitChange,
  RouteSummary,
  /// A kind of a later version.
  Other,
};

/// Returns the name of a kind as it stands in records.
const char *auditKindName(AuditKind kind);

/// One decision, and the ids by which it is found later. Ids that don't apply
/// are empty or 0.
struct AuditRecord {
  AuditKind Kind = AuditKind::RouteSummary;
  base::WallTime Time;
  base::RequestId Request;
  base::AccountId Account;
  /// Hash of the idempotency key, as toText(Hash128) gives it.
  std::string KeyHash;
  base::ConfigVersion Version;
  /// A JSON object with what else is to be known.
  std::string Detail = "{}";

  bool operator==(const AuditRecord &) const = default;
};

/// Position and hash of a batch in the chain of one daemon incarnation.
struct AuditLink {
  base::Incarnation Incarnation;
  /// Counted from 1; 0 means that there is no batch.
  std::uint64_t Sequence = 0;
  std::string Hash;

  bool operator==(const AuditLink &) const = default;
};

/// Records that were dropped because memory was full.
struct AuditGap {
  std::uint64_t Count = 0;
  base::WallTime From;
  base::WallTime To;

  bool operator==(const AuditGap &) const = default;
};

/// One record of the stream `audit.<daemon>`.
struct AuditBatch {
  base::VmId Daemon;
  AuditLink Link;
  /// Hash of the batch before this one; empty for the first.
  std::string PreviousHash;
  /// Last batch of the daemon's earlier incarnation, if known; first batch
  /// only.
  AuditLink PriorEnd;
  /// What was dropped between the previous batch and this one.
  AuditGap Gap;
  std::vector<AuditRecord> Records;

  bool operator==(const AuditBatch &) const = default;
};

/// Returns the name of a daemon's audit stream.
std::string auditStream(const base::VmId &daemon);

/// Returns the batch as one line of JSON and sets its hash: the SHA-256 of all
/// bytes of the line that precede the hash member.
std::string sealBatch(AuditBatch &batch);

/// A batch read back, and whether its bytes match its hash.
struct AuditReadResult {
  AuditBatch Batch;
  bool HashMatches = false;
};

/// Returns the batch of a line, or nothing if the line is no batch.
std::optional<AuditReadResult> parseBatch(std::string_view text);

/// What to look for; members that are not set match all records.
struct AuditQuery {
  std::optional<base::RequestId> Request;
  std::optional<base::AccountId> Account;
  std::optional<std::string> KeyHash;
  std::optional<base::ConfigVersion> Version;
  /// Both ends belong to the span.
  std::optional<base::WallTime> From;
  std::optional<base::WallTime> To;
};

/// Returns whether the query finds the record.
bool matches(const AuditQuery &query, const AuditRecord &record);

/// Returns the record as one line of JSON.
std::string toText(const AuditRecord &record);

} // namespace bergamot::state

#endif
