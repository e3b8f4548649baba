// Prints the configuration of Hinokuni Cot Linens for `bergamotctl config
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
DEFINE_uint32(entry_port, 7101, "peer port of the first entry");
DEFINE_uint32(target_port, 7201, "peer port of the first target's daemon");

using namespace bergamot;
using namespace bergamot::config;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Domains = {"aso", "kuma", "yatsushiro"};

/// The order assistant: 12 workers, four to a domain. The four of a domain
/// run one model in lock-step, because a step across domains would add 1.5 ms
/// per exchange.
void addAssistant(ConfigBuilder &config, EndpointRange &endpoints) {
  ServiceLimits limits;
  limits.Slots = 24;      // sequences that one worker batches
  limits.Units = 180'000; // tokens that fit into its KV cache
  limits.ColdSlots = 4;   // until its first responses came in time
  limits.FirstTokenBound = 1800ms;
  limits.MaximumBodyBytes = 256 << 10;
  limits.DefaultMaximumOutputTokens = 1024; // for requests that name none
  config.addModelService("assistant", {"cot-linens-assistant"}, limits);
  for (const std::string &domain : Domains) {
    config.addTargets("assistant", domain, 4, endpoints, true);
    // 4 x 10 slots for 32 experts leave two spare slots on each rank for
    // copies of popular experts.
    config.addExpertGroup("assistant-" + domain, "assistant", domain,
                          {.Layers = 24,
                           .Experts = 32,
                           .SlotsPerRank = 10,
                           .BytesPerExpert = 24 << 20});
  }
}

/// The order and stock application: 3 workers, one to a domain.
void addOrders(ConfigBuilder &config, EndpointRange &endpoints) {
  ServiceLimits limits;
  limits.Slots = 32;
  limits.Units = 16 << 20; // bytes of all requests in progress on one worker
  limits.ColdSlots = 8;
  limits.FirstTokenBound = 2000ms; // for the first byte of a response
  limits.MaximumBodyBytes = 512 << 10;
  config.addPlainService("orders", limits);
  // A quote reserves nothing, so it may be computed twice. Reservations and
  // orders have no rule: only GET and HEAD of them may be repeated.
  config.addRepeatRule("orders", "POST", "/quotes", true);
  // Setting the stock level of an article to a number twice does no harm.
  config.addRepeatRule("orders", "PUT", "/stock", true);
  // This report marks its lines as printed.
  config.addRepeatRule("orders", "GET", "/reports/dispatch", false);
  for (const std::string &domain : Domains)
    config.addTargets("orders", domain, 1, endpoints);
}

/// Ten client accounts. Three are large; priority 0 goes before 1 and 2.
void addAccounts(ConfigBuilder &config) {
  config
      // The web shop and the sales desk: customers wait for these.
      .addAccount("web-shop", {8, 0, 60, 120})
      .addAccount("sales-desk", {6, 0, 30, 60})
      // The largest dealer has its own contract.
      .addAccount("dealer-kagoshima", {6, 1, 40, 80})
      .addAccount("dealer-oita", {2, 1, 10, 20})
      .addAccount("dealer-saga", {2, 1, 10, 20})
      .addAccount("maternity-wards", {3, 1, 10, 20})
      .addAccount("nursery-schools", {2, 1, 10, 20})
      .addAccount("workshop-stock", {2, 1, 15, 15})
      // Batch work: takes what the others leave.
      .addAccount("catalogue-texts", {1, 2, 5, 10})
      .addAccount("night-reports", {1, 2, 5, 5});
}

ConfigBuilder describeDeployment() {
  ConfigBuilder config;
  for (const std::string &domain : Domains)
    config.addFailureDomain(domain, "kyushu");
  EndpointRange entries{FLAGS_address, FLAGS_entry_port};
  EndpointRange targets{FLAGS_address, FLAGS_target_port};
  config.addEntries("entry", Domains, entries);
  addAssistant(config, targets);
  addOrders(config, targets);
  addAccounts(config);
  // A shop may repeat a reservation with its Idempotency-Key for a day. The
  // log must keep records longer than that.
  config.setIdempotencyWindow(24h, 72h);
  config.setWeightStoreRate(400 << 20);
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
    std::cerr << "hinokuni: " << e.what() << "\n";
    return 2;
  }
  return 0;
}
