#include "sidecar/peerrankclient.h"

#include "sidecar/orderretry.h"
#include "sidecar/rankcodec.h"

#include <algorithm>
#include <charconv>

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
/// Part of a wait for copies after which the sidecar answers in any case.
constexpr double AnswerPart = 0.6;
/// Waits are rounded to it, since calls of one batch have the same parameters.
constexpr std::chrono::milliseconds WaitUnit{50};

TimePoint directDeadline(TimePoint deadline) {
  return std::max(deadline, Clock::now() + DirectTimeout);
}

} // namespace

std::string batchTarget(const std::string &target) {
  const std::size_t at = target.find('?');
  return paths::Batch + (at == std::string::npos ? "" : target.substr(at));
}

std::optional<std::uint64_t> numberParameter(const std::string &target,
                                             const std::string &name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string_view parameter(
        std::string_view(target).substr(at + 1, next - at - 1));
    if (parameter.starts_with(name + '=')) {
      const std::string_view text = parameter.substr(name.size() + 1);
      std::uint64_t number = 0;
      const auto [end, ec] =
          std::from_chars(text.data(), text.data() + text.size(), number);
      if (ec == std::errc() && end == text.data() + text.size())
        return number;
      return std::nullopt;
    }
    at = next;
  }
  return std::nullopt;
}

void callSidecar(adaptertcp::HttpCaller &caller, const std::string &target,
                 const std::string &body, TimePoint deadline,
                 adaptertcp::HttpCaller::Completion completion) {
  adaptertcp::RequestHead head;
  head.Method = body.empty() ? "GET" : "POST";
  head.Target = target;
  head.Headers.add("Host", "sidecar");
  caller.call(head, body, deadline, std::move(completion));
}

PeerRank::PeerRank(std::shared_ptr<Branch> branch, std::string address,
                   std::shared_ptr<RankPort> engine, std::uint32_t coordinator)
    : Members(std::move(branch)), Address(std::move(address)),
      Engine(std::move(engine)), Coordinator(coordinator) {}

void PeerRank::call(const std::string &path, const std::string &parameters,
                    const std::string &body, TimePoint deadline,
                    adaptertcp::HttpCaller::Completion completion) {
  const std::string target = path + '?' + paths::ByParameter + '=' +
                             std::to_string(Coordinator) + parameters;
  Members->call(Address, target, body, deadline, std::move(completion));
}

/// Returns a completion that also notes whether the sidecar answers.
adaptertcp::HttpCaller::Completion
PeerRank::noted(adaptertcp::HttpCaller::Completion completion) {
  return [this, alive = std::weak_ptr<int>(Alive),
          completion = std::move(completion)](const CallResult &it) {
    if (!alive.expired())
      noteAnswer(it);
    completion(it);
  };
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

void PeerRank::fetchState(const char *path, const std::string &parameters,
                          TimePoint deadline, StateCompletion done) {
  if (isDirect()) {
    Engine->fetchState(directDeadline(deadline), std::move(done));
    return;
  }
  call(path, parameters, "", deadline,
       noted([done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeState(it.Body) : std::nullopt);
       }));
}

void PeerRank::fetchState(TimePoint deadline, StateCompletion done) {
  fetchState(paths::State, "", deadline, std::move(done));
}

void PeerRank::awaitCopies(std::uint64_t version, TimePoint deadline,
                           StateCompletion done) {
  const auto within =
      static_cast<std::int64_t>(
          AnswerPart * static_cast<double>(
                           base::wholeMilliseconds(deadline - Clock::now()))) /
      WaitUnit.count() * WaitUnit.count();
  std::string parameters;
  for (const auto &[name, value] :
       {std::pair(paths::VersionParameter, std::to_string(version)),
        std::pair(paths::WithinParameter, std::to_string(within))})
    parameters.append("&").append(name).append("=").append(value);
  fetchState(paths::Copies, parameters, deadline, std::move(done));
}

void PeerRank::fetchCounts(TimePoint deadline, CountsCompletion done) {
  call(paths::Counts, "", "", deadline,
       [done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeCounts(it.Body) : std::nullopt);
       });
}

void PeerRank::fetchExperts(TimePoint deadline, ExpertsCompletion done) {
  if (isDirect()) {
    Engine->fetchExperts(directDeadline(deadline), std::move(done));
    return;
  }
  call(paths::Experts, "", "", deadline,
       noted([done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeExperts(it.Body) : std::nullopt);
       }));
}

void PeerRank::sendOrder(const experts::RankOrder &order, TimePoint deadline,
                         OrderCompletion done) {
  const bool holds = order.Kind == experts::OrderKind::Hold ||
                     order.Kind == experts::OrderKind::Release;
  if (holds || isDirect()) {
    sendRepeatedly(Members->loop(), Engine, order,
                   holds ? deadline : directDeadline(deadline),
                   std::move(done));
    return;
  }
  call(paths::Order, "", encodeOrder(order), deadline,
       noted([done = std::move(done)](const CallResult &it) {
         const auto result =
             it.isStatus(200) ? decodeResult(it.Body) : std::nullopt;
         done(result.value_or(OrderResult::Unknown));
       }));
}

} // namespace bergamot::sidecar
