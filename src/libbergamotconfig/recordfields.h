#ifndef BERGAMOT_LIBBERGAMOTCONFIG_RECORDFIELDS_H
#define BERGAMOT_LIBBERGAMOTCONFIG_RECORDFIELDS_H

#include "libbergamotconfig/change.h"
#include "libbergamotconfig/configurationfields.h"
#include "libbergamotconfig/snapshot.h"

#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace bergamot::config {

/// The content of one log record, or the problems that make it unreadable.
using RecordContent = std::variant<std::vector<Problem>, Change, Snapshot>;

/// Parses a log record. Never throws on malformed text.
RecordContent parseRecord(std::string_view text);

template <typename S>
concept AnyObjectDelta = requires(S object) {
  object.Added;
  object.Changed;
  object.Removed;
};

template <typename V, AnyObjectDelta T> void visitFields(V &visit, T &object) {
  visit.optional("added", object.Added);
  visit.optional("changed", object.Changed);
  visit.optional("removed", object.Removed);
}

template <typename V, SameObject<ConfigDelta> T>
void visitFields(V &visit, T &object) {
  visit.optional("signers", object.Signers);
  visit.optional("accounts", object.Accounts);
  visit.optional("failure_domains", object.FailureDomains);
  visit.optional("services", object.Services);
  visit.optional("entries", object.Entries);
  visit.optional("targets", object.Targets);
  visit.optional("expert_groups", object.ExpertGroups);
  visit.optional("settings", object.Deployment);
}

/// The kind member is constant per type; a reader has checked it before.
template <typename V> void visitKind(V &visit, const char *kind) {
  std::string text = kind;
  visit("kind", text);
}

template <typename V, SameObject<Change> T>
void visitFields(V &visit, T &object) {
  visitKind(visit, "change");
  visit("id", object.Id);
  visit("base", object.Base);
  visit("author", object.Author);
  visit("signer", object.SignedBy);
  visit.optional("delta", object.Delta);
  visit.optional("configuration", object.Whole);
  visit.optional("signature", object.Signature);
}

template <typename V, SameObject<AcceptedChange> T>
void visitFields(V &visit, T &object) {
  visit("id", object.Id);
  visit("base", object.Base);
  visit("version", object.Version);
}

template <typename V, SameObject<Snapshot> T>
void visitFields(V &visit, T &object) {
  visitKind(visit, "snapshot");
  visit("version", object.Version);
  visit("as_of", object.AsOf);
  visit("hash", object.Hash);
  visit("configuration", object.Whole);
  visit("recent", object.Recent);
}

} // namespace bergamot::config

#endif
