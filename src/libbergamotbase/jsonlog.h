#ifndef BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H
#define BERGAMOT_LIBBERGAMOTBASE_JSONLOG_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace bergamot::base {

/// A source location. Replaces std::source_location, which clang-tidy 14 can't
/// parse in this standard library.
struct CallSite {
  const char *File = "";
  int Line = 0;

  static CallSite current(const char *file = __builtin_FILE(),
                          int line = __builtin_LINE()) {
    return {file, line};
  }
};

/// Destination of the log.
enum class LogOutput {
  StandardError,
  /// Non-blocking: lines are dropped while the pipe's buffer is full.
  StandardOutput,
};

/// Redirects all glog output of the process to the output as JSON lines with
/// time, level, source and either the message or the fields of an event or
/// decision. No log file is written, because VMs have no disks. Must be called
/// once, from main.
void initJsonLog(const char *program,
                 LogOutput output = LogOutput::StandardError);

/// Logs a decision. The event names the decision, e.g. "route.choose"; the
/// fields summarize its inputs and the result.
void logDecision(std::string_view event, const nlohmann::json &fields,
                 CallSite where = CallSite::current());

/// Logs a state change at info level.
void logInfo(std::string_view event, const nlohmann::json &fields,
             CallSite where = CallSite::current());

/// Logs a warning that may need action by an operator.
void logWarning(std::string_view event, const nlohmann::json &fields,
                CallSite where = CallSite::current());

/// Formats one log message as a JSON line without the final newline. A message
/// that starts with '{' must be a JSON object; its fields are merged into the
/// line.
std::string formatLogLine(std::string_view time, std::string_view level,
                          std::string_view source, std::string_view message);

} // namespace bergamot::base

#endif
