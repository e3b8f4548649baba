#ifndef BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H
#define BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace bergamot::base {

/// A place in the source. Like std::source_location, which clang-tidy 14 can't
/// read from this standard library.
struct CallSite {
  const char *File = "";
  int Line = 0;

  static CallSite current(const char *file = __builtin_FILE(),
                          int line = __builtin_LINE()) {
    return {file, line};
  }
};

/// Where the log goes.
enum class LogOutput {
  StandardError,
  /// Never waits for the reader: lines that don't fit its buffer are dropped.
  StandardOutput,
};

/// Sends all glog output of the process to the output as JSON lines: time,
/// level, source and either the message or the fields of a decision. VMs have
/// no disks, so no log file is written. Call it once from main.
void initJsonLog(const char *program,
                 LogOutput output = LogOutput::StandardError);

/// Writes one decision line. The event names the decision, e.g.
/// "route.choose"; the fields are the inputs' summary and the result.
void logDecision(std::string_view event, const nlohmann::json &fields,
                 CallSite where = CallSite::current());

/// Writes an informational line about a change of state.
void logInfo(std::string_view event, const nlohmann::json &fields,
             CallSite where = CallSite::current());

/// Writes a warning line. An operator may have to act on it.
void logWarning(std::string_view event, const nlohmann::json &fields,
                CallSite where = CallSite::current());

/// Returns the JSON line, without a final newline, for one log message. A
/// message that starts with '{' is taken as an object and merged.
std::string formatLogLine(std::string_view time, std::string_view level,
                          std::string_view source, std::string_view message);

} // namespace bergamot::base

#endif
