#include "entrypath/topicfollower.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using base::TimePoint;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Time-out for one page of a full read, which doesn't wait for new records.
constexpr milliseconds FullReadTimeout{1000};
/// Records that expired during an outage reappear within two seconds of its
/// end. The other 300 ms cover their delay to this process.
constexpr milliseconds RecentOutagePeriod{2300};

} // namespace

TopicFollower::TopicFollower(boost::asio::io_context &loop,
                             FollowerSettings settings,
                             std::unique_ptr<CompactedTopic> log,
                             ChangeHandler change)
    : Loop(loop), Settings(std::move(settings)), Log(std::move(log)),
      OnChange(std::move(change)), Timer(loop) {}

void TopicFollower::start() { readNewestPage(""); }

void TopicFollower::reload(std::function<void()> done) {
  OnReloaded = std::move(done);
  ++ReadGeneration;
  Timer.cancel();
  Log->cancel();
  readNewestPage("");
}

void TopicFollower::readNewestPage(const std::string &afterKey) {
  if (afterKey.empty()) {
    SeenKeys.clear();
    FirstTopicEnd.reset();
    ReadStartedAt = Clock::now();
  }
  Log->readNewest(afterKey, Clock::now() + FullReadTimeout,
                  [this](const ReadResult &page) { onNewestPage(page); });
}

void TopicFollower::onNewestPage(const ReadResult &page) {
  const bool isRead =
      page.Status == ReadResult::ReadStatus::Read && !isOutdated(page);
  setReachable(isRead);
  if (!isRead) {
    scheduleRetry();
    return;
  }
  const std::uint64_t era = eraOf(page);
  if (!FirstTopicEnd) {
    FirstTopicEnd = TopicPosition{era, page.TopicEnd};
    if (Loaded && era > End.Era)
      onNewEra(era);
  }
  if (FirstTopicEnd->Era != era) {
    // The store was restored between two pages.
    readNewestPage("");
    return;
  }
  for (const auto &it : page.Records) {
    SeenKeys[it.Key] = true;
    apply({it.Key, it.Value, {era, it.Position.Offset}});
  }
  if (page.HasMore && !page.Records.empty()) {
    readNewestPage(page.Records.back().Key);
    return;
  }
  NextFullReadAt = Clock::now() + Settings.FullReadPeriod;
  if (isInRestoreGrace())
    NextFullReadAt = RestoreGraceUntil;
  else
    removeMissing();
  ConfirmedAt = ReadStartedAt;
  End = std::max(End, *FirstTopicEnd);
  Loaded = true;
  NeedsFullRead = false;
  scheduleRead(Settings.PollInterval);
  if (const auto done = std::exchange(OnReloaded, nullptr))
    done();
}

/// Removes the keys that are absent from a full read, unless their record is
/// newer than the read.
void TopicFollower::removeMissing() {
  std::vector<TopicRecord> removed;
  for (const auto &[key, record] : Records)
    if (record.Value && !SeenKeys.contains(key) &&
        record.Position < *FirstTopicEnd)
      removed.push_back({key, std::nullopt, record.Position});
  for (auto &it : removed) {
    if (FirstTopicEnd->Offset > 0)
      it.Position = {FirstTopicEnd->Era, FirstTopicEnd->Offset - 1};
    Records[it.Key] = it;
    OnChange(it.Key, std::nullopt);
  }
}

void TopicFollower::readNext() {
  if (NeedsFullRead || Clock::now() >= NextFullReadAt) {
    readNewestPage("");
    return;
  }
  ReadStartedAt = Clock::now();
  const TimePoint longPollUntil =
      std::min<TimePoint>(ReadStartedAt + Settings.PollTimeout, NextFullReadAt);
  Log->read(End.Offset, longPollUntil,
            longPollUntil + Settings.ReadTimeoutMargin,
            [this](const ReadResult &page) { onRead(page); });
}

