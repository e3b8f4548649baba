#ifndef BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H
#define BERGAMOT_LIBBERGAMOTROUTING_QUOTATYPES_H

#include "libbergamotrouting/routingtypes.h"

#include <vector>

namespace bergamot::routing {

/// Limits of one client account over all entries together. The rate is in cost
/// per second; the cost of a request is 1 or its tokens.
struct AccountLimits {
  double RatePerSecond = 0;
  std::uint32_t Concurrency = 0;
};

/// Timing of the quota exchange between entries and owners.
struct QuotaSettings {
  /// An entry sends each owner one request per period.
  Duration Period = std::chrono::seconds(1);
  /// Minimum interval between urgent requests to one owner, such as the first
  /// request of an account, which doesn't wait for the period to end.
  Duration UrgentInterval = std::chrono::milliseconds(20);
  /// An unanswered request is retransmitted after this time.
  Duration RetransmitAfter = std::chrono::milliseconds(100);
  /// A lease is valid for this long after its request was sent.
  Duration LeaseLifetime = std::chrono::seconds(2);
};

/// Demand of an entry for one account. Wanted is the rate tokens that it needs
/// beyond those it has, Held those that it has. InFlight counts its running
/// requests, Peak is the maximum that were running or waiting in the last
/// period, and Leased is the concurrency that it still holds by an unexpired
/// slice.
struct QuotaDemand {
  AccountId Account;
  double Wanted = 0;
  double Held = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Peak = 0;
  std::uint32_t Leased = 0;
};

/// Demand of an entry for all accounts of one owner. Sequence increases with
/// each request of an entry's incarnation.
struct QuotaRequest {
  VmId Entry;
  Incarnation EntryIncarnation;
  std::uint64_t Sequence = 0;
  std::vector<QuotaDemand> Demands;
};

/// State of an account's limits. Exhausted means that the entries together want
/// more than the limits; Withheld that a new owner doesn't know yet what its
/// predecessor leased to others.
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
