// Counting requests by client account and window.
#include "libbergamotbase/jsoncodec.h"
#include "libbergamotusage/clockestimate.h"
#include "libbergamotusage/reportrecord.h"
#include "libbergamotusage/usageledger.h"
#include "libbergamotusage/usagemessage.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

using namespace bergamot;
using namespace bergamot::usage;
using namespace std::chrono_literals;

namespace {

constexpr WindowNumber FirstWindow = 1000;

/// A time after the start of FirstWindow.
base::WallTime at(std::chrono::milliseconds time) {
  return base::WallTime(FirstWindow * 5000ms + time);
}

base::TimePoint steady(std::chrono::milliseconds time) {
  return base::TimePoint(1h + time);
}

UsageLedger makeLedger(const std::string &entry, std::uint64_t start = 1) {
  return {{entry, start}, LedgerSettings{}};
}

void exchange(const UsageLedger &from, UsageLedger &to) {
  for (const auto &it : from.ownUsage(0))
    to.merge(from.ownSource(), it);
}

} // namespace

TEST_CASE("windows are counted from the Unix epoch") {
  CHECK(windowAt(base::WallTime(1767225600000ms), 5000ms) == 353445120);
  CHECK(windowEnd(353445120, 5000ms) == base::WallTime(1767225605000ms));
  CHECK(windowAt(at(-1ms), 5000ms) == FirstWindow - 1);
}

TEST_CASE("a window is complete once all sources have finalized it") {
  UsageLedger holder = makeLedger("a");
  UsageLedger other = makeLedger("b");
  holder.advance(at(0ms));
  other.advance(at(0ms));
  holder.addRequest("x", at(10ms));
  other.addRequest("x", at(20ms));
  other.addRequest("y", at(4990ms));
  exchange(other, holder);
  holder.advance(at(5400ms));
  CHECK(holder.completeWindows(0, at(5400ms)).empty());
  other.advance(at(5400ms));
  exchange(other, holder);
  const auto complete = holder.completeWindows(0, at(5400ms));
  REQUIRE(complete.size() == 1);
  CHECK(complete[0] ==
        WindowUsage{FirstWindow, AccountCounts{{"x", 2}, {"y", 1}}});
  CHECK(holder.completeWindows(FirstWindow, at(5400ms)).empty());
}

TEST_CASE("a source that has fallen silent is waited for, but not forever") {
  UsageLedger holder = makeLedger("a");
  UsageLedger killed = makeLedger("b");
  holder.advance(at(0ms));
  killed.advance(at(0ms));
  killed.addRequest("x", at(10ms));
  exchange(killed, holder);
  holder.advance(at(5400ms));
  CHECK(holder.openWindow(0, at(5400ms), 300ms) == FirstWindow);
  CHECK(holder.completeWindows(0, at(6900ms)).empty());
  const auto complete = holder.completeWindows(0, at(7000ms));
  REQUIRE(complete.size() == 1);
  CHECK(complete[0].Counts == AccountCounts{{"x", 1}});
  SECTION("its next window, which it hasn't mentioned, counts as open too") {
    killed.advance(at(5400ms));
    exchange(killed, holder);
    CHECK_FALSE(holder.hasOpenSources(FirstWindow));
    UsageLedger observer = makeLedger("c");
    observer.advance(at(5400ms));
    observer.merge({"b", 1}, killed.ownUsage(0).front());
    CHECK(observer.hasOpenSources(FirstWindow + 1));
  }
}

TEST_CASE("counts of an entry's earlier process are kept") {
  UsageLedger holder = makeLedger("a");
  holder.advance(at(0ms));
  UsageLedger before = makeLedger("b", 1);
  UsageLedger after = makeLedger("b", 2);
  before.advance(at(0ms));
  after.advance(at(3000ms));
  before.addRequest("x", at(100ms));
  after.addRequest("x", at(3100ms));
  exchange(before, holder);
  exchange(after, holder);
  CHECK(holder.total(FirstWindow) == AccountCounts{{"x", 2}});
  CHECK(holder.totalByEntry(FirstWindow)["b"] == 2);
}

TEST_CASE("a request that is noticed late counts in the next open window") {
  UsageLedger ledger = makeLedger("a");
  ledger.advance(at(5400ms));
  ledger.addRequest("x", at(4900ms));
  CHECK(ledger.total(FirstWindow).empty());
  CHECK(ledger.total(FirstWindow + 1) == AccountCounts{{"x", 1}});
}

TEST_CASE("totals don't depend on lost, repeated and reordered messages") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    UsageLedger holder = makeLedger("holder");
    holder.advance(at(0ms));
    std::vector<UsageLedger> sources;
    sources.reserve(4);
    for (int i = 0; i < 4; ++i)
      sources.push_back(makeLedger("e" + std::to_string(i % 3), 7 + i));
    std::map<WindowNumber, AccountCounts> expected;
    std::vector<std::pair<UsageSource, SourceUsage>> messages;
    for (auto time = 0ms; time < 15s; time += 50ms) {
      for (auto &it : sources) {
        it.advance(at(time));
        if (random() % 3 != 0)
          continue;
        const std::string account = "account" + std::to_string(random() % 5);
        it.addRequest(account, at(time));
        ++expected[windowAt(at(time), 5000ms)][account];
      }
      for (const auto &it : sources)
        for (const auto &usage : it.ownUsage(0))
          messages.emplace_back(it.ownSource(), usage);
    }
    // The last message of each source arrives at least.
    std::vector<std::size_t> order;
    const std::size_t lastOnes = sources.size() * 3;
    for (std::size_t i = 0; i < messages.size(); ++i)
      if (i + lastOnes >= messages.size() || random() % 2 == 0)
        order.insert(order.end(), 1 + random() % 2, i);
    std::shuffle(order.begin(), order.end(), random);
    holder.advance(at(15s));
    for (const std::size_t i : order)
      holder.merge(messages[i].first, messages[i].second);
    CAPTURE(seed);
    for (const auto &[window, counts] : expected)
      REQUIRE(holder.total(window) == counts);
  }
}