void TopicFollower::onRead(const ReadResult &page) {
  if (page.Status == ReadResult::ReadStatus::Compacted) {
    NeedsFullRead = true;
    scheduleRead(milliseconds(0));
    return;
  }
  const bool isRead =
      page.Status == ReadResult::ReadStatus::Read && !isOutdated(page);
  setReachable(isRead);
  if (!isRead) {
    // Records may have been missed by the failed read.
    NeedsFullRead = true;
    scheduleRetry();
    return;
  }
  const std::uint64_t era = eraOf(page);
  if (era > End.Era) {
    // The offset that was read from belongs to the former log.
    NeedsFullRead = true;
    scheduleRead(milliseconds(0));
    return;
  }
  for (const auto &it : page.Records) {
    apply({it.Key, it.Value, {era, it.Position.Offset}});
    End = std::max(End, {era, it.Position.Offset + 1});
  }
  ConfirmedAt = ReadStartedAt;
  scheduleRead(Settings.PollInterval);
}

/// Returns the era of a response. A store that doesn't state it is taken not to
/// have been restored.
std::uint64_t TopicFollower::eraOf(const ReadResult &page) const {
  return page.Era == 0 ? eraOrFirst(End.Era) : page.Era;
}

/// Returns whether a response is from before a restoration that is known
/// already.
bool TopicFollower::isOutdated(const ReadResult &page) const {
  return eraOf(page) < End.Era;
}

void TopicFollower::onNewEra(std::uint64_t era) {
  const TimePoint now = Clock::now();
  base::logInfo("store.era", {{"topic", Settings.Topic},
                              {"era", era},
                              {"previous", End.Era},
                              {"end", End.Offset},
                              {"topic_end", FirstTopicEnd->Offset}});
  RestoreGraceUntil = now + RecentOutagePeriod;
  RecentOutageUntil = RestoreGraceUntil;
  ReachableSince = now;
  if (OnRestored)
    OnRestored();
}

bool TopicFollower::isInRestoreGrace() const {
  return Clock::now() < RestoreGraceUntil;
}

void TopicFollower::scheduleRead(milliseconds delay) {
  Timer.expires_after(delay);
  Timer.async_wait(
      [this, generation = ReadGeneration](const boost::system::error_code &ec) {
        if (!ec && generation == ReadGeneration)
          readNext();
      });
}

void TopicFollower::scheduleRetry() {
  NextRetryDelay = std::clamp(2 * NextRetryDelay, Settings.RetryDelay,
                              Settings.MaxRetryDelay);
  scheduleRead(NextRetryDelay);
}

void TopicFollower::setReachable(bool reachable) {
  if (reachable)
    NextRetryDelay = milliseconds(0);
  if (!reachable || !Reachable)
    RecentOutageUntil = Clock::now() + RecentOutagePeriod;
  if (reachable == Reachable)
    return;
  Reachable = reachable;
  if (reachable)
    ReachableSince = Clock::now();
  base::logInfo(reachable ? "store.regained" : "store.lost",
                {{"topic", Settings.Topic}, {"end", End.Offset}});
}

/// Returns false if the store is unreachable or was so until recently: records
/// that are still valid may then be missing from it.
bool TopicFollower::wasStoreReachable() const {
  return Clock::now() >= RecentOutageUntil;
}

gateway::RecordRemoval TopicFollower::removal() const {
  gateway::RecordRemoval it;
  it.Reliable = wasStoreReachable();
  it.PresentAt = ConfirmedAt;
  if (Reachable)
    it.ReachableSince = ReachableSince;
  return it;
}

void TopicFollower::apply(const TopicRecord &record) {
  const auto it = Records.find(record.Key);
  if (it != Records.end() && it->second.Position >= record.Position)
    return;
  const bool changed = it == Records.end() || it->second.Value != record.Value;
  Records[record.Key] = record;
  if (changed)
    OnChange(record.Key, record.Value);
}

void TopicFollower::addPeerRecords(const std::vector<TopicRecord> &records,
                                   TopicPosition end) {
  if (end.Era < End.Era)
    return;
  for (const auto &it : records)
    apply(it);
  // Until the next read from the store, which is a full one, End is only used
  // to request further records from peers.
  End = std::max(End, end);
  NeedsFullRead = true;
  Loaded = true;
}

std::vector<TopicRecord> TopicFollower::recordsFrom(TopicPosition from) const {
  std::vector<TopicRecord> records;
  for (const auto &[key, record] : Records)
    if (record.Position >= from)
      records.push_back(record);
  return records;
}

} // namespace bergamot::entrypath
