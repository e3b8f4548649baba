#ifndef BERGAMOT_BERGAMOTCTL_COMMAND_H
#define BERGAMOT_BERGAMOTCTL_COMMAND_H

#include "bergamotctl/configlog.h"
#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace bergamot::bergamotctl {

/// The values of the flags. Timeout bounds the whole command; publish takes
/// Base -1 for "not given".
struct Options {
  std::string KeyFile;
  std::string Signer;
  std::string Author;
  std::string Account;
  std::string ChangeId;
  std::int64_t Base = -1;
  std::chrono::milliseconds Timeout{10'000};
  std::vector<std::string> Daemons;
  /// File with the state in which `audit verify` continues.
  std::string Checkpoint;
  /// What `audit show` searches for, with Account; -1 and empty: anything.
  std::string Request;
  std::string KeyHash;
  std::int64_t ConfigVersion = -1;
  std::string FromTime;
  std::string ToTime;
  /// The entry that `explain` asks, and the request that it asks about, with
  /// Account.
  std::string Entry;
  std::string Host;
  std::string Path;
  std::string Service;
  bool Json = false;
};

/// What a command works with. Log returns the platform's log and throws
/// base::Error if none was given; Status returns the body of a daemon's
/// `GET /admin/status`; ReadStream reads any stream of the log.
struct CommandContext {
  Options Flags;
  std::vector<std::string> Arguments;
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
  std::function<ConfigLog &()> Log;
  std::function<std::string(const std::string &endpoint,
                            base::TimePoint deadline)>
      Status;
  std::function<adapterplatform::LogPage(
      const std::string &stream, base::LogOffset from, std::size_t limit,
      base::TimePoint deadline)>
      ReadStream = {};

  /// Returns the point in time at which the command gives up.
  base::TimePoint deadline() const {
    return std::chrono::steady_clock::now() + Flags.Timeout;
  }
};

/// One command: its one or two words, the arguments after them, a line for the
/// help and the function that returns the exit code.
struct Command {
  std::string Name;
  std::string Arguments;
  std::string Summary;
  std::size_t LeastArguments;
  std::size_t MostArguments;
  std::function<int(CommandContext &)> Run;
};

/// Returns all commands.
const std::vector<Command> &commands();

/// Returns the text of `--help`: commands, flags and exit codes.
std::string helpText();

/// Runs the command that the first one or two arguments name and returns the
/// exit code. Errors are printed with their step and peer.
int runCommand(CommandContext context);

/// Reads a file, or standard input if the path is `-`. Throws base::Error.
std::string readInput(CommandContext &context, const std::string &path);

} // namespace bergamot::bergamotctl

#endif
