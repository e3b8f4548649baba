#include "bergamotd/claimservice.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

using state::ClaimAnswer;
using state::ClaimState;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t RecordsPerRead = 512;
constexpr milliseconds LongPollTime{2000};
constexpr milliseconds ReadBackTime{500};
constexpr milliseconds AppendTime{1000};
constexpr milliseconds FailurePause{200};

/// How long a call waits for the log to decide its claim. Beyond it the call
/// is refused as not executed and the claim withdrawn.
constexpr milliseconds DecisionTimeout{3000};

/// Longest sleep of the thread that appends.
constexpr milliseconds LongestIdle{100};

const std::string &stream() {
  static const std::string name = state::claimStream(0, 1);
  return name;
}

state::Hash128 fingerprintOf(const CallerRequest &call) {
  return state::hash128(call.Method + "\n" + call.Path + "\n" + call.Body);
}

} // namespace

ClaimService::ClaimService(base::VmId entry, base::Incarnation life,
                           const std::string &platformEndpoint)
    : Entry(std::move(entry)), Life(life), Log(platformEndpoint) {}

ClaimService::~ClaimService() { stop(); }

void ClaimService::start(milliseconds window) {
  const std::lock_guard lock(Mutex);
  if (Table)
    return;
  Table = std::make_unique<state::ClaimTable>(window);
  Batcher = std::make_unique<state::ClaimBatcher>(Entry, Life, *Table);
  Reader = std::thread([this] { readLoop(); });
  Driver = std::thread([this] { driveLoop(); });
}

void ClaimService::stop() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  Changed.notify_all();
  if (Reader.joinable())
    Reader.join();
  if (Driver.joinable())
    Driver.join();
}

ClaimTicket ClaimService::claim(const CallerRequest &call) {
  const auto now = steady_clock::now();
  const auto decideBy = std::min(call.Deadline, now + DecisionTimeout);
  const auto key =
      state::claimKey(call.Account, call.Service, call.IdempotencyKey);
  const auto fingerprint = fingerprintOf(call);
  Lock lock(Mutex);
  if (!Batcher)
    return {{ClaimState::Undecided, {}}, {}};
  // The claim itself is good for the call's deadline, so that a refused
  // attempt can be repeated and a long request's outcome is still recorded.
  const auto admission =
      Batcher->addClaim(key, fingerprint, call.Deadline, now);
  if (!admission.Id)
    return {waitForOutcome(lock, key, fingerprint, admission.Answer, decideBy),
            {}};
  const state::ClaimId id = *admission.Id;
  const auto slot = Waiting.emplace(id, std::nullopt).first;
  Changed.notify_all();
  Changed.wait_until(lock, decideBy,
                     [&] { return IsStopping || slot->second.has_value(); });
  const auto answer = slot->second;
  Waiting.erase(slot);
  if (answer)
    return {waitForOutcome(lock, key, fingerprint, *answer, decideBy), id};
  Batcher->addWithdrawal(id, steady_clock::now());
  return {{ClaimState::Undecided, {}}, id};
}

ClaimAnswer ClaimService::waitForOutcome(Lock &lock, const state::Hash128 &key,
                                         const state::Hash128 &fingerprint,
                                         ClaimAnswer answer,
                                         base::TimePoint deadline) {
  Changed.wait_until(lock, deadline, [&] {
    if (answer.State == ClaimState::InProgress)
      answer = Table->answer(key, fingerprint);
    return IsStopping || answer.State != ClaimState::InProgress;
  });
  // A key that was freed meanwhile may be claimed by the caller's next try.
  if (answer.State == ClaimState::Free)
    answer.State = ClaimState::InProgress;
  return answer;
}

bool ClaimService::takeDispatchPermit(const state::ClaimId &id) {
  const std::lock_guard lock(Mutex);
  return Batcher->takeDispatchPermit(id, steady_clock::now());
}

void ClaimService::setRefused(const state::ClaimId &id) {
  const std::lock_guard lock(Mutex);
  Batcher->recordRefusedDispatch(id);
}

