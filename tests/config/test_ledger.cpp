#include "config/fixtures.h"
#include "libbergamotbase/digest.h"
#include "libbergamotconfig/configledger.h"
#include "libbergamotconfig/recordfields.h"
#include "libbergamotconfig/validate.h"
#include "libbergamotconfig/verifier.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace bergamot;
using namespace bergamot::config;

namespace {

/// The rule of the ledger written out plainly: reads the whole log from
/// offset 0 and rebuilds every configuration from its text.
class NaiveReplay {
public:
  VerdictKind apply(const LogRecord &record) {
    const RecordContent content = parseRecord(record.Text);
    if (const auto *snapshot = std::get_if<Snapshot>(&content))
      return applySnapshot(*snapshot);
    const auto *change = std::get_if<Change>(&content);
    if (change == nullptr)
      return VerdictKind::Invalid;
    if (AcceptedIds.contains(change->Id))
      return VerdictKind::Duplicate;
    if (change->Base.Value != Version)
      return VerdictKind::Conflict;
    const Configuration base = Version
                                   ? parseConfiguration(Texts[Version])
                                   : change->Whole.value_or(Configuration());
    bool good = false;
    for (const SignerKey &key : base.Signers)
      good |= key.Id == change->SignedBy &&
              Verifier(key.PublicKey)
                  .verifies(signedText(*change), change->Signature);
    if (!good)
      return VerdictKind::Unsigned;
    if (change->Delta.has_value() == change->Whole.has_value())
      return VerdictKind::Invalid;
    Configuration next = change->Whole ? *change->Whole : base;
    if (change->Delta && !applyDelta(next, *change->Delta).empty())
      return VerdictKind::Invalid;
    if (!isId(change->Id) || !validate(next).empty())
      return VerdictKind::Invalid;
    Version = record.Offset.Value + 1;
    Texts[Version] = canonicalText(next);
    AcceptedIds.insert(change->Id);
    return VerdictKind::Accepted;
  }

  std::uint64_t Version = 0;
  std::map<std::uint64_t, std::string> Texts;

private:
  VerdictKind applySnapshot(const Snapshot &snapshot) {
    const bool good =
        snapshot.Version.Value != 0 && snapshot.Version.Value <= Version &&
        configurationHash(snapshot.Whole) == snapshot.Hash &&
        canonicalText(snapshot.Whole) == Texts[snapshot.Version.Value];
    return good ? VerdictKind::Snapshot : VerdictKind::Invalid;
  }

  std::set<std::string> AcceptedIds;
};

/// Writes a seeded log as racing operators, daemons and a faulty network
/// would: changes on old versions, repeats, bad signatures, late snapshots.
class RandomLog {
public:
  explicit RandomLog(unsigned seed) : Random(seed) {}

  std::vector<LogRecord> write(std::size_t count) {
    Ids.emplace_back(recordText(wholeChange("first", 0, testConfiguration())));
    while (Records.size() < count)
      append(Records.size() == 2 ? Ids.front() : nextText());
    return Records;
  }

private:
  void append(const std::string &text) {
    Records.push_back(recordAt(Records.size(), text));
    Writer.apply(Records.back());
  }

  std::string nextText() {
    const unsigned pick = Random() % 20;
    if (pick == 0)
      return "{\"kind\":\"change\",\"id\":7}";
    if (pick <= 3)
      return Ids[Random() % Ids.size()];
    if (!Writer.configuration())
      return "not json";
    if (pick <= 5 && Pending.empty())
      Pending = Writer.snapshotText();
    if (pick == 6)
      return forgedSnapshot();
    if (pick >= 7 && pick <= 9 && !Pending.empty())
      return std::exchange(Pending, "");
    if (pick == 10)
      return Writer.snapshotText();
    return changeText();
  }

  std::string forgedSnapshot() {
    auto snapshot = std::get<Snapshot>(parseRecord(Writer.snapshotText()));
    snapshot.Whole.Accounts.clear();
    return recordText(snapshot);
  }

