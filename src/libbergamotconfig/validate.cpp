#include "libbergamotconfig/validate.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <concepts>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bergamot::config {

namespace {

constexpr std::size_t MaximumIdLength = 64;
constexpr std::size_t MaximumKeysPerAccount = 8;
constexpr std::size_t SaltHexDigitsLowest = 16;
constexpr std::size_t SaltHexDigitsHighest = 128;
constexpr std::size_t Sha256HexDigits = 64;
constexpr std::size_t Ed25519HexDigits = 64;
constexpr std::uint64_t HighestCount = 1'000'000;

bool isLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

/// Returns whether the text is `a.b.c.d:port` or `[v6]:port`.
bool isEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() || port < 1 ||
      port > 65535)
    return false;
  std::string host(text.substr(0, colon));
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  unsigned char address[16];
  return inet_pton(family, host.c_str(), address) == 1;
}

/// Checks one configuration and collects the problems.
class Validator {
public:
  explicit Validator(const Configuration &configuration)
      : Config(configuration) {}

  std::vector<Problem> run();

private:
  void add(const std::string &path, std::string message) {
    Problems.push_back({path, std::move(message)});
  }
  template <std::unsigned_integral T>
  void checkRange(const std::string &path, T value, std::uint64_t lowest,
                  std::uint64_t highest);
  template <typename T>
  void checkIds(const std::string &path, const std::vector<T> &list);
  void checkKnown(const std::string &path,
                  const std::unordered_set<std::string_view> &known,
                  const std::string &id, const char *kind);
  void checkSettings();
  void checkSigners();
  void checkAccount(const std::string &path, const ClientAccount &account);
  void checkService(const std::string &path, const Service &service);
  void checkLimits(const std::string &path, const Service &service);
  void checkRepeatRules(const std::string &path, const Service &service);
  void checkDaemon(const std::string &path, const char *vmMember,
                   const std::string &vm, const base::FailureDomainId &domain,
                   const std::string &endpoint);
  void checkTargets();
  void checkGroup(const std::string &path, const ExpertGroup &group);
  void checkRanks(const std::string &path, const ExpertGroup &group);

  const Configuration &Config;
  std::vector<Problem> Problems;
  std::unordered_set<std::string_view> Domains;
  std::unordered_set<std::string_view> ServiceIds;
  std::unordered_map<std::string_view, const Service *> ServicesById;
  std::unordered_map<std::string_view, const Target *> TargetsById;
  std::unordered_set<std::string_view> Models;
  std::unordered_set<std::string_view> Vms;
  std::unordered_set<std::string_view> Endpoints;
  std::unordered_set<std::string_view> RankTargets;
};

std::string at(const std::string &path, std::size_t index) {
  return path + "/" + std::to_string(index);
}

template <std::unsigned_integral T>
void Validator::checkRange(const std::string &path, T value,
                           std::uint64_t lowest, std::uint64_t highest) {
  if (value < lowest || value > highest)
    add(path, std::to_string(value) + " is not within " +
                  std::to_string(lowest) + " to " + std::to_string(highest));
}

template <typename T>
void Validator::checkIds(const std::string &path, const std::vector<T> &list) {
  std::unordered_set<std::string_view> seen;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string &id = list[i].Id.Value;
    if (!isId(id))
      add(at(path, i) + "/id", "'" + id + "' is not an id");
    if (!seen.insert(id).second)
      add(at(path, i) + "/id", "'" + id + "' is a duplicate");
  }
}

void Validator::checkKnown(const std::string &path,
                           const std::unordered_set<std::string_view> &known,
                           const std::string &id, const char *kind) {
  if (!known.contains(id))
    add(path, "'" + id + "' is not a known " + kind);
}

void Validator::checkSettings() {
  using std::chrono::hours;
  using std::chrono::seconds;
  const Settings &settings = Config.Deployment;
  const auto window =
      static_cast<std::uint64_t>(settings.IdempotencyWindow.count());
  checkRange("/settings/idempotency_window_s", window, 60,
             seconds(hours(24 * 30)).count());
  if (settings.LogRetention <= settings.IdempotencyWindow)
    add("/settings/log_retention_s",
        "must be longer than the idempotency window of " +
            std::to_string(window) + " s");
  checkRange("/settings/weight_store_bytes_per_s",
             settings.WeightStoreBytesPerSecond, 1, 1ULL << 50);
}

