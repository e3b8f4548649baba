#ifndef BERGAMOT_BERGAMOTCTL_CTLFLAGS_H
#define BERGAMOT_BERGAMOTCTL_CTLFLAGS_H

#include "bergamotctl/command.h"

#include <string>
#include <vector>

namespace bergamot::bergamotctl {

/// A flag of bergamotctl with its description.
struct FlagHelp {
  std::string Name;
  std::string Default;
  std::string Description;
};

/// Returns the program's own flags, without those of libraries.
std::vector<FlagHelp> flagHelp();

/// Returns the parsed values of the flags.
Options parsedOptions();

/// Returns the endpoint of the platform's log; empty if none was given.
std::string logEndpoint();

} // namespace bergamot::bergamotctl

#endif
