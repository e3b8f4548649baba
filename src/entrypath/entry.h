#ifndef BERGAMOT_ENTRYPATH_ENTRY_H
#define BERGAMOT_ENTRYPATH_ENTRY_H

#include "entrypath/decisionlog.h"
#include "entrypath/dialect.h"
#include "entrypath/targetpool.h"
#include "libbergamotbase/metrics.h"
#include "libbergamotbase/pausewatch.h"
#include "libbergamotgateway/attemptpolicy.h"
#include "libbergamotgateway/enginelimit.h"
#include "libbergamotgateway/groupprogress.h"
#include "libbergamotgateway/leavingtargets.h"
#include "libbergamotgateway/loadboard.h"
#include "libbergamotgateway/placement.h"
#include "libbergamotgateway/rankpaces.h"
#include "libbergamotgateway/ratewindow.h"
#include "libbergamotgateway/retrybudget.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/targetdirectory.h"
#include "libbergamotgateway/targethealth.h"
#include "libbergamotgateway/targetrests.h"
#include "libbergamotgateway/targetshares.h"
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace bergamot::entrypath {

class CallerConnection;
class Exchange;

/// Settings of an entry.
struct EntrySettings {
  std::string Name;
  std::string Domain;
  boost::asio::ip::tcp::endpoint Listen;
  gateway::RetryBound Retries;
  /// Divides shared allowances while fewer entries are known, as after a start.
  unsigned MaxEntries = 8;
  /// Time after an outage of the platform's store within which the records of
  /// live targets return.
  base::Duration LapseGrace = std::chrono::milliseconds(2000);
  /// Silence after which a stream is resumed at another rank, if its group
  /// moves: longer than the passes of a group with a rank that is 12 times
  /// slower (700 ms), and short of the two seconds after which callers leave.
  base::Duration SilentAfter = std::chrono::milliseconds(1200);
  unsigned LogLinesPerSecond = 40;
  std::uint64_t Seed = 1;
};

/// The state of one entry: its callers, the requests that wait and are in
/// flight, and what it knows of configuration, targets and other entries.
/// Everything runs on one event loop.
class Entry {
public:
  Entry(boost::asio::io_context &loop, const EntrySettings &settings,
        const Dialect &dialect, base::Metrics &metrics);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Opens the listening socket. Throws base::Error if it can't be had.
  void listen();
  /// Starts a graceful end: responses close their connections.
  void shutDown();
  /// Rejects further requests, as there may be no time to complete them.
  void leave();
  /// Returns whether no caller's request is in progress or partly read.
  bool isDrained() const;
  /// Closes connections without a request in progress or partly read.
  void closeIdleCallers();
  /// Stops listening and closes idle connections.
  void closeListener();

  /// Puts a configuration in force; an older version than the present one is
  /// ignored.
  void setRouteTable(std::shared_ptr<const gateway::RouteTable> table);
  /// Changes the bound on repeats, for requests in progress, too.
  void setRetryBound(const gateway::RetryBound &bound);
  /// Sets what reads configuration and targets afresh after a pause of the
  /// process, and then calls refreshed().
  void onPause(std::function<void()> refresh) { Refresh = std::move(refresh); }
  /// Looks whether the process has stood still, as its VM was suspended or
  /// stopped. What waits here is rejected then, and nothing is sent to a target
  /// before the state has been read again: targets may have been taken out,
  /// and deadlines have passed.
  void checkPause(base::TimePoint now, base::Duration sinceBoot);
  /// Says that configuration and targets are up to date again.
  void refreshed();
  /// Returns whether the state is up to date, as far as is known.
  bool isFresh() const { return !RefreshBy; }
  /// Lets what waits look for a target again, as the directory or what is known
  /// of the targets has changed.
  void targetsChanged();
  void setPeerRequests(const std::string &entry, gateway::RequestCounts counts);
  /// Sets the entries that may run, this one included or not.
  void setEntryNames(const std::set<std::string> &names);

  gateway::TargetDirectory &directory() { return Directory; }
  gateway::RankPaces &paces() { return Paces; }
  const gateway::LoadBoard &loadBoard() const { return Loads; }
  std::shared_ptr<const gateway::RouteTable> routeTable() const {
    return Table;
  }
  const EntrySettings &settings() const { return Settings; }
  bool isShuttingDown() const { return ShuttingDown; }
  bool isLeaving() const { return Leaving; }
  base::TimePoint now() const { return std::chrono::steady_clock::now(); }
  boost::asio::io_context &loop() { return Loop; }
  DecisionLog &decisions() { return Decisions; }
  base::Metrics &metrics() { return Metrics; }

  // For callers' connections.
  const gateway::CallerLimits &callerLimits() const;
  void removeCaller(CallerConnection &caller);
  void countRejectedBytes(int status);
  template <typename Task> void post(Task task) {
    boost::asio::post(Loop, std::move(task));
  }

  // For exchanges.
  const Dialect &dialect() const { return Names; }
  TargetPool &pool() { return Pool; }
  std::uint64_t nextExchangeNumber() { return ++LastExchange; }
  /// Returns a random number in [0, 1).
  double draw() { return Uniform(Random); }
  /// Returns how many requests of a service wait here.
  std::size_t waitingCount(const std::string &name);
  /// Returns how many entries run or may run, this one included.
  unsigned entryCount() const;
  /// Lets a request wait for the first configuration, which comes soon after
  /// the process has started. Returns false if too many wait or it has no time.
  bool holdForConfiguration(const std::shared_ptr<Exchange> &exchange);
  void enqueue(const std::shared_ptr<Exchange> &exchange);
  void removeExchange(Exchange &exchange, const char *outcome, int status);
  void setRetryAfter(adaptertcp::HeaderFields &headers,
                     const Exchange &exchange);
  void addInFlight(const std::string &target);
  void removeInFlight(const Exchange &exchange, const std::string &target);
  /// Takes what a target says of itself in a response; `startedAtMs` is the
  /// start that its record showed as it got the request.
  void noteResponse(const std::string &target, std::int64_t startedAtMs,
                    const TargetResponse &response);
  gateway::GroupProgress &groups() { return Groups; }
  /// Takes a sign that a group makes progress; what waits for it goes on.
  void noteProgress(const std::string &service, const std::string &group);
  void noteSuccess(const std::string &target);
  void noteFailure(const std::string &target, gateway::AttemptFailure failure);
  bool takeRepeat(const std::string &service);
  bool hasRepeat(const std::string &service);
  /// Keeps requests away from a target that has fallen silent.
  void noteSilence(const std::string &target);
  void keepConnection(const std::string &target,
                      TargetPool::Connection connection,
                      const TargetResponse &response, base::TimePoint now);
  void countNewConnection();
  void writeLog(const char *event, const nlohmann::json &fields);

private:
  struct ServiceState {
    explicit ServiceState(const gateway::RetryBound &bound) : Budget(bound) {}
    gateway::WaitQueue Queue;
    std::map<std::uint64_t, std::shared_ptr<Exchange>> Waiting;
    gateway::RetryBudget Budget;
    gateway::RateWindow Dispatched;
    /// Requests that came and can be served in time.
    gateway::RateWindow Arrived;
    bool PumpPosted = false;
  };

  /// A request that waits for the first configuration.
  struct HeldRequest {
    std::shared_ptr<Exchange> Request;
    base::TimePoint Until;
  };

  void accept();
  void startHeld();
  void rejectHeld(base::TimePoint now);
  ServiceState &service(const std::string &name);
  void schedulePump(const std::string &name);
  void pump(const std::string &name);
  void rejectWaiting(ServiceState &state, std::uint64_t number);
  void rejectExpired(const std::string &name, ServiceState &state);
  gateway::WaitLoad waitLoad(const std::string &name, ServiceState &state);
  gateway::WaitLimits waitLimits(const Exchange &exchange) const;
  base::Duration restLeft(const std::string &name) const;
  bool standsStill(const std::string &name) const;
  std::size_t roomOfEntry(const std::string &name) const;
  bool dispatchNext(const std::string &name, ServiceState &state);
  bool dispatch(const std::string &name, ServiceState &state,
                std::uint64_t number);
  std::vector<gateway::Candidate> candidates(const std::string &name,
                                             const Exchange &exchange);
  bool isUsable(const gateway::KnownTarget &target) const;
  std::uint32_t limitOf(const gateway::KnownTarget &target) const;
  bool hasAllowance(const gateway::Service *service, const std::string &target);
  unsigned sharingEntries() const;
  void tick();

  boost::asio::io_context &Loop;
  EntrySettings Settings;
  const Dialect &Names;
  base::Metrics &Metrics;
  DecisionLog Decisions;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Ticker;
  TargetPool Pool;
  std::shared_ptr<const gateway::RouteTable> Table;
  std::map<std::string, std::uint32_t> StreamLimits;
  gateway::TargetDirectory Directory;
  gateway::LoadBoard Loads;
  gateway::TargetShares Shares;
  gateway::TargetHealth Health;
  gateway::LeavingTargets TargetsLeaving;
  gateway::TargetRests Rests;
  gateway::GroupProgress Groups;
  gateway::RankPaces Paces;
  std::map<std::string, gateway::RateWindow> RecentDispatches;
  std::map<std::string, ServiceState> Services;
  std::vector<HeldRequest> Held;
  std::unordered_set<std::shared_ptr<CallerConnection>> Callers;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0.0, 1.0};
  std::uint64_t LastExchange = 0;
  bool KnowsEntries = false;
  base::TimePoint NextSweepAt;
  base::PauseWatch Pauses;
  std::function<void()> Refresh;
  /// Set while the state is read again after a pause. It is used as it is if
  /// that takes longer.
  std::optional<base::TimePoint> RefreshBy;
  bool ShuttingDown = false;
  bool Leaving = false;
};

} // namespace bergamot::entrypath

#endif
