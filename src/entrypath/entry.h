#ifndef BERGAMOT_ENTRYPATH_ENTRY_H
#define BERGAMOT_ENTRYPATH_ENTRY_H

#include "entrypath/connectionpool.h"
#include "entrypath/headercodec.h"
#include "entrypath/ratelimitedlog.h"
#include "entrypath/servicestate.h"
#include "libbergamotbase/metrics.h"
#include "libbergamotbase/pausedetector.h"
#include "libbergamotgateway/attemptpolicy.h"
#include "libbergamotgateway/promptsuspects.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/shutdownpolicy.h"
#include "libbergamotgateway/targetscheduler.h"
#include "libbergamotgateway/waitpolicy.h"

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
  std::string FailureDomain;
  boost::asio::ip::tcp::endpoint Listen;
  gateway::RetryBound Retries;
  /// The retry budget is divided among at least this many entries, because some
  /// may not be known yet, for example after a start.
  unsigned MinAssumedEntryCount = 8;
  /// Time after an outage of the platform's store within which the records of
  /// live targets reappear in it.
  base::Duration RemovalGrace = std::chrono::milliseconds(2000);
  /// Time after the acknowledgement of its removal within which a target must
  /// get no new requests any more.
  base::Duration DrainBound = std::chrono::milliseconds(2000);
  /// Time after which an entry must keep the drain bound again although its
  /// connections to the store had gone silent.
  base::Duration StableWindow = std::chrono::milliseconds(3000);
  /// Time without progress after which a stream is resumed at another rank if
  /// its group still makes progress. It is longer than a forward pass in which
  /// one rank is 12 times slower (700 ms), and shorter than the two seconds
  /// after which callers disconnect.
  base::Duration StreamSilenceTimeout = std::chrono::milliseconds(1200);
  /// When the process started.
  base::TimePoint StartedAt = std::chrono::steady_clock::now();
  unsigned LogLinesPerSecond = 40;
  /// See gateway::SchedulerSettings.
  gateway::Activation ShareSlots = gateway::Activation::Auto;
  gateway::Activation LimitByGroup = gateway::Activation::Auto;
  gateway::Activation UseGroupRecords = gateway::Activation::Auto;
  /// For which services only more urgent requests count as ahead of a new one.
  gateway::Activation CountByPriority = gateway::Activation::Auto;
  /// For which services client accounts are served in turn.
  gateway::Activation FairAccounts = gateway::Activation::Auto;
  /// Bound on the bytes of all incomplete requests. The memory for them may be
  /// twice as large, which is half of that of an entry's VM.
  std::size_t MaxUploadBytes = 64UL * 1024 * 1024;
  std::uint64_t Seed = 1;
};

/// The state of one entry: its callers, the requests that are queued or in
/// flight, and its view of the configuration, the targets and the other
/// entries. Runs entirely on one event loop.
class Entry {
public:
  Entry(boost::asio::io_context &loop, const EntrySettings &settings,
        const HeaderCodec &codec, base::Metrics &metrics);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Opens the listening socket. Throws base::Error if the address can't be
  /// bound.
  void listen();
  /// Starts a graceful shutdown: each connection is closed after its current
  /// response, and requests are rejected that the policy doesn't take.
  void shutDown(const gateway::ShutdownPolicy &policy);
  /// Returns whether there is neither a request in progress nor a partly read
  /// one, and callers have acknowledged all that they were sent. What the
  /// kernel still has to send would be lost if a caller sent something after
  /// the end of this process.
  bool isDrained() const;
  /// Closes connections that have no request in progress or partly read.
  void closeIdleCallers();
  /// Answers the requests that are still in progress, as the process is about
  /// to end.
  void endUnfinishedRequests();
  /// Stops listening and closes idle connections of callers.
  void closeListener();

