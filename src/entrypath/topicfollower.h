#ifndef BERGAMOT_ENTRYPATH_TOPICFOLLOWER_H
#define BERGAMOT_ENTRYPATH_TOPICFOLLOWER_H

#include "entrypath/compactedtopic.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotgateway/targetdirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamot::entrypath {

/// Settings of a TopicFollower.
struct FollowerSettings {
  std::string Topic;
  /// Time that the store may wait for new records before it answers a read. A
  /// read fails if nothing arrives within this time plus ReadTimeoutMargin.
  std::chrono::milliseconds PollTimeout{2000};
  std::chrono::milliseconds ReadTimeoutMargin{700};
  /// Delay between reads, for a topic that changes continuously.
  std::chrono::milliseconds PollInterval{0};
  /// Delay after a failed read; doubles with each further failure up to
  /// MaxRetryDelay. The platform bills every call to the store, including
  /// failed ones.
  std::chrono::milliseconds RetryDelay{150};
  std::chrono::milliseconds MaxRetryDelay{600};
  /// Period of full reads, which correct the state if a change was missed.
  std::chrono::milliseconds FullReadPeriod{15000};
};

/// Maintains the newest record of each key of a topic. Follows the store by
/// long polling, and accepts records from other entries while the store is
/// unreachable. A record takes effect only if its position is higher than that
/// of the key's current record, so no source can revert a key to an older
/// state.
///
/// After the store has been restored from an older copy, the topic is read in
/// full. Its owners write again what the copy lacks, so keys that are missing
/// are removed only if they still are after a grace period.
class TopicFollower {
public:
  /// Called for each change with the key and its value; the value is nullopt if
  /// the key was removed.
  using ChangeHandler = std::function<void(
      const std::string &key, const std::optional<std::string> &value)>;

  TopicFollower(boost::asio::io_context &loop, FollowerSettings settings,
                std::unique_ptr<CompactedTopic> log, ChangeHandler change);

  void start();
  /// Cancels any read in progress and reads all records over a new connection.
  /// Calls `done` once that has succeeded.
  void reload(std::function<void()> done);
  /// Sets the function that is called when a read shows that the store has been
  /// restored from an older copy: what this process has written may be gone.
  void setRestoredHandler(std::function<void()> handler) {
    OnRestored = std::move(handler);
  }
  /// Applies records that another entry has read from the store. `end` is the
  /// position up to which it has read. Ignored if it has read an earlier era
  /// than this follower.
  void addPeerRecords(const std::vector<TopicRecord> &records,
                      TopicPosition end);

  /// Returns the newest records at or after `from`, including those of removed
  /// keys, for another entry.
  std::vector<TopicRecord> recordsFrom(TopicPosition from) const;
  /// Returns the position up to which this follower has read the topic.
  TopicPosition end() const { return End; }
  /// Returns whether a full read has succeeded at this entry or at a peer.
  bool isLoaded() const { return Loaded; }
  /// Returns whether the last read from the store succeeded.
  bool isStoreReachable() const { return Reachable; }
  /// Returns what a removal that is being applied says about its target. For
  /// use by the ChangeHandler.
  gateway::RecordRemoval removal() const;
  /// Returns whether the store was restored from an older copy so recently that
  /// records may be missing or older than the ones before.
  bool isInRestoreGrace() const;
  const std::string &topic() const { return Settings.Topic; }

private:
  bool wasStoreReachable() const;
  void readNewestPage(const std::string &afterKey);
  void onNewestPage(const ReadResult &page);
  void readNext();
  void onRead(const ReadResult &page);
  void scheduleRead(std::chrono::milliseconds delay);
  void setReachable(bool reachable);
  bool isOutdated(const ReadResult &page) const;
  std::uint64_t eraOf(const ReadResult &page) const;
  void onNewEra(std::uint64_t era);
  void scheduleRetry();
  void apply(const TopicRecord &record);
  void removeMissing();

  boost::asio::io_context &Loop;
  FollowerSettings Settings;
  std::unique_ptr<CompactedTopic> Log;
  ChangeHandler OnChange;
  boost::asio::steady_timer Timer;
  std::map<std::string, TopicRecord> Records;
  /// State of a full read. Records may change while the pages are read, so
  /// changes are then read from the end that the first page stated. `SeenKeys`
  /// holds the keys of the pages read so far; its values are unused.
  std::map<std::string, bool> SeenKeys;
  std::optional<TopicPosition> FirstTopicEnd;
  TopicPosition End;
  /// Keys may be missing until this time, since their owners write them again
  /// after a restoration.
  base::TimePoint RestoreGraceUntil;
  base::TimePoint NextFullReadAt;
  /// When the read in progress and the last successful one were started.
  base::TimePoint ReadStartedAt;
  base::TimePoint ConfirmedAt;
  base::TimePoint ReachableSince;
  /// Records may have expired in an outage until this time.
  base::TimePoint RecentOutageUntil;
  bool Loaded = false;
  bool Reachable = false;
  std::chrono::milliseconds NextRetryDelay{0};
  bool NeedsFullRead = true;
  std::function<void()> OnReloaded;
  std::function<void()> OnRestored;
  /// Incremented by reload(), so that a timer started earlier is ignored.
  std::uint64_t ReadGeneration = 0;
};

} // namespace bergamot::entrypath

#endif
