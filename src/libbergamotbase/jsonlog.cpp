#include "libbergamotbase/jsonlog.h"

#include "libbergamotbase/timetypes.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace bergamot::base {

namespace {

/// Writes each line in one system call unless the kernel accepts only a part of
/// it, so that lines of concurrent threads are not interleaved.
class JsonLineSink : public google::LogSink {
public:
  explicit JsonLineSink(int fd) : Fd(fd) {}

  void send(google::LogSeverity severity, const char * /*fullFilename*/,
            const char *baseFilename, int line,
            const google::LogMessageTime & /*time*/, const char *message,
            std::size_t length) override {
    const std::string source =
        std::string(baseFilename) + ":" + std::to_string(line);
    std::string text = formatLogLine(formatRfc3339(wallNow()),
                                     google::GetLogSeverityName(severity),
                                     source, std::string_view(message, length));
    text.push_back('\n');
    writeAll(text);
  }

private:
  void writeAll(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t n = ::write(Fd, text.data(), text.size());
      if (n <= 0)
        return;
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  int Fd;
};

std::string dumpLossy(const nlohmann::json &value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string eventJson(std::string_view kind, std::string_view event,
                      const nlohmann::json &fields) {
  nlohmann::json line = {{kind, event}};
  line.update(fields);
  return dumpLossy(line);
}

void write(google::LogSeverity severity, std::string_view kind,
           std::string_view event, const nlohmann::json &fields,
           CallSite where) {
  google::LogMessage(where.File, where.Line, severity).stream()
      << eventJson(kind, event, fields);
}

} // namespace

void initJsonLog(const char *program, LogOutput output) {
  const bool toStandardOutput = output == LogOutput::StandardOutput;
  if (toStandardOutput)
    (void)::fcntl(STDOUT_FILENO, F_SETFL,
                  ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  static JsonLineSink sink(toStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
  google::InitGoogleLogging(program);
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
    google::SetLogDestination(severity, "");
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::AddLogSink(&sink);
}

void logDecision(std::string_view event, const nlohmann::json &fields,
                 CallSite where) {
  write(google::GLOG_INFO, "decision", event, fields, where);
}

void logInfo(std::string_view event, const nlohmann::json &fields,
             CallSite where) {
  write(google::GLOG_INFO, "event", event, fields, where);
}

void logWarning(std::string_view event, const nlohmann::json &fields,
                CallSite where) {
  write(google::GLOG_WARNING, "event", event, fields, where);
}

std::string formatLogLine(std::string_view time, std::string_view level,
                          std::string_view source, std::string_view message) {
  std::string line =
      dumpLossy({{"time", time}, {"level", level}, {"source", source}});
  line.pop_back();
  if (message.size() > 2 && message.front() == '{')
    return line + "," + std::string(message.substr(1));
  return line + ",\"message\":" + dumpLossy(nlohmann::json(message)) + "}";
}

} // namespace bergamot::base
