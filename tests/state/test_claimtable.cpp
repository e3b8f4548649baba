#include "fakelog.h"
#include "libbergamotstate/claimtable.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::state;

namespace {

constexpr std::int64_t WindowMs = 1000;

ClaimRecord claim(const std::string &entry, std::uint64_t n, Hash128 key,
                  Hash128 fingerprint = {7, 7}) {
  return {ClaimKind::Claim, {{entry}, {1}, n}, key, fingerprint, {}};
}

ClaimRecord endRecord(ClaimKind kind, const ClaimRecord &of,
                      Outcome outcome = {}) {
  return {kind, of.Id, of.Key, {}, std::move(outcome)};
}

/// Applies records at ascending offsets.
struct Replay {
  ClaimTable Table{std::chrono::milliseconds(WindowMs)};
  std::uint64_t Offset = 0;

  ClaimState apply(const ClaimRecord &record, std::int64_t ms) {
    return Table.apply({{Offset++}, wallAt(ms), toText(record)}).Answer.State;
  }
};

/// Reference implementation that scans all records for each lookup.
class ReferenceTable {
public:
  void apply(const ClaimRecord &record, std::int64_t ms) {
    Now = std::max(Now, ms);
    Log.push_back({record, ms});
  }

  ClaimState answer(const Hash128 &key, const Hash128 &fingerprint) const {
    const ClaimRecord *holder = nullptr;
    bool completed = false;
    for (std::size_t i = 0; i < Log.size(); ++i) {
      const auto &[record, ms] = Log[i];
      if (record.Key != key || ms + WindowMs <= Now || isDuplicate(i))
        continue;
      const bool done = has(ClaimKind::Completed, record);
      if (!done && has(ClaimKind::Withdrawn, record))
        continue;
      if (holder == nullptr || (done && !completed))
        holder = &record;
      completed |= done;
    }
    if (holder == nullptr)
      return ClaimState::Free;
    if (holder->Kind == ClaimKind::Claim && holder->Fingerprint != fingerprint)
      return ClaimState::FingerprintMismatch;
    return completed ? ClaimState::Completed : ClaimState::InProgress;
  }

private:
  bool isDuplicate(std::size_t end) const {
    for (std::size_t i = 0; i < end; ++i)
      if (Log[i].first.Id == Log[end].first.Id)
        return true;
    return false;
  }

  bool has(ClaimKind kind, const ClaimRecord &of) const {
    for (const auto &it : Log)
      if (it.first.Kind == kind && it.first.Id == of.Id)
        return true;
    return false;
  }

  std::vector<std::pair<ClaimRecord, std::int64_t>> Log;
  std::int64_t Now = 0;
};

} // namespace

// Guards against fields lost or altered in serialization.
TEST_CASE("claim records round-trip", "[claims]") {
  ClaimRecord record = claim("vm/a", 3, {1, 2});
  CHECK(parseClaimRecord(toText(record)) == record);
  record = endRecord(ClaimKind::Completed, record,
                     makeOutcome(201, "text/plain", "bytes \xff\x01"));
  CHECK(parseClaimRecord(toText(record)) == record);
  const auto large =
      makeOutcome(200, "", std::string(MaxStoredBodyBytes + 1, 'x'));
  CHECK_FALSE(large.BodyStored);
  CHECK(large.BodyHash.size() == 64);
  for (const char *text : {"", "[]", "{}", R"({"kind":"claim"})",
                           R"({"kind":1,"claim":"a/1/1","key":"0"})"})
    CHECK_FALSE(parseClaimRecord(text));
}

// Guards against a key of one client account matching that of another.
TEST_CASE("keys are scoped by account and service", "[claims]") {
  const auto key = claimKey({"a"}, {"bc"}, "k");
  CHECK(key != claimKey({"ab"}, {"c"}, "k"));
  CHECK(key != claimKey({"a"}, {"b"}, "ck"));
  CHECK(claimPartition(key, 8) < 8);
  CHECK(claimStream(3, 8) == "claims.3");
  CHECK(claimStream(0, 1) == "claims");
}