  std::string changeText() {
    Configuration next = *Writer.configuration();
    next.Accounts[0].RatePerSecond = 1 + Random() % 1000;
    if (Random() % 4 == 0)
      next.Accounts.push_back(
          {{"a" + std::to_string(Random() % 20)}, 1, 0, {}, 1, 1});
    if (Random() % 8 == 0)
      next.Targets[2].State = TargetState::Leaving;
    if (Random() % 10 == 0)
      next.Signers = {
          {{"mika"}, testSigner(Random() % 2 ? 'a' : 'b').publicKey()}};
    const std::uint64_t version = Writer.version().Value;
    const std::uint64_t base =
        Random() % 4 ? version : Random() % (Records.size() + 2);
    const Signer signer = testSigner(Random() % 3 ? 'a' : 'b');
    const std::string id = "c" + std::to_string(Random() % 500);
    const Change change =
        Random() % 8
            ? deltaChange(id, base, difference(*Writer.configuration(), next),
                          signer)
            : wholeChange(id, base, next, signer);
    Ids.push_back(recordText(change));
    return Ids.back();
  }

  std::mt19937 Random;
  ConfigLedger Writer;
  std::vector<LogRecord> Records;
  std::vector<std::string> Ids;
  std::string Pending;
};

/// Reads the log from the middle, with repeats, and compares what it decides.
void checkTruncated(const std::vector<LogRecord> &log, std::size_t start,
                    const std::vector<Verdict> &expected,
                    std::size_t &adopted) {
  ConfigLedger ledger;
  base::ConfigVersion highest;
  bool wasReady = false;
  for (std::size_t i = start; i < log.size(); ++i) {
    ledger.apply(log[i]);
    if (i % 7 == 0)
      CHECK(ledger.apply(log[i]).Kind == VerdictKind::Duplicate);
    REQUIRE(ledger.version() >= highest);
    highest = ledger.version();
    if (ledger.isComplete())
      REQUIRE(ledger.version() == expected[i].Version);
    else
      REQUIRE(ledger.version() == base::ConfigVersion{});
    REQUIRE((ledger.isComplete() || !wasReady));
    wasReady = ledger.isComplete();
  }
  for (const Verdict &verdict : ledger.verdicts())
    REQUIRE(verdict == expected[verdict.Offset.Value]);
  adopted += wasReady ? 1 : 0;
}

} // namespace

// Guards against readers that decide differently: whole replay, naive replay
// and readers that start at any offset must agree on every record.
TEST_CASE("all readers decide the same", "[ledger]") {
  std::map<VerdictKind, int> seen;
  std::size_t adopted = 0;
  for (unsigned seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    const auto log = RandomLog(seed).write(160);
    NaiveReplay naive;
    ConfigLedger ledger;
    std::vector<Verdict> expected;
    for (const LogRecord &record : log) {
      const VerdictKind kind = naive.apply(record);
      expected.push_back(ledger.apply(record));
      INFO(problemText(expected.back().Problems));
      REQUIRE(verdictName(expected.back().Kind) ==
              std::string(verdictName(kind)));
      REQUIRE(ledger.version().Value == naive.Version);
      ++seen[kind];
    }
    CHECK(ledger.hash() == base::sha256Hex(naive.Texts[naive.Version]));
    for (std::size_t start = 1; start < log.size(); start += 7)
      checkTruncated(log, start, expected, adopted);
  }
  CHECK(seen.size() == 6);
  CHECK(adopted > 100);
}

// Guards against losing the reason of a refusal.
TEST_CASE("a conflict names the change that won", "[ledger]") {
  ConfigLedger ledger;
  Configuration c = testConfiguration();
  CHECK(ledger.notReadyReason() == "no configuration has been accepted");
  CHECK(ledger.apply(recordAt(0, recordText(wholeChange("one", 0, c)))).Kind ==
        VerdictKind::Accepted);
  c.Accounts[0].Weight = 5;
  const ConfigDelta delta = difference(testConfiguration(), c);
  const std::string two = recordText(deltaChange("two", 1, delta));
  ledger.apply(recordAt(1, two));
  const Verdict lost =
      ledger.apply(recordAt(2, recordText(deltaChange("three", 1, delta))));
  CHECK(lost.Kind == VerdictKind::Conflict);
  CHECK(lost.Winner == AcceptedChange{"two", {1}, {2}});
  CHECK(lost.Author == "mika");
  const Verdict repeated = ledger.apply(recordAt(3, two));
  CHECK(repeated.Kind == VerdictKind::Duplicate);
  CHECK(repeated.Winner.Version.Value == 2);
  const Verdict invalid =
      ledger.apply(recordAt(4, recordText(deltaChange("four", 2, {}))));
  CHECK(invalid.Kind == VerdictKind::Accepted);
  CHECK(ledger.version().Value == 5);
}

