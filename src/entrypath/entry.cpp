#include "entrypath/entry.h"

#include "entrypath/callerconnection.h"
#include "entrypath/exchange.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Queued and held requests are checked for expiry at this period, and
/// connections, target records and peers' reports at CleanupPeriod.
constexpr milliseconds TickPeriod{25};
constexpr milliseconds CleanupPeriod{250};
/// A target is removed this long before the drain bound: the directory is
/// cleaned up at CleanupPeriod, and a request takes time to reach its target.
constexpr milliseconds DrainMargin{2 * CleanupPeriod};
/// How long a peer's report is used. It is several times the report period,
/// since reports may be lost.
constexpr milliseconds PeerReportLifetime{1500};
constexpr int ListenBacklog = 1024;
/// If all entries restart at the same moment, callers' retries arrive while the
/// configuration is still being read. Such a request is held for at most
/// MaxConfigurationWait and at most this fraction of the time until its
/// deadline.
constexpr milliseconds MaxConfigurationWait{1500};
constexpr double ConfigurationWaitFraction = 0.2;
/// Bounds the memory for the bodies of held requests.
constexpr std::size_t MaxHeldRequests = 128;
/// If the store is unreachable, records from other entries arrive within this
/// time.
constexpr milliseconds ReloadTimeout{1000};

gateway::SchedulerSettings schedulerSettings(const EntrySettings &it) {
  gateway::SchedulerSettings settings;
  settings.Name = it.Name;
  settings.FailureDomain = it.FailureDomain;
  settings.StartedAt = it.StartedAt;
  settings.RemovalGrace = it.RemovalGrace;
  settings.DrainBound = it.DrainBound - DrainMargin;
  settings.SilenceBound = it.StableWindow - DrainMargin;
  settings.ReportLifetime = PeerReportLifetime;
  settings.ShareSlots = it.ShareSlots;
  settings.LimitByGroup = it.LimitByGroup;
  settings.UseGroupRecords = it.UseGroupRecords;
  return settings;
}

} // namespace

Entry::Entry(boost::asio::io_context &loop, const EntrySettings &settings,
             const HeaderCodec &codec, base::Metrics &metrics)
    : Loop(loop), Settings(settings), Codec(codec), Metrics(metrics),
      EventLog(settings.LogLinesPerSecond), Acceptor(loop), Ticker(loop),
      Pool(loop), Scheduler(schedulerSettings(settings)), Random(settings.Seed),
      Suspensions(now(), base::timeSinceBoot()) {}

Entry::~Entry() {
  const auto callers = Callers;
  for (const auto &it : callers)
    it->disconnect();
}

void Entry::listen() {
  try {
    Acceptor.open(Settings.Listen.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(Settings.Listen);
    Acceptor.listen(ListenBacklog);
  } catch (const std::exception &e) {
    throw base::Error(base::Step::Settings,
                      Settings.Listen.address().to_string(), e.what());
  }
  accept();
  tick();
}

void Entry::accept() {
  Acceptor.async_accept([this](const error_code &ec,
                               boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (ec) {
      // Typically out of file descriptors: waits for connections to close
      // before accepting again.
      base::logWarning("accept.failed", {{"error", ec.message()}});
      auto retryTimer =
          std::make_shared<boost::asio::steady_timer>(Loop, TickPeriod);
      retryTimer->async_wait(
          [this, retryTimer](const error_code &) { accept(); });
      return;
    }
    auto caller = std::make_shared<CallerConnection>(*this, std::move(socket));
    Callers.insert(caller);
    caller->start();
    accept();
  });
}

void Entry::tick() {
  Ticker.expires_after(TickPeriod);
  Ticker.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    const TimePoint at = now();
    checkSuspension(at, base::timeSinceBoot());
    if (ReloadDeadline && at >= *ReloadDeadline)
      reloadCompleted();
    rejectExpiredHeldRequests(at);
    reviewSuspectedRequests();
    Scheduler.removeExpiredReports(at);
    for (auto &[serviceName, state] : Services)
      if (!state.Queue.isEmpty())
        processQueue(serviceName);
    if (at >= NextCleanupAt) {
      NextCleanupAt = at + CleanupPeriod;
      Scheduler.removeExpired(at);
      recordGroupLimits();
      Suspects.removeExpired(at);
      Pool.removeStale(at, [this](const std::string &id) {
        return Scheduler.directory().target(id) != nullptr;
      });
      std::erase_if(ClosingConnections,
                    [](const auto &it) { return it.expired(); });
      const auto callers = Callers;
      for (const auto &it : callers)
        it->checkTimeouts(at);
    }
    tick();
  });
}

void Entry::checkSuspension(TimePoint now, Duration bootClockTime) {
  const base::Pause suspension = Suspensions.check(now, bootClockTime);
  if (suspension.Length == Duration::zero())
    return;
  base::logDecision(
      "process.paused",
      {{"ms", base::wholeMilliseconds(suspension.Length)},
       {"uncounted_ms", base::wholeMilliseconds(suspension.Suspended)}});
  Scheduler.handleSuspension(now);
  if (OnReload) {
    ReloadDeadline = now + ReloadTimeout;
    OnReload();
  }
  const auto callers = Callers;
  for (const auto &it : callers)
    it->handleSuspension(suspension.Suspended);
}

void Entry::reloadCompleted() {
  ReloadDeadline.reset();
  onTargetsChanged();
}

void Entry::shutDown(const gateway::ShutdownPolicy &policy) {
  Shutdown = policy;
}

