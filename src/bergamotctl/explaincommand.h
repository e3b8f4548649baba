#ifndef BERGAMOT_BERGAMOTCTL_EXPLAINCOMMAND_H
#define BERGAMOT_BERGAMOTCTL_EXPLAINCOMMAND_H

#include "bergamotctl/command.h"

namespace bergamot::bergamotctl {

/// Asks a running entry where it would send a request now, and prints the
/// targets with their inputs and what the decision does with each. The entry
/// sends nothing. Returns the exit code. Throws base::Error if the entry can't
/// be reached or its response can't be read.
int explainDecision(CommandContext &context);

} // namespace bergamot::bergamotctl

#endif
