#include "support/childprocess.h"

#include "libbergamotbase/error.h"
#include "support/waiting.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <string_view>

namespace bergamot::testsupport {

namespace {

constexpr std::size_t MaxQuotedLines = 20;
constexpr int ExecFailed = 127;
constexpr int SignalStatus = 128;

struct Pipe {
  int Read = -1;
  int Write = -1;
  Pipe() {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
      throw base::Error(base::Step::Settings, "", "cannot create a pipe");
    Read = ends[0];
    Write = ends[1];
  }
};

/// Returns the environment of a program under test. Settings of the shell that
/// runs the tests must not reach it.
std::vector<std::string>
environmentWith(const std::vector<std::string> &variables) {
  constexpr std::string_view Prefix = "BERGAMOT_";
  std::vector<std::string> all = variables;
  for (char **it = environ; *it; ++it)
    if (std::string_view(*it).substr(0, Prefix.size()) != Prefix)
      all.emplace_back(*it);
  return all;
}

/// Returns the pointers that execve() takes. The texts must outlive them.
std::vector<char *> pointersTo(std::vector<std::string> &texts) {
  std::vector<char *> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string &it : texts)
    pointers.push_back(it.data());
  pointers.push_back(nullptr);
  return pointers;
}

} // namespace

std::string programPath(const std::string &name) {
  return std::string(BERGAMOT_PROGRAM_FOLDER) + "/" + name;
}

ChildProcess::ChildProcess(const std::string &program,
                           const std::vector<std::string> &flags,
                           const std::vector<std::string> &variables) {
  Pipe output;
  Pipe log;
  std::vector<std::string> texts = {program};
  texts.insert(texts.end(), flags.begin(), flags.end());
  std::vector<std::string> environment = environmentWith(variables);
  std::vector<char *> arguments = pointersTo(texts);
  std::vector<char *> variablePointers = pointersTo(environment);
  Pid = fork();
  if (Pid == 0) {
    // Only functions that are safe after fork() in a threaded process.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(output.Write, STDOUT_FILENO);
    dup2(log.Write, STDERR_FILENO);
    execve(program.c_str(), arguments.data(), variablePointers.data());
    _exit(ExecFailed);
  }
  close(output.Write);
  close(log.Write);
  OutputReader =
      std::thread([this, pipe = output.Read] { collect(pipe, Output); });
  LogReader = std::thread([this, pipe = log.Read] { collect(pipe, Log); });
  if (Pid < 0)
    throw base::Error(base::Step::Settings, program, "cannot fork");
}

ChildProcess::~ChildProcess() {
  kill();
  if (!ExitStatus)
    waitpid(Pid, nullptr, 0);
  OutputReader.join();
  LogReader.join();
}

nlohmann::json ChildProcess::readyLine(base::TimePoint deadline) {
  bool isReady = waitFor(
      [this] {
        std::lock_guard lock(Mutex);
        return !Output.empty();
      },
      deadline);
  std::string line;
  if (isReady)
    line = outputLines().front();
  auto parsed = nlohmann::json::parse(line, nullptr, false);
  if (parsed.is_discarded())
    throw base::Error(base::Step::Settings, "",
                      "the process is not ready: " + lastOutput());
  return parsed;
}

void ChildProcess::terminate() { send(SIGTERM); }

void ChildProcess::kill() { send(SIGKILL); }

void ChildProcess::pause() {
  send(SIGSTOP);
  // The signal takes effect when each thread is scheduled, so the process
  // could still answer a request made at once.
  if (ExitStatus || Pid <= 0)
    return;
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(Pid), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void ChildProcess::resume() { send(SIGCONT); }

void ChildProcess::send(int signal) {
  // The pid stays reserved until waitpid() has returned the exit status.
  if (!ExitStatus && Pid > 0)
    ::kill(Pid, signal);
}

std::optional<int> ChildProcess::waitForExit(base::TimePoint deadline) {
  waitFor([this] { return !isRunning(); }, deadline);
  return ExitStatus;
}

bool ChildProcess::isRunning() {
  int status = 0;
  if (ExitStatus || waitpid(Pid, &status, WNOHANG) != Pid)
    return !ExitStatus;
  ExitStatus =
      WIFEXITED(status) ? WEXITSTATUS(status) : SignalStatus + WTERMSIG(status);
  return false;
}

std::vector<nlohmann::json> ChildProcess::logLines() const {
  Lines lines;
  {
    std::lock_guard lock(Mutex);
    lines = Log;
  }
  std::vector<nlohmann::json> parsed;
  for (const std::string &it : lines) {
    auto line = nlohmann::json::parse(it, nullptr, false);
    parsed.push_back(line.is_object() ? line : nlohmann::json{{"text", it}});
  }
  return parsed;
}

std::optional<nlohmann::json> ChildProcess::waitForLog(
    const std::function<bool(const nlohmann::json &)> &accepts,
    base::TimePoint deadline) const {
  std::optional<nlohmann::json> found;
  waitFor(
      [&] {
        auto lines = logLines();
        auto it = std::find_if(lines.begin(), lines.end(), accepts);
        if (it != lines.end())
          found = *it;
        return found.has_value();
      },
      deadline);
  return found;
}

std::vector<std::string> ChildProcess::outputLines() const {
  std::lock_guard lock(Mutex);
  return Output;
}

void ChildProcess::collect(int pipe, Lines &lines) {
  std::array<char, 4096> buf{};
  std::string partial;
  for (;;) {
    ssize_t n = read(pipe, buf.data(), buf.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      break;
    partial.append(buf.data(), static_cast<std::size_t>(n));
    std::lock_guard lock(Mutex);
    for (std::size_t end = 0; (end = partial.find('\n')) != std::string::npos;
         partial.erase(0, end + 1))
      lines.push_back(partial.substr(0, end));
  }
  close(pipe);
}

std::string ChildProcess::lastOutput() const {
  std::lock_guard lock(Mutex);
  std::string text;
  std::size_t first =
      Log.size() > MaxQuotedLines ? Log.size() - MaxQuotedLines : 0;
  for (std::size_t i = first; i < Log.size(); ++i)
    text += "\n" + Log[i];
  return text;
}

} // namespace bergamot::testsupport
