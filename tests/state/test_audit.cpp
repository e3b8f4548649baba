#include "fakelog.h"
#include "libbergamotbase/error.h"
#include "libbergamotstate/auditchain.h"
#include "libbergamotstate/auditverifier.h"
#include "libbergamotstate/hash128.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamot;
using namespace bergamot::state;

namespace {

AuditRecord record(std::uint64_t n) {
  AuditRecord result;
  result.Kind = AuditKind::Claim;
  result.Time = wallAt(std::int64_t(n));
  result.Request = {"r" + std::to_string(n)};
  result.Account = {"acc" + std::to_string(n % 3)};
  result.KeyHash = toText(hash128("k"));
  result.ConfigurationVersion = {n % 5};
  result.Detail = R"({"note":"a \"quoted\" ä"})";
  return result;
}

/// Returns the lines of an intact chain.
std::vector<std::string> chain(std::uint64_t batches,
                               std::uint64_t incarnation = 1,
                               AuditLink *last = nullptr) {
  std::vector<std::string> lines;
  AuditBatch batch;
  batch.Daemon = {"d"};
  batch.Link.Incarnation = {incarnation};
  if (last != nullptr)
    batch.PriorLastLink = *last;
  for (std::uint64_t i = 1; i <= batches; ++i) {
    batch.PreviousHash = i == 1 ? "" : batch.Link.Hash;
    batch.Link.Sequence = i;
    batch.Records = {record(2 * i), record(2 * i + 1)};
    lines.push_back(sealBatch(batch));
  }
  if (last != nullptr)
    *last = batch.Link;
  return lines;
}

std::vector<AuditFinding> verify(const std::vector<std::string> &lines) {
  AuditVerifier verifier;
  for (const auto &it : lines)
    verifier.add(it);
  verifier.finish();
  return verifier.findings();
}

/// Runs the writer against a faulty log, then flushes it, and returns the
/// number of dropped records.
std::uint64_t runWriter(FakeLog &log, AuditChain &chain, std::uint64_t seed) {
  SeededRandom random(seed);
  std::uint64_t reads = 0;
  std::int64_t now = 0;
  for (int step = 0; step < 3000; ++step, now += 10) {
    const bool draining = step >= 1500;
    log.Down = !draining && (step / 300) % 2 == 1;
    log.tick(now);
    if (!draining && random.chance(30))
      chain.add(record(std::uint64_t(step)), at(now));
    if (draining)
      chain.requestFlush();
    for (const auto &it : chain.takeActions(at(now))) {
      if (const auto *p = std::get_if<AuditAppend>(&it)) {
        const auto end = log.end();
        if (log.append({p->Text}, now, 30) == FakeLog::Response::Ok)
          chain.recordAppended(p->AppendNumber, {end});
        else if (random.chance(50))
          chain.recordUnconfirmed(p->AppendNumber, at(now));
      } else if (!log.Down) {
        const auto &q = std::get<AuditReadBack>(it);
        for (const auto &found : log.read(q.From.Value, 100000)) {
          chain.apply(found);
          ++reads;
        }
        chain.finishReadBack(q.AppendNumber);
      }
    }
  }
  CHECK(chain.isFullyConfirmed());
  CHECK(reads > 0);
  return chain.droppedCount();
}

} // namespace

// Guards against fields lost in serialization and undetected changes of any
// byte.
TEST_CASE("batches round-trip and detect any changed byte", "[audit]") {
  AuditBatch batch{{"vm/1"},
                   {{4}, 2, ""},
                   "ab",
                   {{3}, 9, "cd"},
                   {5, wallAt(1), wallAt(2)},
                   {record(1), record(2)}};
  const std::string text = sealBatch(batch);
  const auto parsed = parseBatch(text);
  REQUIRE(parsed);
  CHECK(parsed->HashMatches);
  CHECK(parsed->Batch == batch);
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    const auto found = parseBatch(changed);
    CHECK_FALSE((found && found->HashMatches));
  }
}

