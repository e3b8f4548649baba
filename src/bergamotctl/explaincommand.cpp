#include "bergamotctl/explaincommand.h"

#include "adapterhttp/httpclient.h"
#include "bergamotctl/exitcode.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

namespace bergamot::bergamotctl {

using nlohmann::json;

namespace {

/// Cells of a table, with the headings in the first row.
using Table = std::vector<std::vector<std::string>>;

std::string reportTarget(const Options &flags) {
  using adapterhttp::percentEncoded;
  std::string target = "/explain?host=" + percentEncoded(flags.Host) +
                       "&path=" + percentEncoded(flags.Path);
  if (!flags.Account.empty())
    target += "&account=" + percentEncoded(flags.Account);
  if (!flags.Service.empty())
    target += "&service=" + percentEncoded(flags.Service);
  return target;
}

/// Returns a number with two decimals.
std::string decimalText(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value;
  return text.str();
}

std::string numberText(const json &it, const char *name) {
  return std::to_string(it.at(name).get<std::int64_t>());
}

/// Returns an optional age of a report; "-" if there is none.
std::string ageText(const json &it, const char *name) {
  return it.at(name).is_null() ? "-" : numberText(it, name) + " ms";
}

void printTable(std::ostream &out, const Table &table) {
  std::vector<std::size_t> widths(table.at(0).size());
  for (const auto &row : table)
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  for (const auto &row : table) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    out << row.back() << "\n";
  }
}

void printRequest(std::ostream &out, const json &report) {
  out << "entry      " << report.at("entry").get<std::string>()
      << ", configuration " << numberText(report, "config_version") << "\n"
      << "request    route " << report.at("route").get<std::string>()
      << ", service " << report.at("service").get<std::string>();
  if (report.at("services").size() > 1) {
    const char *separator = " (";
    for (const json &it : report.at("services")) {
      out << separator << it.at("service").get<std::string>() << " has weight "
          << numberText(it, "weight");
      separator = ", ";
    }
    out << ")";
  }
  out << ", account "
      << (report.at("account").is_null()
              ? "-"
              : report.at("account").get<std::string>())
      << ", priority " << numberText(report, "priority") << "\n";
}

void printState(std::ostream &out, const json &report) {
  if (report.at("shutting_down").get<bool>())
    out << "state      shutting down\n";
  if (!report.at("state_current").get<bool>())
    out << "state      reloading after a pause; nothing is sent\n";
  if (report.at("stalled").get<bool>())
    out << "state      no group of the service makes progress\n";
  const json &queue = report.at("queue");
  out << "queue      " << numberText(queue, "on_time") << " on time, "
      << numberText(queue, "late") << " late; "
      << numberText(queue, "sent_before") << " are sent before this request\n";
  for (const auto &[priority, requests] :
       queue.at("on_time_by_priority").items())
    out << "           " << requests.get<std::int64_t>() << " of priority "
        << priority << "\n";
  const json &slots = report.at("slots");
  if (slots.at("shared").get<bool>())
    out << "slots      shared among " << numberText(slots, "entries")
        << " entries; " << numberText(slots, "free") << " free, "
        << decimalText(slots.value("reserved", 0.0))
        << " of them for more urgent requests, share "
        << decimalText(slots.at("share").get<double>()) << ", "
        << (slots.at("contended").get<bool>() ? "" : "not ") << "contended"
        << (slots.at("isolated").get<bool>() ? ", isolated" : "") << "\n";
  else
    out << "slots      not shared\n";
  const json &reports = report.at("reports");
  out << "reports    of " << numberText(reports, "entries")
      << " other entries, oldest " << ageText(reports, "oldest_ms")
      << ", newest " << ageText(reports, "newest_ms") << "\n";
}

void printTargets(std::ostream &out, const json &report) {
  if (report.at("chosen").is_null())
    out << "decision   no target has a free slot for the request\n";
  else
    out << "decision   " << report.at("chosen").get<std::string>()
        << ", one of " << numberText(report, "equally_good")
        << " equally good\n";
  if (report.at("targets").empty())
    return;
  Table table = {{"TARGET", "OUTCOME", "REQUESTS", "OWN", "REPORTED", "LIMIT",
                  "SLOT", "PENALTY", "DOMAIN"}};
  for (const json &it : report.at("targets")) {
    const auto outcome = it.at("outcome").get<std::string>();
    const auto domain = it.at("failure_domain").get<std::string>();
    table.push_back(
        {it.at("target").get<std::string>(),
         it.contains("reason") ? it.at("reason").get<std::string>() : outcome,
         numberText(it, "requests"), numberText(it, "own"),
         numberText(it, "own_reported"), numberText(it, "limit"),
         it.at("next_slot").get<std::string>(),
         decimalText(it.at("penalty").get<double>()),
         domain + (it.at("same_failure_domain").get<bool>() ? " (this entry)"
                                                            : "")});
  }
  out << "\n";
  printTable(out, table);
}

/// Returns the error that an entry states in its response.
std::string errorText(const adapterhttp::HttpResponse &response) {
  const json body = json::parse(response.Body, nullptr, false);
  if (body.is_object() && body.contains("error") &&
      body.at("error").is_string())
    return body.at("error").get<std::string>();
  return "status " + std::to_string(response.Status);
}

} // namespace

int explainDecision(CommandContext &context) {
  const Options &flags = context.Flags;
  if (flags.Entry.empty() || flags.Host.empty() || flags.Path.empty()) {
    context.Err << "explain needs --entry, --host and --path\n";
    return Usage;
  }
  adapterhttp::HttpClient client(flags.Entry);
  const auto response =
      client.request("GET", reportTarget(flags), {}, "", context.deadline());
  if (response.Status != 200) {
    context.Err << "error: " << errorText(response) << " (" << flags.Entry
                << ")\n";
    return response.Status == 400 || response.Status == 404 ? HasProblems
                                                            : NotDecided;
  }
  try {
    const json report = json::parse(response.Body);
    std::ostringstream text;
    if (flags.Json) {
      text << report.dump(2) << "\n";
    } else {
      printRequest(text, report);
      printState(text, report);
      printTargets(text, report);
    }
    context.Out << text.str();
  } catch (const json::exception &e) {
    throw base::Error(base::Step::Answer, flags.Entry,
                      std::string("unreadable answer: ") + e.what());
  }
  return Success;
}

} // namespace bergamot::bergamotctl
