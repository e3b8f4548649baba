#include "bergamotctl/auditcommands.h"

#include "bergamotctl/exitcode.h"
#include "libbergamotbase/error.h"
#include "libbergamotstate/auditverifier.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <istream>
#include <sstream>

namespace bergamot::bergamotctl {

namespace fs = std::filesystem;
using base::Error;
using base::Step;

namespace {

/// Where an export file ends, in bytes, and where the next export reads on.
struct ExportPosition {
  std::string Daemon;
  base::LogOffset Next;
  std::uint64_t Bytes = 0;
};

std::string positionPath(const std::string &path) { return path + ".position"; }

ExportPosition readPosition(const std::string &path,
                            const std::string &daemon) {
  if (!fs::exists(positionPath(path))) {
    if (fs::exists(path))
      throw Error(Step::Settings, path,
                  "the file exists, but not its position file");
    return {daemon, {0}, 0};
  }
  std::ifstream in(positionPath(path));
  const auto json = nlohmann::json::parse(in, nullptr, false);
  try {
    ExportPosition position{json.at("daemon").get<std::string>(),
                            {json.at("next").get<std::uint64_t>()},
                            json.at("bytes").get<std::uint64_t>()};
    if (position.Daemon != daemon)
      throw Error(Step::Settings, path,
                  "the file is an export of daemon " + position.Daemon);
    return position;
  } catch (const nlohmann::json::exception &) {
    throw Error(Step::Parse, positionPath(path),
                "the position file is malformed");
  }
}

/// Replaces a file as a whole, so that an interrupted run leaves the old one.
void replaceFile(const std::string &path, const std::string &text) {
  const std::string next = path + ".new";
  std::ofstream out(next, std::ios::binary);
  out << text;
  out.close();
  std::error_code failure;
  if (out)
    fs::rename(next, path, failure);
  if (!out || failure)
    throw Error(Step::Settings, path, "the file can't be written");
}

void writePosition(const std::string &path, const ExportPosition &position) {
  const nlohmann::json json = {{"daemon", position.Daemon},
                               {"next", position.Next.Value},
                               {"bytes", position.Bytes}};
  replaceFile(positionPath(path), json.dump() + "\n");
}

/// Opens an export to continue it. What an interrupted run wrote behind the
/// position is removed; it is read from the log again.
std::ofstream openExport(const std::string &path, std::uint64_t bytes) {
  std::error_code failure;
  if (bytes == 0)
    std::ofstream(path, std::ios::app).close();
  else if (fs::file_size(path, failure) < bytes || failure)
    throw Error(Step::Settings, path, "the file lacks what was exported");
  fs::resize_file(path, bytes, failure);
  std::ofstream out(path, std::ios::binary | std::ios::app);
  if (failure || !out)
    throw Error(Step::Settings, path, "the file can't be written");
  return out;
}

/// The platform's log as the context gives it.
struct ContextLog {
  CommandContext &Context;

  adapterplatform::LogPage read(const std::string &stream, base::LogOffset from,
                                std::size_t limit, base::TimePoint deadline) {
    return Context.ReadStream(stream, from, limit, deadline);
  }
};

std::string readAll(CommandContext &context) {
  std::string text;
  for (const auto &path : context.Arguments)
    text += readInput(context, path);
  return text;
}

/// Returns the time of a flag, which is in UTC and counts whole seconds.
std::optional<base::WallTime> parseTime(const std::string &flag,
                                        const std::string &text) {
  if (text.empty())
    return std::nullopt;
  std::tm parts{};
  std::istringstream in(text);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof())
    throw Error(Step::Settings, "--" + flag,
                "expected a UTC time such as 2026-01-31T23:59:00Z");
  return base::fromUnixMilliseconds(std::int64_t{timegm(&parts)} * 1000);
}

state::AuditQuery makeQuery(const Options &flags) {
  constexpr std::chrono::milliseconds RestOfSecond{999};
  state::AuditQuery query;
  if (!flags.Request.empty())
    query.Request = {flags.Request};
  if (!flags.Account.empty())
    query.Account = {flags.Account};
  if (!flags.KeyHash.empty())
    query.KeyHash = flags.KeyHash;
  if (flags.ConfigVersion >= 0)
    query.ConfigurationVersion = {
        static_cast<std::uint64_t>(flags.ConfigVersion)};
  query.From = parseTime("from_time", flags.FromTime);
  query.To = parseTime("to_time", flags.ToTime);
  if (query.To)
    *query.To += RestOfSecond;
  return query;
}

} // namespace

