#include "adapterplatform/httplog.h"
#include "bergamotctl/command.h"
#include "bergamotctl/ctlflags.h"
#include "bergamotctl/exitcode.h"
#include "config/fakelog.h"
#include "config/fixtures.h"
#include "libbergamotbase/digest.h"
#include "libbergamotconfig/configbuilder.h"
#include "libbergamotconfig/configledger.h"
#include "standin/platformstandin.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

using namespace bergamot;
using namespace bergamot::bergamotctl;
using std::chrono::milliseconds;

namespace {

/// A new directory that is removed with its files at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string name = std::filesystem::temp_directory_path() / "config-XXXXXX";
    Path = mkdtemp(name.data());
  }
  ~TemporaryFolder() {
    for (const std::string &file : Files)
      unlink(file.c_str());
    rmdir(Path.c_str());
  }
  std::string add(const std::string &name, const std::string &text = "") {
    Files.push_back(Path + "/" + name);
    if (!text.empty())
      std::ofstream(Files.back()) << text;
    return Files.back();
  }

private:
  std::string Path;
  std::vector<std::string> Files;
};

/// Runs commands as an operator would, over a fake log or another one.
struct Operator {
  TemporaryFolder Folder;
  FakeLogState State;
  ConfigLogOver<FakeLog> Fake{State};
  ConfigLog *Log = &Fake;
  Options Flags;
  std::string Out;
  std::string Err;
  std::string Input;
  std::map<std::string, std::string> Statuses;

  Operator() {
    Flags.KeyFile = Folder.add("key", base::toHex(std::string(32, 'a')) + "\n");
    Flags.Signer = "mika";
    Flags.Author = "mika";
    Flags.Timeout = milliseconds(3000);
  }

  int run(std::vector<std::string> words) {
    std::istringstream in(Input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = runCommand(
        {Flags, std::move(words), in, out, err,
         [this]() -> ConfigLog & { return *Log; },
         [this](const std::string &endpoint, base::TimePoint) {
           if (!Statuses.contains(endpoint))
             throw base::Error(base::Step::Connect, endpoint, "refused");
           return Statuses.at(endpoint);
         }});
    Out = out.str();
    Err = err.str();
    INFO(Err);
    return code;
  }

  int publish(const config::Configuration &document, std::int64_t base) {
    Flags.Base = base;
    return run({"config", "publish",
                Folder.add("document", config::readableText(document))});
  }
};

/// The stand-in's log over HTTP; sets faults just before an append.
class StandinLog : public ConfigLog {
public:
  StandinLog(standin::PlatformStandin &platform)
      : Platform(platform),
        Http("127.0.0.1:" + std::to_string(platform.port())) {}

  base::LogOffset append(const std::string &record,
                         base::TimePoint deadline) override {
    Platform.faults().set(
        std::exchange(AppendFaults, nlohmann::json::object()));
    return Http.append(record, deadline);
  }
  adapterplatform::LogPage read(base::LogOffset from, std::size_t limit,
                                base::TimePoint deadline) override {
    return Http.read(from, limit, deadline);
  }

  nlohmann::json AppendFaults = nlohmann::json::object();

private:
  standin::PlatformStandin &Platform;
  ConfigLogOver<adapterplatform::HttpLog> Http;
};

config::Configuration withWeight(std::uint32_t weight) {
  config::Configuration c = config::testConfiguration();
  c.Accounts[0].Weight = weight;
  return c;
}

} // namespace

// Guards against a publication that reports success before the log decided.
TEST_CASE("publish appends a delta and reports the version", "[ctl]") {
  Operator op;
  REQUIRE(op.publish(withWeight(1), 0) == Success);
  REQUIRE(op.publish(withWeight(2), 1) == Success);
  CHECK_THAT(op.Out, Catch::Contains("is version 2"));
  CHECK(op.State.Records[1].size() < op.State.Records[0].size() / 2);
  CHECK(op.publish(withWeight(2), 2) == Success);
  CHECK_THAT(op.Out, Catch::Contains("no difference"));
  CHECK(op.State.Records.size() == 2);
  REQUIRE(op.run({"config", "show"}) == Success);
  CHECK(op.Out == config::readableText(withWeight(2)));
  REQUIRE(op.run({"config", "history"}) == Success);
  CHECK_THAT(op.Out, Catch::Contains("offset 1  accepted") &&
                         Catch::Contains("by mika (signer mika)  version 2"));
  const std::string path =
      op.Folder.add("new", config::readableText(withWeight(9)));
  REQUIRE(op.run({"config", "diff", path}) == Success);
  CHECK(op.Out == "~ account rope-shop\n    weight: 2 -> 9\n");
}

// Guards against a second record after a response that was lost.
TEST_CASE("publish reads back after a lost response", "[ctl]") {
  Operator op;
  op.State.LostResponses = 1;
  CHECK(op.publish(withWeight(1), 0) == Success);
  CHECK(op.State.Records.size() == 1);
}

