#include "bergamotctl/auditcommands.h"

#include "bergamotctl/exitcode.h"
#include "libbergamotstate/auditverifier.h"

#include <istream>

namespace bergamot::bergamotctl {

int verifyAudit(std::istream &in, std::string &checkpoint, std::ostream &out) {
  auto verifier = checkpoint.empty() ? state::AuditVerifier()
                                     : state::AuditVerifier(checkpoint);
  for (std::string line; std::getline(in, line);)
    verifier.add(line);
  verifier.finish();
  for (const auto &it : verifier.findings()) {
    out << state::auditFaultName(it.Fault) << ": ";
    if (it.Fault != state::AuditFault::Malformed)
      out << "daemon " << it.Daemon.Value << " incarnation " << it.Life.Value
          << " batch " << it.Sequence;
    if (it.Count > 1 || it.Fault == state::AuditFault::Gap)
      out << ", count " << it.Count;
    if (it.Line != 0)
      out << " line " << it.Line;
    out << '\n';
  }
  out << verifier.batchCount() << " batches verified, "
      << verifier.repeatCount() << " repeated, "
      << (verifier.isIntact() ? "intact" : "NOT INTACT") << '\n';
  checkpoint = verifier.checkpoint();
  return verifier.isIntact() ? Success : HasProblems;
}

std::uint64_t showAudit(std::istream &in, const state::AuditQuery &query,
                        std::ostream &out, std::ostream &err) {
  std::uint64_t found = 0;
  std::uint64_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const auto read = state::parseBatch(line);
    if (!read)
      continue;
    if (!read->HashMatches)
      err << "line " << number << " doesn't match its hash\n";
    for (const auto &it : read->Batch.Records) {
      if (!matches(query, it))
        continue;
      out << toText(it) << '\n';
      ++found;
    }
  }
  return found;
}

} // namespace bergamot::bergamotctl
