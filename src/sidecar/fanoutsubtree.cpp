#include "sidecar/fanoutsubtree.h"

#include "sidecar/peerrankclient.h"

#include <algorithm>
#include <cmath>

namespace bergamot::sidecar {

using adaptertcp::CallResult;
using base::TimePoint;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t MinBranchedGroup = 20;
/// Part of a call's time that the head may use, so that it can still answer for
/// the other members if one is silent.
constexpr double HeadPart = 0.75;

} // namespace

std::size_t branchSize(std::size_t groupSize) {
  if (groupSize < MinBranchedGroup)
    return 1;
  return static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(groupSize))));
}

Branch::Branch(boost::asio::io_context &loop, std::uint16_t port,
               std::vector<std::string> members)
    : Loop(loop), Port(port), Members(std::move(members)) {}

Branch::~Branch() {
  for (const auto &[key, caller] : Callers)
    caller->cancel();
}

void Branch::call(const std::string &member, const std::string &target,
                  const std::string &body, TimePoint deadline,
                  Completion completion) {
  if (Collected.empty())
    boost::asio::post(Loop, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self)
        return;
      for (auto &[key, calls] : std::exchange(self->Collected, {}))
        self->send(key, std::move(calls));
    });
  Collected[target].push_back({member, body, deadline, std::move(completion)});
}

void Branch::send(const std::string &target, Calls calls) {
  if (calls.size() > 1) {
    sendBatch(target, std::move(calls));
    return;
  }
  Waiting &it = calls.front();
  callSidecar(callerTo(target, it.Member), target, it.Body, it.Deadline,
              std::move(it.OnDone));
}

void Branch::sendBatch(const std::string &target, Calls calls) {
  Batch batch;
  batch.Target = target;
  TimePoint deadline = calls.front().Deadline;
  for (const auto &it : calls) {
    Batch::Call call{it.Member, std::nullopt};
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
  batch.Within = std::chrono::milliseconds(static_cast<std::int64_t>(
      HeadPart *
      static_cast<double>(base::wholeMilliseconds(deadline - Clock::now()))));
  const std::size_t head = Head;
  callSidecar(callerTo(target, Members[head]), batchTarget(target),
              encodeBatch(batch), deadline,
              [weak = weak_from_this(), head,
               calls = std::move(calls)](const CallResult &it) {
                const auto answers = it.isStatus(200)
                                         ? decodeAnswers(it.Body)
                                         : std::optional<BatchAnswers>();
                const bool whole = answers && answers->size() == calls.size();
                const auto self = weak.lock();
                if (!whole && self && self->Head == head)
                  self->Head = (head + 1) % self->Members.size();
                for (std::size_t i = 0; i < calls.size(); ++i) {
                  CallResult one;
                  one.Result = CallResult::Outcome::Unknown;
                  if (whole && (*answers)[i]) {
                    one.Result = CallResult::Outcome::Answered;
                    one.Head.Status = 200;
                    one.Body = *(*answers)[i];
                  }
                  calls[i].OnDone(one);
                }
              });
}

adaptertcp::HttpCaller &Branch::callerTo(const std::string &target,
                                         const std::string &member) {
  const std::string path = target.substr(0, target.find('?'));
  return *adaptertcp::freeCaller(Callers[path + ' ' + member], Loop,
                                 {boost::asio::ip::make_address(member), Port});
}

} // namespace bergamot::sidecar
