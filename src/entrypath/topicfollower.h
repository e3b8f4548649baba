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

/// How a topic is followed.
struct FollowerSettings {
  std::string Topic;
  /// Time that a read waits for new records. A connection that has gone silent
  /// is noticed this long after, plus ReadMargin.
  std::chrono::milliseconds Wait{2000};
  std::chrono::milliseconds ReadMargin{700};
  /// Pause between reads, for a topic that changes all the time.
  std::chrono::milliseconds Pause{0};
  /// Pause after a failed read; doubles with each further failure up to
  /// MaxRetryPause. Every call to the store is charged, failed ones too.
  std::chrono::milliseconds RetryPause{150};
  std::chrono::milliseconds MaxRetryPause{600};
  /// A full read after this time repairs whatever a lost change has left.
  std::chrono::milliseconds FullReadPeriod{15000};
};

/// Keeps the newest record of each key of a topic. Follows the store by long
/// polls, and takes records from other entries while the store can't be
/// reached. A record takes effect only if its offset is higher than that of
/// the key's present one, so no source can take a key back to an older state.
class TopicFollower {
public:
  /// Told of each change: the key and its value, unset if it was removed.
  /// `reliable` is false if the store has been away shortly before.
  using Change = std::function<void(const std::string &key,
                                    const std::optional<std::string> &value,
                                    bool reliable)>;

  TopicFollower(boost::asio::io_context &loop, FollowerSettings settings,
                std::unique_ptr<KeyedLog> log, Change change);

  void start();
  /// Reads all records at once, over a new connection, whatever is in progress;
  /// `done` runs when that has succeeded.
  void refresh(std::function<void()> done);
  /// Takes records that another entry has read from the store. `end` is the
  /// offset up to which it has read.
  void addPeerRecords(const std::vector<KeyedRecord> &records,
                      std::uint64_t end);

  /// Returns the present records with an offset of at least `from`, removed
  /// keys included, for another entry.
  std::vector<KeyedRecord> recordsFrom(std::uint64_t from) const;
  /// Returns the offset up to which this follower knows the topic.
  std::uint64_t end() const { return End; }
  /// Returns whether a full read has succeeded, here or at a peer.
  bool isLoaded() const { return Loaded; }
  /// Returns whether the last read from the store succeeded.
  bool isStoreReachable() const { return Reachable; }
  const std::string &topic() const { return Settings.Topic; }

private:
  void readNewest(const std::string &after);
  void onNewest(const KeyedPage &page);
  void readNext();
  void onRead(const KeyedPage &page);
  void scheduleRead(std::chrono::milliseconds pause);
  void setReachable(bool reachable);
  void scheduleRetry();
  bool isReliable() const;
  void apply(const KeyedRecord &record);
  void removeMissing();

  boost::asio::io_context &Loop;
  FollowerSettings Settings;
  std::unique_ptr<KeyedLog> Log;
  Change OnChange;
  boost::asio::steady_timer Timer;
  std::map<std::string, KeyedRecord> Records;
  /// State of a full read over several pages, which are no snapshot: following
  /// continues from the end that the first page states.
  std::map<std::string, bool> Seen;
  std::optional<std::uint64_t> FirstPageEnd;
  std::uint64_t End = 0;
  base::TimePoint NextFullReadAt;
  /// Removals aren't reliable before this time.
  base::TimePoint ReliableFrom;
  bool Loaded = false;
  bool Reachable = false;
  std::chrono::milliseconds NextRetryPause{0};
  bool NeedsFullRead = true;
  std::function<void()> OnRefreshed;
  /// Tells a timer of before a refresh from the present one.
  std::uint64_t ReadNumber = 0;
};

} // namespace bergamot::entrypath

#endif
