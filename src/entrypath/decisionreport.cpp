#include "entrypath/decisionreport.h"

#include "libbergamotbase/urlquery.h"
#include "libbergamotgateway/targetexplanation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::entrypath {

using adaptertcp::AsyncHttpServer;
using base::TimePoint;
using nlohmann::json;

namespace {

constexpr std::string_view ReportPath = "/explain";

/// What a caller wants to know; Account and Service may be empty.
struct Question {
  std::string Host;
  std::string Path;
  std::string Account;
  std::string Service;
};

/// A request that doesn't exist, as the entry would treat it.
struct ExplainedRequest {
  const gateway::Route *Route = nullptr;
  std::string Service;
  std::uint32_t Priority = 0;
};

AsyncHttpServer::Response response(int status, const json &body) {
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

AsyncHttpServer::Response error(int status, const char *message) {
  return response(status, {{"error", message}});
}

std::optional<Question> parseQuestion(std::string_view target) {
  const std::size_t queryAt = std::min(target.find('?'), target.size());
  std::string_view query = target.substr(queryAt);
  query.remove_prefix(query.empty() ? 0 : 1);
  const auto value = [&](std::string_view name) {
    return base::percentDecoded(base::queryParameter(query, name));
  };
  const auto host = value("host");
  const auto path = value("path");
  const auto account = value("account");
  const auto service = value("service");
  if (!host || !path || !account || !service || host->empty() || path->empty())
    return std::nullopt;
  return Question{*host, *path, *account, *service};
}

/// Returns the service with the largest weight, the first one if several have
/// it.
const std::string &mainService(const gateway::Route &route) {
  return std::max_element(
             route.Services.begin(), route.Services.end(),
             [](const auto &a, const auto &b) { return a.Weight < b.Weight; })
      ->Service;
}

gateway::DispatchTerms dispatchTerms(const Entry &entry,
                                     const ExplainedRequest &request,
                                     TimePoint now) {
  gateway::DispatchTerms terms;
  terms.Service = request.Service;
  const gateway::RequestTimes times{now, TimePoint::max(), false};
  terms.IsLate =
      gateway::waitLimits(*request.Route, times).OnTimeUntil <= now &&
      !entry.scheduler().isStalled(request.Service, now);
  if (const gateway::WaitQueue *queue = entry.waitQueue(request.Service))
    terms.MoreUrgentPerSecond =
        static_cast<double>(queue->moreUrgentArrivals(request.Priority, false));
  return terms;
}

json queueJson(const Entry &entry, const ExplainedRequest &request) {
  const gateway::WaitQueue *queue = entry.waitQueue(request.Service);
  json byPriority = json::object();
  std::size_t sentBefore = 0;
  if (queue)
    for (const auto &[priority, requests] : queue->onTimeCounts()) {
      byPriority[std::to_string(priority)] = requests;
      sentBefore += priority <= request.Priority ? requests : 0;
    }
  return {{"on_time", queue ? queue->onTimeCount() : 0},
          {"late", queue ? queue->lateCount() : 0},
          {"on_time_by_priority", std::move(byPriority)},
          {"sent_before", sentBefore}};
}

json reportsJson(const gateway::ReportTimes &times, TimePoint now) {
  const auto age = [&](const std::optional<TimePoint> &receivedAt) {
    return receivedAt ? json(base::wholeMilliseconds(now - *receivedAt))
                      : json();
  };
  return {{"entries", times.Reports},
          {"oldest_ms", age(times.Oldest)},
          {"newest_ms", age(times.Newest)}};
}

json slotsJson(const gateway::SlotView &slots, std::size_t entries) {
  if (!slots.Shared)
    return {{"shared", false}};
  return {{"shared", true},
          {"free", slots.FreeSlots},
          {"left_to_others", slots.LeftToOthers},
          {"reserved", slots.Reserved},
          {"share", slots.Interval.End - slots.Interval.Begin},
          {"contended", slots.Interval.Contended},
          {"isolated", slots.Interval.Isolated},
          {"entries", entries}};
}

json targetJson(const gateway::TargetExplanation &it) {
  using gateway::TargetOutcome;
  json target = {{"target", it.Id},
                 {"outcome", gateway::outcomeName(it.Outcome)},
                 {"requests", it.Slots.Others + it.Slots.Own},
                 {"own", it.Slots.Own},
                 {"own_reported", it.Slots.OwnReported},
                 {"others_reported", it.Slots.Others},
                 {"limit", it.Slots.Limit},
                 {"next_slot", gateway::claimName(it.Claim)},
                 {"penalty", it.Penalty},
                 {"score", it.Score},
                 {"failure_domain", it.FailureDomain},
                 {"same_failure_domain", it.SameFailureDomain}};
  if (it.Outcome == TargetOutcome::Excluded)
    target["reason"] = gateway::exclusionName(it.Excluded);
  return target;
}

json decisionJson(const Entry &entry, const gateway::RouteTable &table,
                  const ExplainedRequest &request, const json &account) {
  const TimePoint now = entry.now();
  const gateway::TargetScheduler &scheduler = entry.scheduler();
  const gateway::ChoiceExplanation explanation =
      scheduler.explain(dispatchTerms(entry, request, now), now);
  json services = json::array();
  for (const auto &it : request.Route->Services)
    services.push_back({{"service", it.Service}, {"weight", it.Weight}});
  json targets = json::array();
  for (const auto &it : explanation.Targets)
    targets.push_back(targetJson(it));
  const auto &first = explanation.Targets;
  const bool hasChoice = explanation.EquallyGood > 0;
  return {{"entry", entry.settings().Name},
          {"config_version", table.version()},
          {"route", request.Route->Name},
          {"service", request.Service},
          {"services", std::move(services)},
          {"account", account},
          {"priority", request.Priority},
          {"shutting_down", entry.isShuttingDown()},
          {"state_current", entry.isStateCurrent()},
          {"stalled", scheduler.isStalled(request.Service, now)},
          {"queue", queueJson(entry, request)},
          {"slots",
           slotsJson(explanation.Slots, scheduler.slotSharing().entryCount())},
          {"reports", reportsJson(explanation.Reports, now)},
          {"chosen", hasChoice ? json(first[0].Id) : json()},
          {"equally_good", explanation.EquallyGood},
          {"targets", std::move(targets)}};
}

} // namespace

bool asksForDecision(std::string_view target) {
  return target.substr(0, target.find('?')) == ReportPath;
}

AsyncHttpServer::Response reportDecision(const Entry &entry,
                                         std::string_view target) {
  const auto question = parseQuestion(target);
  if (!question)
    return error(400, "host and path are needed, percent-encoded");
  const auto table = entry.routeTable();
  if (!table)
    return error(503, "the entry has no configuration yet");
  ExplainedRequest request;
  request.Route = table->route(question->Host, question->Path);
  if (!request.Route)
    return error(404, "no route matches the host and path");
  const gateway::ClientAccount *client = nullptr;
  json account;
  if (!question->Account.empty()) {
    const auto &accounts = table->accounts();
    const auto it =
        std::find_if(accounts.begin(), accounts.end(), [&](const auto &known) {
          return known.Name == question->Account;
        });
    if (it == accounts.end())
      return error(404, "the configuration has no such account");
    account = it->Name;
    client = &*it;
  }
  const auto &services = request.Route->Services;
  request.Service = question->Service.empty() ? mainService(*request.Route)
                                              : question->Service;
  if (std::none_of(services.begin(), services.end(), [&](const auto &it) {
        return it.Service == request.Service;
      }))
    return error(404, "the route has no such service");
  request.Priority =
      entry.requestPriority(request.Service, *request.Route, client);
  return response(200, decisionJson(entry, *table, request, account));
}

} // namespace bergamot::entrypath
