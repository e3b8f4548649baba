#include "libbergamotconfig/configbuilder.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/configurationindex.h"
#include "libbergamotconfig/validate.h"

#include <algorithm>

namespace bergamot::config {

namespace {

constexpr std::size_t SaltBytes = 16;

base::Error builderError(const std::string &message) {
  return {base::Step::Configuration, "", message};
}

} // namespace

std::string EndpointRange::take() {
  return Address + ":" + std::to_string(NextPort++);
}

ConfigBuilder &ConfigBuilder::addSigner(const std::string &id,
                                        const std::string &publicKey) {
  Draft.Signers.push_back({{id}, publicKey});
  return *this;
}

ConfigBuilder &ConfigBuilder::addFailureDomain(const std::string &id,
                                               const std::string &region) {
  Draft.FailureDomains.push_back({{id}, region, DomainState::Active});
  return *this;
}

ConfigBuilder &ConfigBuilder::addAccount(const std::string &id,
                                         const AccountTerms &terms) {
  Draft.Accounts.push_back({{id},
                            terms.Weight,
                            terms.Priority,
                            {},
                            terms.RatePerSecond,
                            terms.Concurrency});
  return *this;
}

ConfigBuilder &ConfigBuilder::addApiKey(std::string_view key) {
  const std::string_view id = accountOfKey(key);
  const auto it = std::find_if(
      Draft.Accounts.begin(), Draft.Accounts.end(),
      [&](const ClientAccount &account) { return account.Id.Value == id; });
  if (it == Draft.Accounts.end())
    throw builderError("an API key must have the form <account id>.<secret> "
                       "with the id of an account that has been added");
  const std::string salt =
      base::hmacSha256(key, "bergamot-key-salt").substr(0, SaltBytes);
  it->Keys.push_back(hashApiKey(salt, key));
  return *this;
}

ConfigBuilder &
ConfigBuilder::addModelService(const std::string &id,
                               const std::vector<std::string> &models,
                               const ServiceLimits &limits) {
  Draft.Services.push_back({{id}, ServiceKind::Model, models, {}, limits});
  return *this;
}

ConfigBuilder &ConfigBuilder::addPlainService(const std::string &id,
                                              const ServiceLimits &limits) {
  Draft.Services.push_back({{id}, ServiceKind::Plain, {}, {}, limits});
  return *this;
}

ConfigBuilder &ConfigBuilder::addRepeatRule(const std::string &serviceId,
                                            const std::string &method,
                                            const std::string &pathPrefix,
                                            bool idempotent) {
  service(serviceId).RepeatRules.push_back({method, pathPrefix, idempotent});
  return *this;
}

ConfigBuilder &ConfigBuilder::addEntry(const std::string &vm,
                                       const std::string &domain,
                                       const std::string &peerEndpoint) {
  Draft.Entries.push_back({{vm}, {domain}, peerEndpoint});
  return *this;
}

ConfigBuilder &
ConfigBuilder::addEntries(const std::string &prefix,
                          const std::vector<std::string> &domains,
                          EndpointRange &endpoints) {
  for (const std::string &domain : domains)
    addEntry(std::string(prefix).append("-").append(domain), domain,
             endpoints.take());
  return *this;
}

ConfigBuilder &ConfigBuilder::addTarget(const Target &target) {
  Draft.Targets.push_back(target);
  return *this;
}

ConfigBuilder &ConfigBuilder::addTargets(const std::string &serviceId,
                                         const std::string &domain,
                                         std::uint32_t count,
                                         EndpointRange &endpoints,
                                         bool checksFencingToken) {
  service(serviceId);
  for (std::uint32_t i = 1; i <= count; ++i) {
    const std::string id =
        std::string(serviceId).append("-").append(domain).append("-").append(
            std::to_string(i));
    addTarget({{id},
               {"vm-" + id},
               {serviceId},
               {domain},
               endpoints.take(),
               TargetState::Active,
               checksFencingToken});
  }
  return *this;
}

ConfigBuilder &ConfigBuilder::addExpertGroup(const std::string &id,
                                             const std::string &serviceId,
                                             const std::string &domain,
                                             const ExpertShape &shape) {
  ExpertGroup group{{id},
                    {serviceId},
                    {},
                    shape.Layers,
                    shape.Experts,
                    shape.SlotsPerRank,
                    shape.BytesPerExpert};
  for (const Target &target : Draft.Targets)
    if (target.Service.Value == serviceId && target.Domain.Value == domain)
      group.Ranks.push_back(target.Id);
  Draft.ExpertGroups.push_back(group);
  return *this;
}

ConfigBuilder &
ConfigBuilder::setIdempotencyWindow(std::chrono::seconds window,
                                    std::chrono::seconds logRetention) {
  Draft.Deployment.IdempotencyWindow = window;
  Draft.Deployment.LogRetention = logRetention;
  return *this;
}

ConfigBuilder &ConfigBuilder::setWeightStoreRate(std::uint64_t bytesPerSecond) {
  Draft.Deployment.WeightStoreBytesPerSecond = bytesPerSecond;
  return *this;
}

Configuration ConfigBuilder::build() const {
  const auto problems = validate(Draft);
  if (!problems.empty())
    throw builderError(problemText(problems));
  return Draft;
}

std::string ConfigBuilder::text() const { return readableText(build()); }

Service &ConfigBuilder::service(const std::string &id) {
  const auto it =
      std::find_if(Draft.Services.begin(), Draft.Services.end(),
                   [&](const Service &s) { return s.Id.Value == id; });
  if (it == Draft.Services.end())
    throw builderError("service '" + id + "' hasn't been added");
  return *it;
}

} // namespace bergamot::config
