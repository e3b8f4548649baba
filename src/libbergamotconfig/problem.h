#ifndef BERGAMOT_LIBBERGAMOTCONFIG_PROBLEM_H
#define BERGAMOT_LIBBERGAMOTCONFIG_PROBLEM_H

#include <string>
#include <vector>

namespace bergamot::config {

/// One fault of a configuration or change: the JSON pointer (RFC 6901) of the
/// value at fault and what is wrong with it.
struct Problem {
  std::string Path;
  std::string Message;

  bool operator==(const Problem &) const = default;
};

/// Returns the problems as text, one `path: message` line each.
std::string problemText(const std::vector<Problem> &problems);

} // namespace bergamot::config

#endif
