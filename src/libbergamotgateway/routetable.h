#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ROUTETABLE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ROUTETABLE_H

#include "libbergamotbase/requestidempotency.h"
#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

using base::RequestIdempotency;

/// The weight of one service in a route's traffic split.
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// How requests under one path prefix are handled.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::vector<WeightedService> Services;
  RequestIdempotency Idempotency = RequestIdempotency::NonIdempotent;
  /// The response is an event stream.
  bool Streaming = false;
  /// An interrupted stream may be resumed at another target after its last
  /// event.
  bool Resumable = false;
  /// Requests need no API key.
  bool Public = false;
  /// Time from the arrival of a request to its deadline.
  std::chrono::milliseconds Timeout{0};
  /// Objective for the time from the arrival of a request to the first event of
  /// a stream or to a plain response.
  std::chrono::milliseconds LatencyObjective{0};
  /// Objective for the time between two events of a stream; 0 if there is none.
  std::chrono::milliseconds EventGapObjective{0};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Maximum number of targets to which one request may be sent.
  std::uint32_t MaxAttempts = 1;

  bool isRetryable() const {
    return Idempotency == RequestIdempotency::Idempotent || Resumable;
  }
};

/// Published performance profile of a model engine. Times are in milliseconds
/// unless they have a type of their own.
struct EngineProfile {
  /// A decode step takes StepBaseMs plus StepMsPerSequence for each running
  /// sequence.
  double StepBaseMs = 0;
  double StepMsPerSequence = 0;
  double ContextMsPerThousandTokens = 0;
  double PrefillTokensPerMs = 0;
  double PairsMsPerMillion = 0;
  /// Number of sequences that the engine runs concurrently.
  std::uint32_t Slots = 0;
  /// Decode steps per pass. Streams get an event after each pass, not after
  /// each step.
  std::uint32_t StepsPerPass = 1;
  std::uint64_t KvCacheTokens = 0;
  std::uint32_t TypicalPromptTokens = 0;
  std::uint32_t TypicalOutputTokens = 0;
  /// Dimensions of the expert maps, which assign experts to slots. There is one
  /// map per set of layers that share a placement. LayerSets is 0 for engines
  /// without expert groups.
  std::uint32_t LayerSets = 0;
  std::uint32_t ExpertsPerSet = 0;
  std::uint32_t ExpertSlotsPerRank = 0;
  /// Slots per rank and set for copies of experts that are added by one map
  /// change.
  std::uint32_t SpareExpertSlots = 0;
  /// Fraction of StepMsPerSequence that is spent in experts.
  double ExpertWorkFraction = 0;
  /// Time that a rank takes to copy one expert; 0 if not specified.
  base::Duration ExpertCopyTime{};
};

/// A back-end service in the configuration.
struct Service {
  std::string Name;
  std::uint32_t ConnectionLimit = 0;
  /// Requests per second that a cold (recently started) target can handle; 0
  /// means no limit.
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

/// Limits on requests from callers.
struct CallerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4194304;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// An accepted configuration and its indexes. Immutable once built.
class RouteTable {
public:
  RouteTable() = default;
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::vector<Service> services, std::vector<ClientAccount> accounts,
             CallerLimits limits);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  std::uint64_t version() const { return Version; }
  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null if there is none. The query is ignored.
  const Route *route(std::string_view host,
                     std::string_view pathAndQuery) const;
  /// Returns the account that an API key belongs to, or null if there is none.
  const ClientAccount *account(std::string_view key) const;
  /// Returns the service with a name, or null if the configuration has none.
  const Service *service(const std::string &name) const;
  /// Returns whether requests need an API key at all.
  bool hasAccounts() const { return !Accounts.empty(); }
  const CallerLimits &limits() const { return Limits; }
  const std::map<std::string, Service> &services() const { return Services; }
  const std::vector<Route> &routes() const { return Routes; }
  const std::vector<ClientAccount> &accounts() const { return Accounts; }
  std::size_t routeCount() const { return Routes.size(); }

private:
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, Service> Services;
  std::vector<ClientAccount> Accounts;
  CallerLimits Limits;
  std::unordered_map<std::string, const Route *> ByHostAndPrefix;
  std::unordered_map<std::string, const ClientAccount *> ByApiKey;
};

/// Selects one of a route's services by weight. `draw` is uniform in [0, 1).
const std::string &chooseService(const Route &route, double draw);

} // namespace bergamot::gateway

#endif
