#ifndef BERGAMOT_LIBBERGAMOTBASE_ACCOUNTSCHEDULER_H
#define BERGAMOT_LIBBERGAMOTBASE_ACCOUNTSCHEDULER_H

#include "libbergamotbase/ids.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <list>
#include <unordered_map>
#include <vector>

namespace bergamot::base {

/// Whether an AccountScheduler remembers an account that was served and has no
/// more requests. If forgotten, the account may be served again in the same
/// round when its next request arrives. In short queues, where accounts seldom
/// have two requests at a time, that is close to the order of arrival.
enum class ServedAccounts { Forgotten, KeptUntilRoundEnds };

/// Schedules the requests of accounts by weighted deficit round robin.
/// `Request` has a member `Cost`. Each account's requests are served in the
/// order in which they were added.
template <typename Request> class AccountScheduler {
public:
  struct Account {
    AccountId Id;
    double Weight = 1;
    double Deficit = 0;
    double QueuedCost = 0;
    bool QuantumGranted = false;
    bool ServedInRound = false;
    std::list<Request> Waiting;
  };
  /// Refers to a request until it is removed.
  struct Position {
    typename std::list<Account>::iterator Owner;
    typename std::list<Request>::iterator Entry;
  };

  /// `quantum` is the cost that an account of weight 1 is credited with per
  /// round.
  explicit AccountScheduler(double quantum,
                            ServedAccounts served = ServedAccounts::Forgotten)
      : Quantum(quantum), Served(served), RoundEnd(Accounts.end()) {}
  AccountScheduler(const AccountScheduler &) = delete;
  AccountScheduler &operator=(const AccountScheduler &) = delete;

  /// `weight` applies if the account isn't known yet.
  Position add(const AccountId &id, double weight, const Request &request) {
    const auto known = ByAccount.find(id);
    auto owner = RoundEnd;
    if (known == ByAccount.end()) {
      owner = Accounts.insert(RoundEnd, Account{id, weight});
      ByAccount.emplace(id, owner);
    } else {
      owner = known->second;
    }
    if (owner->Waiting.empty())
      TotalWeight += owner->Weight;
    owner->Waiting.push_back(request);
    owner->QueuedCost += request.Cost;
    QueuedCost += request.Cost;
    ++Count;
    return {owner, std::prev(owner->Waiting.end())};
  }

  /// Returns the next request to serve, or null if there is none.
  const Request *next() {
    if (Count == 0)
      return nullptr;
    for (std::size_t rotations = 0;;) {
      if (Accounts.begin() == RoundEnd)
        startRound();
      Account &account = Accounts.front();
      if (!account.QuantumGranted && !account.Waiting.empty()) {
        account.QuantumGranted = true;
        account.Deficit += Quantum * account.Weight;
      }
      if (!account.Waiting.empty() &&
          account.Deficit >= account.Waiting.front().Cost)
        return &account.Waiting.front();
      rotate();
      if (++rotations >= Accounts.size()) {
        skipRounds();
        rotations = 0;
      }
    }
  }

  /// Removes a request that is served now, and charges its account for it.
  void removeServed(const Position &position) {
    position.Owner->Deficit -= position.Entry->Cost;
    position.Owner->ServedInRound =
        Served == ServedAccounts::KeptUntilRoundEnds;
    remove(position);
  }

  /// Removes a request that isn't served.
  void remove(const Position &position) {
    const auto owner = position.Owner;
    owner->QueuedCost -= position.Entry->Cost;
    QueuedCost -= position.Entry->Cost;
    owner->Waiting.erase(position.Entry);
    --Count;
    if (!owner->Waiting.empty())
      return;
    TotalWeight -= owner->Weight;
    owner->Deficit = std::min(owner->Deficit, 0.0);
    if (!owner->ServedInRound)
      erase(owner);
  }

  /// Returns null for an account that has no requests and isn't remembered.
  const Account *find(const AccountId &id) const {
    const auto it = ByAccount.find(id);
    return it == ByAccount.end() ? nullptr : &*it->second;
  }
  const std::list<Account> &accounts() const { return Accounts; }
  std::size_t size() const { return Count; }
  double queuedCost() const { return QueuedCost; }
  /// Returns the total weight of the accounts that have requests.
  double totalWeight() const { return TotalWeight; }

  /// Returns how many requests would be served before a new one of an account,
  /// provided that all weights and costs equal the quantum.
  std::size_t countAhead(const AccountId &id) const {
    const Account *own = find(id);
    const std::size_t ownCount = own ? own->Waiting.size() : 0;
    std::size_t ahead = ownCount;
    bool isBeforeNew = true;
    for (const Account *it : inTurn()) {
      isBeforeNew = isBeforeNew && it != own && (own || !it->ServedInRound);
      if (it != own)
        ahead += std::min(it->Waiting.size(), ownCount + (isBeforeNew ? 1 : 0));
    }
    return ahead;
  }

  /// Returns all requests in the order in which they will be served, provided
  /// that all weights and costs equal the quantum.
  std::vector<const Request *> inOrder() const {
    struct Rest {
      typename std::list<Request>::const_iterator Next;
      typename std::list<Request>::const_iterator End;
    };
    std::list<Rest> rests;
    for (const Account *it : inTurn())
      rests.push_back({it->Waiting.begin(), it->Waiting.end()});
    std::vector<const Request *> order;
    order.reserve(Count);
    while (!rests.empty()) {
      std::erase_if(rests, [](const Rest &it) { return it.Next == it.End; });
      for (auto &it : rests)
        order.push_back(&*it.Next++);
    }
    return order;
  }

private:
  /// Returns the accounts in the order of their next turns. The front account
  /// is last if it has used up its turn, because next() rotates only then.
  std::vector<const Account *> inTurn() const {
    std::vector<const Account *> result;
    result.reserve(Accounts.size());
    for (const auto &it : Accounts)
      result.push_back(&it);
    if (!result.empty() && result.front()->QuantumGranted &&
        result.front()->Deficit < Quantum)
      std::rotate(result.begin(), result.begin() + 1, result.end());
    return result;
  }

  void rotate() {
    Accounts.front().QuantumGranted = false;
    Accounts.splice(Accounts.end(), Accounts, Accounts.begin());
    if (Served == ServedAccounts::KeptUntilRoundEnds &&
        RoundEnd == Accounts.end())
      RoundEnd = std::prev(Accounts.end());
  }

  void startRound() {
    RoundEnd = Accounts.end();
    for (auto it = Accounts.begin(); it != Accounts.end();) {
      it->ServedInRound = false;
      const auto account = it++;
      if (account->Waiting.empty())
        erase(account);
    }
  }

  void erase(typename std::list<Account>::iterator account) {
    if (account == RoundEnd)
      ++RoundEnd;
    ByAccount.erase(account->Id);
    Accounts.erase(account);
  }

  /// If no account can be served in the next rounds, credits the quanta of all
  /// those rounds at once, so that the cost of next() doesn't depend on the
  /// ratio of request costs to the quantum.
  void skipRounds() {
    double rounds = std::numeric_limits<double>::max();
    for (const auto &it : Accounts)
      if (!it.Waiting.empty())
        rounds = std::min(rounds, (it.Waiting.front().Cost - it.Deficit) /
                                      (Quantum * it.Weight));
    // next() runs the last round, as it serves the accounts in their order.
    rounds = std::ceil(rounds) - 1;
    if (rounds < 1)
      return;
    for (auto &it : Accounts)
      if (!it.Waiting.empty())
        it.Deficit += rounds * Quantum * it.Weight;
  }

  double Quantum;
  ServedAccounts Served;
  /// In the order of their turns, from the one that is being served.
  std::list<Account> Accounts;
  /// The first account that already had its turn in this round. Always the end
  /// if served accounts are forgotten, since new accounts then come last.
  typename std::list<Account>::iterator RoundEnd;
  std::unordered_map<AccountId, typename std::list<Account>::iterator>
      ByAccount;
  std::size_t Count = 0;
  double QueuedCost = 0;
  double TotalWeight = 0;
};

} // namespace bergamot::base

#endif
