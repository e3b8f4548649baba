#include "bergamotctl/configcommands.h"
#include "bergamotctl/exitcode.h"
#include "bergamotctl/logreplay.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace bergamot::bergamotctl {

namespace {

/// Prints one daemon's state and returns whether it has the version and hash.
/// A daemon that doesn't answer or answers something else counts as not.
bool printDaemon(CommandContext &context, const std::string &endpoint,
                 base::TimePoint deadline, const config::ConfigLedger &ledger) {
  try {
    const auto json = nlohmann::json::parse(context.Status(endpoint, deadline));
    const auto version = json.at("config_version").get<std::uint64_t>();
    const auto hash = json.at("config_hash").get<std::string>();
    const bool isReady = json.at("ready").get<bool>();
    const bool isSame =
        version == ledger.version().Value && hash == ledger.hash();
    const auto since = base::fromUnixMilliseconds(
        json.at("in_force_since_ms").get<std::int64_t>());
    context.Out << endpoint << "  " << json.at("vm").get<std::string>() << "  "
                << json.at("role").get<std::string>() << "  version " << version
                << " since " << base::formatRfc3339(since) << "  "
                << (isReady ? "ready" : "not ready") << "  "
                << (isSame ? "as the log" : "differs from the log") << "\n";
    return isReady && isSame;
  } catch (const base::Error &e) {
    context.Out << endpoint << "  no answer: " << e.what() << "\n";
  } catch (const nlohmann::json::exception &e) {
    context.Out << endpoint << "  unreadable answer: " << e.what() << "\n";
  }
  return false;
}

} // namespace

int showStatus(CommandContext &context) {
  if (context.Flags.Daemons.empty()) {
    context.Err << "config status needs --daemons\n";
    return Usage;
  }
  const base::TimePoint deadline = context.deadline();
  LogReplay replay(context.Log());
  std::string logError;
  try {
    replay.readToEnd(deadline);
    logError = replay.ledger().notReadyReason();
  } catch (const base::Error &e) {
    logError = e.what();
  }
  if (logError.empty())
    context.Out << "log  version " << replay.ledger().version().Value
                << ", hash " << replay.ledger().hash() << "\n";
  else
    context.Out << "log  not readable: " << logError << "\n";
  bool isInForce = true;
  for (const std::string &endpoint : context.Flags.Daemons)
    isInForce &=
        printDaemon(context, endpoint, context.deadline(), replay.ledger());
  if (!logError.empty())
    return NotDecided;
  return isInForce ? Success : NotInForce;
}

} // namespace bergamot::bergamotctl
