#include "bergamotctl/configcommands.h"
#include "bergamotctl/exitcode.h"
#include "bergamotctl/publisher.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/validate.h"

#include <algorithm>
#include <ostream>

namespace bergamot::bergamotctl {

using config::Change;
using config::Configuration;
using config::Verdict;
using config::VerdictKind;

namespace {

constexpr std::size_t ChangeIdBytes = 12;

/// Returns what is missing on the command line, or an empty text.
std::string missingFlag(const Options &flags) {
  if (flags.Base < 0)
    return "config publish needs --base: the version that the document was "
           "made from, or 0 for the first one";
  if (flags.KeyFile.empty() || flags.Signer.empty() || flags.Author.empty())
    return "config publish needs --key_file, --signer and --author";
  return "";
}

config::Signer readSigner(CommandContext &context) {
  std::string text = readInput(context, context.Flags.KeyFile);
  text.erase(text.find_last_not_of(" \r\n") + 1);
  return config::Signer(base::fromHex(text));
}

/// Prints the decision and returns the exit code.
int report(CommandContext &context, const std::string &changeId,
           const Verdict &verdict) {
  switch (verdict.Kind) {
  case VerdictKind::Accepted:
    context.Out << "accepted: change " << changeId << " is version "
                << verdict.Version.Value << "\n";
    return Success;
  case VerdictKind::Duplicate:
    context.Out << "accepted before: change " << changeId << " is version "
                << verdict.Winner.Version.Value << "\n";
    return Success;
  case VerdictKind::Conflict:
    context.Err << "lost the race: change " << verdict.Winner.Id
                << " made version " << verdict.Winner.Version.Value
                << " on version " << verdict.Winner.Base.Value
                << "; compare with `config diff` and publish again\n";
    return LostRace;
  default:
    context.Err << "refused as " << verdictName(verdict.Kind) << "\n"
                << problemText(verdict.Problems) << "\n";
    return Refused;
  }
}

/// Returns the change to publish, unsigned. The first one is whole; the others
/// hold the difference only.
Change makeChange(const Options &flags, const config::ConfigLedger &ledger,
                  const Configuration &document) {
  Change change;
  change.Id = flags.ChangeId.empty()
                  ? base::toHex(base::randomBytes(ChangeIdBytes))
                  : flags.ChangeId;
  change.Base.Value = static_cast<std::uint64_t>(flags.Base);
  change.Author = flags.Author;
  change.SignedBy.Value = flags.Signer;
  if (ledger.configuration())
    change.Delta = difference(*ledger.configuration(), document);
  else
    change.Whole = document;
  return change;
}

/// Returns whether readers of the base version will take the signature.
bool isKnownSigner(const Configuration &base, const std::string &id,
                   const config::Signer &signer) {
  return std::any_of(base.Signers.begin(), base.Signers.end(),
                     [&](const config::SignerKey &key) {
                       return key.Id.Value == id &&
                              key.PublicKey == signer.publicKey();
                     });
}

/// Reads the log before anything is appended to it. Throws base::Error.
void readBase(LogReplay &replay, base::TimePoint deadline) {
  try {
    replay.readToEnd(deadline);
  } catch (const base::Error &e) {
    throw base::Error(e.step(), e.peer(),
                      std::string(e.what()) + "; nothing was appended");
  }
}

/// Names the change that made the version in force, as far as it is kept.
std::string inForceText(const config::ConfigLedger &ledger) {
  std::string text =
      "version " + std::to_string(ledger.version().Value) + " is in force";
  for (const Verdict &verdict : ledger.verdicts())
    if (verdict.Kind == VerdictKind::Accepted &&
        verdict.Version == ledger.version())
      text += " (change " + verdict.ChangeId + " by " + verdict.Author + ")";
  return text;
}

int publishTo(CommandContext &context, ConfigLog &log,
              const Configuration &document, const config::Signer &signer,
              base::TimePoint deadline) {
  const Options &flags = context.Flags;
  LogReplay replay(log);
  readBase(replay, deadline);
  const config::ConfigLedger &ledger = replay.ledger();
  Publisher publisher(log, replay);
  if (!flags.ChangeId.empty()) {
    const auto decided = publisher.decisionOn(flags.ChangeId);
    if (decided)
      return report(context, flags.ChangeId, *decided);
  }
  if (!ledger.isComplete())
    throw base::Error(base::Step::Log, ConfigStream,
                      "records are missing; wait for the next snapshot");
  if (ledger.version().Value != static_cast<std::uint64_t>(flags.Base)) {
    context.Err << inForceText(ledger) << ", not the base " << flags.Base
                << "; nothing was appended\n";
    return LostRace;
  }
  if (!isKnownSigner(ledger.configuration() ? *ledger.configuration()
                                            : document,
                     flags.Signer, signer)) {
    context.Err << "the key is not that of a signer '" << flags.Signer
                << "' in force; nothing was appended\n";
    return HasProblems;
  }
  Change change = makeChange(flags, ledger, document);
  if (change.Delta && change.Delta->empty()) {
    context.Out << "no difference; nothing was appended\n";
    return Success;
  }
  setSignature(change, signer);
  const Publication result = publisher.publish(change, deadline);
  if (result.Decision)
    return report(context, change.Id, *result.Decision);
  context.Err << "not decided: " << result.LastError
              << "\nThe change may still take effect. Publish again with "
                 "--change_id="
              << change.Id << "\n";
  return NotDecided;
}

} // namespace

int publishConfig(CommandContext &context) {
  const std::string missing = missingFlag(context.Flags);
  if (!missing.empty()) {
    context.Err << missing << "\n";
    return Usage;
  }
  const base::TimePoint deadline = context.deadline();
  const config::Signer signer = readSigner(context);
  const Configuration document =
      config::parseConfiguration(readInput(context, context.Arguments[0]));
  const auto problems = config::validate(document);
  if (!problems.empty()) {
    context.Err << problemText(problems) << "\n";
    return HasProblems;
  }
  return publishTo(context, context.Log(), document, signer, deadline);
}

} // namespace bergamot::bergamotctl
