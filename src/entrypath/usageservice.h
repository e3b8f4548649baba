#ifndef BERGAMOT_ENTRYPATH_USAGESERVICE_H
#define BERGAMOT_ENTRYPATH_USAGESERVICE_H

#include "entrypath/entry.h"
#include "entrypath/peerlink.h"
#include "entrypath/topicfollower.h"
#include "entrypath/usagebackend.h"
#include "libbergamotusage/clockestimate.h"
#include "libbergamotusage/usageledger.h"
#include "libbergamotusage/usagereporter.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bergamot::entrypath {

/// Settings of the usage reports.
struct UsageSettings {
  usage::UsageSource Source;
  usage::LedgerSettings Ledger;
  usage::ReporterSettings Reporter;
};

/// Counts the requests of client accounts at one entry and takes part in
/// reporting them. Every entry sends its counts to a few collectors, which are
/// the candidates for the duty of reporting and agree on them without messages:
/// they are the first running entries in an order that all entries compute. An
/// entry that can't hear the holder stores its counts in the platform's store
/// after each window instead, where the holder looks for missing ones.
class UsageService {
public:
  UsageService(boost::asio::io_context &loop, const UsageSettings &settings,
               Entry &entry, PeerLink &peers, const TopicFollower &store,
               std::unique_ptr<UsageBackend> backend);

  void start();
  /// Gives up the duty; counts are sent to the other entries until the process
  /// ends.
  void leave();

private:
  void tick();
  void onMessage(std::string_view bytes);
  void merge(const usage::UsageMessage &message);
  void sendMessages(base::TimePoint now);
  usage::UsageMessage makeMessage() const;
  std::set<std::string> collectors() const;
  void storeUsageIfUnheard(base::TimePoint now);
  void collectStoredUsage(base::TimePoint now);
  void act();
  void perform(const usage::ReadRecord &it);
  void perform(const usage::AppendRecord &it);
  void perform(const usage::SendReport &it);
  void logHolderChange();
  usage::ReporterSurroundings surroundings() const;
  unsigned candidatesBefore() const;

  UsageSettings Settings;
  Entry &Owner;
  PeerLink &Peers;
  /// A follower whose calls tell whether the store can be reached.
  const TopicFollower &Store;
  std::unique_ptr<UsageBackend> Backend;
  boost::asio::steady_timer Timer;
  usage::ClockEstimate Clock;
  usage::UsageLedger Ledger;
  usage::UsageReporter Reporter;
  base::PauseDetector Pauses;
  base::TimePoint NextCountsAt;
  base::TimePoint NextStatusAt;
  /// The entry that announced the duty last.
  std::string HolderName;
  /// The last windows for which this entry has stored its counts or, as holder,
  /// has read those of the others.
  usage::WindowNumber LastStored = 0;
  usage::WindowNumber LastCollected = 0;
  std::uint64_t LoggedToken = 0;
};

} // namespace bergamot::entrypath

#endif
