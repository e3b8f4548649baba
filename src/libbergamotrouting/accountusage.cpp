#include "libbergamotrouting/accountusage.h"

namespace bergamot::routing {

void AccountUsage::add(const AccountId &account, double weight, double amount) {
  Usage &usage = Accounts[account];
  usage.Weight = weight;
  usage.Amount += amount;
  ++usage.RequestCount;
}

void AccountUsage::remove(const AccountId &account, double amount) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end())
    return;
  it->second.Amount -= amount;
  if (--it->second.RequestCount == 0)
    Accounts.erase(it);
}

bool AccountUsage::isLargestOverShare(const AccountId &account, double weight,
                                      double amount, double capacity) const {
  double totalWeight = weight;
  double ownAmount = amount;
  double highestOther = 0;
  for (const auto &[id, usage] : Accounts) {
    if (id == account) {
      ownAmount += usage.Amount;
      continue;
    }
    totalWeight += usage.Weight;
    highestOther = std::max(highestOther, usage.Amount / usage.Weight);
  }
  const bool exceedsShare =
      ownAmount - amount > capacity * weight / totalWeight;
  return exceedsShare && ownAmount / weight >= highestOther;
}

} // namespace bergamot::routing
