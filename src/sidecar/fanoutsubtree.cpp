#include "sidecar/fanoutsubtree.h"

#include "sidecar/peerrankclient.h"

#include <algorithm>
#include <cmath>

namespace bergamot::sidecar {

using adaptertcp::CallResult;
using base::TimePoint;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t MinRelayedGroupSize = 20;
/// Fraction of a call's time limit that the relay may use, so that it can still
/// send the responses of the other members if one doesn't respond.
constexpr double RelayTimeFraction = 0.75;

} // namespace

std::size_t subtreeSize(std::size_t groupSize) {
  if (groupSize < MinRelayedGroupSize)
    return 1;
  return static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(groupSize))));
}

FanoutSubtree::FanoutSubtree(boost::asio::io_context &loop, std::uint16_t port,
                             std::vector<std::string> members)
    : Loop(loop), Port(port), Members(std::move(members)) {}

FanoutSubtree::~FanoutSubtree() {
  for (const auto &[key, caller] : Callers)
    caller->cancel();
}

void FanoutSubtree::call(const std::string &member,
                         const std::string &requestTarget,
                         const std::string &body, TimePoint deadline,
                         Completion completion) {
  if (Queued.empty())
    boost::asio::post(Loop, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self)
        return;
      for (auto &[key, calls] : std::exchange(self->Queued, {}))
        self->sendQueued(key, std::move(calls));
    });
  Queued[requestTarget].push_back(
      {member, body, deadline, std::move(completion)});
}

void FanoutSubtree::sendQueued(const std::string &requestTarget, Calls calls) {
  if (calls.size() > 1) {
    sendBatch(requestTarget, std::move(calls));
    return;
  }
  QueuedCall &it = calls.front();
  callSidecar(callerTo(requestTarget, it.MemberAddress), requestTarget, it.Body,
              it.Deadline, std::move(it.OnDone));
}

void FanoutSubtree::sendBatch(const std::string &requestTarget, Calls calls) {
  Batch batch;
  batch.RequestTarget = requestTarget;
  TimePoint deadline = calls.front().Deadline;
  for (const auto &it : calls) {
    Batch::Call call{it.MemberAddress, std::nullopt};
    if (!it.Body.empty()) {
      const auto body =
          std::find(batch.Bodies.begin(), batch.Bodies.end(), it.Body);
      call.Body = static_cast<std::uint32_t>(body - batch.Bodies.begin());
      if (body == batch.Bodies.end())
        batch.Bodies.push_back(it.Body);
    }
    batch.Calls.push_back(std::move(call));
    deadline = std::max(deadline, it.Deadline);
  }
  batch.Timeout = std::chrono::milliseconds(static_cast<std::int64_t>(
      RelayTimeFraction *
      static_cast<double>(base::wholeMilliseconds(deadline - Clock::now()))));
  const std::size_t relay = RelayIndex;
  callSidecar(callerTo(requestTarget, Members[relay]),
              batchRequestTarget(requestTarget), encodeBatch(batch), deadline,
              [weak = weak_from_this(), relay,
               calls = std::move(calls)](const CallResult &it) {
                const auto responses = it.isStatus(200)
                                           ? decodeResponses(it.Body)
                                           : std::optional<BatchResponses>();
                const bool isComplete =
                    responses && responses->size() == calls.size();
                const auto self = weak.lock();
                if (!isComplete && self && self->RelayIndex == relay)
                  self->RelayIndex = (relay + 1) % self->Members.size();
                for (std::size_t i = 0; i < calls.size(); ++i) {
                  CallResult result;
                  result.Result = CallResult::Outcome::Unknown;
                  if (isComplete && (*responses)[i]) {
                    result.Result = CallResult::Outcome::Answered;
                    result.Head.Status = 200;
                    result.Body = *(*responses)[i];
                  }
                  calls[i].OnDone(result);
                }
              });
}

adaptertcp::AsyncHttpClient &
FanoutSubtree::callerTo(const std::string &requestTarget,
                        const std::string &member) {
  const std::string path = requestTarget.substr(0, requestTarget.find('?'));
  return *adaptertcp::ensureIdleClient(
      Callers[path + ' ' + member], Loop,
      {boost::asio::ip::make_address(member), Port});
}

} // namespace bergamot::sidecar
