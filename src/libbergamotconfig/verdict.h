#ifndef BERGAMOT_LIBBERGAMOTCONFIG_VERDICT_H
#define BERGAMOT_LIBBERGAMOTCONFIG_VERDICT_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/problem.h"
#include "libbergamotconfig/snapshot.h"

#include <string>
#include <vector>

namespace bergamot::config {

/// What a record of the log turned out to be.
enum class VerdictKind {
  /// The change is in force from this record on.
  Accepted,
  /// Another change was accepted on the same base version first.
  Conflict,
  /// The record is malformed, or the configuration that it makes has problems.
  Invalid,
  /// The signature isn't that of a signer of the base version.
  Unsigned,
  /// The change was accepted before, or the record was applied before.
  Duplicate,
  /// A snapshot that agrees with the configuration in force, or an older one.
  Snapshot,
  /// The reader lacks earlier records and has no snapshot yet that covers
  /// them. A later snapshot decides the record.
  Undecided,
};

/// Returns the name of a verdict as it appears in logs and command output.
const char *verdictName(VerdictKind kind);

/// The decision on one record. Version is the one in force after the record.
/// ChangeId, Author and SignedBy are empty if the record is no change. Winner
/// is the change that a conflict lost to, or the accepted change that a
/// duplicate repeats. Problems says what is wrong with an invalid record.
struct Verdict {
  VerdictKind Kind = VerdictKind::Undecided;
  base::LogOffset Offset;
  base::WallTime Time;
  base::ConfigVersion Version;
  std::string ChangeId;
  std::string Author;
  SignerId SignedBy;
  AcceptedChange Winner;
  std::vector<Problem> Problems;

  bool operator==(const Verdict &) const = default;
};

} // namespace bergamot::config

#endif