  /// Applies a configuration, unless its version is the current one or older.
  void setRouteTable(std::shared_ptr<const gateway::RouteTable> table);
  /// Changes the bound on retries, also for requests in progress.
  void setRetryBound(const gateway::RetryBound &bound);
  /// Sets the function that starts a reload of the configuration and the
  /// targets after the process was suspended. Once the reload has succeeded,
  /// reloadCompleted() has to be called.
  void setReloadHandler(std::function<void()> reload) {
    OnReload = std::move(reload);
  }
  /// Sets the function that is called once for each request that has begun to
  /// run at a target, with its client account and when it began.
  void setExecutionHandler(
      std::function<void(const std::string &account, base::TimePoint begunAt)>
          handler) {
    OnExecution = std::move(handler);
  }
  /// Checks whether the process was suspended, for example because its VM was
  /// paused or stopped. If so, queued requests are rejected, and nothing is
  /// sent to a target until the state has been reloaded: targets may have been
  /// removed, and deadlines may have passed. `bootClockTime` is
  /// base::timeSinceBoot(), which includes suspensions of the VM.
  void checkSuspension(base::TimePoint now, base::Duration bootClockTime);
  /// Resumes dispatching after the configuration and the targets have been
  /// reloaded.
  void reloadCompleted();
  /// Returns false while the state is being reloaded after a suspension.
  bool isStateCurrent() const { return !ReloadDeadline; }
  /// Tries again to dispatch queued requests after a change of the directory or
  /// of the state of targets.
  void onTargetsChanged();
  /// Returns the priority by which a request for a service is queued. `account`
  /// may be null.
  std::uint32_t requestPriority(const std::string &serviceName,
                                const gateway::Route &route,
                                const gateway::ClientAccount *account) const;
  /// Adds or replaces a target, and tries again to dispatch queued requests.
  void setTarget(const gateway::TargetRecord &record,
                 gateway::TargetDirectory::RecordAge age);
  void setPeerRequestCounts(const std::string &entry,
                            gateway::RequestCounts counts);
  /// Sets the names of the entries that may be running. This entry's own name
  /// may be omitted. `areComplete` is false as long as only entries are known
  /// that have sent something to this one.
  void setEntryNames(const std::set<std::string> &names, bool areComplete);

  gateway::TargetDirectory &directory() { return Scheduler.directory(); }
  gateway::RankSlowdowns &slowdowns() { return Scheduler.slowdowns(); }
  /// Returns what the other entries should know of this one's requests, and
  /// records that they have been told.
  gateway::RequestCounts takeReport();
  std::shared_ptr<const gateway::RouteTable> routeTable() const {
    return Table;
  }
  const gateway::TargetScheduler &scheduler() const { return Scheduler; }
  /// Returns the queue of a service, or null if it has had no requests yet.
  const gateway::WaitQueue *waitQueue(const std::string &serviceName) const {
    const auto it = Services.find(serviceName);
    return it == Services.end() ? nullptr : &it->second.Queue;
  }
  const EntrySettings &settings() const { return Settings; }
  bool isShuttingDown() const { return Shutdown.has_value(); }
  base::TimePoint now() const { return std::chrono::steady_clock::now(); }
  boost::asio::io_context &loop() { return Loop; }
  RateLimitedLog &eventLog() { return EventLog; }
  base::Metrics &metrics() { return Metrics; }

  // Used by CallerConnection.
  const gateway::CallerLimits &callerLimits() const;
  void removeCaller(CallerConnection &caller);
  /// Counts bytes of incomplete requests; above their bound, rejects the
  /// largest of these requests.
  void addUploadBytes(std::int64_t n);
  /// Keeps track of a caller's connection that is closed once all its bytes are
  /// sent.
  void addClosingConnection(
      const std::shared_ptr<adaptertcp::TcpConnection> &connection);
  void countRejectedInput(int status);
  template <typename Task> void post(Task task) {
    boost::asio::post(Loop, std::move(task));
  }

  /// Merges what another entry or an earlier process knew of prompts that may
  /// crash targets.
  void mergePromptEvidence(const std::vector<gateway::PartEvidence> &evidence);
  gateway::PromptSuspects &promptSuspects() { return Suspects; }
  /// Sets the function that is called when other entries must learn of a change
  /// of promptSuspects() at once.
  void setPromptEvidenceHandler(std::function<void()> handler) {
    OnPromptEvidence = std::move(handler);
  }