// Guards against an unsigned record that blocks the id of a real change.
TEST_CASE("a forged record doesn't reserve its change id", "[ledger]") {
  ConfigLedger ledger;
  const Configuration c = testConfiguration();
  const auto forged = wholeChange("one", 0, c, testSigner('z'));
  CHECK(ledger.apply(recordAt(0, recordText(forged))).Kind ==
        VerdictKind::Unsigned);
  CHECK(ledger.apply(recordAt(1, recordText(wholeChange("one", 0, c)))).Kind ==
        VerdictKind::Accepted);
}

// Guards against a reader that goes back to an older version after a gap, or
// takes a first change in the middle of the log.
TEST_CASE("a reader behind a gap keeps its version", "[ledger]") {
  const Configuration c = testConfiguration();
  const std::string first = recordText(wholeChange("one", 0, c));
  ConfigLedger source;
  source.apply(recordAt(0, first));
  const std::string old = source.snapshotText();
  source.apply(recordAt(1, recordText(wholeChange("two", 1, c))));

  ConfigLedger ledger;
  CHECK(ledger.apply(recordAt(4, first)).Kind == VerdictKind::Undecided);
  CHECK_THAT(ledger.notReadyReason(), Catch::Contains("offset 4"));
  CHECK(ledger.apply(recordAt(5, old)).Kind == VerdictKind::Undecided);
  CHECK_FALSE(ledger.configuration());
  const base::WallTime now = base::fromUnixMilliseconds(1'000'000);
  CHECK(ledger.installSnapshot(source.snapshotText(), now).Kind ==
        VerdictKind::Snapshot);
  CHECK(ledger.nextOffset().Value == 2);
  CHECK(ledger.version().Value == 2);
  CHECK(ledger.installSnapshot(old, now).Kind == VerdictKind::Duplicate);
  CHECK(ledger.installSnapshot("{}", now).Kind == VerdictKind::Invalid);
  CHECK(ledger.apply(recordAt(9, "x")).Kind == VerdictKind::Undecided);
  CHECK(ledger.version().Value == 2);
  CHECK(ledger.notReadyReason().empty());
  CHECK_THROWS(ledger.snapshotText());
}

// Guards against an accepted configuration that expires from the log, and
// against all daemons appending snapshots at once.
TEST_CASE("snapshots are due within half of the retention", "[ledger]") {
  ConfigLedger ledger;
  CHECK_FALSE(ledger.snapshotDueAt({"vm"}));
  const Configuration c = testConfiguration();
  ledger.apply(recordAt(0, recordText(wholeChange("one", 0, c))));
  std::set<base::WallTime> due;
  for (int i = 0; i < 50; ++i) {
    due.insert(*ledger.snapshotDueAt({"vm-" + std::to_string(i)}));
    CHECK(*due.begin() >= base::WallTime(c.Deployment.LogRetention / 4));
    CHECK(*due.rbegin() <= base::WallTime(c.Deployment.LogRetention / 2));
  }
  CHECK(due.size() > 40);
  const auto before = *due.begin();
  ledger.apply(recordAt(1, ledger.snapshotText()));
  CHECK(*ledger.snapshotDueAt({"vm-0"}) > before);
}

