#ifndef BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTSHARES_H
#define BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTSHARES_H

#include "libbergamotrouting/routingtypes.h"

#include <unordered_map>

namespace bergamot::routing {

/// What each client account has in use at one target, for fairness when the
/// target is nearly full. Accounts without anything in use take no memory.
class AccountShares {
public:
  /// Adds an amount in use by an account with the weight given.
  void add(const AccountId &account, double weight, double amount);

  /// Removes an amount that was added before.
  void remove(const AccountId &account, double amount);

  /// Says whether the account is above its weighted share of the capacity and,
  /// after adding the amount, no less above it than every other account.
  bool isFurthestAbove(const AccountId &account, double weight, double amount,
                       double capacity) const;

  std::size_t size() const { return Accounts.size(); }

private:
  struct Use {
    double Weight = 1;
    double Amount = 0;
    std::uint32_t Count = 0;
  };

  std::unordered_map<AccountId, Use> Accounts;
};

} // namespace bergamot::routing

#endif
