// Prints the configuration of Cooperativa Arado Velho for `bergamotctl config
// check` and `publish`. Edit it, print it, compare it with `config diff`.

#include "libbergamotbase/error.h"
#include "libbergamotbase/settings.h"
#include "libbergamotconfig/configbuilder.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(signer, "", "signer as ID:PUBLIC_KEY; see bergamotctl key new");
DEFINE_string(keys, "", "API keys, separated by commas; only hashes are kept");
DEFINE_string(address, "127.0.0.1", "IP address of all daemons");
DEFINE_uint32(entry_port, 7301, "peer port of the first entry");
DEFINE_uint32(target_port, 7401, "peer port of the first target's daemon");

using namespace bergamot;
using namespace bergamot::config;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Domains = {"evora", "beja", "elvas"};

/// The steward assistant: 12 workers, four to a domain. Each domain has a
/// complete group, so that any domain can leave and the two others keep
/// serving the model.
void addSteward(ConfigBuilder &config, EndpointRange &endpoints) {
  ServiceLimits limits;
  limits.Slots = 16;
  limits.Units = 120'000; // tokens of KV cache on one worker
  // Low, because a whole domain comes back cold at once.
  limits.ColdSlots = 2;
  limits.FirstTokenBound = 1800ms;
  limits.MaximumBodyBytes = 128 << 10;
  limits.DefaultMaximumOutputTokens = 512;
  config.addModelService("steward", {"plough-steward"}, limits);
  for (const std::string &domain : Domains) {
    // These engines don't check fencing tokens; their daemons do.
    config.addTargets("steward", domain, 4, endpoints, false);
    config.addExpertGroup("steward-" + domain, "steward", domain,
                          {.Layers = 16,
                           .Experts = 16,
                           .SlotsPerRank = 6,
                           .BytesPerExpert = 16 << 20});
  }
}

/// The entry ledger of the ploughing matches: 3 workers, one to a domain.
void addLedger(ConfigBuilder &config, EndpointRange &endpoints) {
  ServiceLimits limits;
  limits.Slots = 24;
  limits.Units = 8 << 20; // bytes of all requests in progress on one worker
  limits.ColdSlots = 6;
  limits.FirstTokenBound = 2000ms;
  limits.MaximumBodyBytes = 256 << 10;
  config.addPlainService("ledger", limits);
  // Entering a match and paying a fee must happen once; they have no rule and
  // are therefore not repeated. A fee preview changes nothing.
  config.addRepeatRule("ledger", "POST", "/fees/preview", true);
  // Results are replaced as a whole.
  config.addRepeatRule("ledger", "PUT", "/results", true);
  // Drawing the plots has an effect although it is a GET.
  config.addRepeatRule("ledger", "GET", "/plots/draw", false);
  for (const std::string &domain : Domains)
    config.addTargets("ledger", domain, 1, endpoints);
}

/// Ten client accounts. Two are large; priority 0 goes before 1 and 2.
void addAccounts(ConfigBuilder &config) {
  config
      // The match offices take entries while competitors stand at the desk.
      .addAccount("match-office", {8, 0, 50, 100})
      .addAccount("entry-portal", {8, 0, 50, 100})
      .addAccount("club-evora", {2, 1, 10, 20})
      .addAccount("club-beja", {2, 1, 10, 20})
      .addAccount("club-elvas", {2, 1, 10, 20})
      .addAccount("club-moura", {1, 1, 5, 10})
      .addAccount("club-serpa", {1, 1, 5, 10})
      .addAccount("judges", {3, 0, 10, 20})
      // Fees are booked at night and may wait.
      .addAccount("fee-office", {2, 2, 10, 10})
      .addAccount("newsletter", {1, 2, 2, 4});
}

ConfigBuilder describeDeployment() {
  ConfigBuilder config;
  for (const std::string &domain : Domains)
    config.addFailureDomain(domain, "alentejo");
  EndpointRange entries{FLAGS_address, FLAGS_entry_port};
  EndpointRange targets{FLAGS_address, FLAGS_target_port};
  config.addEntries("entry", Domains, entries);
  addSteward(config, targets);
  addLedger(config, targets);
  addAccounts(config);
  // Entries made on a Friday are repeated on the Monday after at the latest.
  config.setIdempotencyWindow(96h, 168h);
  config.setWeightStoreRate(200 << 20);
  return config;
}

} // namespace

int main(int argc, char **argv) {
  try {
    base::throwIfAny(base::parseSettings(&argc, &argv));
    ConfigBuilder config = describeDeployment();
    const auto colon = FLAGS_signer.find(':');
    if (colon == std::string::npos)
      throw base::Error(base::Step::Settings, "", "--signer=ID:PUBLIC_KEY");
    config.addSigner(FLAGS_signer.substr(0, colon),
                     FLAGS_signer.substr(colon + 1));
    std::istringstream keys(FLAGS_keys);
    for (std::string key; std::getline(keys, key, ',');)
      config.addApiKey(key);
    std::cout << config.text();
  } catch (const base::Error &e) {
    std::cerr << "arado-velho: " << e.what() << "\n";
    return 2;
  }
  return 0;
}
