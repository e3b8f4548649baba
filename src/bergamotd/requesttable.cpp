#include "bergamotd/requesttable.h"

#include <utility>

namespace bergamot::bergamotd {

void RequestTable::add(const base::RequestId &request,
                       base::AttemptNumber attempt,
                       const adapterpeer::PeerSessionPtr &session,
                       StreamPtr stream) {
  const std::lock_guard lock(Mutex);
  WaitingByRequest[request] = {attempt, session, std::move(stream)};
}

void RequestTable::remove(const base::RequestId &request) {
  const std::lock_guard lock(Mutex);
  WaitingByRequest.erase(request);
}

bool RequestTable::addMessage(const adapterpeer::PeerSessionPtr &session,
                              const wire::Envelope &message) {
  StreamPtr stream;
  {
    const std::lock_guard lock(Mutex);
    const auto it = WaitingByRequest.find(base::RequestId{message.request});
    if (it == WaitingByRequest.end() ||
        it->second.Attempt.Value != message.attempt ||
        it->second.Session != session)
      return false;
    stream = it->second.Stream;
  }
  stream->addMessage(message);
  return true;
}

void RequestTable::sessionLost(const adapterpeer::PeerSessionPtr &session,
                               const std::string &detail) {
  std::vector<StreamPtr> lost;
  {
    const std::lock_guard lock(Mutex);
    for (const auto &[request, waiting] : WaitingByRequest)
      if (waiting.Session == session)
        lost.push_back(waiting.Stream);
  }
  for (const auto &stream : lost)
    stream->addFailure({Executed::Unknown, "connect", detail});
}

std::size_t RequestTable::size() const {
  const std::lock_guard lock(Mutex);
  return WaitingByRequest.size();
}

} // namespace bergamot::bergamotd
