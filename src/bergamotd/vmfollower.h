#ifndef BERGAMOT_BERGAMOTD_VMFOLLOWER_H
#define BERGAMOT_BERGAMOTD_VMFOLLOWER_H

#include "adapterpeer/peersession.h"
#include "adapterplatform/vmlist.h"
#include "libbergamotstate/membership.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamot::bergamotd {

/// Keeps the membership view up to date from the platform's VM list and from
/// heartbeats. Thread-safe.
class VmFollower {
public:
  explicit VmFollower(const std::string &platformEndpoint);
  ~VmFollower();
  VmFollower(const VmFollower &) = delete;
  VmFollower &operator=(const VmFollower &) = delete;

  /// Starts the thread that reads the list, once.
  void start();

  /// Takes a heartbeat of a peer.
  void addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  /// Returns whether new work may go to the VM as far as list and statements
  /// say. Without any list, every VM is usable.
  bool isUsable(const base::VmId &vm) const;

  /// Returns the incarnations that ended since the last call.
  std::vector<state::EndedIncarnation> takeEndedIncarnations();

private:
  void run();
  void readList();

  adapterplatform::HttpVmList List;
  mutable std::mutex Mutex;
  state::Membership View;
  bool HasList = false;
  bool IsStopping = false;
  std::condition_variable StopChanged;
  std::thread Reader;
};

} // namespace bergamot::bergamotd

#endif
