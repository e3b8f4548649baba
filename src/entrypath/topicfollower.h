#ifndef BERGAMOT_ENTRYPATH_TOPICFOLLOWER_H
#define BERGAMOT_ENTRYPATH_TOPICFOLLOWER_H

#include "entrypath/keyedlog.h"
#include "libbergamotbase/timetypes.h"

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
  /// Time that a read waits for new records. A connection that has gone silent
  /// is detected after this time plus ReadMargin.
  std::chrono::milliseconds PollTimeout{2000};
  std::chrono::milliseconds ReadMargin{700};
  /// Delay between reads, for a topic that changes continuously.
  std::chrono::milliseconds PollInterval{0};
  /// Delay after a failed read; doubles with each further failure up to
  /// MaxRetryDelay. Every call to the store is charged, including failed ones.
  std::chrono::milliseconds RetryDelay{150};
  std::chrono::milliseconds MaxRetryDelay{600};
  /// Period of full reads, which repair inconsistencies caused by a lost
  /// change.
  std::chrono::milliseconds FullReadPeriod{15000};
};

/// Maintains the newest record of each key of a topic. Follows the store by
/// long polling, and accepts records from other entries while the store is
/// unreachable. A record takes effect only if its offset is higher than that of
/// the key's current record, so no source can revert a key to an older state.
class TopicFollower {
public:
  /// Called for each change with the key and its value, which is unset if the
  /// key was removed. `reliable` is false if the store was unreachable until
  /// shortly before.
  using ChangeHandler = std::function<void(
      const std::string &key, const std::optional<std::string> &value,
      bool reliable)>;

  TopicFollower(boost::asio::io_context &loop, FollowerSettings settings,
                std::unique_ptr<KeyedLog> log, ChangeHandler change);

  void start();
  /// Cancels any read in progress and reads all records over a new connection;
  /// calls `done` once that has succeeded.
  void refresh(std::function<void()> done);
  /// Applies records that another entry has read from the store. `end` is the
  /// offset up to which it has read.
  void addPeerRecords(const std::vector<KeyedRecord> &records,
                      std::uint64_t end);

  /// Returns the newest records with an offset of at least `from`, including
  /// those of removed keys, for another entry.
  std::vector<KeyedRecord> recordsFrom(std::uint64_t from) const;
  /// Returns the offset up to which this follower has read the topic.
  std::uint64_t end() const { return End; }
  /// Returns whether a full read has succeeded at this entry or at a peer.
  bool isLoaded() const { return Loaded; }
  /// Returns whether the last read from the store succeeded.
  bool isStoreReachable() const { return Reachable; }
  const std::string &topic() const { return Settings.Topic; }

private:
  void readNewest(const std::string &after);
  void onNewest(const KeyedPage &page);
  void readNext();
  void onRead(const KeyedPage &page);
  void scheduleRead(std::chrono::milliseconds delay);
  void setReachable(bool reachable);
  void scheduleRetry();
  bool isReliable() const;
  void apply(const KeyedRecord &record);
  void removeMissing();

  boost::asio::io_context &Loop;
  FollowerSettings Settings;
  std::unique_ptr<KeyedLog> Log;
  ChangeHandler OnChange;
  boost::asio::steady_timer Timer;
  std::map<std::string, KeyedRecord> Records;
  /// State of a full read. Its pages don't form a snapshot, so following
  /// continues from the end that the first page states.
  std::map<std::string, bool> SeenKeys;
  std::optional<std::uint64_t> FirstPageEnd;
  std::uint64_t End = 0;
  base::TimePoint NextFullReadAt;
  /// Removals are reported as unreliable before this time.
  base::TimePoint ReliableFrom;
  bool Loaded = false;
  bool Reachable = false;
  std::chrono::milliseconds NextRetryDelay{0};
  bool NeedsFullRead = true;
  std::function<void()> OnRefreshed;
  /// Incremented by refresh(), so that a timer started before it is ignored.
  std::uint64_t ReadGeneration = 0;
};

} // namespace bergamot::entrypath

#endif
