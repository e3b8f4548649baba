#ifndef BERGAMOT_LIBBERGAMOTUSAGE_WINDOWUSAGE_H
#define BERGAMOT_LIBBERGAMOTUSAGE_WINDOWUSAGE_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

/// Usage metering: counts the requests of each client account by windows of
/// wall-clock time and reports each window once.
namespace bergamot::usage {

/// Number of a window. Windows have the same length and are counted from the
/// Unix epoch.
using WindowNumber = std::int64_t;

/// Number of requests by client account.
using AccountCounts = std::map<std::string, std::uint64_t>;

/// The usage of one window.
struct WindowUsage {
  WindowNumber Window = 0;
  AccountCounts Counts;

  bool operator==(const WindowUsage &) const = default;
};

/// Returns the window that a time belongs to.
WindowNumber windowAt(base::WallTime time, std::chrono::milliseconds length);
/// Returns the time at which a window ends.
base::WallTime windowEnd(WindowNumber window, std::chrono::milliseconds length);

/// Returns the number of requests of all accounts.
std::uint64_t totalRequests(const AccountCounts &counts);

/// Encodes counts as a JSON object of account names and numbers.
nlohmann::json toJson(const AccountCounts &counts);
/// Decodes counts. Throws json::exception if they are malformed.
AccountCounts decodeCounts(const nlohmann::json &it);

} // namespace bergamot::usage

#endif
