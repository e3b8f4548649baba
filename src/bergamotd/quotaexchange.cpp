#include "bergamotd/quotaexchange.h"

#include "bergamotd/problem.h"

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using base::Step;
using routing::LimitVerdict;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds ExchangeInterval{20};

/// How long a call waits for a slice before it is refused.
constexpr milliseconds LongestSliceWait{3000};

/// An owner stays connected this long after it was last asked.
constexpr std::chrono::seconds OwnerKeepTime{60};

/// Up to this many entries connect to all others.
constexpr std::size_t FewEntries = 16;

routing::QuotaRequest fromWire(const fb::QuotaRequestT &message,
                               base::VmId entry, base::Incarnation life) {
  routing::QuotaRequest request{std::move(entry), life, message.sequence, {}};
  for (const auto &it : message.demands)
    request.Demands.push_back({base::AccountId{it->account}, it->wanted,
                               it->held, it->in_flight, it->peak, it->leased});
  return request;
}

fb::QuotaRequestT toWire(const routing::QuotaRequest &request) {
  fb::QuotaRequestT message;
  message.sequence = request.Sequence;
  for (const auto &it : request.Demands) {
    auto demand = std::make_unique<fb::QuotaDemandT>();
    demand->account = it.Account.Value;
    demand->wanted = it.WantedRateTokens;
    demand->held = it.HeldRateTokens;
    demand->in_flight = it.InFlight;
    demand->peak = it.PeakConcurrency;
    demand->leased = it.LeasedConcurrency;
    message.demands.push_back(std::move(demand));
  }
  return message;
}

fb::QuotaSliceT toWire(const routing::QuotaAnswer &slice) {
  fb::QuotaSliceT message;
  message.sequence = slice.Sequence;
  for (const auto &it : slice.Leases) {
    auto part = std::make_unique<fb::QuotaPartT>();
    part->account = it.Account.Value;
    part->tokens = it.RateTokens;
    part->concurrency = it.Concurrency;
    part->state = static_cast<std::uint8_t>(it.State);
    message.parts.push_back(std::move(part));
  }
  return message;
}

[[noreturn]] void refuse(const base::AccountId &account,
                         const LimitVerdict &verdict) {
  throw ProblemError(429, Step::Admit, "",
                     "account '" + account.Value +
                         "': " + routing::refusalName(verdict.Reason))
      .retryAfter(std::chrono::ceil<milliseconds>(verdict.RetryAfter));
}

} // namespace

QuotaExchange::QuotaExchange(const base::VmId &self, base::Incarnation life)
    : Self(self), Life(life), Limiter(self, life, {}), Owner(self, {}),
      Exchanger([this] { exchangeLoop(); }) {}

QuotaExchange::~QuotaExchange() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  SliceArrived.notify_all();
  Exchanger.join();
}

void QuotaExchange::applyConfig(const ActiveConfigPtr &active) {
  std::unordered_map<base::AccountId, routing::AccountLimits> limits;
  for (const auto &account : active->config().Accounts)
    limits[account.Id] = {static_cast<double>(account.RatePerSecond),
                          account.Concurrency};
  std::vector<base::VmId> entries;
  const std::lock_guard lock(Mutex);
  EntryEndpoints.clear();
  for (const auto &entry : active->config().Entries) {
    entries.push_back(entry.Id);
    EntryEndpoints[entry.Id] = entry.PeerEndpoint;
  }
  Limiter.setLimits(limits);
  Limiter.setEntries(entries);
  Owner.setLimits(limits);
  Owner.setEntries(entries, steady_clock::now());
}

void QuotaExchange::admit(const base::AccountId &account,
                          base::TimePoint deadline) {
  const auto waitUntil =
      std::min(deadline, steady_clock::now() + LongestSliceWait);
  bool isRepeated = false;
  Lock lock(Mutex);
  for (;;) {
    const auto now = steady_clock::now();
    const auto verdict = Limiter.admit(account, 1, isRepeated, now);
    if (verdict.Decision == LimitVerdict::Kind::Admitted)
      return;
    if (verdict.Decision == LimitVerdict::Kind::Refused || now >= waitUntil)
      refuse(account, verdict);
    const auto slices = SliceCount;
    sendDue(now);
    SliceArrived.wait_until(lock, waitUntil,
                            [&] { return SliceCount != slices || IsStopping; });
    isRepeated = SliceCount != slices;
  }
}

