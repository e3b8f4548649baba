#include "libbergamotbase/settings.h"

#include "libbergamotbase/error.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

namespace bergamot::base {

namespace {

constexpr std::string_view Prefix = "BERGAMOT_";
constexpr unsigned HighestPort = 65535;

std::string flagForVariable(std::string_view name) {
  std::string flag;
  for (const char c : name.substr(Prefix.size()))
    flag.push_back(static_cast<char>(std::tolower(c)));
  return flag;
}

void applyVariable(std::vector<SettingProblem> &problems,
                   std::string_view variable) {
  const auto equals = variable.find('=');
  const std::string name(variable.substr(0, equals));
  const std::string value(variable.substr(equals + 1));
  const std::string flag = flagForVariable(name);
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) {
    problems.push_back({name, value, "no setting has this name"});
    return;
  }
  if (!info.is_default)
    return; // The command line takes precedence.
  if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty())
    problems.push_back({name, value, "a value of type " + info.type});
}

bool isPort(std::string_view text) {
  unsigned port = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return ec == std::errc() && end == text.data() + text.size() && port > 0 &&
         port <= HighestPort;
}

bool isEndpoint(const std::string &text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || !isPort(text.substr(colon + 1)))
    return false;
  std::string host = text.substr(0, colon);
  in6_addr parsed{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     &parsed) == 1;
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

} // namespace

std::vector<SettingProblem> parseSettings(int *argc, char ***argv) {
  gflags::ParseCommandLineFlags(argc, argv, true);
  std::vector<SettingProblem> problems;
  for (char **it = environ; *it != nullptr; ++it) {
    const std::string_view variable(*it);
    if (variable.substr(0, Prefix.size()) == Prefix)
      applyVariable(problems, variable);
  }
  return problems;
}

void throwIfAny(const std::vector<SettingProblem> &problems) {
  if (problems.empty())
    return;
  std::string text;
  for (const auto &p : problems)
    text += (text.empty() ? "" : "\n") + p.Setting + "='" + p.Value +
            "': allowed: " + p.Allowed;
  throw Error(Step::Settings, "", text);
}

void checkRange(std::vector<SettingProblem> &problems, const char *flag,
                long long value, long long lowest, long long highest) {
  if (value < lowest || value > highest)
    problems.push_back(
        {std::string("--") + flag, std::to_string(value),
         std::to_string(lowest) + " to " + std::to_string(highest)});
}

void checkChoice(std::vector<SettingProblem> &problems, const char *flag,
                 const std::string &value,
                 const std::vector<std::string> &choices) {
  if (std::find(choices.begin(), choices.end(), value) != choices.end())
    return;
  std::string allowed;
  for (const auto &it : choices)
    allowed += (allowed.empty() ? "" : ", ") + it;
  problems.push_back({std::string("--") + flag, value, allowed});
}

void checkPresent(std::vector<SettingProblem> &problems, const char *flag,
                  const std::string &value, const char *allowed) {
  if (value.empty())
    problems.push_back({std::string("--") + flag, value, allowed});
}

void checkEndpoint(std::vector<SettingProblem> &problems, const char *flag,
                   const std::string &value) {
  if (!isEndpoint(value))
    problems.push_back({std::string("--") + flag, value,
                        "an IP address and a port, such as 10.0.0.1:7000"});
}

} // namespace bergamot::base
