#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGBUILDER_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGBUILDER_H

#include "libbergamotconfig/configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::config {

/// What a client account is entitled to; see ClientAccount.
struct AccountTerms {
  std::uint32_t Weight = 1;
  std::uint32_t Priority = 1;
  std::uint32_t RatePerSecond = 10;
  std::uint32_t Concurrency = 10;
};

/// The shape of an expert group; see ExpertGroup.
struct ExpertShape {
  std::uint32_t Layers = 1;
  std::uint32_t Experts = 1;
  std::uint32_t SlotsPerRank = 1;
  std::uint64_t BytesPerExpert = 1;
};

/// Peer endpoints of consecutive daemons: each takes the next port.
struct EndpointRange {
  std::string Address;
  std::uint32_t NextPort = 1;

  /// Returns the next endpoint as `ip:port`.
  std::string take();
};

/// Describes a configuration in a few lines of C++. The functions return the
/// builder, so that calls can be chained; they throw Error (step
/// configuration) if they name an object that hasn't been added.
class ConfigBuilder {
public:
  /// Adds a signer with its Ed25519 public key in hexadecimal.
  ConfigBuilder &addSigner(const std::string &id, const std::string &publicKey);

  /// Adds an active failure domain.
  ConfigBuilder &addFailureDomain(const std::string &id,
                                  const std::string &region);

  /// Adds a client account without API keys.
  ConfigBuilder &addAccount(const std::string &id, const AccountTerms &terms);

  /// Adds the hash of an API key to the account that the key names. The salt
  /// is derived from the key, so that the same key gives the same document.
  ConfigBuilder &addApiKey(std::string_view key);

  /// Adds a service for the models named.
  ConfigBuilder &addModelService(const std::string &id,
                                 const std::vector<std::string> &models,
                                 const ServiceLimits &limits);

  /// Adds a plain service.
  ConfigBuilder &addPlainService(const std::string &id,
                                 const ServiceLimits &limits);

  /// Adds a repeat rule to a service.
  ConfigBuilder &addRepeatRule(const std::string &service,
                               const std::string &method,
                               const std::string &pathPrefix, bool idempotent);

  /// Adds one entry, whose id is its VM id.
  ConfigBuilder &addEntry(const std::string &vm, const std::string &domain,
                          const std::string &peerEndpoint);

  /// Adds one entry per domain, named `<prefix>-<domain>`.
  ConfigBuilder &addEntries(const std::string &prefix,
                            const std::vector<std::string> &domains,
                            EndpointRange &endpoints);

  /// Adds one target.
  ConfigBuilder &addTarget(const Target &target);

  /// Adds count targets of a service in a domain, with the ids
  /// `<service>-<domain>-<n>` and the VM ids `vm-<id>`.
  ConfigBuilder &addTargets(const std::string &service,
                            const std::string &domain, std::uint32_t count,
                            EndpointRange &endpoints,
                            bool checksFencingToken = false);

  /// Adds an expert group of all targets that a service has in a domain, in
  /// the order in which they were added.
  ConfigBuilder &addExpertGroup(const std::string &id,
                                const std::string &service,
                                const std::string &domain,
                                const ExpertShape &shape);

  /// Sets the idempotency window and the retention of the log, which must be
  /// longer.
  ConfigBuilder &setIdempotencyWindow(std::chrono::seconds window,
                                      std::chrono::seconds logRetention);

  /// Sets the rate up to which weights are read from the weight store.
  ConfigBuilder &setWeightStoreRate(std::uint64_t bytesPerSecond);

  /// Returns the configuration. Throws Error (step configuration) with all
  /// problems that validate() finds.
  Configuration build() const;

  /// Returns the document for `bergamotctl`, indented. Throws as build() does.
  std::string text() const;

private:
  Service &service(const std::string &id);

  Configuration Draft;
};

} // namespace bergamot::config

#endif