void QuotaExchange::setFinished(const base::AccountId &account) {
  const std::lock_guard lock(Mutex);
  Limiter.onRequestFinished(account);
}

void QuotaExchange::exchangeLoop() {
  Lock lock(Mutex);
  while (!IsStopping) {
    sendDue(steady_clock::now());
    StopChanged.wait_for(lock, ExchangeInterval);
  }
}

void QuotaExchange::sendDue(base::TimePoint now) {
  for (const auto &outgoing : Limiter.takeDueRequests(now))
    send(outgoing, now);
}

void QuotaExchange::send(const routing::OutgoingQuotaRequest &outgoing,
                         base::TimePoint now) {
  if (outgoing.Owner == Self) {
    if (const auto slice = Owner.answer(outgoing.Request, now)) {
      Limiter.applyAnswer(*slice, now);
      ++SliceCount;
      SliceArrived.notify_all();
    }
    return;
  }
  OwnersUsedUntil[outgoing.Owner] = now + OwnerKeepTime;
  const auto it = Sessions.find(outgoing.Owner);
  if (it != Sessions.end())
    it->second->send(wire::makeEnvelope(toWire(outgoing.Request)));
}

void QuotaExchange::sessionOpened(const adapterpeer::PeerSessionPtr &session) {
  const std::lock_guard lock(Mutex);
  Sessions[session->peer().Vm] = session;
}

void QuotaExchange::sessionLost(const adapterpeer::PeerSessionPtr &session) {
  const std::lock_guard lock(Mutex);
  const auto it = Sessions.find(session->peer().Vm);
  if (it != Sessions.end() && it->second == session)
    Sessions.erase(it);
}

void QuotaExchange::addMessage(const adapterpeer::PeerSessionPtr &session,
                               const wire::Envelope &message) {
  if (const auto *request = wire::payloadAs<fb::QuotaRequestT>(message))
    answer(session, *request, base::Incarnation{message.incarnation});
  else if (const auto *slice = wire::payloadAs<fb::QuotaSliceT>(message))
    applyAnswer(session->peer().Vm, *slice);
}

void QuotaExchange::answer(const adapterpeer::PeerSessionPtr &session,
                           const fb::QuotaRequestT &message,
                           base::Incarnation life) {
  std::optional<routing::QuotaAnswer> slice;
  {
    const std::lock_guard lock(Mutex);
    slice = Owner.answer(fromWire(message, session->peer().Vm, life),
                         steady_clock::now());
  }
  if (slice)
    session->send(wire::makeEnvelope(toWire(*slice)));
}

void QuotaExchange::applyAnswer(const base::VmId &owner,
                                const fb::QuotaSliceT &message) {
  routing::QuotaAnswer slice{owner, message.sequence, {}};
  for (const auto &it : message.parts)
    slice.Leases.push_back({base::AccountId{it->account}, it->tokens,
                            it->concurrency,
                            static_cast<routing::QuotaState>(it->state)});
  const std::lock_guard lock(Mutex);
  Limiter.applyAnswer(slice, steady_clock::now());
  ++SliceCount;
  SliceArrived.notify_all();
}

std::set<std::string> QuotaExchange::endpoints() const {
  const std::lock_guard lock(Mutex);
  const auto now = steady_clock::now();
  const bool isFew = EntryEndpoints.size() <= FewEntries;
  std::set<std::string> result;
  for (const auto &[vm, endpoint] : EntryEndpoints) {
    const auto used = OwnersUsedUntil.find(vm);
    const bool isUsed = used != OwnersUsedUntil.end() && now < used->second;
    if (vm != Self && (isFew || isUsed))
      result.insert(endpoint);
  }
  return result;
}

} // namespace bergamot::bergamotd
