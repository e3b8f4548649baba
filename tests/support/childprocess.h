#ifndef BERGAMOT_SUPPORT_CHILDPROCESS_H
#define BERGAMOT_SUPPORT_CHILDPROCESS_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bergamot::testsupport {

/// Returns the path of one of this project's programs in the build folder.
std::string programPath(const std::string &name);

/// A program started by a test. It is killed by its pid when this object is
/// destroyed, and by the kernel when the thread that created it ends.
class ChildProcess {
public:
  /// Starts the program with flags such as "--kind=engine". Of the variables
  /// whose names start with BERGAMOT_, it gets only those given here as
  /// "NAME=value". Throws base::Error if it can't be started.
  ChildProcess(const std::string &program,
               const std::vector<std::string> &flags,
               const std::vector<std::string> &variables = {});
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  pid_t pid() const { return Pid; }

  /// Returns the first line of standard output, which must be JSON. Throws
  /// base::Error, with the last output, if none comes by the deadline.
  nlohmann::json readyLine(base::TimePoint deadline);

  /// Sends SIGTERM, SIGKILL, SIGSTOP or SIGCONT. pause() returns once the
  /// process has stopped.
  void terminate();
  void kill();
  void pause();
  void resume();

  /// Waits for the end. Returns the exit status, 128 plus the number of a
  /// fatal signal, or nothing if the process still runs at the deadline.
  std::optional<int> waitForExit(base::TimePoint deadline);

  bool isRunning();

  /// Returns the JSON lines of standard error so far. Lines that aren't JSON
  /// objects become {"text":line}.
  std::vector<nlohmann::json> logLines() const;

  /// Waits for a log line that the predicate accepts and returns it.
  std::optional<nlohmann::json>
  waitForLog(const std::function<bool(const nlohmann::json &)> &accepts,
             base::TimePoint deadline) const;

  /// Returns the lines of standard output so far.
  std::vector<std::string> outputLines() const;

private:
  using Lines = std::vector<std::string>;

  void collect(int pipe, Lines &lines);
  void send(int signal);
  std::string lastOutput() const;

  pid_t Pid = -1;
  std::optional<int> ExitStatus;
  mutable std::mutex Mutex;
  Lines Output;
  Lines Log;
  std::thread OutputReader;
  std::thread LogReader;
};

} // namespace bergamot::testsupport

#endif