// Guards against a change that counts twice when the lost append takes effect
// after the second one.
TEST_CASE("a late append of the same change counts once", "[ctl]") {
  Operator op;
  op.State.LateAppends = 1;
  CHECK(op.publish(withWeight(1), 0) == Success);
  REQUIRE(op.run({"config", "show"}) == Success);
  CHECK_THAT(op.Err, Catch::Contains("version 1,"));
}

// Guards against an operator who believes that a change failed, or succeeded,
// when nobody knows yet.
TEST_CASE("publish reports what is undecided and can be resumed", "[ctl]") {
  Operator op;
  REQUIRE(op.publish(withWeight(1), 0) == Success);
  op.Flags.Timeout = milliseconds(300);
  op.State.Down = 1000;
  CHECK(op.publish(withWeight(2), 1) == NotDecided);
  op.State.Down = 0;
  op.State.Delay = milliseconds(400);
  CHECK(op.publish(withWeight(2), 1) == NotDecided);
  op.State.Delay = milliseconds(0);
  // The append takes effect, and then the log is down.
  op.State.LostResponses = 1;
  op.State.BeforeAppend = [&] { op.State.Down = 1000; };
  CHECK(op.publish(withWeight(2), 1) == NotDecided);
  const auto at = op.Err.find("--change_id=");
  REQUIRE(at != std::string::npos);
  op.State.Down = 0;
  op.Flags.ChangeId = op.Err.substr(at + 12, 24);
  CHECK(op.publish(withWeight(2), 1) == Success);
  CHECK_THAT(op.Out, Catch::Contains("is version 2"));
  CHECK(op.State.Records.size() == 2);
}

// Guards against overwriting the change of an operator who was faster.
TEST_CASE("publish that loses the race names the winner", "[ctl]") {
  Operator op;
  REQUIRE(op.publish(withWeight(1), 0) == Success);
  op.State.BeforeAppend = [&] {
    op.State.Records.push_back(recordText(config::deltaChange(
        "faster", 1, config::difference(withWeight(1), withWeight(5)))));
  };
  CHECK(op.publish(withWeight(2), 1) == LostRace);
  CHECK_THAT(op.Err, Catch::Contains("change faster made version 2"));
  const int appends = op.State.Appends;
  CHECK(op.publish(withWeight(2), 1) == LostRace);
  CHECK_THAT(op.Err, Catch::Contains("version 2 is in force (change faster"));
  CHECK(op.State.Appends == appends);
}

// Guards against records that every reader refuses, and against silence about
// a wrong command line or document.
TEST_CASE("publish refuses what can't be accepted", "[ctl]") {
  Operator op;
  CHECK(op.publish(withWeight(0), 0) == HasProblems);
  CHECK(op.Err == "/accounts/0/weight: 0 is not within 1 to 1000\n");
  op.Flags.Signer = "other";
  CHECK(op.publish(withWeight(1), 0) == HasProblems);
  op.Flags.Signer = "mika";
  CHECK(op.publish(withWeight(1), -1) == Usage);
  CHECK(op.run({"config", "check", "/does/not/exist"}) == Usage);
  CHECK(op.run({"config", "check"}) == Usage);
  CHECK(op.run({"config", "prune"}) == Usage);
  CHECK(op.run({"config", "check", op.Folder.add("bad", "{")}) == HasProblems);
  CHECK(op.State.Appends == 0);
}

// Guards against a history that depends on how the log delivers records.
TEST_CASE("a log that repeats and reorders gives the same history", "[ctl]") {
  Operator op;
  for (int i = 0; i < 5; ++i)
    REQUIRE(op.publish(withWeight(1 + i), i) == Success);
  REQUIRE(op.run({"config", "history"}) == Success);
  const std::string expected = op.Out;
  op.State.Reorders = true;
  REQUIRE(op.run({"config", "history"}) == Success);
  CHECK(op.Out == expected);
}

// Guards against a status that hides a daemon that is behind or silent.
TEST_CASE("status compares each daemon with the log", "[ctl]") {
  Operator op;
  REQUIRE(op.publish(withWeight(1), 0) == Success);
  const std::string hash = config::configurationHash(withWeight(1));
  nlohmann::json status = {
      {"vm", "vm-1"},        {"role", "target"},          {"config_version", 1},
      {"config_hash", hash}, {"in_force_since_ms", 1000}, {"ready", true}};
  op.Statuses["127.0.0.1:1"] = status.dump();
  op.Flags.Daemons = {"127.0.0.1:1"};
  CHECK(op.run({"config", "status"}) == Success);
  CHECK_THAT(op.Out, Catch::Contains("as the log"));
  status["config_version"] = 0;
  op.Statuses["127.0.0.1:2"] = status.dump();
  op.Statuses["127.0.0.1:3"] = "{}";
  op.Flags.Daemons = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3",
                      "127.0.0.1:4"};
  CHECK(op.run({"config", "status"}) == NotInForce);
  CHECK_THAT(op.Out, Catch::Contains("differs from the log") &&
                         Catch::Contains("127.0.0.1:3  unreadable answer") &&
                         Catch::Contains("127.0.0.1:4  no answer"));
  op.State.Down = 1000;
  op.Flags.Timeout = milliseconds(100);
  CHECK(op.run({"config", "status"}) == NotDecided);
}