bool Entry::canComplete(const Exchange &exchange) {
  if (!Shutdown)
    return true;
  const auto usual = exchange.service().empty()
                         ? std::nullopt
                         : service(exchange.service()).Durations.usualMaximum();
  const TimePoint expectedEnd =
      usual ? std::min(exchange.arrivedAt() + *usual, exchange.deadline())
            : exchange.deadline();
  return Shutdown->takesRequest(now(), exchange.deadline(), expectedEnd);
}

bool Entry::isDrained() const {
  const auto isRead = [](const auto &it) {
    const auto connection = it.lock();
    return !connection || !connection->hasUnreadData();
  };
  return std::all_of(Callers.begin(), Callers.end(),
                     [](const auto &it) {
                       return it->isIdle() && !it->hasUnreadData();
                     }) &&
         std::all_of(ClosingConnections.begin(), ClosingConnections.end(),
                     isRead);
}

void Entry::addClosingConnection(
    const std::shared_ptr<adaptertcp::TcpConnection> &connection) {
  if (connection->hasUnreadData())
    ClosingConnections.push_back(connection);
}

void Entry::endUnfinishedRequests() {
  const auto callers = Callers;
  for (const auto &it : callers)
    it->endRequest("shutting_down");
}

void Entry::closeListener() {
  error_code ec;
  Acceptor.close(ec);
  closeIdleCallers();
}

void Entry::closeIdleCallers() {
  const auto callers = Callers;
  for (const auto &it : callers)
    it->closeIfIdle();
}

void Entry::setRouteTable(std::shared_ptr<const gateway::RouteTable> table) {
  if (Table && table->version() <= Table->version())
    return;
  base::logDecision("config.applied",
                    {{"version", table->version()},
                     {"previous", Table ? Table->version() : 0},
                     {"routes", table->routeCount()}});
  Table = std::move(table);
  Scheduler.setRouteTable(Table);
  ServicesByPriority =
      gateway::activeServices(Settings.CountByPriority, *Table);
  ServicesWithFairAccounts =
      gateway::activeServices(Settings.FairAccounts, *Table);
  for (auto &[serviceName, state] : Services)
    updateWaitSettings(serviceName, state);
  Metrics.setGauge("bergamot_config_version", "",
                   static_cast<double>(Table->version()));
  startHeldRequests();
}

bool Entry::holdForConfiguration(const std::shared_ptr<Exchange> &exchange) {
  const TimePoint at = now();
  const auto left = std::chrono::duration_cast<Duration>(
      ConfigurationWaitFraction *
      (exchange->deadline() - exchange->arrivedAt()));
  const TimePoint until =
      exchange->arrivedAt() + std::min<Duration>(left, MaxConfigurationWait);
  if (until <= at || HeldRequests.size() >= MaxHeldRequests)
    return false;
  HeldRequests.push_back({exchange, until});
  return true;
}

void Entry::startHeldRequests() {
  // Each start may end the exchange and modify HeldRequests.
  for (auto &it : std::exchange(HeldRequests, {}))
    post([request = std::move(it.Request)] {
      if (!request->isFinished())
        request->start();
    });
}

void Entry::rejectExpiredHeldRequests(TimePoint now) {
  std::vector<std::shared_ptr<Exchange>> expired;
  std::erase_if(HeldRequests, [&](const HeldRequest &it) {
    if (it.Until <= now)
      expired.push_back(it.Request);
    return it.Until <= now || it.Request->isFinished();
  });
  for (const auto &it : expired)
    it->rejectUnconfigured();
}

void Entry::setRetryBound(const gateway::RetryBound &bound) {
  Settings.Retries = bound;
  for (auto &[serviceName, state] : Services)
    state.Budget.setBound(bound);
}

void Entry::onTargetsChanged() {
  for (const auto &[serviceName, state] : Services)
    scheduleQueueProcessing(serviceName);
}

void Entry::setEntryNames(const std::set<std::string> &names,
                          bool areComplete) {
  const bool areFirst = !Scheduler.knowsEntries();
  Scheduler.setEntryNames(names);
  AllEntriesKnown = areComplete;
  if (areFirst)
    onTargetsChanged();
}

void Entry::setPeerRequestCounts(const std::string &entry,
                                 gateway::RequestCounts counts) {
  Scheduler.setReport(entry, std::move(counts), now());
  onTargetsChanged();
}

const gateway::CallerLimits &Entry::callerLimits() const {
  static const gateway::CallerLimits defaults;
  return Table ? Table->limits() : defaults;
}

void Entry::removeCaller(CallerConnection &caller) {
  Callers.erase(caller.shared_from_this());
}

void Entry::addUploadBytes(std::int64_t n) {
  UploadBytes += n;
  while (n > 0 &&
         UploadBytes > static_cast<std::int64_t>(Settings.MaxUploadBytes)) {
    const auto largest = std::max_element(
        Callers.begin(), Callers.end(), [](const auto &a, const auto &b) {
          return a->uploadBytes() < b->uploadBytes();
        });
    if (largest == Callers.end() || (*largest)->uploadBytes() == 0)
      return;
    (*largest)->rejectUpload();
  }
}

void Entry::countRejectedInput(int status) {
  Metrics.addCount("bergamot_rejected_input_total",
                   "status=\"" + std::to_string(status) + "\"");
}

void Entry::countNewConnection() {
  Metrics.addCount("bergamot_target_connections_total", "");
}

void Entry::countAttemptFailure(gateway::AttemptFailure failure,
                                const char *cause, bool responseStarted) {
  Metrics.addCount("bergamot_attempt_failures_total",
                   std::string("failure=\"") + gateway::failureName(failure) +
                       "\",cause=\"" + cause + "\",response_started=\"" +
                       (responseStarted ? "true" : "false") + "\"");
}

void Entry::writeLog(const char *event, const nlohmann::json &fields) {
  base::logDecision(event, fields);
}

} // namespace bergamot::entrypath