void Validator::checkSigners() {
  if (Config.Signers.empty())
    add("/signers", "at least one signer must remain");
  std::set<std::string_view> keys;
  for (std::size_t i = 0; i < Config.Signers.size(); ++i) {
    const std::string &key = Config.Signers[i].PublicKey;
    const std::string path = at("/signers", i) + "/public_key";
    if (key.size() != Ed25519HexDigits || !isLowerHex(key))
      add(path, "must be 64 lower-case hexadecimal digits");
    if (!keys.insert(key).second)
      add(path, "is the key of another signer");
  }
}

void Validator::checkAccount(const std::string &path,
                             const ClientAccount &account) {
  checkRange(path + "/weight", account.Weight, 1, 1000);
  checkRange(path + "/priority", account.Priority, 0, 9);
  checkRange(path + "/rate_per_s", account.RatePerSecond, 1, HighestCount);
  checkRange(path + "/concurrency", account.Concurrency, 1, HighestCount);
  if (account.Keys.size() > MaximumKeysPerAccount)
    add(path + "/keys", "has more than 8 key hashes");
  for (std::size_t i = 0; i < account.Keys.size(); ++i) {
    const KeyHash &key = account.Keys[i];
    const std::string keyPath = at(path + "/keys", i);
    if (key.Salt.size() < SaltHexDigitsLowest ||
        key.Salt.size() > SaltHexDigitsHighest || key.Salt.size() % 2 != 0 ||
        !isLowerHex(key.Salt))
      add(keyPath + "/salt", "must be 8 to 64 bytes in lower-case hexadecimal");
    if (key.Sha256.size() != Sha256HexDigits || !isLowerHex(key.Sha256))
      add(keyPath + "/sha256", "must be 64 lower-case hexadecimal digits");
  }
}

