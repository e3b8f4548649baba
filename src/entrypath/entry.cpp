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

/// Period of the checks of queued and held requests for their limits.
/// Connections, records and reports are checked every SweepPeriod.
constexpr milliseconds TickPeriod{25};
constexpr milliseconds SweepPeriod{250};
/// How long a peer's report is used; it spans several reports, since some may
/// be lost.
constexpr milliseconds PeerReportLifetime{1500};
constexpr int ListenBacklog = 1024;
/// If all entries restart at the same moment, callers' retries arrive while the
/// configuration is still being read. Such a request is held at most this long
/// and for at most this fraction of its time.
constexpr milliseconds MaxConfigurationWait{1500};
constexpr double ConfigurationWaitFraction = 0.2;
/// Bounds the memory that the bodies of held requests take.
constexpr std::size_t MaxHeldRequests = 128;
/// Without the store, the other entries' records arrive within this time.
constexpr milliseconds RefreshTimeout{1000};

} // namespace

Entry::Entry(boost::asio::io_context &loop, const EntrySettings &settings,
             const Dialect &dialect, base::Metrics &metrics)
    : Loop(loop), Settings(settings), HeaderDialect(dialect), Metrics(metrics),
      Decisions(settings.LogLinesPerSecond), Acceptor(loop), Ticker(loop),
      Pool(loop), Directory(settings.StoreOutageGrace),
      Loads(PeerReportLifetime), Health(gateway::HealthSettings{}),
      Random(settings.Seed), Pauses(now(), base::timeSinceBoot()) {}

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
      // Out of file descriptors: wait for connections to close before the next
      // attempt.
      base::logWarning("accept.failed", {{"error", ec.message()}});
      auto pause =
          std::make_shared<boost::asio::steady_timer>(Loop, TickPeriod);
      pause->async_wait([this, pause](const error_code &) { accept(); });
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
    if (RefreshDeadline && at >= *RefreshDeadline)
      refreshCompleted();
    rejectExpiredHeldRequests(at);
    for (auto &[name, state] : Services)
      if (!state.Queue.isEmpty())
        processQueue(name);
    if (at >= NextSweepAt) {
      NextSweepAt = at + SweepPeriod;
      Directory.removeExpiredTargets(at);
      Loads.removeExpired(at);
      Pool.removeStale(at, [this](const std::string &id) {
        return Directory.target(id) != nullptr;
      });
      const auto callers = Callers;
      for (const auto &it : callers)
        it->checkTimeouts(at);
    }
    tick();
  });
}

void Entry::checkSuspension(TimePoint now, Duration sinceBoot) {
  const base::Pause pause = Pauses.look(now, sinceBoot);
  if (pause.Length == Duration::zero())
    return;
  base::logDecision(
      "process.paused",
      {{"ms", base::wholeMilliseconds(pause.Length)},
       {"uncounted_ms", base::wholeMilliseconds(pause.Uncounted)}});
  if (Refresh) {
    RefreshDeadline = now + RefreshTimeout;
    Refresh();
  }
  const auto callers = Callers;
  for (const auto &it : callers)
    it->handleSuspension(pause.Uncounted);
}

void Entry::refreshCompleted() {
  RefreshDeadline.reset();
  onTargetsChanged();
}

void Entry::shutDown() { ShuttingDown = true; }

void Entry::rejectNewRequests() { RejectingNewRequests = true; }

bool Entry::isDrained() const {
  return std::all_of(Callers.begin(), Callers.end(),
                     [](const auto &it) { return it->isIdle(); });
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
  StreamLimits = gateway::streamLimits(*Table);
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
  std::vector<std::shared_ptr<Exchange>> due;
  std::erase_if(HeldRequests, [&](const HeldRequest &it) {
    if (it.Until <= now)
      due.push_back(it.Request);
    return it.Until <= now || it.Request->isFinished();
  });
  for (const auto &it : due)
    it->rejectUnconfigured();
}

void Entry::setRetryBound(const gateway::RetryBound &bound) {
  Settings.Retries = bound;
  for (auto &[name, state] : Services)
    state.Budget.setBound(bound);
}

void Entry::onTargetsChanged() {
  for (const auto &[name, state] : Services)
    scheduleQueueProcessing(name);
}

void Entry::setEntryNames(const std::set<std::string> &names) {
  Shares.setEntries(Settings.Name, names);
  if (!std::exchange(EntriesKnown, true))
    onTargetsChanged();
}

void Entry::setPeerRequestCounts(const std::string &entry,
                                 gateway::RequestCounts counts) {
  Loads.setReport(entry, std::move(counts), now());
  onTargetsChanged();
}

const gateway::CallerLimits &Entry::callerLimits() const {
  static const gateway::CallerLimits defaults;
  return Table ? Table->limits() : defaults;
}

void Entry::removeCaller(CallerConnection &caller) {
  Callers.erase(caller.shared_from_this());
}

void Entry::countRejectedInput(int status) {
  Metrics.addCount("bergamot_rejected_input_total",
                   "status=\"" + std::to_string(status) + "\"");
}

void Entry::countNewConnection() {
  Metrics.addCount("bergamot_target_connections_total", "");
}

void Entry::writeLog(const char *event, const nlohmann::json &fields) {
  base::logDecision(event, fields);
}

} // namespace bergamot::entrypath
