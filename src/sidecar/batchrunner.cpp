#include "sidecar/batchrunner.h"

#include "sidecar/peerrankclient.h"

namespace bergamot::sidecar {

using base::TimePoint;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

/// A batch in progress.
struct BatchRunner::Run {
  explicit Run(boost::asio::io_context &loop) : Timer(loop) {}

  void setAnswer(std::size_t i, const std::optional<std::string> &answer) {
    if (!OnDone)
      return;
    Answers[i] = answer;
    if (--Missing == 0)
      finish();
  }
  void finish() {
    Timer.cancel();
    if (MergesCounts)
      mergeCounts(Answers);
    std::exchange(OnDone, nullptr)(Answers);
  }

  boost::asio::steady_timer Timer;
  BatchAnswers Answers;
  std::size_t Missing = 0;
  bool MergesCounts = false;
  Done OnDone;
};

BatchRunner::~BatchRunner() {
  for (const auto &[key, caller] : Callers)
    caller->cancel();
}

void BatchRunner::run(const Batch &batch, Done done) {
  const auto it = std::make_shared<Run>(Loop);
  it->Answers.resize(batch.Calls.size());
  it->Missing = batch.Calls.size();
  it->MergesCounts = batch.Target.starts_with(paths::Counts);
  it->OnDone = std::move(done);
  if (batch.Calls.empty()) {
    it->finish();
    return;
  }
  const TimePoint deadline = Clock::now() + batch.Within;
  it->Timer.expires_at(deadline);
  it->Timer.async_wait([it](const boost::system::error_code &ec) {
    if (!ec && it->OnDone)
      it->finish();
  });
  for (std::size_t i = 0; i < batch.Calls.size(); ++i) {
    const Batch::Call &call = batch.Calls[i];
    const std::string body =
        call.Body ? batch.Bodies[*call.Body] : std::string();
    const auto answered = [it, i](const std::optional<std::string> &answer) {
      it->setAnswer(i, answer);
    };
    if (call.Member == OwnAddress)
      CallOwn(batch.Target, body, answered);
    else
      callMember(call.Member, batch.Target, body, deadline, answered);
  }
}

void BatchRunner::callMember(const std::string &member,
                             const std::string &target, const std::string &body,
                             TimePoint deadline, Completion done) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(member, ec);
  if (ec) {
    done(std::nullopt);
    return;
  }
  const std::string path = target.substr(0, target.find('?'));
  callSidecar(adaptertcp::freeCaller(Callers[path + ' ' + member], Loop,
                                     tcp::endpoint(address, Port)),
              target, body, deadline,
              [done = std::move(done)](const adaptertcp::CallResult &it) {
                done(it.isStatus(200) ? std::optional(it.Body) : std::nullopt);
              });
}

} // namespace bergamot::sidecar
