#include "deployment.h"

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/configbuilder.h"
#include "support/waiting.h"

#include <filesystem>
#include <fstream>

namespace bergamot::benchpath {

using namespace testsupport;

namespace {

constexpr std::chrono::seconds StartTimeout{20};
constexpr std::size_t SecretBytes = 24;

/// Far above the rates that are measured, so that no limit takes part.
constexpr std::uint32_t AccountRate = 100000;
constexpr std::uint32_t AccountConcurrency = 4000;
constexpr std::uint32_t Slots = 512;

/// Runs bergamotctl to its end and returns its standard output as JSON.
nlohmann::json runCtl(const std::vector<std::string> &arguments) {
  ChildProcess ctl(programPath("bergamotctl"), arguments);
  if (ctl.waitForExit(in(StartTimeout)) != 0)
    throw base::Error(base::Step::Configuration, "",
                      "bergamotctl " + arguments.front() + " failed");
  std::string text;
  waitFor(
      [&] {
        text.clear();
        for (const std::string &it : ctl.outputLines())
          text += it;
        return nlohmann::json::accept(text);
      },
      in(std::chrono::seconds(1)));
  return nlohmann::json::parse(text, nullptr, false);
}

std::string newSecret() { return base::toHex(base::randomBytes(SecretBytes)); }

} // namespace

Deployment::Deployment()
    : Folder(std::filesystem::temp_directory_path() /
             ("bench-path-" + newSecret())),
      EntryEndpoint(loopbackEndpoint(freePort())),
      EntryPeer(loopbackEndpoint(freePort())),
      TargetPeer(loopbackEndpoint(freePort())), ApiKey("bench." + newSecret()) {
  std::filesystem::create_directory(Folder);
  std::string platform = startStandin("platform", Platform);
  ServiceEndpoint = startStandin("service", Service);
  publish(platform);
  startDaemons(platform);
  waitUntilReady();
}

Deployment::~Deployment() {
  std::error_code ignored;
  std::filesystem::remove_all(Folder, ignored);
}

std::vector<int> Deployment::daemonPids() const {
  return {EntryDaemon->pid(), TargetDaemon->pid()};
}

std::string Deployment::startStandin(const std::string &kind,
                                     Process &process) {
  process = std::make_unique<ChildProcess>(
      programPath("bergamot-standin"),
      std::vector<std::string>{"--kind=" + kind});
  auto ready = process->readyLine(in(StartTimeout));
  return loopbackEndpoint(ready.at("port").get<std::uint16_t>());
}

void Deployment::publish(const std::string &platform) {
  std::string keyFile = Folder + "/signer.pem";
  auto key = runCtl({"key", "new", "--key_file=" + keyFile});
  config::ServiceLimits limits;
  limits.Slots = Slots;
  limits.Units = 64U << 20;
  limits.ColdSlots = Slots;
  config::ConfigBuilder builder;
  builder.addSigner("bench", key.at("public_key").get<std::string>())
      .addFailureDomain("a", "here")
      .addAccount("bench", {1, 0, AccountRate, AccountConcurrency})
      .addApiKey(ApiKey)
      .addPlainService("stock", limits)
      .addEntry("entry", "a", EntryPeer)
      .addTarget({{"target"}, {"vm"}, {"stock"}, {"a"}, TargetPeer});
  std::string file = Folder + "/config.json";
  std::ofstream(file) << builder.text();
  runCtl({"config", "publish", file, "--base=0", "--log=" + platform,
          "--signer=bench", "--key_file=" + keyFile, "--author=bench"});
  nlohmann::json vms = {{{"id", "entry"}}, {{"id", "vm"}}};
  for (auto &it : vms)
    it.update(
        {{"address", "127.0.0.1"}, {"failure_domain", "a"}, {"state", "live"}});
  adapterhttp::HttpClient(platform).request("POST", "/v1/vms", {},
                                            nlohmann::json{{"vms", vms}}.dump(),
                                            in(StartTimeout));
}

void Deployment::startDaemons(const std::string &platform) {
  std::vector<std::string> secret = {"BERGAMOT_SECRETS=" + newSecret()};
  TargetDaemon = std::make_unique<ChildProcess>(
      programPath("bergamotd"),
      std::vector<std::string>{"--role=target", "--vm=vm", "--failure_domain=a",
                               "--target=target", "--peer_listen=" + TargetPeer,
                               "--http_listen=" + loopbackEndpoint(freePort()),
                               "--platform=" + platform,
                               "--back_end=" + ServiceEndpoint},
      secret);
  EntryDaemon = std::make_unique<ChildProcess>(
      programPath("bergamotd"),
      std::vector<std::string>{
          "--role=entry", "--vm=entry", "--failure_domain=a",
          "--peer_listen=" + EntryPeer, "--http_listen=" + EntryEndpoint,
          "--platform=" + platform},
      secret);
}

void Deployment::waitUntilReady() const {
  adapterhttp::HttpClient client(EntryEndpoint);
  bool isReady = waitFor(
      [&] {
        try {
          return client
                     .request("GET", "/services/stock/stock/pillow",
                              {{"Authorization", "Bearer " + ApiKey}}, {},
                              in(std::chrono::seconds(2)))
                     .Status == 200;
        } catch (const base::Error &) {
          return false;
        }
      },
      in(StartTimeout));
  if (!isReady)
    throw base::Error(base::Step::Connect, EntryEndpoint,
                      "the entry does not answer");
}

} // namespace bergamot::benchpath
