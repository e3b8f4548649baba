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

/// How often waiting requests and connections are checked for their limits.
constexpr milliseconds TickPeriod{25};
constexpr milliseconds SweepPeriod{250};
/// A peer's report of its work is used for this long; several reports may be
/// lost before its work is forgotten.
constexpr milliseconds ReportLife{1500};
constexpr int ListenBacklog = 1024;
/// Load pattern: all entries start again at the same moment, and callers' next
/// tries arrive while the configuration is still being read. Such a request
/// waits at most this long and this part of its time.
constexpr milliseconds ConfigurationWait{1500};
constexpr double ConfigurationWaitPart = 0.2;
/// Bodies of waiting requests take memory.
constexpr std::size_t MaxHeld = 128;
/// Without the store, the other entries' records come within this time.
constexpr milliseconds RefreshTimeout{1000};

} // namespace

Entry::Entry(boost::asio::io_context &loop, const EntrySettings &settings,
             const Dialect &dialect, base::Metrics &metrics)
    : Loop(loop), Settings(settings), Names(dialect), Metrics(metrics),
      Decisions(settings.LogLinesPerSecond), Acceptor(loop), Ticker(loop),
      Pool(loop), Directory(settings.LapseGrace), Loads(ReportLife),
      Health(gateway::HealthSettings{}), Random(settings.Seed),
      Pauses(now(), base::timeSinceBoot()) {}

Entry::~Entry() {
  const auto callers = Callers;
  for (const auto &it : callers)
    it->drop();
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
      // Out of descriptors: wait for connections to end before the next try.
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
    checkPause(at, base::timeSinceBoot());
    if (RefreshBy && at >= *RefreshBy)
      refreshed();
    rejectHeld(at);
    for (auto &[name, state] : Services)
      if (!state.Queue.isEmpty())
        pump(name);
    if (at >= NextSweepAt) {
      NextSweepAt = at + SweepPeriod;
      Directory.removeLapsed(at);
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

void Entry::checkPause(TimePoint now, Duration sinceBoot) {
  const base::Pause pause = Pauses.look(now, sinceBoot);
  if (pause.Length == Duration::zero())
    return;
  base::logDecision(
      "process.paused",
      {{"ms", base::wholeMilliseconds(pause.Length)},
       {"uncounted_ms", base::wholeMilliseconds(pause.Uncounted)}});
  if (Refresh) {
    RefreshBy = now + RefreshTimeout;
    Refresh();
  }
  const auto callers = Callers;
  for (const auto &it : callers)
    it->endPause(pause.Uncounted);
}

void Entry::refreshed() {
  RefreshBy.reset();
  targetsChanged();
}

void Entry::shutDown() { ShuttingDown = true; }

void Entry::leave() { Leaving = true; }

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
  startHeld();
}

bool Entry::holdForConfiguration(const std::shared_ptr<Exchange> &exchange) {
  const TimePoint at = now();
  const auto left = std::chrono::duration_cast<Duration>(
      ConfigurationWaitPart * (exchange->deadline() - exchange->arrivedAt()));
  const TimePoint until =
      exchange->arrivedAt() + std::min<Duration>(left, ConfigurationWait);
  if (until <= at || Held.size() >= MaxHeld)
    return false;
  Held.push_back({exchange, until});
  return true;
}

void Entry::startHeld() {
  // Each start may end the exchange and change what is held.
  for (auto &it : std::exchange(Held, {}))
    post([request = std::move(it.Request)] {
      if (!request->isFinished())
        request->start();
    });
}

void Entry::rejectHeld(TimePoint now) {
  std::vector<std::shared_ptr<Exchange>> due;
  std::erase_if(Held, [&](const HeldRequest &it) {
    if (it.Until <= now)
      due.push_back(it.Request);
    return it.Until <= now || it.Request->isFinished();
  });
  for (const auto &it : due)
    it->configurationMissing();
}

void Entry::setRetryBound(const gateway::RetryBound &bound) {
  Settings.Retries = bound;
  for (auto &[name, state] : Services)
    state.Budget.setBound(bound);
}

void Entry::targetsChanged() {
  for (const auto &[name, state] : Services)
    schedulePump(name);
}

void Entry::setEntryNames(const std::set<std::string> &names) {
  Shares.setEntries(Settings.Name, names);
  if (!std::exchange(KnowsEntries, true))
    targetsChanged();
}

void Entry::setPeerRequests(const std::string &entry,
                            gateway::RequestCounts counts) {
  Loads.setReport(entry, std::move(counts), now());
  targetsChanged();
}

const gateway::CallerLimits &Entry::callerLimits() const {
  static const gateway::CallerLimits defaults;
  return Table ? Table->limits() : defaults;
}

void Entry::removeCaller(CallerConnection &caller) {
  Callers.erase(caller.shared_from_this());
}

void Entry::countRejectedBytes(int status) {
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
