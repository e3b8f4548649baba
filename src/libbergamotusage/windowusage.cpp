#include "libbergamotusage/windowusage.h"

#include <nlohmann/json.hpp>

namespace bergamot::usage {

using base::WallTime;
using std::chrono::milliseconds;

WindowNumber windowAt(WallTime time, milliseconds length) {
  return time.time_since_epoch() / length;
}

WallTime windowEnd(WindowNumber window, milliseconds length) {
  return WallTime((window + 1) * length);
}

std::uint64_t totalRequests(const AccountCounts &counts) {
  std::uint64_t total = 0;
  for (const auto &[account, requests] : counts)
    total += requests;
  return total;
}

nlohmann::json toJson(const AccountCounts &counts) {
  nlohmann::json it = nlohmann::json::object();
  for (const auto &[account, requests] : counts)
    it[account] = requests;
  return it;
}

AccountCounts decodeCounts(const nlohmann::json &it) {
  return it.get<AccountCounts>();
}

} // namespace bergamot::usage
