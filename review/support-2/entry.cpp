#include "entry.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace review {

using std::chrono::milliseconds;

namespace {

constexpr auto Program = "target/bin/bergamot-node";

/// The settings that deploy/entry.flags gives with the bounds of
/// aradovelho-entradas.
std::string flags(const Entry::Settings &it, unsigned short storePort) {
  const auto at = [&](unsigned short port) {
    return it.Address + ":" + std::to_string(port);
  };
  return "--role=entry\n--vm=" + it.Name + "\n--failure_domain=" + it.Zone +
         "\n--address=" + it.Address +
         "\n--caller_listen=" + at(it.CallerPort) +
         "\n--ready_listen=" + at(it.ReadyPort) +
         "\n--peer_port=" + std::to_string(it.PeerPort) +
         "\n--metrics_port=" + std::to_string(it.MetricsPort) +
         "\n--store=127.0.0.1:" + std::to_string(storePort) +
         "\n--retry_ratio=0.2\n--retry_slack=88\n--retry_window_s=10"
         "\n--grace_period_s=8\n--drain_bound_ms=2000"
         "\n--configuration_bound_ms=2000\n--evacuation_bound_ms=5000"
         "\n--stable_window_ms=3000\n--duties=\n--duty_endpoint=\n";
}

} // namespace

Entry::Entry(Settings settings, Store &store)
    : Config(std::move(settings)), StoreDoor(store) {}

Entry::~Entry() { kill(); }

void Entry::start() {
  const std::string path = Config.Folder + "/" + Config.Name + ".flags";
  std::ofstream(path) << flags(Config, StoreDoor.port());
  const std::string log = Config.Folder + "/" + Config.Name + ".log";
  Pid = ::fork();
  if (Pid < 0)
    throw std::runtime_error("fork");
  if (Pid > 0)
    return;
  // The process ends with the case, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::setenv("BERGAMOTLOFT_BOOT", path.c_str(), 1);
  ::execl(Program, Program, static_cast<char *>(nullptr));
  ::_exit(127);
}

void Entry::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

void Entry::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool Entry::isRunning() {
  return Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == 0;
}

bool Entry::isReady() const {
  const auto socket = Socket::connect(Config.Address, Config.ReadyPort);
  if (!socket || !socket->send("GET /v1/ready HTTP/1.1\r\nHost: entry\r\n\r\n"))
    return false;
  std::string buf;
  Message answer;
  return readMessage(*socket, buf, Clock::now() + milliseconds(500), answer) &&
         answer.status() == 200;
}

std::size_t Entry::memoryBytes() const {
  constexpr std::size_t BytesPerKilobyte = 1024;
  std::ifstream in("/proc/" + std::to_string(Pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmRSS:"))
      return BytesPerKilobyte *
             std::strtoul(line.c_str() + std::string_view("VmRSS:").size(),
                          nullptr, 10);
  return 0;
}

Channel::Channel(const Entry &entry, int receiveBytes)
    : Connection(Socket::connect(entry.settings().Address,
                                 entry.settings().CallerPort, receiveBytes)) {}

Channel::Ending Channel::exchange(const Request &it, int &status) {
  status = 0;
  if (!Connection)
    return Ending::NoAnswer;
  const TimePoint deadline = Clock::now() + it.Budget;
  std::string bytes = it.Method + " " + it.Path +
                      " HTTP/1.1\r\nHost: " + HostName +
                      "\r\nBergamotloft-Request-Id: " + it.Id +
                      "\r\nBergamotloft-Deadline-Remaining: " +
                      std::to_string(it.Budget.count()) + "\r\n";
  if (!it.Key.empty())
    bytes.append("Authorization: Token ").append(it.Key).append("\r\n");
  if (it.Method != "GET")
    bytes.append("Content-Length: ")
        .append(std::to_string(it.Body.size()))
        .append("\r\n");
  bytes.append("\r\n").append(it.Body);
  Message answer;
  const bool isSent = Connection->send(bytes);
  std::this_thread::sleep_for(it.ReadPause);
  const bool isComplete =
      isSent && readMessage(*Connection, Input, deadline, answer);
  status = answer.status();
  if (isComplete)
    return Ending::Complete;
  const bool hasBegun = !answer.StartLine.empty() || !Input.empty();
  Connection.reset();
  return hasBegun ? Ending::Cut : Ending::NoAnswer;
}

int sendAlone(const Entry &entry, const Request &it) {
  Channel channel(entry);
  int status = 0;
  return channel.exchange(it, status) == Channel::Ending::Complete ? status : 0;
}

bool waitUntil(const std::function<bool()> &condition, TimePoint deadline) {
  constexpr milliseconds Period{50};
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(Period);
  }
  return true;
}

} // namespace review
