#include "bergamotctl/auditcommands.h"
#include "fakelog.h"
#include "libbergamotstate/auditchain.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace bergamot;
using namespace bergamot::state;

namespace {

/// A fake log client with one stream that returns at most two records per read.
struct FakeLogClient {
  std::vector<std::string> Lines;
  std::uint64_t Earliest = 0;

  base::LogOffset append(const std::string &, const std::vector<std::string> &,
                         base::TimePoint) {
    return {};
  }

  adapterplatform::LogPage read(const std::string &stream, base::LogOffset from,
                                std::size_t, base::TimePoint) {
    CHECK(stream == "audit.d");
    adapterplatform::LogPage page{{}, from, {Earliest}};
    for (auto i = std::max(from.Value, Earliest);
         i < Lines.size() && page.Records.size() < 2; ++i)
      page.Records.push_back({{i}, wallAt(0), Lines[i]});
    return page;
  }
};

/// Returns a log written by an AuditChain, with one record per batch.
FakeLogClient makeLog(int batches) {
  FakeLogClient client;
  AuditChain chain({"d"}, {1});
  chain.requestFlush();
  for (int i = 0; i < batches; ++i) {
    chain.add({AuditKind::Claim, wallAt(i), {"r" + std::to_string(i)}}, at(i));
    const auto actions = chain.takeActions(at(i));
    const auto &append = std::get<AuditAppend>(actions.at(0));
    client.Lines.push_back(append.Text);
    chain.recordAppended(append.AppendNumber, {std::uint64_t(i)});
  }
  return client;
}

/// A new directory that is removed on destruction.
class TemporaryDirectory {
public:
  TemporaryDirectory() {
    char name[] = "/tmp/bergamot-audit-XXXXXX";
    Path = mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }
  std::string file(const std::string &name) const { return Path + "/" + name; }

private:
  std::string Path;
};

/// Runs bergamotctl commands against a fake log client.
struct CommandRunner {
  FakeLogClient &Log;
  bergamotctl::Options Flags;
  std::string Out;
  std::string Err;

  int run(std::vector<std::string> arguments) {
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    const int code = bergamotctl::runCommand(
        {Flags, std::move(arguments), in, out, err, nullptr, nullptr,
         [this](const std::string &stream, base::LogOffset from,
                std::size_t limit, base::TimePoint deadline) {
           return Log.read(stream, from, limit, deadline);
         }});
    Out = out.str();
    Err = err.str();
    return code;
  }
};

std::string readFile(const std::string &path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

// Guards against an export file with duplicate or missing batches after a
// second run, or after a run that was interrupted between writing the data and
// the position.
TEST_CASE("the export command resumes an existing file", "[audit][command]") {
  const TemporaryDirectory directory;
  const auto file = directory.file("d.audit");
  FakeLogClient client = makeLog(5);
  const auto all = client.Lines;
  client.Lines.resize(3);
  CommandRunner runner{client, {}, "", ""};
  CHECK(runner.run({"audit", "export", "d", file}) == 0);
  CHECK(runner.Out == "3 batches exported, next offset 3\n");
  std::ofstream(file, std::ios::app) << all[3].substr(0, 20);
  client.Lines = all;
  CHECK(runner.run({"audit", "export", "d", file}) == 0);
  CHECK(readFile(file) == all[0] + '\n' + all[1] + '\n' + all[2] + '\n' +
                              all[3] + '\n' + all[4] + '\n');
  CHECK(runner.run({"audit", "export", "other", file}) == 2);
  std::filesystem::remove(file + ".position");
  CHECK(runner.run({"audit", "export", "d", file}) == 2);
}

// Guards against a checkpoint that hides a fault from the next run, and against
// search flags that have no effect.
TEST_CASE("the verify and show commands read exports", "[audit][command]") {
  const TemporaryDirectory directory;
  const auto file = directory.file("d.audit");
  FakeLogClient client = makeLog(3);
  CommandRunner runner{client, {}, "", ""};
  REQUIRE(runner.run({"audit", "export", "d", file}) == 0);
  runner.Flags.Checkpoint = directory.file("checkpoint");
  CHECK(runner.run({"audit", "verify", file}) == 0);
  const auto checkpoint = readFile(runner.Flags.Checkpoint);
  CHECK_FALSE(checkpoint.empty());
  auto text = readFile(file);
  std::ofstream(file) << text.replace(text.find("r1"), 2, "rX");
  CHECK(runner.run({"audit", "verify", file}) == 1);
  CHECK(readFile(runner.Flags.Checkpoint) == checkpoint);

  runner.Flags.Request = "r2";
  CHECK(runner.run({"audit", "show", file}) == 0);
  CHECK(runner.Err.find("1 records found") != std::string::npos);
  runner.Flags.FromTime = "2999-01-01T00:00:00Z";
  CHECK(runner.run({"audit", "show", file}) == 0);
  CHECK(runner.Err.find("0 records found") != std::string::npos);
  runner.Flags.FromTime = "yesterday";
  CHECK(runner.run({"audit", "show", file}) == 2);
}

// Guards against exports that drop or repeat batches between two runs.
TEST_CASE("exports resume and verify across runs", "[audit][command]") {
  FakeLogClient client = makeLog(7);
  const auto all = client.Lines;
  client.Lines.resize(5);
  std::ostringstream first;
  bergamotctl::AuditExport exported;
  exportAudit(client, {"d"}, {0}, first, at(0), exported);
  CHECK(exported.Batches == 5);
  client.Lines = all;
  client.Earliest = 3;
  std::ostringstream second;
  exportAudit(client, {"d"}, exported.Next, second, at(0), exported);
  CHECK(exported.Batches == 2);
  CHECK_FALSE(exported.IsCut);
  std::string checkpoint;
  std::ostringstream out;
  std::istringstream firstIn(first.str());
  CHECK(bergamotctl::verifyAudit(firstIn, checkpoint, out) == 0);
  std::istringstream secondIn(second.str());
  CHECK(bergamotctl::verifyAudit(secondIn, checkpoint, out) == 0);
  // The same export without its first batch.
  std::istringstream truncated(
      second.str().substr(second.str().find('\n') + 1));
  checkpoint.clear();
  CHECK(bergamotctl::verifyAudit(truncated, checkpoint, out) == 1);
  CHECK(out.str().find("missing: daemon d incarnation 1 batch 1, count 6") !=
        std::string::npos);
  std::ostringstream late;
  exportAudit(client, {"d"}, {1}, late, at(0), exported);
  CHECK(exported.IsCut);
}

// Guards against a search that misses a record or trusts a modified one.
TEST_CASE("show prints the matching records", "[audit][command]") {
  FakeLogClient client = makeLog(3);
  client.Lines[1].replace(client.Lines[1].find("r1"), 2, "r2");
  std::istringstream in(client.Lines[0] + '\n' + client.Lines[1] + '\n' +
                        client.Lines[2]);
  AuditQuery query;
  query.Request = base::RequestId{"r2"};
  std::ostringstream out;
  std::ostringstream err;
  CHECK(bergamotctl::showAudit(in, query, out, err) == 2);
  CHECK(out.str().find(R"("request":"r2")") != std::string::npos);
  CHECK(err.str() == "line 2 doesn't match its hash\n");
}
