#include "bergamotctl/command.h"

#include "bergamotctl/auditcommands.h"
#include "bergamotctl/configcommands.h"
#include "bergamotctl/ctlflags.h"
#include "bergamotctl/exitcode.h"
#include "bergamotctl/explaincommand.h"
#include "bergamotctl/keycommands.h"
#include "libbergamotbase/error.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <ostream>
#include <sstream>

namespace bergamot::bergamotctl {

namespace {

constexpr std::size_t MostFiles = 10'000;

constexpr const char *ExitCodeHelp = R"(
Exit codes:
  0  done; the change is accepted
  1  the document, key or input has problems; nothing was appended. An audit
     export lacks batches, or one was changed. The entry has no such route,
     account or service
  2  the command line is wrong
  3  the race was lost to the change named; nothing of this one is in force
  4  not decided: the log can't be read or didn't decide in time. The entry
     can't be reached or has no configuration
  5  every reader of the log refuses the change
  6  not in force at every daemon
)";

const Command *findCommand(const std::vector<std::string> &words) {
  const auto it = std::find_if(
      commands().begin(), commands().end(), [&](const Command &command) {
        return !words.empty() && (command.Name == words[0] ||
                                  (words.size() > 1 &&
                                   command.Name == words[0] + " " + words[1]));
      });
  return it == commands().end() ? nullptr : &*it;
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> all = {
      {"config check", "FILE", "report all problems of a document", 1, 1,
       checkConfig},
      {"config diff", "FILE [FILE]",
       "compare the configuration in force, or the first file, with a document",
       1, 2, diffConfig},
      {"config publish", "FILE",
       "make a document the configuration in force and wait for the decision",
       1, 1, publishConfig},
      {"config status", "", "compare the versions of daemons with the log", 0,
       0, showStatus},
      {"config history", "", "list the changes and what was decided on each", 0,
       0, showHistory},
      {"config show", "", "print the configuration in force", 0, 0, showConfig},
      {"audit export", "DAEMON FILE",
       "append a daemon's new audit batches to a file", 2, 2, runAuditExport},
      {"audit verify", "FILE...", "check the hash chains of exports", 1,
       MostFiles, runAuditVerify},
      {"audit show", "FILE...", "search exports for audit records", 1,
       MostFiles, runAuditShow},
      {"explain", "", "show where an entry would send a request now, and why",
       0, 0, explainDecision},
      {"key new", "", "make a signing key, or an API key with --account", 0, 0,
       newKey},
      {"key hash", "", "print the hash of the API key on standard input", 0, 0,
       hashKey},
  };
  return all;
}

std::string helpText() {
  std::ostringstream text;
  text << "Usage: bergamotctl COMMAND [ARGUMENT]... [--FLAG=VALUE]...\n\n"
          "Commands:\n";
  for (const Command &command : commands())
    text << "  " << std::left << std::setw(28)
         << command.Name + " " + command.Arguments << command.Summary << "\n";
  text << "\nFlags (each also as the variable BERGAMOT_<NAME>):\n";
  const std::vector<FlagHelp> flags = flagHelp();
  std::size_t longestName = 0;
  for (const FlagHelp &flag : flags)
    longestName = std::max(longestName, flag.Name.size());
  for (const FlagHelp &flag : flags)
    text << "  --" << std::left << std::setw(static_cast<int>(longestName) + 2)
         << flag.Name << flag.Description
         << (flag.Default.empty() ? "" : " (" + flag.Default + ")") << "\n";
  return text.str() + ExitCodeHelp;
}

std::string readInput(CommandContext &context, const std::string &path) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file)
      throw base::Error(base::Step::Settings, path, "the file can't be read");
  }
  std::istream &in = path == "-" ? context.In : file;
  return {std::istreambuf_iterator<char>(in), {}};
}

int runCommand(CommandContext context) {
  const Command *command = findCommand(context.Arguments);
  if (command == nullptr) {
    context.Err << "unknown command; bergamotctl --help lists them\n";
    return Usage;
  }
  auto &arguments = context.Arguments;
  const auto words =
      1 + std::count(command->Name.begin(), command->Name.end(), ' ');
  arguments.erase(arguments.begin(), arguments.begin() + words);
  if (arguments.size() < command->LeastArguments ||
      arguments.size() > command->MostArguments) {
    context.Err << "usage: bergamotctl " << command->Name << " "
                << command->Arguments << "\n";
    return Usage;
  }
  try {
    return command->Run(context);
  } catch (const base::Error &e) {
    context.Err << "error: " << e.what() << " (step " << stepName(e.step())
                << (e.peer().empty() ? "" : ", " + e.peer()) << ")\n";
    if (e.step() == base::Step::Settings)
      return Usage;
    return e.step() == base::Step::Parse ? HasProblems : NotDecided;
  }
}

} // namespace bergamot::bergamotctl
