#ifndef BERGAMOT_BERGAMOTD_REQUESTTABLE_H
#define BERGAMOT_BERGAMOTD_REQUESTTABLE_H

#include "adapterpeer/peersession.h"
#include "bergamotd/answerstream.h"
#include "libbergamotbase/ids.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace bergamot::bergamotd {

/// The attempts that wait for an answer, by request id. A message is passed
/// on only if request, attempt and session are those of the waiting attempt.
/// Thread-safe. Lock order: Mutex before the lock of AnswerMemory.
class RequestTable {
public:
  using StreamPtr = std::shared_ptr<AnswerStream>;

  /// Registers an attempt before it is sent.
  void add(const base::RequestId &request, base::AttemptNumber attempt,
           const adapterpeer::PeerSessionPtr &session, StreamPtr stream);

  /// Removes the request's attempt.
  void remove(const base::RequestId &request);

  /// Passes a message to its attempt. Returns false if no attempt waits for
  /// it, e.g. because the message is late.
  bool addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  /// Ends all attempts on a lost session. Whether they were executed is
  /// unknown.
  void sessionLost(const adapterpeer::PeerSessionPtr &session,
                   const std::string &detail);

  /// Returns how many attempts wait.
  std::size_t size() const;

private:
  struct Waiting {
    base::AttemptNumber Attempt;
    adapterpeer::PeerSessionPtr Session;
    StreamPtr Stream;
  };

  mutable std::mutex Mutex;
  std::unordered_map<base::RequestId, Waiting> WaitingByRequest;
};

} // namespace bergamot::bergamotd

#endif