// Guards against tampering that the verifier doesn't detect.
TEST_CASE("removed, changed and reordered batches are detected", "[audit]") {
  const auto intact = chain(20);
  CHECK(verify(intact).empty());
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    auto lines = intact;
    const auto i = 1 + random.below(18);
    const auto position = lines.begin() + std::ptrdiff_t(i);
    AuditFault expected = AuditFault::Missing;
    switch (random.below(4)) {
    case 0:
      lines.erase(position);
      break;
    case 1:
      std::iter_swap(position, position - 1);
      expected = AuditFault::Reordered;
      break;
    case 2:
      position->replace(position->find("acc"), 4, "ACC1");
      expected = AuditFault::Changed;
      break;
    default: {
      // The changed batch gets a valid hash, which the next batch doesn't refer
      // to.
      auto batch = parseBatch(*position)->Batch;
      batch.Records.pop_back();
      *position = sealBatch(batch);
      expected = AuditFault::Changed;
    }
    }
    const auto found = verify(lines);
    REQUIRE(found.size() == 1);
    CHECK(found[0].Fault == expected);
    CHECK(found[0].Sequence >= i);
    CHECK(found[0].Sequence <= i + 1);
  }
}

// Guards against undetected truncation, mixed-up incarnations and false
// positives.
TEST_CASE("verification continues across exports and restarts", "[audit]") {
  AuditLink last;
  auto lines = chain(10, 1, &last);
  const auto second = chain(5, 2, &last);
  AuditVerifier first;
  for (int i = 0; i < 7; ++i)
    first.add(lines[std::size_t(i)]);
  first.finish();
  CHECK(first.isIntact());
  SECTION("all batches follow, some of them twice") {
    AuditVerifier next(first.checkpoint());
    for (std::size_t i = 5; i < lines.size(); ++i)
      next.add(lines[i]);
    for (const auto &it : second)
      next.add(it);
    next.finish();
    CHECK(next.isIntact());
    CHECK(next.duplicateCount() == 2);
    CHECK(next.batchCount() == 8);
  }
  SECTION("the end of the first incarnation is missing") {
    AuditVerifier next(first.checkpoint());
    for (const auto &it : second)
      next.add(it);
    next.finish();
    REQUIRE(next.findings().size() == 1);
    CHECK(next.findings()[0].Fault == AuditFault::Missing);
    CHECK(next.findings()[0].Sequence == 8);
    CHECK(next.findings()[0].Count == 3);
  }
  CHECK_THROWS_AS(AuditVerifier("{}"), base::Error);
}

// Guards against lost or duplicate records and wrong gap counts when responses
// are lost, appends are stored late or twice, or the log is unavailable.
TEST_CASE("a faulty log yields an intact chain", "[audit][property]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    FakeLog log(seed, 1000000);
    AuditSettings settings;
    settings.MaxUnconfirmedBytes = seed % 2 == 0 ? 3000 : 1000000;
    settings.MaxBatchBytes = 1000;
    settings.MaxWait = std::chrono::milliseconds(200);
    settings.AppendTimeout = settings.ReadBackInterval =
        std::chrono::milliseconds(50);
    AuditChain chain({"d"}, {1}, {}, settings);
    const auto dropped = runWriter(log, chain, seed);
    AuditVerifier verifier;
    std::uint64_t gaps = 0;
    for (const auto &it : log.read(0, 100000))
      verifier.add(it.Data);
    verifier.finish();
    CHECK(verifier.isIntact());
    for (const auto &it : verifier.findings())
      gaps += it.Count;
    CHECK(gaps == dropped);
    CHECK((dropped > 0) == (seed % 2 == 0));
    CHECK(verifier.batchCount() == chain.lastLink().Sequence);
    CHECK(chain.conflictCount() == 0);
  }
}

// Guards against records that a query doesn't find.
TEST_CASE("records match by each id and by time", "[audit]") {
  AuditQuery query;
  CHECK(matches(query, record(7)));
  query.Request = base::RequestId{"r7"};
  query.Account = base::AccountId{"acc1"};
  query.ConfigurationVersion = base::ConfigVersion{2};
  query.KeyHash = record(0).KeyHash;
  query.From = query.To = wallAt(7);
  CHECK(matches(query, record(7)));
  CHECK_FALSE(matches(query, record(8)));
  query.To = wallAt(6);
  CHECK_FALSE(matches(query, record(7)));
}
