#ifndef BERGAMOT_LIBBERGAMOTBASE_SETTINGS_H
#define BERGAMOT_LIBBERGAMOTBASE_SETTINGS_H

#include <string>
#include <vector>

namespace bergamot::base {

/// An invalid setting: the flag or environment variable, its value and a
/// description of the allowed values.
struct SettingProblem {
  std::string Setting;
  std::string Value;
  std::string Allowed;
};

/// Parses the command line with gflags and sets flags that it doesn't contain
/// from environment variables named `BERGAMOT_<NAME>`. Variables with the
/// prefix that match no flag are reported as problems. Removes the parsed flags
/// from argv and returns the problems; for an unknown flag on the command line,
/// gflags exits the process.
std::vector<SettingProblem> parseSettings(int *argc, char ***argv);

/// Throws Error with one line per problem unless the list is empty.
void throwIfAny(const std::vector<SettingProblem> &problems);

/// Adds a problem unless the value of the flag is within the bounds.
void checkRange(std::vector<SettingProblem> &problems, const char *flag,
                long long value, long long lowest, long long highest);

/// Adds a problem unless the value of the flag is one of the choices.
void checkChoice(std::vector<SettingProblem> &problems, const char *flag,
                 const std::string &value,
                 const std::vector<std::string> &choices);

/// Adds a problem if the value of the flag is empty.
void checkPresent(std::vector<SettingProblem> &problems, const char *flag,
                  const std::string &value, const char *allowed);

/// Adds a problem unless the value is an IP address with a port, such as
/// 10.0.0.1:7000 or [::1]:7000.
void checkEndpoint(std::vector<SettingProblem> &problems, const char *flag,
                   const std::string &value);

} // namespace bergamot::base

#endif
