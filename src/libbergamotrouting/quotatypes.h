#ifndef BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H
#define BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H

#include "libbergamotrouting/routingtypes.h"

#include <vector>

namespace bergamot::routing {

/// Limits of one client account over all entries. Rate counts cost per second;
/// the cost of a request is 1 or its tokens.
struct AccountLimits {
  double RatePerSecond = 0;
  std::uint32_t Concurrency = 0;
};

/// Timing of the exchange between entries and owners.
struct QuotaSettings {
  /// An entry sends each owner one request per period.
  Duration Period = std::chrono::seconds(1);
  /// The first request of an account doesn't wait for the period to end, but
  /// at most one message is sent per owner in this time.
  Duration UrgentAfter = std::chrono::milliseconds(20);
  /// An unanswered request is sent again after this time.
  Duration RepeatAfter = std::chrono::milliseconds(100);
  /// What a slice leases is valid for this long after the request was sent.
  Duration Lifetime = std::chrono::seconds(2);
};

/// What an entry needs for one account. Wanted is the rate tokens beyond those
/// it holds, Held those that it holds. InFlight counts its running requests,
/// Peak the most that it had running or waiting in the last period, and Leased
/// the concurrency that it still holds by an unexpired slice.
struct QuotaDemand {
  AccountId Account;
  double Wanted = 0;
  double Held = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Peak = 0;
  std::uint32_t Leased = 0;
};

/// Demand of an entry for all accounts of one owner. Sequence rises with each
/// request of an entry's life.
struct QuotaRequest {
  VmId Entry;
  Incarnation Life;
  std::uint64_t Sequence = 0;
  std::vector<QuotaDemand> Demands;
};

/// How a part relates to the account's limits. Exhausted says that the entries
/// together want more than the limits; Withheld that a new owner doesn't know
/// yet what its predecessor leased to others.
enum class QuotaState : std::uint8_t { Sufficient, Exhausted, Withheld };

/// Part of an account's limits leased to an entry.
struct QuotaPart {
  AccountId Account;
  double Tokens = 0;
  std::uint32_t Concurrency = 0;
  QuotaState State = QuotaState::Sufficient;
};

/// Answer of an owner to the request with the same sequence.
struct QuotaSlice {
  VmId Owner;
  std::uint64_t Sequence = 0;
  std::vector<QuotaPart> Parts;
};

} // namespace bergamot::routing

#endif