// Guards against readers that disagree once the list of accepted changes is
// full: the list is bounded and a snapshot carries it.
TEST_CASE("old change ids are forgotten by all readers alike", "[ledger]") {
  Configuration c = testConfiguration();
  std::vector<LogRecord> log;
  ConfigLedger full;
  const auto append = [&](const std::string &text) {
    log.push_back(recordAt(log.size(), text));
    return full.apply(log.back());
  };
  append(recordText(wholeChange("c0", 0, c)));
  for (std::size_t i = 1; i <= RecentChanges + 20; ++i) {
    Configuration next = c;
    next.Accounts[0].Concurrency = static_cast<std::uint32_t>(i + 1);
    REQUIRE(append(recordText(deltaChange("c" + std::to_string(i),
                                          full.version().Value,
                                          difference(c, next))))
                .Kind == VerdictKind::Accepted);
    c = next;
  }
  append(full.snapshotText());
  CHECK(append(log[0].Text).Kind == VerdictKind::Conflict);
  CHECK(append(log[100].Text).Kind == VerdictKind::Duplicate);
  ConfigLedger late;
  for (std::size_t i = RecentChanges + 21; i < log.size(); ++i)
    CHECK(late.apply(log[i]) ==
          full.verdicts()[full.verdicts().size() - (log.size() - i)]);
  CHECK(late.snapshotText() == full.snapshotText());
  CHECK(full.verdicts().size() == KeptVerdicts);
}

// Guards against a forged or wrong snapshot that replaces what is in force.
TEST_CASE("a snapshot that differs from the state is refused", "[ledger]") {
  ConfigLedger ledger;
  const Configuration c = testConfiguration();
  ledger.apply(recordAt(0, recordText(wholeChange("one", 0, c))));
  auto forged = std::get<Snapshot>(parseRecord(ledger.snapshotText()));
  forged.Whole.Accounts.clear();
  forged.Hash = configurationHash(forged.Whole);
  const std::string hash = ledger.hash();
  CHECK(ledger.apply(recordAt(1, recordText(forged))).Kind ==
        VerdictKind::Invalid);
  forged.AsOf.Value = 9;
  CHECK(ledger.installSnapshot(recordText(forged), base::WallTime()).Kind ==
        VerdictKind::Duplicate);
  CHECK(ledger.apply(recordAt(8, recordText(forged))).Kind ==
        VerdictKind::Undecided);
  forged.Version.Value = 3;
  forged.Recent.back().Version.Value = 3;
  ConfigLedger complete;
  complete.apply(recordAt(0, recordText(wholeChange("one", 0, c))));
  CHECK(complete.apply(recordAt(1, recordText(forged))).Kind ==
        VerdictKind::Invalid);
  CHECK(ledger.hash() == hash);
  CHECK(complete.hash() == hash);
}

// Guards against unbounded memory while no snapshot comes, and against a
// snapshot that is taken although records after it were dropped.
TEST_CASE("held records are bounded", "[ledger]") {
  ConfigLedger source;
  source.apply(
      recordAt(0, recordText(wholeChange("one", 0, testConfiguration()))));
  ConfigLedger late;
  const std::string early = [&] {
    source.apply(recordAt(1, "x"));
    return source.snapshotText();
  }();
  for (std::size_t i = 2; i < MaximumHeldRecords + 10; ++i) {
    source.apply(recordAt(i, "x"));
    late.apply(recordAt(i, "x"));
  }
  const std::uint64_t end = source.nextOffset().Value;
  CHECK(late.apply(recordAt(end, early)).Kind == VerdictKind::Undecided);
  CHECK_FALSE(late.configuration());
  CHECK(late.apply(recordAt(end + 1, source.snapshotText())).Kind ==
        VerdictKind::Snapshot);
  CHECK(late.version().Value == 1);
}

// Guards against a version gap made by a read that delivers out of order.
TEST_CASE("a page is applied in offset order up to a hole", "[ledger]") {
  const Configuration c = testConfiguration();
  const LogRecord first = recordAt(0, recordText(wholeChange("one", 0, c)));
  const LogRecord second = recordAt(1, recordText(wholeChange("two", 1, c)));
  const LogRecord fourth = recordAt(3, recordText(wholeChange("four", 2, c)));
  ConfigLedger ledger;
  CHECK(ledger.applyPage({fourth, second, first, second}, {0}).size() == 2);
  CHECK(ledger.nextOffset().Value == 2);
  CHECK(ledger.isComplete());
  CHECK(ledger.applyPage({fourth}, {3}).size() == 1);
  CHECK_FALSE(ledger.isComplete());
  CHECK(ledger.version().Value == 2);
}