int runAuditExport(CommandContext &context) {
  const std::string &daemon = context.Arguments[0];
  const std::string &path = context.Arguments[1];
  ExportPosition position = readPosition(path, daemon);
  std::ofstream out = openExport(path, position.Bytes);
  ContextLog log{context};
  AuditExport done;
  const auto save = [&] {
    if (!out.flush())
      throw Error(Step::Settings, path, "the file can't be written");
    writePosition(path, {daemon, done.Next, fs::file_size(path)});
    context.Out << done.Batches << " batches exported, next offset "
                << done.Next.Value << '\n';
  };
  try {
    exportAudit(log, {daemon}, position.Next, out, context.deadline(), done);
  } catch (const Error &) {
    save();
    throw;
  }
  save();
  if (!done.IsCut)
    return Success;
  context.Err << "the log had dropped batches before they were exported\n";
  return HasProblems;
}

int runAuditVerify(CommandContext &context) {
  const std::string &path = context.Flags.Checkpoint;
  std::string checkpoint;
  if (!path.empty() && fs::exists(path))
    checkpoint = readInput(context, path);
  std::istringstream in(readAll(context));
  const int code = verifyAudit(in, checkpoint, context.Out);
  // After a finding, the old checkpoint stays, so that the next run reports
  // the finding again.
  if (code == Success && !path.empty())
    replaceFile(path, checkpoint + "\n");
  return code;
}

int runAuditShow(CommandContext &context) {
  const auto query = makeQuery(context.Flags);
  std::istringstream in(readAll(context));
  const auto found = showAudit(in, query, context.Out, context.Err);
  context.Err << found << " records found\n";
  return Success;
}

int verifyAudit(std::istream &in, std::string &checkpoint, std::ostream &out) {
  auto verifier = checkpoint.empty() ? state::AuditVerifier()
                                     : state::AuditVerifier(checkpoint);
  for (std::string line; std::getline(in, line);)
    verifier.add(line);
  verifier.finish();
  for (const auto &it : verifier.findings()) {
    out << state::auditFaultName(it.Fault) << ": ";
    if (it.Fault != state::AuditFault::Malformed)
      out << "daemon " << it.Daemon.Value << " incarnation "
          << it.Incarnation.Value << " batch " << it.Sequence;
    if (it.Count > 1 || it.Fault == state::AuditFault::Gap)
      out << ", count " << it.Count;
    if (it.Line != 0)
      out << " line " << it.Line;
    out << '\n';
  }
  out << verifier.batchCount() << " batches verified, "
      << verifier.duplicateCount() << " repeated, "
      << (verifier.isIntact() ? "intact" : "NOT INTACT") << '\n';
  checkpoint = verifier.checkpoint();
  return verifier.isIntact() ? Success : HasProblems;
}

std::uint64_t showAudit(std::istream &in, const state::AuditQuery &query,
                        std::ostream &out, std::ostream &err) {
  std::uint64_t found = 0;
  std::uint64_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    const auto read = state::parseBatch(line);
    if (!read)
      continue;
    if (!read->HashMatches)
      err << "line " << number << " doesn't match its hash\n";
    for (const auto &it : read->Batch.Records) {
      if (!matches(query, it))
        continue;
      out << toText(it) << '\n';
      ++found;
    }
  }
  return found;
}

} // namespace bergamot::bergamotctl
