#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ROUTETABLE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ROUTETABLE_H

#include "libbergamotbase/repeatrule.h"
#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

using base::RepeatRule;

/// Part of a route's requests that goes to one service.
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// How requests of one path prefix are handled. The times are limits stated by
/// the operator, counted from a request's arrival.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::vector<WeightedService> Services;
  RepeatRule Rule = RepeatRule::NonIdempotent;
  /// The response is a stream of events.
  bool Streaming = false;
  /// A stream may be continued at another target behind its last event.
  bool Resumable = false;
  /// Requests need no API key.
  bool Public = false;
  std::chrono::milliseconds Timeout{0};
  std::chrono::milliseconds LatencyObjective{0};
  std::chrono::milliseconds GapObjective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Targets to which one request may be sent.
  std::uint32_t MaxAttempts = 1;

  bool isRetryable() const {
    return Rule == RepeatRule::Idempotent || Resumable;
  }
};

/// Published figures of a model engine, in milliseconds and tokens.
struct EngineProfile {
  double StepMs = 0;
  double StepMsPerSequence = 0;
  double ContextMsPerThousandTokens = 0;
  double PrefillTokensPerMs = 0;
  double PairsMsPerMillion = 0;
  std::uint32_t Slots = 0;
  std::uint32_t StepsPerPass = 1;
  std::uint64_t KvCacheTokens = 0;
  std::uint32_t TypicalPromptTokens = 0;
  std::uint32_t TypicalOutputTokens = 0;
  /// Sizes of the expert maps; 0 sets for engines without expert groups.
  std::uint32_t ExpertSets = 0;
  std::uint32_t ExpertsPerSet = 0;
  std::uint32_t ExpertSlotsPerRank = 0;
  std::uint32_t SpareExpertSlots = 0;
  /// Part of the work for a token that experts do.
  double ExpertWorkFraction = 0;
  /// Time that a rank takes to copy one expert; 0 if not stated.
  base::Duration ExpertCopyTime{};
};

/// A back-end service of the configuration.
struct Service {
  std::string Name;
  std::uint32_t ConnectionLimit = 0;
  /// Requests per second that a cold target bears; 0 means no limit.
  double ColdRequestsPerSecond = 0;
  std::optional<EngineProfile> Engine;
};

/// A client account.
struct ClientAccount {
  std::string Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the route's priority.
  std::optional<std::uint32_t> Priority;
};

/// Limits on what callers may send.
struct CallerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4194304;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// One accepted configuration with its indexes. Immutable once built.
class RouteTable {
public:
  RouteTable() = default;
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::vector<Service> services, std::vector<ClientAccount> accounts,
             CallerLimits limits);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  std::uint64_t version() const { return Version; }
  /// Returns the route of the host with the longest prefix that begins the
  /// path; null if there is none. A query is no part of the path.
  const Route *route(std::string_view host,
                     std::string_view requestTarget) const;
  /// Returns the account that holds a key; null if none does.
  const ClientAccount *account(std::string_view key) const;
  /// Returns a service by name; null if the configuration has none.
  const Service *service(const std::string &name) const;
  /// Returns whether requests need a key at all.
  bool hasAccounts() const { return !Accounts.empty(); }
  const CallerLimits &limits() const { return Limits; }
  const std::map<std::string, Service> &services() const { return Services; }
  const std::vector<Route> &routes() const { return Routes; }
  std::size_t routeCount() const { return Routes.size(); }

private:
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, Service> Services;
  std::vector<ClientAccount> Accounts;
  CallerLimits Limits;
  std::unordered_map<std::string, const Route *> ByPrefix;
  std::unordered_map<std::string, const ClientAccount *> ByKey;
};

/// Chooses one of a route's services by weight. `draw` is uniform in [0, 1).
const std::string &chooseService(const Route &route, double draw);

} // namespace bergamot::gateway

#endif
