#ifndef BERGAMOT_LIBBERGAMOTSTATE_CLAIMRECORD_H
#define BERGAMOT_LIBBERGAMOTSTATE_CLAIMRECORD_H

#include "libbergamotbase/ids.h"
#include "libbergamotstate/hash128.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::state {

/// Largest response body stored in a completed record, in bytes. For larger
/// bodies, only the hash is stored.
constexpr std::size_t MaxStoredBodyBytes = 4096;

/// Identifies one claim by the entry's VM, its incarnation and a sequence
/// number that is unique within the incarnation.
struct ClaimId {
  base::VmId Entry;
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;

  auto operator<=>(const ClaimId &) const = default;
};

/// Formats the id as `<vm>/<incarnation>/<sequence>`.
std::string toText(const ClaimId &id);

/// Parses the format of toText(). Returns nullopt for malformed text.
std::optional<ClaimId> parseClaimId(std::string_view text);

/// The outcome of an executed request.
struct Outcome {
  /// HTTP status. 0 if the outcome is permanently unknown, which is reported as
  /// ClaimState::Unknown.
  int Status = 0;
  std::string ContentType;
  /// Empty unless BodyStored.
  std::string Body;
  bool BodyStored = false;
  /// SHA-256 of the body in hexadecimal digits, if the body isn't stored.
  std::string BodyHash;

  bool operator==(const Outcome &) const = default;
};

/// Returns an outcome with the body, or with only its hash if the body is
/// larger than MaxStoredBodyBytes.
Outcome makeOutcome(int status, std::string_view contentType,
                    std::string_view body);

/// The kinds of records in the claim stream.
enum class ClaimKind { Claim, Withdrawn, Completed };

/// One record of the claim stream.
struct ClaimRecord {
  ClaimKind Kind = ClaimKind::Claim;
  ClaimId Id;
  Hash128 Key;
  /// Hash of the request's method, path and body, as computed by the caller.
  /// Only in records of kind Claim.
  Hash128 Fingerprint;
  /// Only in records of kind Completed.
  Outcome RequestOutcome;

  bool operator==(const ClaimRecord &) const = default;
};

/// Returns the record's id, which is unique in the stream and the same for
/// every retry of its append.
std::string recordId(ClaimKind kind, const ClaimId &id);

/// Serializes the record to one line of JSON.
std::string toText(const ClaimRecord &record);

/// Parses a line of JSON. Returns nullopt if it is malformed.
std::optional<ClaimRecord> parseClaimRecord(std::string_view text);

/// Returns the hash of an idempotency key within the scope of its client
/// account and service.
Hash128 claimKey(const base::AccountId &account, const base::ServiceId &service,
                 std::string_view key);

/// Returns the partition of a key, given the number of partitions.
std::uint32_t claimPartition(const Hash128 &key, std::uint32_t partitions);

/// Returns the name of a partition's stream: `claims` if there is only one
/// partition, otherwise `claims.<partition>`.
std::string claimStream(std::uint32_t partition, std::uint32_t partitions);

} // namespace bergamot::state

#endif
