#include "entryprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace bergamot::review {

using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t MetricsPort = 9464;
constexpr auto Program = "target/bin/bergamot-node";
constexpr milliseconds PollInterval{20};

/// Fills in the placeholders of a template. Values that the deployment lacks
/// are empty, and so are the sections that depend on them.
std::string fillIn(std::string text,
                   const std::map<std::string, std::string> &values) {
  for (std::size_t at = text.find("{{#"); at != std::string::npos;
       at = text.find("{{#")) {
    const std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
    const std::string end = "{{/" + name + "}}";
    text.erase(at, text.find(end, at) + end.size() - at);
  }
  for (std::size_t at = text.find("{{"); at != std::string::npos;
       at = text.find("{{")) {
    const std::size_t end = text.find("}}", at);
    const auto it = values.find(text.substr(at + 2, end - at - 2));
    text.replace(at, end + 2 - at, it == values.end() ? "" : it->second);
  }
  return text;
}

} // namespace

NodeProcess::NodeProcess(const std::string &folder,
                         const std::string &settingsTemplate,
                         const std::map<std::string, std::string> &values) {
  std::stringstream text;
  text << std::ifstream(settingsTemplate).rdbuf();
  const std::string &name = values.at("node-name");
  const std::string settings = folder + "/" + name + ".settings";
  std::ofstream(settings) << fillIn(text.str(), values);
  const std::string log = folder + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = Program;
  std::vector<std::string> variables = {"BERGAMOTLOFT_BOOT=" + settings};
  for (const char *variable : {"PATH", "HOME", "LANG"})
    if (const char *value = std::getenv(variable))
      variables.push_back(std::string(variable) + "=" + value);
  std::vector<char *> environment;
  environment.reserve(variables.size() + 1);
  for (auto &it : variables)
    environment.push_back(it.data());
  environment.push_back(nullptr);
  std::array<char *, 2> arguments = {program.data(), nullptr};
  const int error = posix_spawn(&Pid, Program, &actions, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::runtime_error(std::string("cannot start ") + Program);
}

NodeProcess::~NodeProcess() { kill(); }

void NodeProcess::kill() {
  if (Pid < 0)
    return;
  (void)::kill(Pid, SIGKILL);
  (void)::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

void NodeProcess::terminate() const { (void)::kill(Pid, SIGTERM); }

bool NodeProcess::waitForExit(Clock::time_point deadline) {
  while (::waitpid(Pid, nullptr, WNOHANG) == 0) {
    if (Clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  Pid = -1;
  return true;
}

SidecarProcess::SidecarProcess(const std::string &folder,
                               const std::string &name, std::uint16_t peerPort,
                               const Endpoint &worker,
                               const std::string &service,
                               const Endpoint &store)
    : NodeProcess(folder, "deploy/sidecar.flags",
                  {{"node-name", name},
                   {"zone", "zone-a"},
                   {"ip-address", worker.Address},
                   {"internal-port-range.0", std::to_string(peerPort)},
                   {"platform.address", store.text()},
                   {"app", worker.text()},
                   {"service", service},
                   {"bounds.grace-period-s", "8"}}) {}

EntryProcess::EntryProcess(const std::string &folder, const std::string &name,
                           const std::string &address, const Endpoint &store)
    : EntryProcess(folder, name, address, store, freePort(address),
                   freePort(address)) {}

EntryProcess::EntryProcess(const std::string &folder, const std::string &name,
                           const std::string &address, const Endpoint &store,
                           std::uint16_t clientPort,
                           std::uint16_t readinessPort)
    // The bounds are those of the small deployments.
    : NodeProcess(
          folder, "deploy/entry.flags",
          {{"node-name", name},
           {"zone", "zone-a"},
           {"ip-address", address},
           {"listen-addresses.frontend", Endpoint{address, clientPort}.text()},
           {"listen-addresses.ready", Endpoint{address, readinessPort}.text()},
           {"internal-port-range.0", std::to_string(freePort(address))},
           {"platform.address", store.text()},
           {"bounds.retry-budget-ratio", "0.2"},
           {"bounds.budget-slack", "92"},
           {"bounds.budget-window-s", "10"},
           {"bounds.grace-period-s", "8"},
           {"bounds.drain-timeout-ms", "2000"},
           {"bounds.configuration-ms", "2000"}}),
      Clients{address, clientPort}, Readiness{address, readinessPort} {}

bool EntryProcess::isReady() const {
  const int fd = connectTo(Readiness);
  if (fd < 0)
    return false;
  HttpReader reader(fd);
  const bool sent = sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                                "Connection: close\r\n\r\n");
  const auto answer = sent ? reader.read() : std::nullopt;
  ::close(fd);
  return answer && answer->status() == 200;
}

bool EntryProcess::waitUntilReady(Clock::time_point deadline) const {
  while (!isReady()) {
    if (Clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

std::string pickAddress(unsigned number) {
  static const std::string network = [] {
    std::random_device random;
    std::uniform_int_distribution<unsigned> byte(1, 254);
    for (;;) {
      std::string it = "127." + std::to_string(byte(random)) + "." +
                       std::to_string(byte(random)) + ".";
      bool isFree = true;
      for (unsigned host = 1; host < 20; ++host)
        isFree = isFree && isPortFree(it + std::to_string(host), MetricsPort);
      if (isFree)
        return it;
    }
  }();
  return network + std::to_string(number);
}

} // namespace bergamot::review
