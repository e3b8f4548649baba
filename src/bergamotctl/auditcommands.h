#ifndef BERGAMOT_BERGAMOTCTL_AUDITCOMMANDS_H
#define BERGAMOT_BERGAMOTCTL_AUDITCOMMANDS_H

#include "adapterplatform/platformlog.h"
#include "bergamotctl/command.h"
#include "libbergamotstate/auditrecord.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <iosfwd>
#include <ostream>
#include <string>

namespace bergamot::bergamotctl {

/// What an export needs of the platform's log.
template <typename T>
concept AuditSource = requires(T &log, const std::string &stream,
                               base::LogOffset from, std::size_t limit,
                               base::TimePoint deadline) {
  {
    log.read(stream, from, limit, deadline)
    } -> std::same_as<adapterplatform::LogPage>;
};

/// How far an export went.
struct AuditExport {
  /// Offset from which the next export continues.
  base::LogOffset Next;
  std::uint64_t Batches = 0;
  /// Whether the log had dropped records that the export should hold.
  bool IsCut = false;
};

/// Writes a daemon's audit stream from an offset to its present end, one batch
/// a line. Throws base::Error if the log can't be read by the deadline; what
/// was written until then is valid, and `to` says where to continue.
template <AuditSource Log>
void exportAudit(Log &log, const base::VmId &daemon, base::LogOffset from,
                 std::ostream &out, base::TimePoint deadline, AuditExport &to) {
  // A read at the end of the stream waits for this long before it is empty.
  constexpr auto EndWait = std::chrono::milliseconds(500);
  constexpr std::size_t PageRecords = 500;
  to = {from, 0, false};
  for (;;) {
    const auto wait =
        std::min(deadline, std::chrono::steady_clock::now() + EndWait);
    const auto page =
        log.read(state::auditStream(daemon), to.Next, PageRecords, wait);
    to.IsCut |= page.Earliest > to.Next;
    for (const auto &it : page.Records) {
      out << it.Text << '\n';
      to.Next = {it.Offset.Value + 1};
      ++to.Batches;
    }
    if (page.Records.empty())
      return;
  }
}

/// Verifies an export, one batch a line, and prints the findings. Continues
/// from the checkpoint unless it is empty, and replaces it by the new one.
/// Returns Success, or HasProblems if anything but stated gaps was found.
/// Throws base::Error (step audit) if the checkpoint is malformed.
int verifyAudit(std::istream &in, std::string &checkpoint, std::ostream &out);

/// Prints the records of an export that match the query, one JSON object a
/// line, and returns how many there are. Lines that hold no batch are left
/// out, and batches that don't match their hash are marked on `err`.
std::uint64_t showAudit(std::istream &in, const state::AuditQuery &query,
                        std::ostream &out, std::ostream &err);

/// The commands `audit export`, `audit verify` and `audit show`. An export's
/// position is kept beside it in the file `FILE.position`.
int runAuditExport(CommandContext &context);
int runAuditVerify(CommandContext &context);
int runAuditShow(CommandContext &context);

} // namespace bergamot::bergamotctl

#endif