void ClaimService::addWithdrawal(const state::ClaimId &id) {
  const std::lock_guard lock(Mutex);
  Batcher->addWithdrawal(id, steady_clock::now());
  Changed.notify_all();
}

void ClaimService::addOutcome(const state::ClaimId &id,
                              const state::Outcome &outcome) {
  const std::lock_guard lock(Mutex);
  Batcher->addOutcome(id, outcome, steady_clock::now());
  Changed.notify_all();
}

void ClaimService::setIncarnationEnded(const base::VmId &entry,
                                       base::Incarnation life) {
  const std::lock_guard lock(Mutex);
  if (Table)
    Table->setIncarnationEnded(entry, life);
}

void ClaimService::pause(milliseconds time) {
  Lock lock(Mutex);
  Changed.wait_for(lock, time, [this] { return IsStopping; });
}

void ClaimService::readLoop() {
  for (;;) {
    {
      const std::lock_guard lock(Mutex);
      if (IsStopping)
        return;
    }
    bool reachedEnd = false;
    if (!readOnce(LongPollTime, reachedEnd))
      pause(FailurePause);
  }
}

bool ClaimService::readOnce(milliseconds wait, bool &reachedEnd) {
  base::LogOffset from;
  {
    const std::lock_guard lock(Mutex);
    from = Table->next();
  }
  try {
    const auto page =
        Log.read(stream(), from, RecordsPerRead, steady_clock::now() + wait);
    applyPage(page);
    reachedEnd = page.Records.size() < RecordsPerRead;
    return true;
  } catch (const base::Error &) {
    return false;
  }
}

void ClaimService::applyPage(const adapterplatform::LogPage &page) {
  const std::lock_guard lock(Mutex);
  Table->setEarliestOffset(page.Earliest, base::wallNow());
  const auto now = steady_clock::now();
  for (const auto &record : page.Records)
    Batcher->apply({record.Offset, record.Time, record.Text}, now);
  Changed.notify_all();
}

void ClaimService::driveLoop() {
  for (;;) {
    std::vector<state::ClaimAction> actions;
    {
      Lock lock(Mutex);
      const auto now = steady_clock::now();
      const auto wakeAt = std::min(Batcher->wakeAt(), now + LongestIdle);
      Changed.wait_until(lock, wakeAt);
      if (IsStopping)
        return;
      actions = Batcher->takeActions(steady_clock::now());
      takeDecisions(actions);
    }
    for (const auto &action : actions) {
      if (const auto *append = std::get_if<state::ClaimAppend>(&action))
        runAction(*append);
      else if (const auto *back = std::get_if<state::ClaimReadBack>(&action))
        runAction(*back);
    }
  }
}

void ClaimService::takeDecisions(
    const std::vector<state::ClaimAction> &actions) {
  for (const auto &action : actions) {
    const auto *decided = std::get_if<state::ClaimDecision>(&action);
    const auto it =
        decided != nullptr ? Waiting.find(decided->Id) : Waiting.end();
    if (it != Waiting.end())
      it->second = decided->Answer;
  }
  Changed.notify_all();
}

void ClaimService::runAction(const state::ClaimAppend &append) {
  try {
    Log.append(stream(), append.Records, steady_clock::now() + AppendTime);
    const std::lock_guard lock(Mutex);
    Batcher->recordAppended(append.AppendNumber);
  } catch (const base::Error &e) {
    base::logWarning("claims.append_failed",
                     {{"peer", e.peer()}, {"detail", e.what()}});
    const std::lock_guard lock(Mutex);
    Batcher->recordUnconfirmed(append.AppendNumber, steady_clock::now());
  }
}

void ClaimService::runAction(const state::ClaimReadBack &readBack) {
  bool reachedEnd = false;
  while (!reachedEnd)
    if (!readOnce(ReadBackTime, reachedEnd))
      return;
  const std::lock_guard lock(Mutex);
  Batcher->finishReadBack(readBack.AppendNumber);
}

} // namespace bergamot::bergamotd