  /// Merges what other entries have heard from targets of their request rates.
  void mergeRateStatements(const std::vector<gateway::RateStatement> &it);
  const gateway::TargetRateLimits &rateLimits() const {
    return Scheduler.rateLimits();
  }
  /// Sets the function that is called when other entries must learn of a change
  /// of rateLimits() at once.
  void setRateLimitHandler(std::function<void()> handler) {
    OnRateLimit = std::move(handler);
  }

  // Used by Exchange.
  const HeaderCodec &codec() const { return Codec; }
  ConnectionPool &pool() { return Pool; }
  std::uint64_t nextExchangeId() { return ++LastExchangeId; }
  /// Returns a uniformly distributed random number in [0, 1).
  double drawUniform() { return Uniform(Random); }
  /// Returns how many requests of a service are queued at this entry.
  std::size_t queuedCount(const std::string &serviceName);
  /// Returns how many entries are or may be running, including this one.
  unsigned entryCount() const { return Scheduler.entryCount(); }
  /// Holds a request until the first configuration has been read, shortly after
  /// the process has started. Returns false if too many requests are held or
  /// the request has been held for too long.
  bool holdForConfiguration(const std::shared_ptr<Exchange> &exchange);
  void enqueue(const std::shared_ptr<Exchange> &exchange);
  /// Returns whether a request may be taken although the entry may be shutting
  /// down.
  bool canComplete(const Exchange &exchange);
  /// Takes a request out of its queue, as it no longer needs a target.
  void withdraw(const Exchange &exchange);
  /// Returns whether a target has room for a further attempt of a request.
  bool hasFreeTarget(const Exchange &exchange);
  void removeExchange(Exchange &exchange, const char *outcome, int status);
  void setRetryAfter(adaptertcp::HeaderFields &headers,
                     const Exchange &exchange);
  void recordExecution(const std::string &account, base::TimePoint begunAt) {
    if (OnExecution)
      OnExecution(account, begunAt);
  }
  void addInFlight(const std::string &target);
  void removeInFlight(const Exchange &exchange, const std::string &target);
  /// Applies what a target states about itself in a response to a request that
  /// was sent at `sentAt`; `startedAtMs` is the start time that its record
  /// showed then.
  void recordResponse(const std::string &target, std::int64_t startedAtMs,
                      base::TimePoint sentAt, const TargetResponse &response);
  /// Logs the fields of a response that this version doesn't know, each name
  /// once: a target may state something there that the entry should heed.
  void recordUnknownFields(const std::string &target,
                           const adaptertcp::ResponseHead &head);
  gateway::GroupProgress &groups() { return Scheduler.groups(); }
  /// Records that a group made progress; if it was stalled, the service's
  /// queued requests are dispatched.
  void recordProgress(const std::string &serviceName, const std::string &group);
  /// Returns how the responses of a service usually state where they end.
  gateway::FramingHabit &framing(const std::string &serviceName) {
    return service(serviceName).Framing;
  }
  /// Records the time between two events of a stream.
  void recordEventGap(const std::string &target, base::Duration gap) {
    Scheduler.recordEventGap(target, gap, now());
  }
  void recordSuccess(const std::string &target);
  void recordPromptBegun(const std::vector<gateway::PromptPart> &parts);
  /// Finds out whether a target has crashed that closed its connection while a
  /// request with this prompt had no response.
  void checkForCrash(const std::string &target, std::int64_t startedAtMs,
                     const std::string &address,
                     const std::vector<gateway::PromptPart> &parts);
  void recordFailure(const std::string &target,
                     gateway::AttemptFailure failure);
  /// Takes one retry of a service's requests from the budget, after a failure;
  /// returns false if the budget is exhausted.
  bool consumeRetryBudget(const std::string &serviceName,
                          gateway::AttemptFailure failure);
  bool hasRetryBudget(const std::string &serviceName);
  /// Records that a target has stopped responding; it is sent no requests for a
  /// while.
  void recordUnresponsive(const std::string &target);
  void returnToPool(const std::string &target,
                    ConnectionPool::Connection connection,
                    const TargetResponse &response, base::TimePoint now);
  void countNewConnection();
  /// Counts a failed attempt; `cause` is one of a fixed set of names.
  void countAttemptFailure(gateway::AttemptFailure failure, const char *cause,
                           bool responseStarted);
  void writeLog(const char *event, const nlohmann::json &fields);

private:
  /// A request that is held until the first configuration has been read.
  struct HeldRequest {
    std::shared_ptr<Exchange> Request;
    base::TimePoint Until;
  };

