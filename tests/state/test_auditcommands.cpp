#include "bergamotctl/auditcommands.h"
#include "fakelog.h"
#include "libbergamotstate/auditchain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace bergamot;
using namespace bergamot::state;

namespace {

/// A log port with one stream, which returns at most two records per read.
struct Port {
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

/// Returns a log that a chain has written to, one record per batch.
Port writtenLog(int batches) {
  Port port;
  AuditChain chain({"d"}, {1});
  chain.setFlush();
  for (int i = 0; i < batches; ++i) {
    chain.add({AuditKind::Claim, wallAt(i), {"r" + std::to_string(i)}}, at(i));
    const auto actions = chain.takeActions(at(i));
    const auto &append = std::get<AuditAppend>(actions.at(0));
    port.Lines.push_back(append.Text);
    chain.setAppended(append.Number, {std::uint64_t(i)});
  }
  return port;
}

} // namespace

// Guards against exports that drop or repeat batches between two runs.
TEST_CASE("exports continue and verify across runs", "[audit][command]") {
  Port port = writtenLog(7);
  const auto all = port.Lines;
  port.Lines.resize(5);
  std::ostringstream first;
  bergamotctl::AuditExport to;
  exportAudit(port, {"d"}, {0}, first, at(0), to);
  CHECK(to.Batches == 5);
  port.Lines = all;
  port.Earliest = 3;
  std::ostringstream second;
  exportAudit(port, {"d"}, to.Next, second, at(0), to);
  CHECK(to.Batches == 2);
  CHECK_FALSE(to.IsCut);
  std::string checkpoint;
  std::ostringstream out;
  std::istringstream firstIn(first.str());
  CHECK(bergamotctl::verifyAudit(firstIn, checkpoint, out) == 0);
  std::istringstream secondIn(second.str());
  CHECK(bergamotctl::verifyAudit(secondIn, checkpoint, out) == 0);
  // The same export with one batch taken out.
  std::istringstream cut(second.str().substr(second.str().find('\n') + 1));
  checkpoint.clear();
  CHECK(bergamotctl::verifyAudit(cut, checkpoint, out) == 1);
  CHECK(out.str().find("missing: daemon d incarnation 1 batch 1, count 6") !=
        std::string::npos);
  std::ostringstream late;
  exportAudit(port, {"d"}, {1}, late, at(0), to);
  CHECK(to.IsCut);
}

// Guards against a search that misses a record or trusts a changed one.
TEST_CASE("show prints what the query finds", "[audit][command]") {
  Port port = writtenLog(3);
  port.Lines[1].replace(port.Lines[1].find("r1"), 2, "r2");
  std::istringstream in(port.Lines[0] + '\n' + port.Lines[1] + '\n' +
                        port.Lines[2]);
  AuditQuery query;
  query.Request = base::RequestId{"r2"};
  std::ostringstream out;
  std::ostringstream err;
  CHECK(bergamotctl::showAudit(in, query, out, err) == 2);
  CHECK(out.str().find(R"("request":"r2")") != std::string::npos);
  CHECK(err.str() == "line 2 doesn't match its hash\n");
}
