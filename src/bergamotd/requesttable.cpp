#include "bergamotd/requesttable.h"

#include <utility>

namespace bergamot::bergamotd {

void RequestTable::add(const base::RequestId &request,
                       base::AttemptNumber attempt,
                       const adapterpeer::PeerSessionPtr &session,
                       ChannelPtr channel) {
  const std::lock_guard lock(Mutex);
  WaitingByRequest[request] = {attempt, session, std::move(channel)};
}

void RequestTable::remove(const base::RequestId &request) {
  const std::lock_guard lock(Mutex);
  WaitingByRequest.erase(request);
}

bool RequestTable::addMessage(const adapterpeer::PeerSessionPtr &session,
                              const wire::Envelope &message) {
  ChannelPtr channel;
  {
    const std::lock_guard lock(Mutex);
    const auto it = WaitingByRequest.find(base::RequestId{message.request});
    if (it == WaitingByRequest.end() ||
        it->second.Attempt.Value != message.attempt ||
        it->second.Session != session)
      return false;
    channel = it->second.Channel;
  }
  return channel->addMessage(message);
}

void RequestTable::sessionLost(const adapterpeer::PeerSessionPtr &session,
                               const std::string &detail) {
  std::vector<ChannelPtr> lost;
  {
    const std::lock_guard lock(Mutex);
    for (const auto &[request, waiting] : WaitingByRequest)
      if (waiting.Session == session)
        lost.push_back(waiting.Channel);
  }
  for (const auto &channel : lost)
    channel->addFailure({Executed::Unknown, "connect", detail});
}

std::size_t RequestTable::size() const {
  const std::lock_guard lock(Mutex);
  return WaitingByRequest.size();
}

} // namespace bergamot::bergamotd