// Guards against a second winner, and a key that is never released.
TEST_CASE("the first claim wins until withdrawal or expiry", "[claims]") {
  Replay log;
  const auto a = claim("a", 1, {1, 1});
  const auto b = claim("b", 1, {1, 1});
  CHECK(log.apply(a, 0) == ClaimState::Won);
  CHECK(log.apply(b, 1) == ClaimState::InProgress);
  CHECK(log.apply(claim("c", 1, {1, 1}, {8, 8}), 1) ==
        ClaimState::FingerprintMismatch);
  log.apply(endRecord(ClaimKind::Withdrawn, a), 2);
  log.apply(endRecord(ClaimKind::Withdrawn, b), 3);
  log.apply(endRecord(ClaimKind::Withdrawn, claim("c", 1, {1, 1})), 3);
  CHECK(log.apply(claim("d", 1, {1, 1}), 4) == ClaimState::Won);
  CHECK(log.apply(claim("e", 1, {1, 1}), 4 + WindowMs) == ClaimState::Won);
}

// Guards against an append that takes effect after its withdrawal, or twice.
TEST_CASE("late and duplicate claims don't hold the key", "[claims]") {
  Replay log;
  const auto a = claim("a", 1, {1, 1});
  log.apply(endRecord(ClaimKind::Withdrawn, a), 0);
  log.apply(a, 1);
  CHECK(log.Table.answer({1, 1}, {7, 7}).State == ClaimState::Free);
  CHECK(log.apply(claim("b", 1, {1, 1}), 2) == ClaimState::Won);
}

// Guards against a repeated request that waits for an ended incarnation.
TEST_CASE("claims of an ended incarnation are unknown", "[claims]") {
  Replay log;
  const auto a = claim("a", 1, {1, 1});
  log.apply(a, 0);
  log.Table.setIncarnationEnded({"a"}, {1});
  CHECK(log.apply(claim("b", 1, {1, 1}), 1) == ClaimState::Unknown);
  // An outcome that arrives late is still returned.
  log.apply(endRecord(ClaimKind::Completed, a, makeOutcome(200, "", "ok")), 2);
  const auto found = log.Table.answer({1, 1}, {7, 7});
  CHECK(found.State == ClaimState::Completed);
  CHECK(found.RequestOutcome.Body == "ok");
}

// Guards against undetected loss of claims that are still needed.
TEST_CASE("records dropped within the window are reported", "[claims]") {
  Replay log;
  log.apply(claim("a", 1, {1, 1}), 0);
  log.Table.setEarliestOffset({1}, wallAt(WindowMs));
  CHECK(log.Table.retentionViolations() == 0);
  log.Table.setEarliestOffset({1}, wallAt(WindowMs - 1));
  CHECK(log.Table.retentionViolations() == 1);
}

// Guards against differences between the indexed table and a linear scan.
TEST_CASE("the table matches a linear scan", "[claims][differential]") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    Replay log;
    ReferenceTable reference;
    std::vector<std::pair<ClaimRecord, std::int64_t>> claims;
    std::int64_t ms = 0;
    for (int step = 0; step < 150; ++step) {
      ms += std::int64_t(random.below(40));
      const Hash128 key{1, random.below(5)};
      const Hash128 fingerprint{7, random.below(8) == 0};
      ClaimRecord record = claim("e" + std::to_string(random.below(3)),
                                 std::uint64_t(step), key, fingerprint);
      // Duplicates, withdrawals and outcomes refer only to claims within the
      // window; the property test of the batcher covers later ones.
      std::erase_if(claims, [&](const auto &it) {
        return it.second + WindowMs / 2 <= ms;
      });
      if (claims.empty() || random.chance(40))
        claims.emplace_back(record, ms);
      else
        record = claims[random.below(claims.size())].first;
      if (const auto kind = random.below(6); kind < 2)
        record = endRecord(ClaimKind::Withdrawn, record);
      else if (kind == 2)
        record =
            endRecord(ClaimKind::Completed, record, makeOutcome(200, "", ""));
      const auto expected = [&] {
        reference.apply(record, ms);
        return reference.answer(key, fingerprint);
      };
      log.apply(record, ms);
      REQUIRE(log.Table.answer(key, fingerprint).State == expected());
    }
  }
}
