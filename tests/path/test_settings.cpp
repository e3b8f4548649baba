#include "support/childprocess.h"
#include "support/waiting.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace bergamot::testsupport;
using namespace std::chrono_literals;

namespace {

std::string manualPage() {
  std::ifstream file(BERGAMOT_DAEMON_MANUAL);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the flags that `bergamotd --help` lists for the daemon itself.
std::vector<std::string> flagsOfHelp() {
  ChildProcess help(programPath("bergamotd"), {"--help"});
  help.waitForExit(in(10s));
  std::vector<std::string> flags;
  bool isOwn = false;
  for (const auto &line : help.outputLines()) {
    if (line.find("Flags from") != std::string::npos)
      isOwn = line.find("daemonsettings.cpp") != std::string::npos;
    const auto begin = line.find("    -");
    if (isOwn && begin == 0)
      flags.push_back(line.substr(5, line.find(' ', 5) - 5));
  }
  return flags;
}

} // namespace

// Guards against a manual page that misses a setting or names one that is gone.
TEST_CASE("the manual page has the daemon's settings", "[settings]") {
  const auto flags = flagsOfHelp();
  const std::string page = manualPage();
  REQUIRE(flags.size() > 15);
  for (const auto &flag : flags) {
    INFO(flag);
    CHECK(page.find("\\-\\-" + flag + "= ") != std::string::npos);
  }
  std::size_t documented = 0;
  for (auto at = page.find(".BI \\-\\-"); at != std::string::npos;
       at = page.find(".BI \\-\\-", at + 1))
    ++documented;
  CHECK(documented == flags.size());
}

// Guards against a daemon that starts with bad settings, or that names only
// the first of them.
TEST_CASE("bad settings are all named and end the daemon", "[settings]") {
  ChildProcess daemon(
      programPath("bergamotd"),
      {"--role=entri", "--http_listen=localhost:1", "--http_threads=0"},
      {"BERGAMOT_NO_SUCH=1", "BERGAMOT_SECRETS=short"});
  CHECK(daemon.waitForExit(in(10s)) == 2);
  std::string text;
  for (const auto &line : daemon.logLines())
    text += line.dump() + "\n";
  for (const char *part :
       {"--role='entri'", "--http_listen='localhost:1'", "--http_threads='0'",
        "BERGAMOT_NO_SUCH='1'", "--secrets="}) {
    INFO(part);
    CHECK(text.find(part) != std::string::npos);
  }
  CHECK(text.find("short") == std::string::npos);
}
