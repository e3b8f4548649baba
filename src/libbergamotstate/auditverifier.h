#ifndef BERGAMOT_LIBBERGAMOTSTATE_AUDITVERIFIER_H
#define BERGAMOT_LIBBERGAMOTSTATE_AUDITVERIFIER_H

#include "libbergamotstate/auditrecord.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamot::state {

/// What the verifier found.
enum class AuditFault {
  /// Batches that the chain counts are not there.
  Missing,
  /// A batch differs from what was written, or a second batch stands in its
  /// place.
  Changed,
  /// A batch stands behind a later one.
  Reordered,
  /// A line is not a batch.
  Malformed,
  /// The writer itself states that it dropped records. No sign of tampering.
  Gap,
};

/// Returns the name of a fault.
const char *auditFaultName(AuditFault fault);

/// One finding. Lines are counted from 1 over all exports of this verifier; 0
/// stands for findings of finish().
struct AuditFinding {
  AuditFault Fault;
  base::VmId Daemon;
  base::Incarnation Incarnation;
  /// First batch concerned.
  std::uint64_t Sequence = 0;
  /// Number of batches, or of dropped records for a gap.
  std::uint64_t Count = 1;
  std::uint64_t Line = 0;
};

/// Verifies audit streams, batch by batch in the order of the export, over any
/// number of exports and daemons. A checkpoint carries on where an earlier
/// verification ended; without one, the chain is trusted from its first batch
/// and what is missing before it is reported.
///
/// The chain can't show that batches are missing after the last one read, nor
/// that a whole chain was written anew; the next incarnation's link and a
/// checkpoint that is kept elsewhere show both.
class AuditVerifier {
public:
  AuditVerifier() = default;

  /// Continues from the text of checkpoint(). Throws base::Error if it is
  /// malformed.
  explicit AuditVerifier(std::string_view checkpoint);

  /// Takes the next line of the export, without line end.
  void add(std::string_view line);

  /// Reports what is still missing. Batches that follow in a later export are
  /// taken as reordered then.
  void finish();

  /// Returns the state as one line of JSON.
  std::string checkpoint() const;

  /// Returns the findings so far, in order.
  const std::vector<AuditFinding> &findings() const { return Findings; }

  /// Returns whether nothing but stated gaps was found.
  bool isIntact() const;

  /// Returns the number of batches that were accepted.
  std::uint64_t batchCount() const { return BatchCount; }

  /// Returns the number of harmless repetitions.
  std::uint64_t duplicateCount() const { return DuplicateCount; }

private:
  using ChainId = std::pair<base::VmId, base::Incarnation>;

  struct Chain {
    std::uint64_t NextSequence = 1;
    std::string LastHash;
    /// First and last number of each missing range.
    std::map<std::uint64_t, std::uint64_t> Missing;
    /// Start of the hash of each batch read by this verifier.
    std::unordered_map<std::uint64_t, std::uint64_t> ShortHashes;
    bool MissingReported = false;
  };

  void report(AuditFault fault, const ChainId &id, std::uint64_t sequence,
              std::uint64_t count = 1);
  void addNext(const ChainId &id, Chain &chain, const AuditBatch &batch);
  void addOutOfOrder(const ChainId &id, Chain &chain, const AuditBatch &batch);
  void checkPriorEnd(const AuditBatch &batch);
  static bool removeMissing(Chain &chain, std::uint64_t sequence);

  std::map<ChainId, Chain> Chains;
  std::vector<AuditFinding> Findings;
  std::uint64_t LineNumber = 0;
  std::uint64_t BatchCount = 0;
  std::uint64_t DuplicateCount = 0;
};

} // namespace bergamot::state

#endif
