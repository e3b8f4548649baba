#include "config/fixtures.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/recordfields.h"
#include "libbergamotconfig/validate.h"
#include "libbergamotconfig/verifier.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bergamot;
using namespace bergamot::config;

namespace {

bool hasProblem(const std::vector<Problem> &problems, const std::string &path) {
  return std::any_of(problems.begin(), problems.end(),
                     [&](const Problem &p) { return p.Path == path; });
}

} // namespace

// Guards against two texts, and so two hashes, for one configuration.
TEST_CASE("the canonical text doesn't depend on the order of objects",
          "[schema]") {
  Configuration a = testConfiguration();
  const std::string text = canonicalText(a);
  std::reverse(a.Targets.begin(), a.Targets.end());
  std::reverse(a.Services.begin(), a.Services.end());
  CHECK(canonicalText(a) == text);
  CHECK(parseJson(text).dump() == text);
  CHECK(canonicalText(parseConfiguration(text)) == text);
  CHECK(canonicalText(parseConfiguration(readableText(a))) == text);
  CHECK(configurationHash(a) == base::sha256Hex(text));
  CHECK(parseConfiguration(text) == testConfiguration());
}

// Guards against a reader that drops a misspelt or repeated member.
TEST_CASE("the reader reports every fault with its path", "[schema]") {
  Json json = parseJson(canonicalText(testConfiguration()));
  json["accounts"][0]["wieght"] = 3;
  json["accounts"][0]["weight"] = -1;
  json["targets"][1]["state"] = "gone";
  json["services"][0]["limits"].erase("slots");
  CHECK_THROWS_WITH(
      parseConfiguration(json.dump()),
      Catch::Contains("/accounts/0/wieght: is not a known member") &&
          Catch::Contains("/accounts/0/weight: must be a whole number") &&
          Catch::Contains(
              "/targets/1/state: must be one of: active, leaving") &&
          Catch::Contains("/services/0/limits/slots: is missing"));
  CHECK_THROWS_WITH(parseConfiguration(R"({"schema":1,"schema":2})"),
                    Catch::Contains("duplicate member 'schema'"));
  CHECK_THROWS_AS(parseConfiguration(std::string(40, '[')), base::Error);
  CHECK_THROWS_AS(parseConfiguration("{\"schema\":\"\xff\"}"), base::Error);
}

// Guards against a check that stops at the first problem or misses one.
TEST_CASE("validation finds all problems at once", "[validate]") {
  REQUIRE(validate(testConfiguration()).empty());
  Configuration c = testConfiguration();
  c.Signers.push_back({{"other"}, c.Signers[0].PublicKey});
  c.Accounts.push_back(c.Accounts[0]);
  c.Accounts[0].Weight = 0;
  c.Accounts[0].Keys[0].Salt = "00";
  c.Targets[2].State = TargetState::Leaving;
  c.Targets[1].PeerEndpoint = c.Entries[0].PeerEndpoint;
  c.Targets[1].Domain = {"d9"};
  c.Targets[0].Vm = {"vm-e1"};
  c.ExpertGroups[0].Ranks = {{"t1"}, {"t1"}, {"t3"}, {"t9"}};
  c.ExpertGroups[0].SlotsPerRank = 0;
  c.Services[0].Limits.MaximumBodyBytes = 1U << 20;
  c.Services[0].Limits.ColdSlots = 9;
  c.Services[1].RepeatRules[0].Method = "get";
  c.Deployment.LogRetention = c.Deployment.IdempotencyWindow;
  const auto problems = validate(c);
  for (const char *path :
       {"/signers/1/public_key", "/accounts/1/id", "/accounts/0/weight",
        "/accounts/0/keys/0/salt", "/services/1", "/targets/1/peer_endpoint",
        "/targets/1/failure_domain", "/targets/0/vm", "/expert_groups/0",
        "/expert_groups/0/ranks/1", "/expert_groups/0/ranks/2",
        "/expert_groups/0/ranks/3", "/expert_groups/0/slots_per_rank",
        "/services/0/limits/max_body_bytes", "/services/0/limits/cold_slots",
        "/services/1/repeat_rules/0/method", "/settings/log_retention_s"}) {
    INFO(path);
    CHECK(hasProblem(problems, path));
  }
  CHECK(problems.size() == 17);
}

// Guards against a rule that keeps a failed domain in service because the
// removal is refused.
TEST_CASE("a domain with the only targets of a service can be removed",
          "[validate]") {
  Configuration c = testConfiguration();
  c.FailureDomains[1].State = DomainState::Removed;
  CHECK(validate(c).empty());
}

