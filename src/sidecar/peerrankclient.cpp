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

/// Consecutive calls without a response after which the sidecar is bypassed,
/// and for how long.
constexpr unsigned MaxFailures = 2;
constexpr std::chrono::milliseconds BypassTime{3000};
/// An engine takes some hundred milliseconds to respond to calls from another
/// VM.
constexpr std::chrono::milliseconds DirectCallTimeout{600};
/// Fraction of the time until the deadline after which the sidecar responds
/// even if the copy isn't complete.
constexpr double WaitFraction = 0.6;
/// Wait times are rounded down to a multiple of this, because the calls of one
/// batch share their query parameters.
constexpr std::chrono::milliseconds WaitGranularity{50};

TimePoint directCallDeadline(TimePoint deadline) {
  return std::max(deadline, Clock::now() + DirectCallTimeout);
}

} // namespace

std::string batchRequestTarget(const std::string &requestTarget) {
  const std::size_t pos = requestTarget.find('?');
  return paths::Batch +
         (pos == std::string::npos ? "" : requestTarget.substr(pos));
}

std::optional<std::uint64_t> numberParameter(const std::string &requestTarget,
                                             const std::string &name) {
  std::size_t pos = requestTarget.find('?');
  while (pos != std::string::npos) {
    const std::size_t next = requestTarget.find('&', pos + 1);
    const std::string_view parameter(
        std::string_view(requestTarget).substr(pos + 1, next - pos - 1));
    if (parameter.starts_with(name + '=')) {
      const std::string_view text = parameter.substr(name.size() + 1);
      std::uint64_t number = 0;
      const auto [end, ec] =
          std::from_chars(text.data(), text.data() + text.size(), number);
      if (ec == std::errc() && end == text.data() + text.size())
        return number;
      return std::nullopt;
    }
    pos = next;
  }
  return std::nullopt;
}

void callSidecar(adaptertcp::AsyncHttpClient &caller,
                 const std::string &requestTarget, const std::string &body,
                 TimePoint deadline,
                 adaptertcp::AsyncHttpClient::Completion completion) {
  adaptertcp::RequestHead head;
  head.Method = body.empty() ? "GET" : "POST";
  head.Target = requestTarget;
  head.Headers.add("Host", "sidecar");
  caller.call(head, body, deadline, std::move(completion));
}

PeerRankClient::PeerRankClient(std::shared_ptr<FanoutSubtree> subtree,
                               std::string address,
                               std::shared_ptr<RankClient> engine,
                               std::uint32_t coordinatorRank)
    : Subtree(std::move(subtree)), Address(std::move(address)),
      Engine(std::move(engine)), CoordinatorRank(coordinatorRank) {}

void PeerRankClient::call(const std::string &path,
                          const std::string &parameters,
                          const std::string &body, TimePoint deadline,
                          adaptertcp::AsyncHttpClient::Completion completion) {
  const std::string requestTarget = path + '?' + paths::CoordinatorParameter +
                                    '=' + std::to_string(CoordinatorRank) +
                                    parameters;
  Subtree->call(Address, requestTarget, body, deadline, std::move(completion));
}

adaptertcp::AsyncHttpClient::Completion PeerRankClient::withResponseTracking(
    adaptertcp::AsyncHttpClient::Completion completion) {
  return [this, alive = std::weak_ptr<int>(Alive),
          completion = std::move(completion)](const CallResult &it) {
    if (!alive.expired())
      recordResponse(it);
    completion(it);
  };
}

bool PeerRankClient::bypassesSidecar() const {
  return Clock::now() < BypassUntil;
}

void PeerRankClient::recordResponse(const CallResult &result) {
  if (result.Result == CallResult::Outcome::Answered) {
    ConsecutiveFailures = 0;
    return;
  }
  if (++ConsecutiveFailures < MaxFailures)
    return;
  ConsecutiveFailures = 0;
  BypassUntil = Clock::now() + BypassTime;
}

void PeerRankClient::fetchState(const char *path, const std::string &parameters,
                                TimePoint deadline, StateCompletion done) {
  if (bypassesSidecar()) {
    Engine->fetchState(directCallDeadline(deadline), std::move(done));
    return;
  }
  call(path, parameters, "", deadline,
       withResponseTracking([done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeState(it.Body) : std::nullopt);
       }));
}

void PeerRankClient::fetchState(TimePoint deadline, StateCompletion done) {
  fetchState(paths::State, "", deadline, std::move(done));
}

void PeerRankClient::awaitCopies(std::uint64_t version, TimePoint deadline,
                                 StateCompletion done) {
  const auto waitMs =
      static_cast<std::int64_t>(WaitFraction *
                                static_cast<double>(base::wholeMilliseconds(
                                    deadline - Clock::now()))) /
      WaitGranularity.count() * WaitGranularity.count();
  std::string parameters;
  for (const auto &[name, value] :
       {std::pair(paths::VersionParameter, std::to_string(version)),
        std::pair(paths::TimeoutParameter, std::to_string(waitMs))})
    parameters.append("&").append(name).append("=").append(value);
  fetchState(paths::AwaitCopies, parameters, deadline, std::move(done));
}

void PeerRankClient::fetchCounts(TimePoint deadline, CountsCompletion done) {
  call(paths::Counts, "", "", deadline,
       [done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeCounts(it.Body) : std::nullopt);
       });
}

void PeerRankClient::fetchExpertIds(TimePoint deadline,
                                    ExpertIdsCompletion done) {
  if (bypassesSidecar()) {
    Engine->fetchExpertIds(directCallDeadline(deadline), std::move(done));
    return;
  }
  call(paths::ExpertIds, "", "", deadline,
       withResponseTracking([done = std::move(done)](const CallResult &it) {
         done(it.isStatus(200) ? decodeExpertIds(it.Body) : std::nullopt);
       }));
}

void PeerRankClient::sendOrder(const experts::RankOrder &order,
                               TimePoint deadline, OrderCompletion done) {
  const bool isHoldOrRelease = order.Kind == experts::OrderKind::Hold ||
                               order.Kind == experts::OrderKind::Release;
  if (isHoldOrRelease || bypassesSidecar()) {
    sendWithRetries(Subtree->loop(), Engine, order,
                    isHoldOrRelease ? deadline : directCallDeadline(deadline),
                    std::move(done));
    return;
  }
  call(paths::Order, "", encodeOrder(order), deadline,
       withResponseTracking([done = std::move(done)](const CallResult &it) {
         const auto result =
             it.isStatus(200) ? decodeResult(it.Body) : std::nullopt;
         done(result.value_or(OrderResult::Unknown));
       }));
}

} // namespace bergamot::sidecar
