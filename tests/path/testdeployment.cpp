#include "testdeployment.h"

#include "libbergamotbase/error.h"
#include "libbergamotconfig/change.h"
#include "libbergamotconfig/configurationindex.h"

namespace bergamot::testpath {

using namespace testsupport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *ApiKey = "shop.secret-of-the-test";
constexpr const char *Domains[] = {"a", "b", "c"};
const Flags Secrets = {"BERGAMOT_SECRETS=secret-of-the-test-deployment"};

base::FailureDomainId domainOf(int i) { return {Domains[i % 3]}; }

config::Service modelService(std::uint32_t coldSlots) {
  config::Service service;
  service.Id = {"assistant"};
  service.Kind = config::ServiceKind::Model;
  service.Models = {"default"};
  service.Limits.Slots = 128;
  service.Limits.Units = 90000;
  service.Limits.ColdSlots = coldSlots;
  service.Limits.DefaultMaximumOutputTokens = 64;
  service.Limits.FirstTokenBound = 10s;
  return service;
}

config::Service plainService() {
  config::Service service;
  service.Id = {"stock"};
  service.Limits.Slots = 128;
  service.Limits.Units = 8 << 20;
  service.Limits.ColdSlots = 64;
  service.Limits.FirstTokenBound = 10s;
  return service;
}

} // namespace

std::string completionBody(const std::string &prompt, int maxTokens,
                           bool isStream) {
  return json{{"model", "default"},
              {"prompt", prompt},
              {"max_tokens", maxTokens},
              {"stream", isStream}}
      .dump();
}

TestDeployment::TestDeployment(const Sizes &sizes)
    : Counts(sizes), Signer(std::string(32, 's')) {
  PlatformEndpoint = start({"--kind=platform"}, Platform);
  startBackEnds();
  const int targetCount = sizes.Engines + sizes.Services;
  const auto targets = static_cast<std::size_t>(targetCount);
  for (std::size_t i = 0; i < targets; ++i) {
    const auto port = freePort();
    TargetPeers.push_back(loopbackEndpoint(port));
    TargetHttp.push_back(loopbackEndpoint(freePort()));
    Relays.push_back(std::make_unique<TcpRelay>(port));
  }
  for (int i = 0; i < sizes.Entries; ++i) {
    EntryPeers.push_back(loopbackEndpoint(freePort()));
    EntryHttp.push_back(loopbackEndpoint(freePort()));
  }
  makeConfiguration();
  Targets.resize(targets);
  Entries.resize(static_cast<std::size_t>(sizes.Entries));
  for (std::size_t i = 0; i < targets; ++i)
    startTarget(static_cast<int>(i));
  for (int i = 0; i < sizes.Entries; ++i)
    startEntry(i);
  publish([](config::Configuration &) {});
  for (int i = 0; i < sizes.Entries; ++i)
    if (!waitUntilInForce(i, Version, in(20s)))
      throw base::Error(base::Step::Configuration, EntryHttp.at(i),
                        "the entry is not ready");
  // New quota owners withhold concurrency for 2 s, which would shift the
  // moments at which a test disturbs a request.
  for (int i = 0; i < sizes.Entries && sizes.Services > 0; ++i)
    if (call(i, "GET", "/services/stock/stock/warm-up", "").Status != 200)
      throw base::Error(base::Step::Route, EntryHttp.at(i),
                        "the entry does not serve");
}

std::string TestDeployment::start(const Flags &flags, Process &process) {
  process =
      std::make_unique<ChildProcess>(programPath("bergamot-standin"), flags);
  const auto ready = process->readyLine(in(20s));
  return loopbackEndpoint(ready.at("port").get<std::uint16_t>());
}

void TestDeployment::startBackEnds() {
  Flags engine = {"--kind=engine", "--cold_limit=0", "--connections=400"};
  engine.insert(engine.end(), Counts.EngineFlags.begin(),
                Counts.EngineFlags.end());
  for (int i = 0; i < Counts.Engines + Counts.Services; ++i) {
    BackEnds.emplace_back();
    BackEndEndpoints.push_back(
        start(i < Counts.Engines ? engine : Flags{"--kind=service"},
              BackEnds.back()));
  }
}

void TestDeployment::makeConfiguration() {
  Config.Signers = {{{"operator"}, Signer.publicKey()}};
  config::ClientAccount account;
  account.Id = {"shop"};
  account.RatePerSecond = 100000;
  account.Concurrency = 10000;
  account.Keys = {config::hashApiKey("0123456789abcdef", ApiKey)};
  Config.Accounts = {account};
  for (const char *domain : Domains)
    Config.FailureDomains.push_back({{domain}, "here"});
  Config.Services = {modelService(Counts.ColdSlots), plainService()};
  for (int i = 0; i < Counts.Entries; ++i)
    Config.Entries.push_back(
        {{"entry" + std::to_string(i)}, domainOf(i), EntryPeers.at(i)});
  for (int i = 0; i < Counts.Engines + Counts.Services; ++i) {
    const int place = i < Counts.Engines ? i : i - Counts.Engines;
    Config.Targets.push_back({{"target" + std::to_string(i)},
                              {"vm" + std::to_string(i)},
                              {i < Counts.Engines ? "assistant" : "stock"},
                              domainOf(place),
                              loopbackEndpoint(Relays.at(i)->port())});
  }
}