TEST_CASE("windows far from the current one are ignored") {
  UsageLedger ledger = makeLedger("a");
  ledger.advance(at(0ms));
  ledger.merge({"b", 1}, {{FirstWindow + 100, {{"x", 1}}}, std::nullopt});
  ledger.merge({"b", 1}, {{FirstWindow - 100, {{"x", 1}}}, std::nullopt});
  CHECK(ledger.total(FirstWindow + 100).empty());
  CHECK(ledger.total(FirstWindow - 100).empty());
}

TEST_CASE("the clock estimate isn't affected by jumps of a few clocks") {
  // Guards against requests that are counted in the wrong window after a VM's
  // time of day has jumped.
  ClockEstimate clock;
  clock.setOwnClock(at(0ms), steady(0ms));
  for (int i = 0; i < 6; ++i)
    clock.setClock("e" + std::to_string(i), at(std::chrono::milliseconds(i)),
                   steady(0ms));
  CHECK(clock.at(steady(100ms)) >= at(100ms));
  CHECK(clock.at(steady(100ms)) <= at(106ms));
  const auto jump = GENERATE(2000ms, -2000ms);
  clock.setOwnClock(at(1000ms + jump), steady(1000ms));
  clock.setClock("e0", at(1000ms + jump), steady(1000ms));
  CHECK(clock.at(steady(1000ms)) >= at(1000ms));
  CHECK(clock.at(steady(1000ms)) <= at(1006ms));
  clock.removeExpired(steady(9s));
  CHECK(clock.entries().empty());
  CHECK(clock.at(steady(1000ms)) == at(1000ms + jump));
}

TEST_CASE("messages round-trip, also in several parts") {
  UsageMessage message;
  message.Source = {"e1", 12};
  message.Clock = at(42ms);
  message.Holder = {17, FirstWindow, true};
  SourceUsage usage;
  usage.Usage.Window = FirstWindow;
  for (int i = 0; i < 1234; ++i)
    usage.Usage.Counts["account" + std::to_string(i)] =
        static_cast<std::uint64_t>(i) + 1;
  usage.FinalTotal = totalRequests(usage.Usage.Counts);
  message.Usage.push_back(usage);
  const auto datagrams = encodeUsageMessage(message);
  CHECK(datagrams.size() == 3);
  UsageLedger ledger = makeLedger("a");
  ledger.advance(at(0ms));
  for (std::size_t i = 0; i < datagrams.size(); ++i) {
    const auto decoded = decodeUsageMessage(datagrams[i]);
    REQUIRE(decoded);
    CHECK(decoded->Source == message.Source);
    CHECK(decoded->Clock == message.Clock);
    CHECK(decoded->Holder == message.Holder);
    // While a part is missing, the window isn't final.
    CHECK(ledger.hasOpenSources(FirstWindow) == true);
    for (const auto &it : decoded->Usage)
      ledger.merge(decoded->Source, it);
  }
  ledger.advance(at(5400ms));
  CHECK_FALSE(ledger.hasOpenSources(FirstWindow));
  CHECK(ledger.total(FirstWindow) == usage.Usage.Counts);
}

// Old and new versions run side by side during an upgrade.
TEST_CASE("a report record's era is optional") {
  const ReportRecord record{"e", (1ULL << 32) + 3, 7, {}, 2};
  const std::string bytes = encodeReportRecord(record);
  CHECK(decodeReportRecord(bytes) == record);
  // A former version reads the other fields.
  const auto it = nlohmann::json::from_cbor(bytes);
  CHECK(it.at("holder") == "e");
  CHECK(it.at("token").get<std::uint64_t>() == record.Token);
  CHECK(it.at("last_fixed").get<WindowNumber>() == 7);
  CHECK(it.at("unconfirmed").is_array());
  // And writes none.
  const auto former = decodeReportRecord(
      base::toCbor({{"holder", "e"},
                    {"token", 3},
                    {"last_fixed", 7},
                    {"unconfirmed", nlohmann::json::array()}}));
  REQUIRE(former);
  CHECK(former->Era == FirstStoreEra);
}

TEST_CASE("malformed messages and records are rejected") {
  UsageMessage message;
  message.Source = {"e1", 12};
  message.Usage.push_back({{FirstWindow, {{"x", 3}}}, 3});
  const std::string bytes = encodeUsageMessage(message).front();
  for (std::size_t i = 0; i < bytes.size(); ++i)
    CHECK_FALSE(decodeUsageMessage(bytes.substr(0, i)));
  ReportRecord record{"e1", 9, FirstWindow, {{FirstWindow, {{"x", 3}}}}};
  const std::string stored = encodeReportRecord(record);
  CHECK(decodeReportRecord(stored) == record);
  for (std::size_t i = 0; i < stored.size(); ++i)
    CHECK_FALSE(decodeReportRecord(stored.substr(0, i)));
}
