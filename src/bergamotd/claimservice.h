#ifndef BERGAMOT_BERGAMOTD_CLAIMSERVICE_H
#define BERGAMOT_BERGAMOTD_CLAIMSERVICE_H

#include "adapterplatform/httplog.h"
#include "bergamotd/callerrequest.h"
#include "libbergamotstate/claimbatcher.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace bergamot::bergamotd {

/// A claim on an idempotency key, or the reason why there is none.
struct ClaimTicket {
  state::ClaimAnswer Answer;
  state::ClaimId Id;

  bool isWon() const { return Answer.State == state::ClaimState::Won; }
};

/// Makes an entry's claims on idempotency keys in the platform's log. One
/// thread reads the stream, one appends batches. Thread-safe; lock order:
/// Mutex only, never held during a call of the log.
class ClaimService {
public:
  ClaimService(base::VmId entry, base::Incarnation life,
               const std::string &platformEndpoint);
  ~ClaimService();

  /// Starts the threads. The window is that of the first configuration.
  void start(std::chrono::milliseconds window);
  void stop();

  /// Claims the key of a call and waits until the log has decided, at most
  /// until DecisionTimeout. Undecided means that the call must be refused;
  /// nothing was executed.
  ClaimTicket claim(const CallerRequest &call);

  /// Returns whether the call may be dispatched now. Call it immediately
  /// before each dispatch.
  bool takeDispatchPermit(const state::ClaimId &id);

  /// Takes proof that the dispatch executed nothing.
  void setRefused(const state::ClaimId &id);

  /// Frees the key: nothing was executed.
  void addWithdrawal(const state::ClaimId &id);

  /// Records the outcome; status 0 means unknown.
  void addOutcome(const state::ClaimId &id, const state::Outcome &outcome);

  /// Marks older lives of an entry, or a VM that left, as gone.
  void setIncarnationEnded(const base::VmId &entry, base::Incarnation life);

private:
  using Lock = std::unique_lock<std::mutex>;

  /// Waits while another call with the key is in progress, so that a repeat
  /// gets the first one's outcome.
  state::ClaimAnswer waitForOutcome(Lock &lock, const state::Hash128 &key,
                                    const state::Hash128 &fingerprint,
                                    state::ClaimAnswer answer,
                                    base::TimePoint deadline);
  void readLoop();
  void driveLoop();
  void runAction(const state::ClaimAppend &append);
  void runAction(const state::ClaimReadBack &readBack);
  bool readOnce(std::chrono::milliseconds wait, bool &reachedEnd);
  void applyPage(const adapterplatform::LogPage &page);
  void takeDecisions(const std::vector<state::ClaimAction> &actions);
  void pause(std::chrono::milliseconds time);

  const base::VmId Entry;
  const base::Incarnation Life;
  adapterplatform::HttpLog Log;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::unique_ptr<state::ClaimTable> Table;
  std::unique_ptr<state::ClaimBatcher> Batcher;
  /// Decisions of the claims that a call waits for.
  std::map<state::ClaimId, std::optional<state::ClaimAnswer>> Waiting;
  bool IsStopping = false;
  std::thread Reader;
  std::thread Driver;
};

} // namespace bergamot::bergamotd

#endif