  /// A request that waits for the verdict on its prompt.
  struct SuspectedRequest {
    std::shared_ptr<Exchange> Request;
    base::TimePoint Until;
  };

  void accept();
  void addToQueue(const std::shared_ptr<Exchange> &exchange);
  bool admitPrompt(const std::shared_ptr<Exchange> &exchange);
  void onPromptSuspectsChanged();
  /// Aborts requests in flight whose prompt is blocked.
  void abortBlockedRequests();
  void reviewSuspectedRequests();
  void startHeldRequests();
  void rejectExpiredHeldRequests(base::TimePoint now);
  ServiceState &service(const std::string &serviceName);
  void scheduleQueueProcessing(const std::string &serviceName);
  void processQueue(const std::string &serviceName);
  void rejectQueued(ServiceState &state, std::uint64_t exchangeId,
                    const char *reason = "no_capacity");
  void recordGroupLimits();
  void rejectExpired(const std::string &serviceName, ServiceState &state);
  gateway::QueueState queueState(const std::string &serviceName,
                                 ServiceState &state);
  gateway::WaitingRequest waitingRequest(const Exchange &exchange) const;
  void updateWaitSettings(const std::string &serviceName, ServiceState &state);
  gateway::WaitLimits waitLimits(const Exchange &exchange) const;
  void recordRateLimit(const std::string &target, std::int64_t startedAtMs,
                       base::TimePoint sentAt, const TargetResponse &response);
  bool isStalled(const std::string &serviceName) const;
  bool dispatchNext(const std::string &serviceName, ServiceState &state);
  bool dispatch(ServiceState &state, std::uint64_t exchangeId);
  gateway::DispatchTerms dispatchTerms(const Exchange &exchange);
  bool maySendLate(const std::string &serviceName, ServiceState &state);
  void recordSlotView(const std::string &serviceName, ServiceState &state,
                      const gateway::Choice &choice);
  std::optional<unsigned> budgetEntryCount() const;
  void tick();

  boost::asio::io_context &Loop;
  EntrySettings Settings;
  const HeaderCodec &Codec;
  base::Metrics &Metrics;
  RateLimitedLog EventLog;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Ticker;
  ConnectionPool Pool;
  std::shared_ptr<const gateway::RouteTable> Table;
  gateway::TargetScheduler Scheduler;
  /// The unknown response fields that have been logged.
  std::set<std::string> UnknownFields;
  std::map<std::string, ServiceState> Services;
  /// The last limits on streams that were logged, by group.
  std::map<std::string, std::uint32_t> LoggedGroupLimits;
  std::set<std::string> ServicesByPriority;
  std::set<std::string> ServicesWithFairAccounts;
  std::vector<HeldRequest> HeldRequests;
  gateway::PromptSuspects Suspects;
  std::vector<SuspectedRequest> SuspectedRequests;
  std::function<void()> OnPromptEvidence;
  std::function<void()> OnRateLimit;
  std::unordered_set<std::shared_ptr<CallerConnection>> Callers;
  std::int64_t UploadBytes = 0;
  /// Connections with unsent bytes that have no caller any more.
  std::vector<std::weak_ptr<adaptertcp::TcpConnection>> ClosingConnections;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0.0, 1.0};
  std::uint64_t LastExchangeId = 0;
  /// Whether setEntryNames() has been called with all names.
  bool AllEntriesKnown = false;
  /// When expired targets, peers' reports and connections are next removed.
  base::TimePoint NextCleanupAt;
  base::PauseDetector Suspensions;
  std::function<void()> OnReload;
  std::function<void(const std::string &, base::TimePoint)> OnExecution;
  /// Set while the state is reloaded after a suspension. If the reload hasn't
  /// completed by then, the existing state is used.
  std::optional<base::TimePoint> ReloadDeadline;
  /// Set once the shutdown has been requested.
  std::optional<gateway::ShutdownPolicy> Shutdown;
};

} // namespace bergamot::entrypath

#endif
