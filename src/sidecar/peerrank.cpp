#include "sidecar/peerrank.h"

#include "sidecar/rankcodec.h"

#include <algorithm>

namespace bergamot::sidecar {

using adaptertcp::CallResult;
using base::TimePoint;
using experts::OrderResult;
using Clock = std::chrono::steady_clock;

namespace {

/// Calls without an answer after which the engine is called directly, and how
/// long until the sidecar is tried again.
constexpr unsigned MaxFailures = 2;
constexpr std::chrono::milliseconds DirectTime{3000};
/// An engine answers calls from other machines some hundred milliseconds late.
constexpr std::chrono::milliseconds DirectTimeout{600};

TimePoint directDeadline(TimePoint deadline) {
  return std::max(deadline, Clock::now() + DirectTimeout);
}

} // namespace

PeerRank::PeerRank(boost::asio::io_context &loop,
                   const boost::asio::ip::tcp::endpoint &sidecar,
                   std::shared_ptr<RankPort> engine, std::uint32_t coordinator)
    : Loop(loop), Sidecar(sidecar), Engine(std::move(engine)),
      Coordinator(coordinator) {}

PeerRank::~PeerRank() {
  for (const auto &it : {Queries, CountQueries, Orders})
    if (it)
      it->cancel();
}

void PeerRank::call(Caller &caller, const char *path, const std::string &body,
                    TimePoint deadline,
                    adaptertcp::HttpCaller::Completion completion) {
  adaptertcp::RequestHead head;
  head.Method = body.empty() ? "GET" : "POST";
  head.Target =
      path + std::string(paths::ByParameter) + std::to_string(Coordinator);
  head.Headers.add("Host", "sidecar");
  adaptertcp::freeCaller(caller, Loop, Sidecar)
      ->call(head, body, deadline, std::move(completion));
}

bool PeerRank::isDirect() const { return Clock::now() < DirectUntil; }

void PeerRank::noteAnswer(const CallResult &result) {
  if (result.Result == CallResult::Outcome::Answered) {
    Failures = 0;
    return;
  }
  if (++Failures < MaxFailures)
    return;
  Failures = 0;
  DirectUntil = Clock::now() + DirectTime;
}

void PeerRank::fetchState(TimePoint deadline, StateCompletion done) {
  if (isDirect()) {
    Engine->fetchState(directDeadline(deadline), std::move(done));
    return;
  }
  call(Queries, paths::State, "", deadline,
       [this, alive = std::weak_ptr<int>(Alive),
        done = std::move(done)](const CallResult &it) {
         if (!alive.expired())
           noteAnswer(it);
         done(it.isStatus(200) ? decodeState(it.Body) : std::nullopt);
       });
}

void PeerRank::fetchCounts(TimePoint deadline, CountsCompletion done) {
  call(CountQueries, paths::Counts, "", deadline,
       [done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeCounts(it.Body) : std::nullopt);
       });
}

void PeerRank::fetchExperts(TimePoint deadline, ExpertsCompletion done) {
  if (isDirect()) {
    Engine->fetchExperts(directDeadline(deadline), std::move(done));
    return;
  }
  call(Queries, paths::Experts, "", deadline,
       [this, alive = std::weak_ptr<int>(Alive),
        done = std::move(done)](const CallResult &it) {
         if (!alive.expired())
           noteAnswer(it);
         done(it.isStatus(200) ? decodeExperts(it.Body) : std::nullopt);
       });
}

void PeerRank::sendOrder(const experts::RankOrder &order, TimePoint deadline,
                         OrderCompletion done) {
  const bool holds = order.Kind == experts::OrderKind::Hold ||
                     order.Kind == experts::OrderKind::Release;
  if (holds || isDirect()) {
    Engine->sendOrder(order, holds ? deadline : directDeadline(deadline),
                      std::move(done));
    return;
  }
  call(Orders, paths::Order, encodeOrder(order), deadline,
       [this, alive = std::weak_ptr<int>(Alive),
        done = std::move(done)](const CallResult &it) {
         if (!alive.expired())
           noteAnswer(it);
         const auto result =
             it.isStatus(200) ? decodeResult(it.Body) : std::nullopt;
         done(result.value_or(OrderResult::Unknown));
       });
}

} // namespace bergamot::sidecar
