#ifndef BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTSHARES_H
#define BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTSHARES_H

#include "libbergamotrouting/routingtypes.h"

#include <unordered_map>

namespace bergamot::routing {

/// Usage of each client account at one target, for fairness when the target is
/// nearly full. Accounts without usage take no memory.
class AccountUsage {
public:
  /// Adds an amount used by an account of the given weight.
  void add(const AccountId &account, double weight, double amount);

  /// Removes an amount added earlier.
  void remove(const AccountId &account, double amount);

  /// Returns whether the account already exceeds its weighted share of the
  /// capacity and, after adding the amount, would have the highest usage per
  /// weight (or tie for it).
  bool isLargestOverShare(const AccountId &account, double weight,
                          double amount, double capacity) const;

  std::size_t size() const { return Accounts.size(); }

private:
  struct Usage {
    double Weight = 1;
    double Amount = 0;
    std::uint32_t RequestCount = 0;
  };

  std::unordered_map<AccountId, Usage> Accounts;
};

} // namespace bergamot::routing

#endif
