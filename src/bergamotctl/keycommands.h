#ifndef BERGAMOT_BERGAMOTCTL_KEYCOMMANDS_H
#define BERGAMOT_BERGAMOTCTL_KEYCOMMANDS_H

#include "bergamotctl/command.h"

namespace bergamot::bergamotctl {

/// Makes a key. With an account, prints a new API key and its hash; otherwise
/// writes a new Ed25519 private key to the key file, which must not exist, and
/// prints the public key. Returns the exit code.
int newKey(CommandContext &context);

/// Prints the hash of the API key on the first line of the input, as it
/// stands in the configuration. Returns the exit code.
int hashKey(CommandContext &context);

} // namespace bergamot::bergamotctl

#endif