// Guards against repeating work that must run once: rules by longest prefix at
// segment borders, safe defaults, and paths a back end resolves differently.
TEST_CASE("repeat rules decide which calls are idempotent", "[lookup]") {
  const Configuration c = testConfiguration();
  const Service &chat = c.Services[0];
  const Service &orders = c.Services[1];
  CHECK(isIdempotent(chat, "POST", "/v1/chat/completions"));
  CHECK_FALSE(isIdempotent(chat, "POST", "/v1/embeddings"));
  CHECK_FALSE(isIdempotent(orders, "POST", "/v1/chat/completions"));
  CHECK(isIdempotent(orders, "GET", "/stock?id=1"));
  CHECK_FALSE(isIdempotent(orders, "PUT", "/stock"));
  CHECK(isIdempotent(orders, "POST", "/quotes"));
  CHECK(isIdempotent(orders, "POST", "/quotes/7/"));
  CHECK_FALSE(isIdempotent(orders, "POST", "/quotes-and-orders"));
  CHECK_FALSE(isIdempotent(orders, "POST", "/quotes/book"));
  CHECK(isIdempotent(orders, "PUT", "/quotes/book"));
  CHECK_FALSE(isIdempotent(orders, "GET", "/reports/1"));
  for (const char *path :
       {"/quotes/../orders", "/quotes/%2e%2E/orders", "/quotes//orders",
        "/quotes/..", "/quotes%2Forders", "/quotes\\..\\orders"})
    CHECK_FALSE(isIdempotent(orders, "POST", path));
}

// Guards against access with a wrong key or with the key of another account.
TEST_CASE("an API key finds its account only", "[lookup]") {
  auto c = std::make_shared<Configuration>(testConfiguration());
  c->Accounts.push_back(
      {{"net.loft"}, 1, 0, {hashApiKey("12345678", "net.loft.k2")}, 5, 5});
  const ConfigurationIndex index(c);
  REQUIRE(index.accountByKey("rope-shop.secret") != nullptr);
  CHECK(index.accountByKey("rope-shop.secret")->Id.Value == "rope-shop");
  CHECK(index.accountByKey("net.loft.k2")->Id.Value == "net.loft");
  for (const char *key : {"", ".", "secret", "rope-shop", "rope-shop.",
                          "rope-shop.other", "net.loft.secret"})
    CHECK(index.accountByKey(key) == nullptr);
  CHECK(index.serviceByModel("m2")->Id.Value == "chat");
  CHECK(index.serviceByModel("m3") == nullptr);
  CHECK(index.targetByVm("vm-3")->Id.Value == "t3");
}

// Guards against a delta that doesn't lead to the wanted configuration.
TEST_CASE("a difference applied gives the other configuration", "[delta]") {
  const Configuration from = testConfiguration();
  Configuration to = from;
  to.Accounts[0].Weight = 7;
  to.Accounts.push_back({{"a"}, 1, 0, {}, 1, 1});
  to.Targets[0].State = TargetState::Leaving;
  to.ExpertGroups.clear();
  to.Deployment.WeightStoreBytesPerSecond = 5;
  const ConfigDelta delta = difference(from, to);
  CHECK(summaryLines(delta) ==
        std::vector<std::string>{"+ account a", "~ account rope-shop",
                                 "~ target t1", "- expert group g",
                                 "~ settings"});
  Configuration applied = from;
  CHECK(applyDelta(applied, delta).empty());
  CHECK(canonicalText(applied) == canonicalText(to));
  CHECK(difference(to, applied).empty());
  CHECK(applyDelta(applied, delta).size() == 2);
  const auto parsed = parseRecord(recordText(deltaChange("c1", 4, delta)));
  CHECK(std::get<Change>(parsed) == deltaChange("c1", 4, delta));
}

// Guards against accepting an altered text, an altered signature or another
// key, and against a sign function that isn't RFC 8032.
TEST_CASE("signatures are Ed25519", "[signature]") {
  const Signer signer(base::fromHex("9d61b19deffd5a60ba844af492ec2cc44449c5697b"
                                    "326919703bac031cae7f60"));
  CHECK(signer.publicKey() == "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325"
                              "af021a68f707511a");
  std::string signature = signer.sign("");
  CHECK(signature.starts_with("e5564300c360ac729086e2cc806e828a"));
  CHECK(Verifier(signer.publicKey()).verifies("", signature));
  CHECK_FALSE(Verifier(signer.publicKey()).verifies("x", signature));
  CHECK_FALSE(Verifier(testSigner().publicKey()).verifies("", signature));
  CHECK_FALSE(Verifier("00").verifies("", signature));
  signature[5] = signature[5] == '0' ? '1' : '0';
  CHECK_FALSE(Verifier(signer.publicKey()).verifies("", signature));
  CHECK_THROWS_AS(Signer("short"), base::Error);
}

// Guards against crashes and unstable texts on malformed records. The corpus
// is fixed and the mutations are seeded.
TEST_CASE("mutated documents are refused or read back unchanged", "[fuzz]") {
  const std::vector<std::string> corpus = {
      canonicalText(testConfiguration()),
      recordText(wholeChange("c", 0, testConfiguration()))};
  std::mt19937 random(20240501);
  std::size_t readable = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string text = corpus[i % corpus.size()];
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      const std::size_t at = random() % text.size();
      switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, random() % 8);
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), random() % 8));
      }
    }
    const RecordContent content = parseRecord(text);
    if (const auto *change = std::get_if<Change>(&content)) {
      const std::string again = recordText(*change);
      CHECK(recordText(std::get<Change>(parseRecord(again))) == again);
      ++readable;
    }
    try {
      const Configuration c = parseConfiguration(text);
      validate(c);
      CHECK(canonicalText(parseConfiguration(canonicalText(c))) ==
            canonicalText(c));
    } catch (const base::Error &) {
    }
  }
  CHECK(readable > 0);
}
