#include "sidecar/batchrunner.h"

#include "sidecar/peerrankclient.h"

namespace bergamot::sidecar {

using base::TimePoint;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

/// A batch in progress.
struct BatchRunner::Run {
  explicit Run(boost::asio::io_context &loop) : Timer(loop) {}

  void setResponse(std::size_t i, const std::optional<std::string> &response) {
    if (!OnDone)
      return;
    Responses[i] = response;
    if (--Pending == 0)
      finish();
  }
  void finish() {
    Timer.cancel();
    if (MergesCounts)
      mergeCounts(Responses);
    std::exchange(OnDone, nullptr)(Responses);
  }

  boost::asio::steady_timer Timer;
  BatchResponses Responses;
  std::size_t Pending = 0;
  bool MergesCounts = false;
  BatchCompletion OnDone;
};

BatchRunner::~BatchRunner() {
  for (const auto &[key, caller] : Callers)
    caller->cancel();
}

void BatchRunner::run(const Batch &batch, BatchCompletion done) {
  const auto it = std::make_shared<Run>(Loop);
  it->Responses.resize(batch.Calls.size());
  it->Pending = batch.Calls.size();
  it->MergesCounts = batch.RequestTarget.starts_with(paths::Counts);
  it->OnDone = std::move(done);
  if (batch.Calls.empty()) {
    it->finish();
    return;
  }
  const TimePoint deadline = Clock::now() + batch.Timeout;
  it->Timer.expires_at(deadline);
  it->Timer.async_wait([it](const boost::system::error_code &ec) {
    if (!ec && it->OnDone)
      it->finish();
  });
  for (std::size_t i = 0; i < batch.Calls.size(); ++i) {
    const Batch::Call &call = batch.Calls[i];
    const std::string body =
        call.Body ? batch.Bodies[*call.Body] : std::string();
    const auto onResponse = [it,
                             i](const std::optional<std::string> &response) {
      it->setResponse(i, response);
    };
    if (call.MemberAddress == OwnAddress)
      CallOwnEngine(batch.RequestTarget, body, onResponse);
    else
      callMember(call.MemberAddress, batch.RequestTarget, body, deadline,
                 onResponse);
  }
}

void BatchRunner::callMember(const std::string &member,
                             const std::string &requestTarget,
                             const std::string &body, TimePoint deadline,
                             CallCompletion done) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(member, ec);
  if (ec) {
    done(std::nullopt);
    return;
  }
  const std::string path = requestTarget.substr(0, requestTarget.find('?'));
  callSidecar(adaptertcp::ensureIdleClient(Callers[path + ' ' + member], Loop,
                                           tcp::endpoint(address, Port)),
              requestTarget, body, deadline,
              [done = std::move(done)](const adaptertcp::CallResult &it) {
                done(it.isStatus(200) ? std::optional(it.Body) : std::nullopt);
              });
}

} // namespace bergamot::sidecar
