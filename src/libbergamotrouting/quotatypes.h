#ifndef BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H
#define BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H

#include "libbergamotrouting/routingtypes.h"

#include <vector>

namespace bergamot::routing {

/// Limits of one client account over all entries together. The rate is in cost
/// per second; the cost of a request is chosen by the code that calls
/// AccountLimiter::admit(), e.g. 1 or its number of tokens.
struct AccountLimits {
  double RatePerSecond = 0;
  std::uint32_t Concurrency = 0;
};

/// Timing of the quota exchange between entries and owners.
struct QuotaSettings {
  /// An entry sends each owner one QuotaRequest per period.
  Duration Period = std::chrono::seconds(1);
  /// Minimum interval between urgent quota requests to one owner. Urgent ones,
  /// e.g. for an account's first client request, don't wait for the end of the
  /// period.
  Duration UrgentInterval = std::chrono::milliseconds(20);
  /// An unanswered quota request is retransmitted after this time.
  Duration RetransmitAfter = std::chrono::milliseconds(100);
  /// A lease is valid for this long after its quota request was sent.
  Duration LeaseLifetime = std::chrono::seconds(2);
};

/// Demand of an entry for one account. Rate tokens are units of cost in the
/// token bucket of the rate limit: WantedRateTokens is the number that the
/// entry needs beyond those it has, HeldRateTokens the number that it has.
/// InFlight counts its running requests, PeakConcurrency is one more than the
/// maximum that were running or waiting since its last quota request, and
/// LeasedConcurrency is the concurrency that it still holds by an unexpired
/// lease.
struct QuotaDemand {
  AccountId Account;
  double WantedRateTokens = 0;
  double HeldRateTokens = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t PeakConcurrency = 0;
  std::uint32_t LeasedConcurrency = 0;
};

/// Demand of an entry for all accounts of one owner. Sequence increases with
/// each request of an entry's incarnation.
struct QuotaRequest {
  VmId Entry;
  Incarnation EntryIncarnation;
  std::uint64_t Sequence = 0;
  std::vector<QuotaDemand> Demands;
};

/// State of an account's limits. Exhausted means that the entries together ask
/// for more than the limits; Withheld means that a new owner doesn't know yet
/// what its predecessor leased to others.
enum class QuotaState : std::uint8_t { Sufficient, Exhausted, Withheld };

/// The part of an account's limits that is leased to an entry.
struct AccountLease {
  AccountId Account;
  double RateTokens = 0;
  std::uint32_t Concurrency = 0;
  QuotaState State = QuotaState::Sufficient;
};

/// Answer of an owner to the request with the same sequence.
struct QuotaAnswer {
  VmId Owner;
  std::uint64_t Sequence = 0;
  std::vector<AccountLease> Leases;
};

} // namespace bergamot::routing

#endif
