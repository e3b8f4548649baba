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
/// Records that lapsed during an outage reappear within two seconds of its end;
/// the margin covers their delay to this process.
constexpr milliseconds UnreliableAfterOutage{2300};

} // namespace

TopicFollower::TopicFollower(boost::asio::io_context &loop,
                             FollowerSettings settings,
                             std::unique_ptr<KeyedLog> log,
                             ChangeHandler change)
    : Loop(loop), Settings(std::move(settings)), Log(std::move(log)),
      OnChange(std::move(change)), Timer(loop) {}

void TopicFollower::start() { readNewest(""); }

void TopicFollower::refresh(std::function<void()> done) {
  OnRefreshed = std::move(done);
  ++ReadGeneration;
  Timer.cancel();
  Log->cancel();
  readNewest("");
}

void TopicFollower::readNewest(const std::string &after) {
  if (after.empty()) {
    SeenKeys.clear();
    FirstPageEnd.reset();
  }
  Log->newest(after, Clock::now() + FullReadTimeout,
              [this](const KeyedPage &page) { onNewest(page); });
}

void TopicFollower::onNewest(const KeyedPage &page) {
  setReachable(page.Result == KeyedPage::Outcome::Read);
  if (page.Result != KeyedPage::Outcome::Read) {
    scheduleRetry();
    return;
  }
  if (!FirstPageEnd)
    FirstPageEnd = page.End;
  for (const auto &it : page.Records) {
    SeenKeys[it.Key] = true;
    apply(it);
  }
  if (page.HasMore && !page.Records.empty()) {
    readNewest(page.Records.back().Key);
    return;
  }
  removeMissing();
  End = std::max(End, *FirstPageEnd);
  Loaded = true;
  NeedsFullRead = false;
  NextFullReadAt = Clock::now() + Settings.FullReadPeriod;
  scheduleRead(Settings.PollInterval);
  if (const auto done = std::exchange(OnRefreshed, nullptr))
    done();
}

/// Removes the keys that are absent from a full read, unless their record is
/// newer than the read.
void TopicFollower::removeMissing() {
  std::vector<KeyedRecord> removed;
  for (const auto &[key, record] : Records)
    if (record.Value && !SeenKeys.contains(key) &&
        record.Offset < *FirstPageEnd)
      removed.push_back({key, std::nullopt, *FirstPageEnd - 1});
  for (const auto &it : removed) {
    Records[it.Key] = it;
    OnChange(it.Key, std::nullopt, isReliable());
  }
}

void TopicFollower::readNext() {
  if (NeedsFullRead || Clock::now() >= NextFullReadAt) {
    readNewest("");
    return;
  }
  const TimePoint waitUntil = Clock::now() + Settings.PollTimeout;
  Log->read(End, waitUntil, waitUntil + Settings.ReadMargin,
            [this](const KeyedPage &page) { onRead(page); });
}

void TopicFollower::onRead(const KeyedPage &page) {
  if (page.Result == KeyedPage::Outcome::Compacted) {
    NeedsFullRead = true;
    scheduleRead(milliseconds(0));
    return;
  }
  setReachable(page.Result == KeyedPage::Outcome::Read);
  if (page.Result != KeyedPage::Outcome::Read) {
    // Records may have been missed by the failed read.
    NeedsFullRead = true;
    scheduleRetry();
    return;
  }
  for (const auto &it : page.Records) {
    apply(it);
    End = std::max(End, it.Offset + 1);
  }
  scheduleRead(Settings.PollInterval);
}

void TopicFollower::scheduleRead(milliseconds delay) {
  Timer.expires_after(delay);
  Timer.async_wait(
      [this, number = ReadGeneration](const boost::system::error_code &ec) {
        if (!ec && number == ReadGeneration)
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
    ReliableFrom = Clock::now() + UnreliableAfterOutage;
  if (reachable == Reachable)
    return;
  Reachable = reachable;
  base::logInfo(reachable ? "store.regained" : "store.lost",
                {{"topic", Settings.Topic}, {"end", End}});
}

bool TopicFollower::isReliable() const { return Clock::now() >= ReliableFrom; }

void TopicFollower::apply(const KeyedRecord &record) {
  const auto it = Records.find(record.Key);
  if (it != Records.end() && it->second.Offset >= record.Offset)
    return;
  const bool changed = it == Records.end() || it->second.Value != record.Value;
  Records[record.Key] = record;
  if (changed)
    OnChange(record.Key, record.Value, isReliable());
}

void TopicFollower::addPeerRecords(const std::vector<KeyedRecord> &records,
                                   std::uint64_t end) {
  for (const auto &it : records)
    apply(it);
  // End is only used to request further records from peers until the next read
  // from the store, which is a full one.
  End = std::max(End, end);
  NeedsFullRead = true;
  Loaded = true;
}

std::vector<KeyedRecord> TopicFollower::recordsFrom(std::uint64_t from) const {
  std::vector<KeyedRecord> records;
  for (const auto &[key, record] : Records)
    if (record.Offset >= from)
      records.push_back(record);
  return records;
}

} // namespace bergamot::entrypath
