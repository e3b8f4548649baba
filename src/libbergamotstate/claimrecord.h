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

/// Largest response body that a completed record keeps, in bytes. Of larger
/// bodies it keeps the hash only.
constexpr std::size_t MaxStoredBodyBytes = 4096;

/// Identifies one claim: the entry's VM, its incarnation and a number that the
/// incarnation uses once.
struct ClaimId {
  base::VmId Entry;
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;

  auto operator<=>(const ClaimId &) const = default;
};

/// Returns the id as `<vm>/<incarnation>/<sequence>`.
std::string toText(const ClaimId &id);

/// Returns the id of the text, or nothing if it has another form.
std::optional<ClaimId> parseClaimId(std::string_view text);

/// The outcome of an executed request.
struct Outcome {
  /// HTTP status; 0 means that the outcome is unknown for good.
  int Status = 0;
  std::string ContentType;
  /// Empty unless BodyKept.
  std::string Body;
  bool BodyStored = false;
  /// SHA-256 of the body in hexadecimal digits, if it isn't kept.
  std::string BodyHash;

  bool operator==(const Outcome &) const = default;
};

/// Returns the outcome with the body, or with its hash only if the body is
/// larger than MaxKeptBody.
Outcome makeOutcome(int status, std::string_view contentType,
                    std::string_view body);

/// The kinds of record in the stream of claims.
enum class ClaimKind { Claim, Withdrawn, Completed };

/// One record of the stream of claims.
struct ClaimRecord {
  ClaimKind Kind = ClaimKind::Claim;
  ClaimId Id;
  Hash128 Key;
  /// Hash of the request; claims only.
  Hash128 Fingerprint;
  /// Completed records only.
  Outcome Result;

  bool operator==(const ClaimRecord &) const = default;
};

/// Returns the id of the record, which is unique in the stream and the same
/// for each append of the record.
std::string recordId(ClaimKind kind, const ClaimId &id);

/// Returns the record as one line of JSON.
std::string toText(const ClaimRecord &record);

/// Returns the record of a line of JSON, or nothing if it is malformed.
std::optional<ClaimRecord> parseClaimRecord(std::string_view text);

/// Returns the hash of an idempotency key in the scope of its account and
/// service.
Hash128 claimKey(const base::AccountId &account, const base::ServiceId &service,
                 std::string_view key);

/// Returns the partition of a key among the given number of partitions.
std::uint32_t claimPartition(const Hash128 &key, std::uint32_t partitions);

/// Returns the stream of a partition: `claims` if there is one partition,
/// otherwise `claims.<partition>`.
std::string claimStream(std::uint32_t partition, std::uint32_t partitions);

} // namespace bergamot::state

#endif
