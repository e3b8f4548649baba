#ifndef BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H
#define BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace bergamot::base {

/// Sends all glog output of the process to standard error as JSON lines:
/// time, level, source and either the message or the fields of a decision.
/// VMs have no disks, so no log file is written. Call it once from main.
void initJsonLog(const char *program);

/// Writes one decision line. The event names the decision, e.g.
/// "route.choose"; the fields are the inputs' summary and the result.
void logDecision(std::string_view event, const nlohmann::json &fields);

/// Writes an informational line about a change of state.
void logInfo(std::string_view event, const nlohmann::json &fields);

/// Writes a warning line. An operator may have to act on it.
void logWarning(std::string_view event, const nlohmann::json &fields);

/// Returns the JSON line, without a final newline, for one log message. A
/// message that starts with '{' is taken as an object and merged.
std::string formatLogLine(std::string_view time, std::string_view level,
                          std::string_view source, std::string_view message);

} // namespace bergamot::base

#endif
