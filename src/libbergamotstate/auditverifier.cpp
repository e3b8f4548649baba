#include "libbergamotstate/auditverifier.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::state {

namespace {

using nlohmann::json;

std::uint64_t shortHash(const std::string &hash) {
  return base::xxHash64(hash);
}

} // namespace

const char *auditFaultName(AuditFault fault) {
  switch (fault) {
  case AuditFault::Missing:
    return "missing";
  case AuditFault::Changed:
    return "changed";
  case AuditFault::Reordered:
    return "reordered";
  case AuditFault::Malformed:
    return "malformed";
  case AuditFault::Gap:
    return "gap";
  }
  return "";
}

AuditVerifier::AuditVerifier(std::string_view checkpoint) {
  try {
    const json in = json::parse(checkpoint);
    for (const auto &it : in.at("chains")) {
      Chain chain;
      chain.NextSequence = it.at("next").get<std::uint64_t>();
      chain.LastHash = it.at("hash").get<std::string>();
      for (const auto &range : it.at("missing"))
        chain.Missing[range.at(0).get<std::uint64_t>()] =
            range.at(1).get<std::uint64_t>();
      chain.ShortHashes[chain.NextSequence - 1] = shortHash(chain.LastHash);
      chain.MissingReported = true;
      Chains[{{it.at("daemon").get<std::string>()},
              {it.at("incarnation").get<std::uint64_t>()}}] = std::move(chain);
    }
  } catch (const json::exception &) {
    throw base::Error(base::Step::Audit, "", "the checkpoint is malformed");
  }
}

void AuditVerifier::report(AuditFault fault, const ChainId &id,
                           std::uint64_t sequence, std::uint64_t count) {
  Findings.push_back({fault, id.first, id.second, sequence, count, LineNumber});
}

void AuditVerifier::add(std::string_view line) {
  ++LineNumber;
  const auto found = parseBatch(line);
  if (!found) {
    report(AuditFault::Malformed, {}, 0);
    return;
  }
  const AuditBatch &batch = found->Batch;
  const ChainId id{batch.Daemon, batch.Link.Incarnation};
  if (batch.Link.Sequence == 0) {
    report(AuditFault::Changed, id, 0);
    return;
  }
  if (!found->HashMatches) {
    report(AuditFault::Changed, id, batch.Link.Sequence);
    // The fields can't be trusted. The batch is accepted into the chain only if
    // it is the next one, so that its successor isn't reported as well.
    const auto it = Chains.find(id);
    if (it != Chains.end() && it->second.NextSequence == batch.Link.Sequence)
      addNext(id, it->second, batch);
    return;
  }
  Chain &chain = Chains[id];
  if (batch.Link.Sequence < chain.NextSequence) {
    addOutOfOrder(id, chain, batch);
    return;
  }
  if (batch.Link.Sequence > chain.NextSequence) {
    chain.Missing[chain.NextSequence] = batch.Link.Sequence - 1;
    chain.MissingReported = false;
  }
  addNext(id, chain, batch);
}

void AuditVerifier::addNext(const ChainId &id, Chain &chain,
                            const AuditBatch &batch) {
  const bool follows = batch.Link.Sequence == chain.NextSequence;
  if (follows && batch.PreviousHash != chain.LastHash)
    report(AuditFault::Changed, id,
           std::max<std::uint64_t>(batch.Link.Sequence - 1, 1));
  if (batch.Link.Sequence == 1)
    checkPriorLastLink(batch);
  if (batch.Gap.Count != 0)
    report(AuditFault::Gap, id, batch.Link.Sequence, batch.Gap.Count);
  chain.NextSequence = batch.Link.Sequence + 1;
  chain.LastHash = batch.Link.Hash;
  chain.ShortHashes[batch.Link.Sequence] = shortHash(batch.Link.Hash);
  ++BatchCount;
}

void AuditVerifier::addOutOfOrder(const ChainId &id, Chain &chain,
                                  const AuditBatch &batch) {
  const std::uint64_t sequence = batch.Link.Sequence;
  if (removeMissing(chain, sequence)) {
    report(AuditFault::Reordered, id, sequence);
    chain.ShortHashes[sequence] = shortHash(batch.Link.Hash);
    ++BatchCount;
    return;
  }
  const auto it = chain.ShortHashes.find(sequence);
  // The hashes of batches before the checkpoint are unknown, so those batches
  // can't be compared.
  if (it == chain.ShortHashes.end() || it->second == shortHash(batch.Link.Hash))
    ++DuplicateCount;
  else
    report(AuditFault::Changed, id, sequence);
}

void AuditVerifier::checkPriorLastLink(const AuditBatch &batch) {
  const auto &priorLastLink = batch.PriorLastLink;
  const ChainId id{batch.Daemon, priorLastLink.Incarnation};
  const auto it = Chains.find(id);
  if (priorLastLink.Sequence == 0 || it == Chains.end())
    return;
  Chain &chain = it->second;
  if (chain.NextSequence <= priorLastLink.Sequence) {
    chain.Missing[chain.NextSequence] = priorLastLink.Sequence;
    chain.NextSequence = priorLastLink.Sequence + 1;
    chain.LastHash = priorLastLink.Hash;
    chain.MissingReported = false;
  } else if (const auto known = chain.ShortHashes.find(priorLastLink.Sequence);
             known != chain.ShortHashes.end() &&
             known->second != shortHash(priorLastLink.Hash)) {
    report(AuditFault::Changed, id, priorLastLink.Sequence);
  }
}

bool AuditVerifier::removeMissing(Chain &chain, std::uint64_t sequence) {
  auto it = chain.Missing.upper_bound(sequence);
  if (it == chain.Missing.begin())
    return false;
  --it;
  const auto [first, last] = *it;
  if (sequence > last)
    return false;
  chain.Missing.erase(it);
  if (first < sequence)
    chain.Missing[first] = sequence - 1;
  if (sequence < last)
    chain.Missing[sequence + 1] = last;
  return true;
}

void AuditVerifier::finish() {
  LineNumber = 0;
  for (auto &[id, chain] : Chains) {
    if (chain.MissingReported)
      continue;
    chain.MissingReported = true;
    for (const auto &[first, last] : chain.Missing)
      report(AuditFault::Missing, id, first, last - first + 1);
  }
}

std::string AuditVerifier::checkpoint() const {
  json chains = json::array();
  for (const auto &[id, chain] : Chains) {
    json missing = json::array();
    for (const auto &[first, last] : chain.Missing)
      missing.push_back({first, last});
    chains.push_back({{"daemon", id.first.Value},
                      {"incarnation", id.second.Value},
                      {"next", chain.NextSequence},
                      {"hash", chain.LastHash},
                      {"missing", missing}});
  }
  return json{{"chains", chains}}.dump(-1, ' ', false,
                                       json::error_handler_t::replace);
}

bool AuditVerifier::isIntact() const {
  return std::all_of(
      Findings.begin(), Findings.end(),
      [](const AuditFinding &it) { return it.Fault == AuditFault::Gap; });
}

} // namespace bergamot::state
