#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATIONFIELDS_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATIONFIELDS_H

#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/jsonfields.h"

#include <array>
#include <concepts>
#include <type_traits>

namespace bergamot::config {

template <> struct EnumNames<DomainState> {
  static constexpr std::array<const char *, 2> Names = {"active", "removed"};
};

template <> struct EnumNames<ServiceKind> {
  static constexpr std::array<const char *, 2> Names = {"model", "plain"};
};

template <> struct EnumNames<TargetState> {
  static constexpr std::array<const char *, 2> Names = {"active", "leaving"};
};

/// A type that is T or const T, so that one field list serves reading and
/// writing.
template <typename S, typename T>
concept SameObject = std::same_as<std::remove_const_t<S>, T>;

template <typename V, SameObject<SignerKey> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("public_key", object.PublicKey);
}

template <typename V, SameObject<KeyHash> T>
void visitFields(V &visit, T &object) {
  visit("salt", object.Salt);
  visit("sha256", object.Sha256);
}

template <typename V, SameObject<ClientAccount> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("weight", object.Weight);
  visit("priority", object.Priority);
  visit("keys", object.Keys);
  visit("rate_per_s", object.RatePerSecond);
  visit("concurrency", object.Concurrency);
}

template <typename V, SameObject<FailureDomain> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("region", object.Region);
  visit("state", object.State);
}

template <typename V, SameObject<RepeatRule> T>
void visitFields(V &visit, T &object) {
  visit("method", object.Method);
  visit("path_prefix", object.PathPrefix);
  visit("idempotent", object.Idempotent);
}

template <typename V, SameObject<ServiceLimits> T>
void visitFields(V &visit, T &object) {
  visit("slots", object.Slots);
  visit("units", object.Units);
  visit("cold_slots", object.ColdSlots);
  visit("first_token_bound_ms", object.FirstTokenBound);
  visit("max_body_bytes", object.MaximumBodyBytes);
  visit.optional("default_max_output_tokens",
                 object.DefaultMaximumOutputTokens);
}

template <typename V, SameObject<Service> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("kind", object.Kind);
  visit.optional("models", object.Models);
  visit.optional("repeat_rules", object.RepeatRules);
  visit("limits", object.Limits);
}

template <typename V, SameObject<Entry> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("failure_domain", object.Domain);
  visit("peer_endpoint", object.PeerEndpoint);
}

template <typename V, SameObject<Target> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("vm", object.Vm);
  visit("service", object.Service);
  visit("failure_domain", object.Domain);
  visit("peer_endpoint", object.PeerEndpoint);
  visit("state", object.State);
  visit("checks_fencing_token", object.ChecksFencingToken);
}

template <typename V, SameObject<ExpertGroup> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("service", object.Service);
  visit("ranks", object.Ranks);
  visit("layers", object.Layers);
  visit("experts", object.Experts);
  visit("slots_per_rank", object.SlotsPerRank);
  visit("bytes_per_expert", object.BytesPerExpert);
}

template <typename V, SameObject<Settings> T>
void visitFields(V &visit, T &object) {
  visit("idempotency_window_s", object.IdempotencyWindow);
  visit("log_retention_s", object.LogRetention);
  visit("weight_store_bytes_per_s", object.WeightStoreBytesPerSecond);
}

template <typename V, SameObject<Configuration> T>
void visitFields(V &visit, T &object) {
  visit("schema", object.SchemaVersion);
  visit("signers", object.Signers);
  visit("accounts", object.Accounts);
  visit("failure_domains", object.FailureDomains);
  visit("services", object.Services);
  visit("entries", object.Entries);
  visit("targets", object.Targets);
  visit.optional("expert_groups", object.ExpertGroups);
  visit("settings", object.Deployment);
}

} // namespace bergamot::config

#endif
