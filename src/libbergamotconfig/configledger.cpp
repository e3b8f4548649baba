#include "libbergamotconfig/configledger.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/recordfields.h"
#include "libbergamotconfig/validate.h"
#include "libbergamotconfig/verifier.h"

#include <algorithm>
#include <utility>

namespace bergamot::config {

namespace {

constexpr std::uint64_t SpreadSteps = 1024;

/// Problems kept per verdict; a large malformed record could have thousands.
constexpr std::size_t KeptProblems = 32;

void truncateProblems(std::vector<Problem> &problems) {
  if (problems.size() <= KeptProblems)
    return;
  const std::size_t rest = problems.size() - KeptProblems;
  problems.resize(KeptProblems);
  problems.push_back({"", std::to_string(rest) + " more problems"});
}

/// Returns what is wrong with a snapshot taken by itself.
std::vector<Problem> problemsOf(const Snapshot &snapshot) {
  if (snapshot.Version.Value == 0 ||
      snapshot.AsOf.Value < snapshot.Version.Value)
    return {{"/as_of", "must be at least the version, and that at least 1"}};
  if (snapshot.Recent.empty() || snapshot.Recent.size() > RecentChanges ||
      snapshot.Recent.back().Version != snapshot.Version)
    return {{"/recent", "must end with the change that is in force"}};
  if (configurationHash(snapshot.Whole) != snapshot.Hash)
    return {{"/hash", "is not the hash of the configuration"}};
  return {};
}

} // namespace

const char *verdictName(VerdictKind kind) {
  switch (kind) {
  case VerdictKind::Accepted:
    return "accepted";
  case VerdictKind::Conflict:
    return "conflict";
  case VerdictKind::Invalid:
    return "invalid";
  case VerdictKind::Unsigned:
    return "unsigned";
  case VerdictKind::Duplicate:
    return "duplicate";
  case VerdictKind::Snapshot:
    return "snapshot";
  case VerdictKind::Undecided:
    return "undecided";
  }
  return "unknown";
}

Verdict ConfigLedger::apply(const LogRecord &record) {
  if (record.Offset < Next) {
    Verdict verdict;
    verdict.Kind = VerdictKind::Duplicate;
    verdict.Offset = record.Offset;
    verdict.Time = record.Time;
    verdict.Version = State.Version;
    return verdict;
  }
  if (record.Offset > Next) {
    // Records between Next and this one are lost; those held before the gap
    // can't be decided any more.
    Held.clear();
    HeldBytes = 0;
    HeldFrom = record.Offset;
  }
  if (HeldFrom)
    return applyWithGap(record);
  return decide(record);
}

std::vector<Verdict> ConfigLedger::applyPage(std::vector<LogRecord> records,
                                             base::LogOffset earliest) {
  std::stable_sort(records.begin(), records.end(),
                   [](const LogRecord &a, const LogRecord &b) {
                     return a.Offset < b.Offset;
                   });
  std::vector<Verdict> verdicts;
  for (const LogRecord &record : records) {
    if (record.Offset < Next)
      continue;
    const bool expired = earliest > Next && record.Offset == earliest;
    if (record.Offset > Next && !expired)
      break;
    verdicts.push_back(apply(record));
  }
  return verdicts;
}

Verdict ConfigLedger::decide(const LogRecord &record) {
  Verdict verdict;
  verdict.Kind = VerdictKind::Invalid;
  verdict.Offset = record.Offset;
  verdict.Time = record.Time;
  RecordContent content = parseRecord(record.Text);
  if (auto *change = std::get_if<Change>(&content)) {
    decideChange(*change, record, verdict);
  } else if (const auto *snapshot = std::get_if<Snapshot>(&content)) {
    decideSnapshot(*snapshot, verdict);
    if (verdict.Kind == VerdictKind::Snapshot)
      LastSnapshot = std::max(LastSnapshot.value_or(record.Time), record.Time);
  } else {
    verdict.Problems = std::get<std::vector<Problem>>(content);
  }
  truncateProblems(verdict.Problems);
  verdict.Version = State.Version;
  Next.Value = record.Offset.Value + 1;
  addVerdict(verdict);
  return verdict;
}

void ConfigLedger::decideChange(Change &change, const LogRecord &record,
                                Verdict &verdict) {
  verdict.ChangeId = change.Id;
  verdict.Author = change.Author;
  verdict.SignedBy = change.SignedBy;
  const auto findRecent = [&](const auto &matches) {
    const auto it =
        std::find_if(State.Recent.begin(), State.Recent.end(), matches);
    return it == State.Recent.end() ? nullptr : &*it;
  };
  if (const auto *same = findRecent(
          [&](const AcceptedChange &c) { return c.Id == change.Id; })) {
    verdict.Kind = VerdictKind::Duplicate;
    verdict.Winner = *same;
    return;
  }
  if (change.Base != State.Version) {
    const auto *winner = findRecent(
        [&](const AcceptedChange &c) { return c.Base == change.Base; });
    verdict.Kind = VerdictKind::Conflict;
    if (winner != nullptr)
      verdict.Winner = *winner;
    else if (!State.Recent.empty())
      verdict.Winner = State.Recent.back();
    return;
  }
  if (!isSigned(change)) {
    verdict.Kind = VerdictKind::Unsigned;
    return;
  }
  auto changed = changedConfiguration(change, verdict);
  if (!changed)
    return;
  verdict.Kind = VerdictKind::Accepted;
  State.Version.Value = record.Offset.Value + 1;
  State.Hash = configurationHash(*changed);
  State.InForce = std::make_shared<const Configuration>(std::move(*changed));
  State.Recent.push_back({change.Id, change.Base, State.Version});
  if (State.Recent.size() > RecentChanges)
    State.Recent.pop_front();
  if (!LastSnapshot)
    LastSnapshot = record.Time;
}

bool ConfigLedger::isSigned(const Change &change) const {
  // The first change brings the signers; there is nothing before it to trust.
  const Configuration *base = State.InForce
                                  ? State.InForce.get()
                                  : (change.Whole ? &*change.Whole : nullptr);
  if (base == nullptr)
    return false;
  const auto it = std::find_if(
      base->Signers.begin(), base->Signers.end(),
      [&](const SignerKey &key) { return key.Id == change.SignedBy; });
  return it != base->Signers.end() &&
         Verifier(it->PublicKey).verifies(signedText(change), change.Signature);
}

std::optional<Configuration>
ConfigLedger::changedConfiguration(Change &change, Verdict &verdict) const {
  if (!isId(change.Id))
    verdict.Problems.push_back({"/id", "is not an id"});
  if (change.Delta.has_value() == change.Whole.has_value())
    verdict.Problems.push_back(
        {"", "must have either a delta or a configuration"});
  if (!verdict.Problems.empty())
    return std::nullopt;
  Configuration changed;
  if (change.Whole) {
    changed = std::move(*change.Whole);
  } else {
    changed = *State.InForce;
    verdict.Problems = applyDelta(changed, *change.Delta);
  }
  if (verdict.Problems.empty())
    verdict.Problems = validate(changed);
  if (!verdict.Problems.empty())
    return std::nullopt;
  sortById(changed);
  return changed;
}

void ConfigLedger::decideSnapshot(const Snapshot &snapshot,
                                  Verdict &verdict) const {
  verdict.Problems = problemsOf(snapshot);
  if (verdict.Problems.empty() && snapshot.Version > State.Version)
    verdict.Problems.push_back(
        {"/version", "is newer than the version in force"});
  if (verdict.Problems.empty() && snapshot.Version == State.Version &&
      snapshot.Hash != State.Hash)
    verdict.Problems.push_back({"/hash", "is not the hash in force"});
  if (verdict.Problems.empty())
    verdict.Kind = VerdictKind::Snapshot;
}

bool ConfigLedger::follows(const Snapshot &snapshot) const {
  return snapshot.Version > State.Version ||
         (snapshot.Version == State.Version && snapshot.Hash == State.Hash);
}

void ConfigLedger::hold(const LogRecord &record) {
  Held.push_back(record);
  HeldBytes += record.Text.size();
  while (Held.size() > MaximumHeldRecords || HeldBytes > MaximumHeldBytes) {
    HeldFrom->Value = Held.front().Offset.Value + 1;
    HeldBytes -= Held.front().Text.size();
    Held.pop_front();
  }
  Next.Value = record.Offset.Value + 1;
}

Verdict ConfigLedger::applyWithGap(const LogRecord &record) {
  Verdict verdict;
  verdict.Offset = record.Offset;
  verdict.Time = record.Time;
  verdict.Version = State.Version;
  RecordContent content = parseRecord(record.Text);
  if (auto *snapshot = std::get_if<Snapshot>(&content)) {
    verdict.Problems = problemsOf(*snapshot);
    const bool covers = snapshot->AsOf >= *HeldFrom &&
                        snapshot->AsOf <= record.Offset && follows(*snapshot);
    if (verdict.Problems.empty() && covers) {
      adopt(std::move(*snapshot), record.Time);
      return decide(record);
    }
  }
  hold(record);
  return verdict;
}

void ConfigLedger::adopt(Snapshot &&snapshot, base::WallTime time) {
  State.Version = snapshot.Version;
  State.Hash = snapshot.Hash;
  sortById(snapshot.Whole);
  State.InForce =
      std::make_shared<const Configuration>(std::move(snapshot.Whole));
  State.Recent.assign(snapshot.Recent.begin(), snapshot.Recent.end());
  LastSnapshot = time;
  Next = snapshot.AsOf;
  HeldFrom.reset();
  HeldBytes = 0;
  const std::deque<LogRecord> held = std::exchange(Held, {});
  for (const LogRecord &record : held)
    if (record.Offset >= Next)
      decide(record);
}

Verdict ConfigLedger::installSnapshot(std::string_view text,
                                      base::WallTime time) {
  Verdict verdict;
  verdict.Kind = VerdictKind::Invalid;
  verdict.Version = State.Version;
  RecordContent content = parseRecord(text);
  auto *snapshot = std::get_if<Snapshot>(&content);
  if (snapshot == nullptr) {
    const auto *problems = std::get_if<std::vector<Problem>>(&content);
    verdict.Problems =
        problems != nullptr
            ? *problems
            : std::vector<Problem>{{"/kind", "must be snapshot"}};
    return verdict;
  }
  verdict.Problems = problemsOf(*snapshot);
  if (!verdict.Problems.empty())
    return verdict;
  verdict.Kind = VerdictKind::Duplicate;
  if (!follows(*snapshot) || (isComplete() && snapshot->AsOf <= Next))
    return verdict;
  if (HeldFrom && snapshot->AsOf < *HeldFrom) {
    // Records from AsOf on must be read again.
    Held.clear();
  }
  adopt(std::move(*snapshot), time);
  verdict.Kind = VerdictKind::Snapshot;
  verdict.Version = State.Version;
  return verdict;
}

std::string ConfigLedger::notReadyReason() const {
  if (State.InForce)
    return "";
  if (HeldFrom)
    return "the log starts at offset " + std::to_string(HeldFrom->Value) +
           " and holds no snapshot that covers it";
  return "no configuration has been accepted";
}

std::string ConfigLedger::snapshotText() const {
  if (!State.InForce || !isComplete())
    throw base::Error(base::Step::Configuration, "",
                      "no snapshot can be made: " +
                          (State.InForce ? std::string("records are undecided")
                                         : notReadyReason()));
  return recordText(Snapshot{State.Version,
                             Next,
                             State.Hash,
                             *State.InForce,
                             {State.Recent.begin(), State.Recent.end()}});
}

std::optional<base::WallTime>
ConfigLedger::snapshotDueAt(const base::VmId &vm) const {
  if (!State.InForce || !isComplete() || !LastSnapshot)
    return std::nullopt;
  const std::chrono::milliseconds quarter =
      State.InForce->Deployment.LogRetention / 4;
  return *LastSnapshot + quarter +
         quarter * (base::xxHash64(vm.Value) % SpreadSteps) / SpreadSteps;
}

void ConfigLedger::addVerdict(const Verdict &verdict) {
  Verdicts.push_back(verdict);
  if (Verdicts.size() > KeptVerdicts)
    Verdicts.pop_front();
}

} // namespace bergamot::config
