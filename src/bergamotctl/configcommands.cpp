#include "bergamotctl/configcommands.h"

#include "bergamotctl/difftext.h"
#include "bergamotctl/exitcode.h"
#include "bergamotctl/logreplay.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/validate.h"

#include <ostream>

namespace bergamot::bergamotctl {

using config::Configuration;
using config::Verdict;
using config::VerdictKind;

namespace {

/// Reads the whole log. Throws base::Error (step log) if the log holds no
/// configuration that this reader can know.
LogReplay replayLog(CommandContext &context) {
  LogReplay replay(context.Log());
  replay.readToEnd(context.deadline());
  const std::string reason = replay.ledger().notReadyReason();
  if (!reason.empty())
    throw base::Error(base::Step::Log, ConfigStream, reason);
  return replay;
}

std::string describe(const config::ConfigLedger &ledger) {
  return "version " + std::to_string(ledger.version().Value) + ", hash " +
         ledger.hash();
}

void printVerdict(std::ostream &out, const Verdict &verdict) {
  out << base::formatRfc3339(verdict.Time) << "  offset "
      << verdict.Offset.Value << "  " << verdictName(verdict.Kind);
  if (!verdict.ChangeId.empty())
    out << "  change " << verdict.ChangeId << " by " << verdict.Author
        << " (signer " << verdict.SignedBy.Value << ")";
  if (verdict.Kind == VerdictKind::Accepted)
    out << "  version " << verdict.Version.Value;
  if (!verdict.Winner.Id.empty())
    out << "  see change " << verdict.Winner.Id << ", version "
        << verdict.Winner.Version.Value;
  out << "\n";
  for (const config::Problem &problem : verdict.Problems)
    out << "    " << problem.Path << ": " << problem.Message << "\n";
}

} // namespace

int checkConfig(CommandContext &context) {
  const Configuration document =
      config::parseConfiguration(readInput(context, context.Arguments[0]));
  const auto problems = config::validate(document);
  if (!problems.empty()) {
    context.Err << problemText(problems) << "\n"
                << problems.size() << " problem(s)\n";
    return HasProblems;
  }
  context.Out << "valid, hash " << configurationHash(document) << "\n";
  return Success;
}

int diffConfig(CommandContext &context) {
  const Configuration last =
      config::parseConfiguration(readInput(context, context.Arguments.back()));
  std::string text;
  if (context.Arguments.size() == 2) {
    text = diffText(
        config::parseConfiguration(readInput(context, context.Arguments[0])),
        last);
  } else {
    const LogReplay replay = replayLog(context);
    context.Err << "in force: " << describe(replay.ledger()) << "\n";
    text = diffText(*replay.ledger().configuration(), last);
  }
  context.Out << (text.empty() ? "no difference\n" : text);
  return Success;
}

int showHistory(CommandContext &context) {
  LogReplay replay(context.Log());
  replay.readToEnd(context.deadline());
  for (const Verdict &verdict : replay.ledger().verdicts())
    printVerdict(context.Out, verdict);
  const std::string reason = replay.ledger().notReadyReason();
  context.Err << (reason.empty() ? "in force: " + describe(replay.ledger())
                                 : reason)
              << "\n";
  return Success;
}

int showConfig(CommandContext &context) {
  const LogReplay replay = replayLog(context);
  context.Out << readableText(*replay.ledger().configuration());
  context.Err << "in force: " << describe(replay.ledger()) << "\n";
  return Success;
}

} // namespace bergamot::bergamotctl
