#include "bergamotd/vmfollower.h"

#include "libbergamotbase/error.h"

namespace bergamot::bergamotd {

using std::chrono::steady_clock;

namespace {

/// A leaving VM gets no new work after 2 s, of which the list's own lag and
/// one interval are part.
constexpr std::chrono::milliseconds ReadInterval{500};
constexpr std::chrono::milliseconds ReadTimeout{1000};

} // namespace

VmFollower::VmFollower(const std::string &platformEndpoint)
    : List(platformEndpoint) {}

VmFollower::~VmFollower() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  if (Reader.joinable())
    Reader.join();
}

void VmFollower::start() {
  const std::lock_guard lock(Mutex);
  if (!Reader.joinable())
    Reader = std::thread([this] { run(); });
}

void VmFollower::run() {
  for (;;) {
    readList();
    std::unique_lock lock(Mutex);
    StopChanged.wait_for(lock, ReadInterval, [this] { return IsStopping; });
    if (IsStopping)
      return;
  }
}

void VmFollower::readList() {
  try {
    const auto listing = List.read(steady_clock::now() + ReadTimeout);
    std::vector<state::ListedVm> vms;
    for (const auto &it : listing.Vms)
      vms.push_back({it.Id, it.Address, it.FailureDomain, it.Leaving});
    const std::lock_guard lock(Mutex);
    if (View.setVmList(vms, listing.Time, steady_clock::now()))
      HasList = true;
  } catch (const base::Error &) {
    // The last view is kept: the absence of the list removes no VM.
  }
}

void VmFollower::addMessage(const adapterpeer::PeerSessionPtr &session,
                            const wire::Envelope &message) {
  const auto *heartbeat = wire::payloadAs<wire::fb::HeartbeatT>(message);
  if (heartbeat == nullptr)
    return;
  state::MemberAnnouncement statement;
  statement.Vm = session->peer().Vm;
  statement.Incarnation = session->peer().Incarnation;
  statement.Revision = heartbeat->draining ? 1 : 0;
  statement.Draining = heartbeat->draining;
  const std::lock_guard lock(Mutex);
  View.addHeartbeat(statement, heartbeat->sequence, steady_clock::now());
}

bool VmFollower::isUsable(const base::VmId &vm) const {
  const std::lock_guard lock(Mutex);
  if (!HasList)
    return true;
  // Sessions and heartbeats tell reachability to the selector by themselves.
  const auto state = View.state(vm, steady_clock::now());
  return state == state::MemberState::Usable ||
         state == state::MemberState::Unreachable;
}

std::vector<state::EndedIncarnation> VmFollower::takeEndedIncarnations() {
  const std::lock_guard lock(Mutex);
  return View.takeEndedIncarnations();
}

} // namespace bergamot::bergamotd
