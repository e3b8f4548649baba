#ifndef BERGAMOT_BERGAMOTD_QUOTAEXCHANGE_H
#define BERGAMOT_BERGAMOTD_QUOTAEXCHANGE_H

#include "adapterpeer/peersession.h"
#include "bergamotd/activeconfig.h"
#include "libbergamotrouting/accountlimiter.h"
#include "libbergamotrouting/quotaowner.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace bergamot::bergamotd {

/// Applies the accounts' limits at an entry and exchanges slices of quota
/// with the other entries. Thread-safe.
class QuotaExchange {
public:
  QuotaExchange(const base::VmId &self, base::Incarnation life);
  ~QuotaExchange();

  /// Takes the accounts and entries of a configuration.
  void applyConfig(const ActiveConfigPtr &active);

  /// Takes one place and one unit of rate of the account; waits for a slice
  /// if none is held. Throws ProblemError with status 429 if a limit is
  /// reached, or if no slice came before the deadline.
  void admit(const base::AccountId &account, base::TimePoint deadline);

  /// Gives the place of an admitted call back.
  void setFinished(const base::AccountId &account);

  void sessionOpened(const adapterpeer::PeerSessionPtr &session);
  void sessionLost(const adapterpeer::PeerSessionPtr &session);

  /// Takes a request or slice of another entry.
  void addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  /// Returns the endpoints of the entries to stay connected to: all if there
  /// are few, else those that own an account in use here.
  std::set<std::string> endpoints() const;

private:
  using Lock = std::unique_lock<std::mutex>;

  void exchangeLoop();
  void sendDue(base::TimePoint now);
  void send(const routing::OutgoingQuotaRequest &outgoing, base::TimePoint now);
  void answer(const adapterpeer::PeerSessionPtr &session,
              const wire::fb::QuotaRequestT &message, base::Incarnation life);
  void applyAnswer(const base::VmId &owner,
                   const wire::fb::QuotaSliceT &message);

  const base::VmId Self;
  const base::Incarnation Life;

  mutable std::mutex Mutex;
  std::condition_variable SliceArrived;
  std::uint64_t SliceCount = 0;
  routing::AccountLimiter Limiter;
  routing::QuotaOwner Owner;
  std::map<base::VmId, std::string> EntryEndpoints;
  std::map<base::VmId, base::TimePoint> OwnersUsedUntil;
  std::map<base::VmId, adapterpeer::PeerSessionPtr> Sessions;
  bool IsStopping = false;
  std::condition_variable StopChanged;
  std::thread Exchanger;
};

} // namespace bergamot::bergamotd

#endif
