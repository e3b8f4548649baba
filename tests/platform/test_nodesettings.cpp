// Settings of the duty of reporting usage, as the platform's template renders
// them.
#include "platform/nodesettings.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

using namespace bergamot::platform;
using namespace std::chrono_literals;

namespace {

/// Reads an entry's settings with the given values for the duty.
std::optional<NodeSettings> readSettings(const std::string &duties,
                                         const std::string &endpoint,
                                         const std::string &window,
                                         const std::string &lease) {
  const std::string path = "/tmp/bergamot-settings-" + std::to_string(getpid());
  std::ofstream(path) << "--role=entry\n--vm=v\n--failure_domain=d\n"
                         "--address=127.0.0.1\n"
                         "--caller_listen=127.0.0.1:1000\n"
                         "--ready_listen=127.0.0.1:1001\n"
                         "--peer_port=1002\n--store=127.0.0.1:1003\n"
                      << "--duties=" << duties
                      << "\n--duty_endpoint=" << endpoint
                      << "\n--usage_window_s=" << window
                      << "\n\n--usage_due_s=10\n--duty_lease_ms=" << lease
                      << "\n";
  setenv("BERGAMOTLOFT_BOOT", path.c_str(), 1);
  auto settings = reloadNodeSettings();
  std::remove(path.c_str());
  unsetenv("BERGAMOTLOFT_BOOT");
  return settings;
}

} // namespace

TEST_CASE("a deployment with the duty of reporting usage has its settings") {
  const auto settings = readSettings("usage_reporting,autoscaling",
                                     "127.0.0.1:9000", "5", "3000");
  REQUIRE(settings);
  REQUIRE(settings->UsageDuty);
  CHECK(settings->UsageDuty->Endpoint.port() == 9000);
  CHECK(settings->UsageDuty->WindowLength == 5s);
  CHECK(settings->UsageDuty->DueWithin == 10s);
  CHECK(settings->UsageDuty->Lease == 3s);
}

TEST_CASE("a deployment without the duty needs no settings for it") {
  const std::string duties = GENERATE("", "autoscaling", "usage_reporting2");
  const auto settings = readSettings(duties, "", "0", "3000");
  REQUIRE(settings);
  CHECK_FALSE(settings->UsageDuty);
}

TEST_CASE("wrong settings of the duty are refused") {
  const std::string duties = "usage_reporting";
  CHECK_FALSE(readSettings(duties, "", "5", "3000"));
  CHECK_FALSE(readSettings(duties, "127.0.0.1:9000", "0", "3000"));
  CHECK_FALSE(readSettings(duties, "127.0.0.1:9000", "5", "10"));
  CHECK(readSettings(duties, "127.0.0.1:9000", "5", "3000"));
}