void Validator::checkLimits(const std::string &path, const Service &service) {
  const ServiceLimits &limits = service.Limits;
  checkRange(path + "/slots", limits.Slots, 1, HighestCount);
  checkRange(path + "/units", limits.Units, 1, 1ULL << 50);
  checkRange(path + "/cold_slots", limits.ColdSlots, 1, limits.Slots);
  checkRange(path + "/first_token_bound_ms",
             static_cast<std::uint64_t>(limits.FirstTokenBound.count()), 1,
             600'000);
  checkRange(path + "/max_body_bytes", limits.MaximumBodyBytes, 1,
             HighestBodyBytes);
  const std::string output = path + "/default_max_output_tokens";
  if (service.Kind == ServiceKind::Plain) {
    if (limits.DefaultMaximumOutputTokens != 0)
      add(output, "must be 0 for a plain service");
    if (limits.Units < limits.MaximumBodyBytes)
      add(path + "/units", "is less than one request of max_body_bytes");
  } else if (limits.DefaultMaximumOutputTokens == 0 ||
             limits.DefaultMaximumOutputTokens >= limits.Units) {
    add(output, "must be at least 1 and less than units");
  }
}

void Validator::checkRepeatRules(const std::string &path,
                                 const Service &service) {
  static const std::set<std::string_view> methods = {
      "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (std::size_t i = 0; i < service.RepeatRules.size(); ++i) {
    const RepeatRule &rule = service.RepeatRules[i];
    if (!methods.contains(rule.Method))
      add(at(path, i) + "/method", "'" + rule.Method + "' is not a method");
    if (!rule.PathPrefix.starts_with('/'))
      add(at(path, i) + "/path_prefix", "must start with /");
    if (!seen.emplace(rule.Method, rule.PathPrefix).second)
      add(at(path, i), "has the method and path prefix of another rule");
  }
}

void Validator::checkService(const std::string &path, const Service &service) {
  const bool isModel = service.Kind == ServiceKind::Model;
  if (isModel == service.Models.empty())
    add(path + "/models", isModel ? "a model service needs a model name"
                                  : "must be empty for a plain service");
  for (std::size_t i = 0; i < service.Models.size(); ++i) {
    const std::string &model = service.Models[i];
    if (model.empty())
      add(at(path + "/models", i), "is empty");
    if (!Models.insert(model).second)
      add(at(path + "/models", i), "'" + model + "' is a duplicate");
  }
  checkRepeatRules(path + "/repeat_rules", service);
  checkLimits(path + "/limits", service);
  const bool served = std::any_of(Config.Targets.begin(), Config.Targets.end(),
                                  [&](const Target &target) {
                                    return target.Service == service.Id &&
                                           target.State == TargetState::Active;
                                  });
  if (!served)
    add(path, "'" + service.Id.Value + "' has no active target");
}

void Validator::checkDaemon(const std::string &path, const char *vmMember,
                            const std::string &vm,
                            const base::FailureDomainId &domain,
                            const std::string &endpoint) {
  if (!Vms.insert(vm).second)
    add(path + vmMember, "VM '" + vm + "' runs another daemon");
  checkKnown(path + "/failure_domain", Domains, domain.Value, "failure domain");
  if (!isEndpoint(endpoint))
    add(path + "/peer_endpoint", "must be an IP address with a port");
  else if (!Endpoints.insert(endpoint).second)
    add(path + "/peer_endpoint", "'" + endpoint + "' is a duplicate");
}

void Validator::checkTargets() {
  for (std::size_t i = 0; i < Config.Targets.size(); ++i) {
    const Target &target = Config.Targets[i];
    const std::string path = at("/targets", i);
    if (!isId(target.Vm.Value))
      add(path + "/vm", "'" + target.Vm.Value + "' is not an id");
    checkKnown(path + "/service", ServiceIds, target.Service.Value, "service");
    checkDaemon(path, "/vm", target.Vm.Value, target.Domain,
                target.PeerEndpoint);
  }
}

void Validator::checkRanks(const std::string &path, const ExpertGroup &group) {
  for (std::size_t i = 0; i < group.Ranks.size(); ++i) {
    const std::string &id = group.Ranks[i].Value;
    const auto it = TargetsById.find(id);
    if (it == TargetsById.end())
      add(at(path, i), "'" + id + "' is not a known target");
    else if (it->second->Service != group.Service)
      add(at(path, i), "'" + id + "' is a target of another service");
    if (!RankTargets.insert(id).second)
      add(at(path, i), "'" + id + "' is already a rank");
  }
}

void Validator::checkGroup(const std::string &path, const ExpertGroup &group) {
  checkKnown(path + "/service", ServiceIds, group.Service.Value, "service");
  const auto it = ServicesById.find(group.Service.Value);
  if (it != ServicesById.end() && it->second->Kind != ServiceKind::Model)
    add(path + "/service", "must be a model service");
  checkRange(path + "/ranks", group.Ranks.size(), 1, 4096);
  checkRange(path + "/layers", group.Layers, 1, 1024);
  checkRange(path + "/experts", group.Experts, 1, 65536);
  checkRange(path + "/slots_per_rank", group.SlotsPerRank, 1, 65536);
  checkRange(path + "/bytes_per_expert", group.BytesPerExpert, 1, 1ULL << 40);
  if (group.Ranks.size() * std::uint64_t(group.SlotsPerRank) < group.Experts)
    add(path, "has fewer slots than experts");
  checkRanks(path + "/ranks", group);
}

std::vector<Problem> Validator::run() {
  if (Config.SchemaVersion != CurrentSchemaVersion)
    add("/schema", "version " + std::to_string(Config.SchemaVersion) +
                       " is not supported");
  checkIds("/signers", Config.Signers);
  checkIds("/accounts", Config.Accounts);
  checkIds("/failure_domains", Config.FailureDomains);
  checkIds("/services", Config.Services);
  checkIds("/entries", Config.Entries);
  checkIds("/targets", Config.Targets);
  checkIds("/expert_groups", Config.ExpertGroups);
  for (const FailureDomain &domain : Config.FailureDomains)
    Domains.insert(domain.Id.Value);
  for (const Service &service : Config.Services) {
    ServiceIds.insert(service.Id.Value);
    ServicesById.emplace(service.Id.Value, &service);
  }
  for (const Target &target : Config.Targets)
    TargetsById.emplace(target.Id.Value, &target);
  checkSettings();
  checkSigners();
  for (std::size_t i = 0; i < Config.Accounts.size(); ++i)
    checkAccount(at("/accounts", i), Config.Accounts[i]);
  for (std::size_t i = 0; i < Config.FailureDomains.size(); ++i)
    if (Config.FailureDomains[i].Region.empty())
      add(at("/failure_domains", i) + "/region", "is empty");
  for (std::size_t i = 0; i < Config.Services.size(); ++i)
    checkService(at("/services", i), Config.Services[i]);
  if (Config.Entries.empty())
    add("/entries", "at least one entry must remain");
  for (std::size_t i = 0; i < Config.Entries.size(); ++i)
    checkDaemon(at("/entries", i), "/id", Config.Entries[i].Id.Value,
                Config.Entries[i].Domain, Config.Entries[i].PeerEndpoint);
  checkTargets();
  for (std::size_t i = 0; i < Config.ExpertGroups.size(); ++i)
    checkGroup(at("/expert_groups", i), Config.ExpertGroups[i]);
  return std::move(Problems);
}

} // namespace

bool isId(std::string_view text) {
  if (text.empty() || text.size() > MaximumIdLength || text.front() == '.' ||
      text.front() == '-' || text.front() == '_')
    return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

std::vector<Problem> validate(const Configuration &configuration) {
  return Validator(configuration).run();
}

} // namespace bergamot::config
