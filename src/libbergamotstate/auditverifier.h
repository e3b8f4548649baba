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

/// The kinds of findings of the verifier.
enum class AuditFault {
  /// Sequence numbers are missing from the chain.
  Missing,
  /// A batch doesn't match its own hash or the hash that a later batch states
  /// for it, or another batch has the same sequence number.
  Changed,
  /// A batch appears after one with a higher sequence number.
  Reordered,
  /// A line is not a batch.
  Malformed,
  /// The writer itself reports dropped records. Not a sign of tampering.
  Gap,
};

/// Returns the name of a fault as printed by the command-line tool bergamotctl.
const char *auditFaultName(AuditFault fault);

/// One finding. Line numbers start at 1 and run across all exports read by the
/// verifier; 0 marks findings of finish().
struct AuditFinding {
  AuditFault Fault;
  base::VmId Daemon;
  base::Incarnation Incarnation;
  /// First affected batch.
  std::uint64_t Sequence = 0;
  /// Number of batches, or of dropped records for a gap.
  std::uint64_t Count = 1;
  std::uint64_t Line = 0;
};

/// Verifies audit streams, batch by batch in export order, across any number of
/// exports and daemons. A checkpoint resumes an earlier verification. Without
/// one, each chain is trusted from the first batch read on, and batches with
/// lower sequence numbers are reported as missing.
///
/// A chain alone can't show that batches after the last one read are missing,
/// nor that the whole chain was rewritten. The link in the first batch of
/// the daemon's next incarnation reveals both. A checkpoint stored elsewhere
/// reveals a rewritten chain, and contains the next sequence number to compare
/// with the end of the export.
class AuditVerifier {
public:
  AuditVerifier() = default;

  /// Resumes from the text returned by checkpoint(). Throws base::Error if it
  /// is malformed.
  explicit AuditVerifier(std::string_view checkpoint);

  /// Processes the next line of the export, without its line terminator.
  void add(std::string_view line);

  /// Reports the batches that are still missing. If they appear in a later
  /// export, they count as reordered.
  void finish();

  /// Serializes the state to one line of JSON.
  std::string checkpoint() const;

  /// Returns the findings so far, in the order of detection.
  const std::vector<AuditFinding> &findings() const { return Findings; }

  /// Returns whether there are no findings other than gaps reported by the
  /// writer.
  bool isIntact() const;

  /// Returns the number of accepted batches, without duplicates.
  std::uint64_t batchCount() const { return BatchCount; }

  /// Returns the number of harmless duplicates.
  std::uint64_t duplicateCount() const { return DuplicateCount; }

private:
  using ChainId = std::pair<base::VmId, base::Incarnation>;

  struct Chain {
    std::uint64_t NextSequence = 1;
    std::string LastHash;
    /// First and last sequence number of each missing range, both inclusive.
    std::map<std::uint64_t, std::uint64_t> Missing;
    /// By sequence number: xxHash64 of the hash of each batch read by this
    /// verifier.
    std::unordered_map<std::uint64_t, std::uint64_t> ShortHashes;
    bool MissingReported = false;
  };

  void report(AuditFault fault, const ChainId &id, std::uint64_t sequence,
              std::uint64_t count = 1);
  void addNext(const ChainId &id, Chain &chain, const AuditBatch &batch);
  void addOutOfOrder(const ChainId &id, Chain &chain, const AuditBatch &batch);
  void checkPriorLastLink(const AuditBatch &batch);
  static bool removeMissing(Chain &chain, std::uint64_t sequence);

  std::map<ChainId, Chain> Chains;
  std::vector<AuditFinding> Findings;
  std::uint64_t LineNumber = 0;
  std::uint64_t BatchCount = 0;
  std::uint64_t DuplicateCount = 0;
};

} // namespace bergamot::state

#endif
