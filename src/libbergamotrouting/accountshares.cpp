#include "libbergamotrouting/accountshares.h"

namespace bergamot::routing {

void AccountShares::add(const AccountId &account, double weight,
                        double amount) {
  Use &use = Accounts[account];
  use.Weight = weight;
  use.Amount += amount;
  ++use.Count;
}

void AccountShares::remove(const AccountId &account, double amount) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return;
  it->second.Amount -= amount;
  if (--it->second.Count == 0)
    Accounts.erase(it);
}

bool AccountShares::isFurthestAbove(const AccountId &account, double weight,
                                    double amount, double capacity) const {
  double totalWeight = weight;
  double own = amount;
  double highestOther = 0;
  for (const auto &[id, use] : Accounts) {
    if (id == account) {
      own += use.Amount;
      continue;
    }
    totalWeight += use.Weight;
    highestOther = std::max(highestOther, use.Amount / use.Weight);
  }
  const bool above = own - amount > capacity * weight / totalWeight;
  return above && own / weight >= highestOther;
}

} // namespace bergamot::routing
