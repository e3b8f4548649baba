#ifndef BERGAMOT_BERGAMOTCTL_CONFIGCOMMANDS_H
#define BERGAMOT_BERGAMOTCTL_CONFIGCOMMANDS_H

#include "bergamotctl/command.h"

namespace bergamot::bergamotctl {

/// Each runs the command of `bergamotctl config` and returns the exit code.
int checkConfig(CommandContext &context);
int diffConfig(CommandContext &context);
int publishConfig(CommandContext &context);
int showStatus(CommandContext &context);
int showHistory(CommandContext &context);
int showConfig(CommandContext &context);

} // namespace bergamot::bergamotctl

#endif
