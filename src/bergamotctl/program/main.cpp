#include "adapterhttp/httpclient.h"
#include "adapterplatform/httplog.h"
#include "bergamotctl/command.h"
#include "bergamotctl/ctlflags.h"
#include "bergamotctl/exitcode.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/settings.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <string_view>

using namespace bergamot;
using namespace bergamot::bergamotctl;

namespace {

using HttpConfigLog = ConfigLogOver<adapterplatform::HttpLog>;

ConfigLog &openLog(std::unique_ptr<ConfigLog> &log) {
  if (logEndpoint().empty())
    throw base::Error(base::Step::Settings, "", "this command needs --log");
  if (!log)
    log = std::make_unique<HttpConfigLog>(logEndpoint());
  return *log;
}

adapterplatform::HttpLog &
openStreams(std::unique_ptr<adapterplatform::HttpLog> &log) {
  if (logEndpoint().empty())
    throw base::Error(base::Step::Settings, "", "this command needs --log");
  if (!log)
    log = std::make_unique<adapterplatform::HttpLog>(logEndpoint());
  return *log;
}

std::string readStatus(const std::string &endpoint, base::TimePoint deadline) {
  adapterhttp::HttpClient client(endpoint);
  const auto response =
      client.request("GET", "/admin/status", {}, "", deadline);
  if (response.Status != 200)
    throw base::Error(base::Step::Answer, endpoint,
                      "status " + std::to_string(response.Status));
  return response.Body;
}

int run(int argc, char **argv) {
  auto problems = base::parseSettings(&argc, &argv);
  if (!logEndpoint().empty())
    base::checkEndpoint(problems, "log", logEndpoint());
  const Options options = parsedOptions();
  base::checkRange(problems, "timeout_ms", options.Timeout.count(), 1, 600'000);
  base::throwIfAny(problems);
  std::unique_ptr<ConfigLog> log;
  std::unique_ptr<adapterplatform::HttpLog> streams;
  return runCommand({options,
                     {argv + 1, argv + argc},
                     std::cin,
                     std::cout,
                     std::cerr,
                     [&log]() -> ConfigLog & { return openLog(log); },
                     readStatus,
                     [&streams](const std::string &stream, base::LogOffset from,
                                std::size_t limit, base::TimePoint deadline) {
                       return openStreams(streams).read(stream, from, limit,
                                                        deadline);
                     }});
}

} // namespace

int main(int argc, char **argv) {
  // gflags would print the flags of all libraries.
  const auto isHelp = [](std::string_view argument) {
    return argument == "--help" || argument == "-h" || argument == "-help";
  };
  if (argc < 2 || std::any_of(argv + 1, argv + argc, isHelp)) {
    std::cout << helpText();
    return argc < 2 ? Usage : Success;
  }
  try {
    return run(argc, argv);
  } catch (const base::Error &e) {
    std::cerr << "error: " << e.what() << "\n";
    return Usage;
  }
}
