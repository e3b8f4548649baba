#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATION_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATION_H

#include "libbergamotbase/ids.h"
#include "libbergamotconfig/problem.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::config {

/// The schema version that this library reads and writes.
constexpr std::uint32_t CurrentSchemaVersion = 1;

/// Largest document that is parsed. 12,000 accounts take about 4 MB.
constexpr std::size_t MaximumDocumentBytes = 32U << 20;

/// Identifies the holder of a signing key.
using SignerId = base::StrongId<std::string, struct SignerIdTag>;

/// Identifies an expert group of the configuration.
using ExpertGroupId = base::StrongId<std::string, struct ExpertGroupIdTag>;

/// A person or program whose signature makes a change acceptable.
/// PublicKey is the raw Ed25519 key as 64 hexadecimal digits.
struct SignerKey {
  SignerId Id;
  std::string PublicKey;

  bool operator==(const SignerKey &) const = default;
};

/// Salted hash of an API key: SHA-256 over the bytes of the salt followed by
/// the bytes of the key. Both members are lower-case hexadecimal digits.
struct KeyHash {
  std::string Salt;
  std::string Sha256;

  bool operator==(const KeyHash &) const = default;
};

/// A customer. Priority 0 is the most urgent. RatePerSecond and Concurrency
/// hold over all entries together.
struct ClientAccount {
  base::AccountId Id;
  std::uint32_t Weight = 1;
  std::uint32_t Priority = 0;
  std::vector<KeyHash> Keys;
  std::uint32_t RatePerSecond = 0;
  std::uint32_t Concurrency = 0;

  bool operator==(const ClientAccount &) const = default;
};

enum class DomainState { Active, Removed };

/// A failure domain. A removed one receives no new work.
struct FailureDomain {
  base::FailureDomainId Id;
  std::string Region;
  DomainState State = DomainState::Active;

  bool operator==(const FailureDomain &) const = default;
};

/// States whether calls with this method and path prefix may be repeated. The
/// rule with the longest matching prefix applies. Method "*" matches any.
struct RepeatRule {
  std::string Method;
  std::string PathPrefix;
  bool Idempotent = false;

  bool operator==(const RepeatRule &) const = default;
};

/// Limits of one target of a service. Units are KV-cache tokens for a model
/// service and bytes of requests in progress for a plain one. A plain service
/// has 0 as DefaultMaximumOutputTokens.
struct ServiceLimits {
  std::uint32_t Slots = 1;
  std::uint64_t Units = 1;
  std::uint32_t ColdSlots = 1;
  std::chrono::milliseconds FirstTokenBound{1800};
  std::uint64_t MaximumBodyBytes = 256U << 10;
  std::uint32_t DefaultMaximumOutputTokens = 0;

  bool operator==(const ServiceLimits &) const = default;
};

enum class ServiceKind { Model, Plain };

/// A model service with the models it answers for, or a plain service.
struct Service {
  base::ServiceId Id;
  ServiceKind Kind = ServiceKind::Plain;
  std::vector<std::string> Models;
  std::vector<RepeatRule> RepeatRules;
  ServiceLimits Limits;

  bool operator==(const Service &) const = default;
};

/// A daemon with the entry role. PeerEndpoint is `ip:port`.
struct Entry {
  base::VmId Id;
  base::FailureDomainId Domain;
  std::string PeerEndpoint;

  bool operator==(const Entry &) const = default;
};

enum class TargetState { Active, Leaving };

/// A worker and the daemon beside it. PeerEndpoint is the daemon's `ip:port`.
/// ChecksFencingToken states whether the engine refuses stale tokens itself.
struct Target {
  base::TargetId Id;
  base::VmId Vm;
  base::ServiceId Service;
  base::FailureDomainId Domain;
  std::string PeerEndpoint;
  TargetState State = TargetState::Active;
  bool ChecksFencingToken = false;

  bool operator==(const Target &) const = default;
};

/// Targets that run one model in lock-step. Ranks names them in rank order.
struct ExpertGroup {
  ExpertGroupId Id;
  base::ServiceId Service;
  std::vector<base::TargetId> Ranks;
  std::uint32_t Layers = 1;
  std::uint32_t Experts = 1;
  std::uint32_t SlotsPerRank = 1;
  std::uint64_t BytesPerExpert = 1;

  bool operator==(const ExpertGroup &) const = default;
};

/// Values of the whole deployment. The log's retention must be longer than
/// the idempotency window, or a claim could expire while it is in force.
struct Settings {
  std::chrono::seconds IdempotencyWindow{std::chrono::hours(24)};
  std::chrono::seconds LogRetention{std::chrono::hours(72)};
  std::uint64_t WeightStoreBytesPerSecond = 1U << 30;

  bool operator==(const Settings &) const = default;
};

/// The whole configuration of one deployment.
struct Configuration {
  std::uint32_t SchemaVersion = CurrentSchemaVersion;
  std::vector<SignerKey> Signers;
  std::vector<ClientAccount> Accounts;
  std::vector<FailureDomain> FailureDomains;
  std::vector<config::Service> Services;
  std::vector<Entry> Entries;
  std::vector<Target> Targets;
  std::vector<ExpertGroup> ExpertGroups;
  Settings Deployment;

  bool operator==(const Configuration &) const = default;
};

/// Parses a JSON document. Members that the schema doesn't know, duplicate
/// members and values of a wrong type are errors; throws Error (step parse)
/// that lists all of them by JSON path.
Configuration parseConfiguration(std::string_view text);

/// Returns the canonical JSON text: sorted members, no white space, and
/// objects with an id in the order of their ids. Equal configurations have
/// equal texts. Throws Error if a string isn't UTF-8.
std::string canonicalText(const Configuration &configuration);

/// Returns the same document with line breaks and indentation, for people.
std::string readableText(const Configuration &configuration);

/// Returns the SHA-256 of the canonical text as hexadecimal digits.
std::string configurationHash(const Configuration &configuration);

/// Sorts the objects that have an id by it. Canonical texts are written in
/// this order; the lookups by id accept any order.
void sortById(Configuration &configuration);

} // namespace bergamot::config

#endif