// Guards against a key that doesn't match the hash printed with it, and
// against overwriting a private key.
TEST_CASE("new keys match what is printed", "[ctl]") {
  Operator op;
  op.Flags.Account = "rope-shop";
  REQUIRE(op.run({"key", "new"}) == Success);
  const auto made = nlohmann::json::parse(op.Out);
  auto c = std::make_shared<config::Configuration>(withWeight(1));
  c->Accounts[0].Keys = {{made["hash"]["salt"], made["hash"]["sha256"]}};
  CHECK(config::ConfigurationIndex(c).accountByKey(
            made["api_key"].get<std::string>()) != nullptr);
  op.Input = "rope-shop.other\n";
  REQUIRE(op.run({"key", "hash"}) == Success);
  const auto hash = nlohmann::json::parse(op.Out);
  c->Accounts[0].Keys = {{hash["salt"], hash["sha256"]}};
  CHECK(config::ConfigurationIndex(c).accountByKey("rope-shop.other") !=
        nullptr);
  op.Flags.Account = "";
  CHECK(op.run({"key", "new"}) == Usage);
  op.Flags.KeyFile = op.Folder.add("fresh");
  REQUIRE(op.run({"key", "new"}) == Success);
  CHECK(op.run({"key", "new"}) == Usage);
}

// Guards against a wrong use of the HTTP log: publishes over the stand-in with
// a response that is lost after the append took effect.
TEST_CASE("publish works over the HTTP log", "[ctl]") {
  standin::PlatformStandin platform(standin::PlatformOptions{});
  StandinLog log(platform);
  Operator op;
  op.Log = &log;
  op.Flags.Timeout = milliseconds(8000);
  REQUIRE(op.publish(withWeight(1), 0) == Success);
  log.AppendFaults = {{"lose_answers", 1}};
  REQUIRE(op.publish(withWeight(2), 1) == Success);
  CHECK(platform.log().ends().at("config") == 2);
  log.AppendFaults = {{"down", 1}};
  REQUIRE(op.publish(withWeight(3), 2) == Success);
  CHECK(platform.log().ends().at("config") == 3);
}

// Guards against a builder that writes an invalid document or different texts
// for the same deployment.
TEST_CASE("the builder reports what is wrong and is repeatable", "[builder]") {
  const auto describe = [] {
    config::ConfigBuilder builder;
    config::EndpointRange ports{"127.0.0.1", 7000};
    config::ServiceLimits limits;
    limits.Units = 1 << 20;
    builder.addFailureDomain("d", "east")
        .addEntries("entry", {"d"}, ports)
        .addPlainService("ledger", limits)
        .addTargets("ledger", "d", 2, ports)
        .addAccount("club", {})
        .addApiKey("club.secret");
    return builder;
  };
  CHECK_THROWS_WITH(describe().build(), Catch::Contains("/signers"));
  CHECK_THROWS_AS(describe().addApiKey("other.secret"), base::Error);
  CHECK_THROWS_AS(describe().addRepeatRule("x", "GET", "/", true), base::Error);
  const std::string key = config::testSigner().publicKey();
  const std::string text = describe().addSigner("mika", key).text();
  CHECK(describe().addSigner("mika", key).text() == text);
  CHECK(config::parseConfiguration(text).Targets[1].PeerEndpoint ==
        "127.0.0.1:7002");
}

// Guards against a flag whose name runs into its description, and against a
// manual page that lacks a command, a flag or an exit code.
TEST_CASE("the manual page names every command and flag", "[ctl]") {
  std::ifstream file(BERGAMOT_MANUAL_PAGE);
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  const std::string help = helpText();
  REQUIRE_FALSE(flagHelp().empty());
  for (const FlagHelp &flag : flagHelp()) {
    CHECK_THAT(help, Catch::Contains("--" + flag.Name + "  "));
    CHECK_THAT(page, Catch::Contains("\\-\\-" + flag.Name));
  }
  for (const Command &command : commands()) {
    CHECK_THAT(help, Catch::Contains(command.Name));
    CHECK_THAT(page, Catch::Contains(".B " + command.Name));
  }
  for (int code = Success; code <= NotInForce; ++code)
    CHECK_THAT(page, Catch::Contains(".B " + std::to_string(code) + "\n"));
}
