#ifndef BERGAMOT_ENTRYPATH_EXCHANGE_H
#define BERGAMOT_ENTRYPATH_EXCHANGE_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "entrypath/dialect.h"
#include "libbergamotgateway/attemptpolicy.h"
#include "libbergamotgateway/eventsplitter.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/targetdirectory.h"
#include "libbergamotgateway/waitpolicy.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

namespace bergamot::entrypath {

class CallerConnection;
class Entry;

/// One caller's request from its arrival to the end of its response: checks
/// it against the configuration, waits for a target, sends it, and passes the
/// response on. All deadlines are points on the monotonic clock.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(Entry &entry, CallerConnection &caller, adaptertcp::RequestHead head,
           std::string body, base::TimePoint arrivedAt);
  ~Exchange();

  /// Answers the request or puts it in its service's queue. Called again when
  /// the entry has read its first configuration.
  void start();
  /// Ends the wait for the first configuration.
  void configurationMissing();
  /// Ends all work, as the caller has closed its connection.
  void callerLeft();
  /// Handles a pause of the process: a request that waits is rejected, the
  /// deadline of another moves by what the clock hasn't counted.
  void endPause(base::Duration uncounted);
  /// Lets the target send more after the caller has read what was buffered.
  void callerDrained();
  /// Sends the request to a target that the dispatcher has chosen.
  void dispatchTo(const gateway::KnownTarget &target);
  /// Ends the wait with a response that says when to come back.
  void rejectWaiting(const char *reason);

  std::uint64_t number() const { return Number; }
  const std::string &service() const { return Service; }
  const gateway::Route &route() const { return *Route; }
  base::TimePoint arrivedAt() const { return ArrivedAt; }
  base::TimePoint deadline() const { return Deadline; }
  gateway::RequestTimes times() const {
    return {ArrivedAt, Deadline, Facts.ContinuesStream};
  }
  bool isFinished() const { return Finished; }
  bool isResuming() const { return ResponseStarted; }
  std::uint32_t priority() const { return Priority; }
  const CallerRequest &request() const { return Facts; }
  /// Returns to how many targets the request may still be sent.
  std::uint32_t attemptsLeft() const {
    return Route->MaxAttempts - std::min(Dispatches, Route->MaxAttempts);
  }
  /// Targets that have failed this request.
  const std::set<std::string> &tried() const { return Tried; }

private:
  void answer(int status, const char *reason);
  bool authenticate();
  void armDeadline();
  void onDeadline();

  void openConnection(const std::string &address);
  void sendRequest();
  void watchSilence(base::TimePoint at);
  void checkSilence();
  bool mayLeaveSilentTarget() const;
  void onTargetData(std::string_view bytes);
  void onTargetClose(adaptertcp::CloseReason reason);
  bool acceptHead();
  void relayBody();
  void relayStream();
  void relayPlain();
  void relay(std::string_view bytes);
  void commitHead();
  void completeResponse();
  void keepConnection();

  void attemptFailed(gateway::AttemptFailure failure, const char *detail);
  void endAttempt();
  void tryAgain(gateway::AttemptFailure failure);
  void relayError();
  void respondWhole(const char *outcome, int status);
  void cutResponse(const char *reason);
  void finish(const char *outcome, int status);
  void log(const char *event, const char *outcome, int status);

  Entry &Owner;
  CallerConnection *Caller;
  adaptertcp::RequestHead Head;
  std::string Body;
  CallerRequest Facts;
  std::shared_ptr<const gateway::RouteTable> Table;
  const gateway::Route *Route = nullptr;
  std::string Account;
  std::string Service;
  std::uint64_t Number;
  std::uint32_t Priority = 0;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  boost::asio::steady_timer DeadlineTimer;

  /// The present attempt.
  std::string TargetId;
  /// The start that the target's record showed, in Unix milliseconds.
  std::int64_t TargetStartedAtMs = 0;
  /// The target's group of ranks; empty if it has none.
  std::string TargetGroup;
  std::shared_ptr<adaptertcp::TcpConnection> Connection;
  adaptertcp::MessageParser Parser{adaptertcp::MessageParser::Kind::Response};
  TargetResponse ResponseFacts;
  std::uint64_t AttemptNumber = 0;
  base::TimePoint SentAt;
  /// When the target has last sent a head or a whole event; SentAt before that.
  base::TimePoint HeardAt;
  /// Bytes of responses to other requests in this attempt.
  std::size_t DroppedBytes = 0;
  boost::asio::steady_timer SilenceTimer;
  bool Sent = false;
  bool HeadAccepted = false;

  gateway::EventSplitter Events;
  std::set<std::string> Tried;
  std::uint32_t Dispatches = 0;
  std::uint32_t ExecutedAttempts = 0;
  base::TimePoint FirstEventAt;
  base::TimePoint LastEventAt;
  base::Duration LongestGap{};
  bool ResponseStarted = false;
  bool Finished = false;
};

} // namespace bergamot::entrypath

#endif
