#include "libbergamotstate/auditverifier.h"
#include "libbergamotstate/claimrecord.h"
#include "testdeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <set>
#include <thread>

using namespace bergamot;
using namespace bergamot::testpath;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;
using nlohmann::json;
using state::AuditFault;
using state::AuditKind;

namespace {

constexpr const char *Lookup = "/services/stock/stock/sheet";
constexpr const char *Reserve = "/services/stock/reservations";

/// What the log holds of one daemon's audit stream.
struct Stream {
  std::string Text;
  std::vector<state::AuditRecord> Records;
  state::AuditVerifier Verifier;

  std::uint64_t gapCount() const {
    std::uint64_t count = 0;
    for (const auto &it : Verifier.findings())
      if (it.Fault == AuditFault::Gap)
        count += it.Count;
    return count;
  }
  long count(AuditKind kind) const {
    return std::count_if(Records.begin(), Records.end(),
                         [&](const auto &it) { return it.Kind == kind; });
  }
  long count(const state::AuditQuery &query) const {
    return std::count_if(Records.begin(), Records.end(),
                         [&](const auto &it) { return matches(query, it); });
  }
};

/// Reads a stream to its end. Repeated batches are verified, but their records
/// are taken once.
Stream readStream(const TestDeployment &deployment, const std::string &vm) {
  adapterplatform::HttpLog log(deployment.platformEndpoint());
  Stream stream;
  std::set<std::string> seen;
  for (base::LogOffset next;;) {
    const auto page = log.read(state::auditStream({vm}), next, 100, in(1000ms));
    if (page.Records.empty())
      break;
    next = page.Next;
    for (const auto &record : page.Records) {
      stream.Text += record.Text;
      stream.Verifier.add(record.Text);
      auto found = state::parseBatch(record.Text);
      if (found && seen.insert(record.Text).second)
        std::move(found->Batch.Records.begin(), found->Batch.Records.end(),
                  std::back_inserter(stream.Records));
    }
  }
  stream.Verifier.finish();
  return stream;
}

void terminate(std::vector<Process> &processes) {
  for (auto &it : processes)
    it->terminate();
  for (auto &it : processes)
    CHECK(it->waitForExit(in(20s)) == 0);
}

std::string reservation(const std::string &order) {
  return json{{"order_id", order}, {"item", "sheet"}, {"quantity", 1}}.dump();
}

/// Sends plain calls from several threads and returns how many succeeded.
int runCalls(TestDeployment &deployment, int threads, int callsPerThread) {
  std::atomic<int> succeeded{0};
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(threads));
  for (int caller = 0; caller < threads; ++caller)
    callers.emplace_back([&] {
      for (int i = 0; i < callsPerThread; ++i)
        succeeded += deployment.call(0, "GET", Lookup, "").Status == 200;
    });
  for (auto &it : callers)
    it.join();
  return succeeded;
}

} // namespace

// Guards against audit streams that lack a decision, can't be verified, lose
// what waits at a graceful shutdown or expose an idempotency key.
TEST_CASE("the audit of calls and a change verifies", "[audit]") {
  TestDeployment deployment({});
  const auto keyed =
      deployment.call(0, "POST", Reserve, reservation("one"), "key-to-hide");
  REQUIRE(keyed.Status == 201);
  const auto plain = deployment.call(0, "GET", Lookup, "");
  REQUIRE(plain.Status == 200);
  const auto version = deployment.publish([](config::Configuration &config) {
    config.Targets.at(0).State = config::TargetState::Leaving;
  });
  REQUIRE(deployment.waitUntilInForce(0, version, in(10s)));
  REQUIRE(waitFor(
      [&] {
        return deployment.targetStatus(0).value("config_version", 0ULL) ==
               version;
      },
      in(10s)));
  terminate(deployment.Entries);
  terminate(deployment.Targets);

  const Stream entry = readStream(deployment, "entry0");
  CHECK(entry.Verifier.isIntact());
  CHECK(entry.Verifier.findings().empty());
  CHECK(entry.count(AuditKind::ConfigurationAccepted) == 2);
  CHECK(entry.count(AuditKind::ConfigurationInForce) >= 1);
  state::AuditQuery query;
  query.KeyHash =
      state::toText(state::claimKey({"shop"}, {"stock"}, "key-to-hide"));
  CHECK(entry.count(query) == 3); // Claim, outcome and route summary.
  CHECK(entry.Text.find("key-to-hide") == std::string::npos);
  for (const auto *response : {&keyed, &plain}) {
    const auto *id = response->header("X-Request-Id");
    REQUIRE(id != nullptr);
    state::AuditQuery byRequest;
    byRequest.Request = base::RequestId{*id};
    CHECK(entry.count(byRequest) == (response == &keyed ? 3 : 1));
  }
  const Stream target = readStream(deployment, "vm0");
  CHECK(target.Verifier.isIntact());
  CHECK(target.count(AuditKind::FailureDomainChange) == 1);
}

// Guards against a chain that breaks, and records that are lost without being
// counted, when the log is down under load or loses the answer to an append.
TEST_CASE("an outage of the log leaves a counted gap", "[audit]") {
  constexpr const char *Path = "/v1/streams/audit.entry0";
  Sizes sizes;
  sizes.Entries = 1;
  sizes.Engines = 1;
  sizes.EntryFlags = {"--audit_memory_kib=16"};
  TestDeployment deployment(sizes);
  deployment.setPlatformFaults({{"down", true}, {"path", Path}});
  int calls = 1; // The deployment's own warm-up call.
  calls += runCalls(deployment, 4, 100);
  REQUIRE(calls == 401);
  deployment.setPlatformFaults({{"clear", true}});
  REQUIRE(
      waitFor([&] { return readStream(deployment, "entry0").gapCount() > 0; },
              in(20s)));
  // Nothing reads the stream until the daemon appends its last batch.
  deployment.setPlatformFaults({{"lose_answers", 1}, {"path", Path}});
  calls += runCalls(deployment, 2, 10);
  terminate(deployment.Entries);

  const Stream stream = readStream(deployment, "entry0");
  CHECK(stream.Verifier.isIntact());
  CHECK(stream.gapCount() > 0);
  const auto routes =
      static_cast<std::uint64_t>(stream.count(AuditKind::RouteSummary));
  CHECK(routes + stream.gapCount() == static_cast<std::uint64_t>(calls));
}