void TestDeployment::startEntry(int i) {
  Flags flags = {"--role=entry",
                 "--vm=entry" + std::to_string(i),
                 "--failure_domain=" + domainOf(i).Value,
                 "--peer_listen=" + EntryPeers.at(i),
                 "--http_listen=" + EntryHttp.at(i),
                 "--platform=" + PlatformEndpoint,
                 "--http_threads=512",
                 "--drain_grace_ms=300"};
  flags.insert(flags.end(), Counts.EntryFlags.begin(), Counts.EntryFlags.end());
  Entries.at(i) =
      std::make_unique<ChildProcess>(programPath("bergamotd"), flags, Secrets);
}

void TestDeployment::startTarget(int i) {
  Targets.at(i) = std::make_unique<ChildProcess>(
      programPath("bergamotd"),
      Flags{"--role=target", "--vm=vm" + std::to_string(i),
            "--failure_domain=" + Config.Targets.at(i).Domain.Value,
            "--target=target" + std::to_string(i),
            "--peer_listen=" + TargetPeers.at(i),
            "--http_listen=" + TargetHttp.at(i), "--http_threads=4",
            "--platform=" + PlatformEndpoint, "--worker_threads=256",
            "--back_end=" + BackEndEndpoints.at(i), "--drain_grace_ms=300"},
      Secrets);
}

void TestDeployment::setBackEnd(int target, const std::string &endpoint) {
  BackEndEndpoints.at(target) = endpoint;
  Targets.at(target)->kill();
  startTarget(target);
}

std::uint64_t TestDeployment::append(const config::Configuration &whole,
                                     std::uint64_t base) {
  config::Change record;
  record.Id = "change" + std::to_string(++Changes);
  record.Base = {base};
  record.Author = "test";
  record.SignedBy = {"operator"};
  record.Whole = whole;
  config::setSignature(record, Signer);
  adapterplatform::HttpLog log(PlatformEndpoint);
  return log.append("config", {config::recordText(record)}, in(5s)).Value + 1;
}

std::uint64_t TestDeployment::publish(
    const std::function<void(config::Configuration &)> &change) {
  change(Config);
  Version = append(Config, Version);
  return Version;
}

std::string TestDeployment::publishOn(
    std::uint64_t base,
    const std::function<void(config::Configuration &)> &change) {
  config::Configuration whole = Config;
  change(whole);
  append(whole, base);
  return config::configurationHash(whole);
}

json TestDeployment::getJson(const std::string &endpoint,
                             const std::string &target) {
  const auto response =
      adapterhttp::HttpClient(endpoint).request("GET", target, {}, "", in(5s));
  return json::parse(response.Body);
}

json TestDeployment::entryStatus(int i) {
  return getJson(EntryHttp.at(i), "/admin/status");
}

json TestDeployment::targetStatus(int i) {
  return getJson(TargetHttp.at(i), "/admin/status");
}

bool TestDeployment::waitUntilInForce(int entry, std::uint64_t version,
                                      base::TimePoint deadline) {
  return waitFor(
      [&] {
        try {
          const auto status = entryStatus(entry);
          return status.at("ready") == true &&
                 status.at("config_version") >= version;
        } catch (const base::Error &) {
          return false;
        }
      },
      deadline);
}

adapterhttp::HttpResponse TestDeployment::call(int entry,
                                               const std::string &method,
                                               const std::string &target,
                                               const std::string &body,
                                               const std::string &key) {
  std::vector<adapterhttp::HttpHeader> headers = {
      {"Authorization", std::string("Bearer ") + ApiKey}};
  if (!key.empty())
    headers.push_back({"Idempotency-Key", key});
  return adapterhttp::HttpClient(EntryHttp.at(entry))
      .request(method, target, headers, body, in(30s));
}

std::unique_ptr<adapterhttp::HttpStream>
TestDeployment::open(int entry, const std::string &body) {
  return adapterhttp::HttpClient(EntryHttp.at(entry))
      .open("POST", "/v1/completions",
            {{"Authorization", std::string("Bearer ") + ApiKey}}, body,
            in(30s));
}

int TestDeployment::executions(const std::string &order) {
  int count = 0;
  for (int i = Counts.Engines; i < Counts.Engines + Counts.Services; ++i) {
    const auto answer = getJson(BackEndEndpoints.at(i), "/debug/executions");
    count += answer.at("executions").value(order, 0);
  }
  return count;
}

void TestDeployment::setPlatformFaults(const json &faults) {
  adapterhttp::HttpClient(PlatformEndpoint)
      .request("POST", "/faults", {}, faults.dump(), in(5s));
}

void TestDeployment::setBackEndFaults(int target, const json &faults) {
  adapterhttp::HttpClient(BackEndEndpoints.at(target))
      .request("POST", "/faults", {}, faults.dump(), in(5s));
}

} // namespace bergamot::testpath
