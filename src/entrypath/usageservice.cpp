#include "entrypath/usageservice.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using base::WallTime;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using usage::AppendRecord;
using usage::ReadRecord;
using usage::SendReport;
using usage::UsageMessage;
using usage::WindowNumber;

namespace {

constexpr milliseconds TickPeriod{100};
/// Period at which counts are sent to the collectors. An entry that is killed
/// loses what it has counted since.
constexpr milliseconds CountsPeriod{250};
/// Period at which all entries are told the clock and whether this entry holds
/// the duty, and how it grows with the number of entries.
constexpr milliseconds StatusPeriod{1000};
constexpr milliseconds HolderStatusPeriod{500};
constexpr microseconds StatusPeriodPerPeer{3000};
constexpr std::size_t CollectorCount = 3;
constexpr milliseconds StoreCallTimeout{1000};
/// An entry that doesn't hear the holder stores its counts this long after the
/// end of a window, and the holder reads them after CollectDelay if counts are
/// missing.
constexpr milliseconds StoreDelay{600};
constexpr milliseconds CollectDelay{1200};

/// The time on a clock that counts suspensions of the VM.
TimePoint bootNow() {
  const Duration sinceBoot = base::timeSinceBoot();
  return sinceBoot == Duration::zero() ? std::chrono::steady_clock::now()
                                       : TimePoint(sinceBoot);
}

/// Orders entries in the same way everywhere, whatever their failure domains.
std::pair<gateway::TargetHash, std::string>
candidateRank(const std::string &entry) {
  return {gateway::targetHash(entry), entry};
}

const char *resultName(usage::AppendResult result) {
  switch (result) {
  case usage::AppendResult::Appended:
    return "appended";
  case usage::AppendResult::NotAppended:
    return "not_appended";
  case usage::AppendResult::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace

UsageService::UsageService(boost::asio::io_context &loop,
                           const UsageSettings &settings, Entry &entry,
                           PeerLink &peers, const TopicFollower &store,
                           std::unique_ptr<UsageBackend> backend)
    : Settings(settings), Owner(entry), Peers(peers), Store(store),
      Backend(std::move(backend)), Timer(loop),
      Ledger(settings.Source, settings.Ledger),
      Reporter(settings.Reporter, bootNow()),
      Pauses(entry.now(), base::timeSinceBoot()) {}

void UsageService::start() {
  Clock.setOwnClock(base::wallNow(), Owner.now());
  Owner.setExecutionHandler(
      [this](const std::string &account, TimePoint begunAt) {
        Ledger.addRequest(account, Clock.at(begunAt));
      });
  Peers.setMessageHandler([this](std::string_view bytes) { onMessage(bytes); });
  tick();
}

void UsageService::leave() {
  Reporter.leave();
  sendMessages(Owner.now());
}

void UsageService::tick() {
  const TimePoint now = Owner.now();
  if (Pauses.check(now, base::timeSinceBoot()).Suspended > Duration::zero())
    Clock.clear();
  Clock.setOwnClock(base::wallNow(), now);
  Clock.removeExpired(now);
  Ledger.advance(Clock.at(now));
  if (now >= NextCountsAt)
    sendMessages(now);
  storeUsageIfUnheard(now);
  collectStoredUsage(now);
  act();
  Timer.expires_after(TickPeriod);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      tick();
  });
}

void UsageService::onMessage(std::string_view bytes) {
  if (const auto message = usage::decodeUsageMessage(bytes))
    merge(*message);
}

void UsageService::merge(const UsageMessage &message) {
  const std::string &entry = message.Source.Entry;
  if (message.Source == Ledger.ownSource())
    return;
  if (message.Holder) {
    HolderName = entry;
    Reporter.recordAnnouncement(*message.Holder, bootNow());
  }
  Clock.setClock(entry, message.Clock, Owner.now());
  for (const auto &it : message.Usage)
    Ledger.merge(message.Source, it);
}

UsageMessage UsageService::makeMessage() const {
  UsageMessage message;
  message.Source = Ledger.ownSource();
  message.Clock = base::wallNow();
  message.Holder = Reporter.announcement(bootNow(), surroundings());
  message.Usage = Ledger.ownUsage(Reporter.lastFixed());
  return message;
}

/// Returns the first running entries in the common order, and the holder.
std::set<std::string> UsageService::collectors() const {
  std::vector<std::string> entries = Clock.entries();
  entries.push_back(Settings.Source.Entry);
  const std::size_t n = std::min(CollectorCount, entries.size());
  std::partial_sort(entries.begin(),
                    entries.begin() + static_cast<std::ptrdiff_t>(n),
                    entries.end(), [](const auto &a, const auto &b) {
                      return candidateRank(a) < candidateRank(b);
                    });
  std::set<std::string> names(entries.begin(),
                              entries.begin() + static_cast<std::ptrdiff_t>(n));
  names.insert(HolderName);
  return names;
}

void UsageService::sendMessages(TimePoint now) {
  NextCountsAt = now + CountsPeriod;
  UsageMessage message = makeMessage();
  const auto datagrams = usage::encodeUsageMessage(message);
  const auto receivers = collectors();
  for (const auto &peer : receivers)
    for (const auto &it : datagrams)
      Peers.sendMessage(peer, it);
  if (now < NextStatusAt)
    return;
  const auto peers = Peers.peerNames();
  NextStatusAt =
      now + std::max<Duration>(
                message.Holder ? HolderStatusPeriod : StatusPeriod,
                StatusPeriodPerPeer * static_cast<std::int64_t>(peers.size()));
  message.Usage.clear();
  const auto status = usage::encodeUsageMessage(message).front();
  for (const auto &peer : peers)
    if (!receivers.contains(peer))
      Peers.sendMessage(peer, status);
}

void UsageService::storeUsageIfUnheard(TimePoint now) {
  const WallTime trueNow = Clock.at(now);
  const milliseconds length = Settings.Ledger.WindowLength;
  const WindowNumber window = usage::windowAt(trueNow - StoreDelay, length) - 1;
  if (window <= LastStored || !Reporter.isHolderMissing(bootNow()) ||
      !Store.isStoreReachable())
    return;
  LastStored = window;
  const auto message = makeMessage();
  const bool isEmpty =
      std::all_of(message.Usage.begin(), message.Usage.end(),
                  [](const auto &it) { return it.Usage.Counts.empty(); });
  if (isEmpty)
    return;
  const auto value =
      usage::encodeUsageMessage(message, std::numeric_limits<int>::max());
  Backend->storeUsage(Settings.Source.Entry, value.front(),
                      now + StoreCallTimeout, [window](bool stored) {
                        base::logDecision("usage.stored", {{"window", window},
                                                           {"stored", stored}});
                      });
}

void UsageService::collectStoredUsage(TimePoint now) {
  if (!Reporter.isHolder() || !Store.isStoreReachable())
    return;
  const WindowNumber window =
      Ledger.openWindow(std::max(Reporter.lastFixed(), LastCollected),
                        Clock.at(now), CollectDelay);
  if (window == 0)
    return;
  LastCollected = window;
  Backend->readStoredUsage(
      now + StoreCallTimeout,
      [this, window](const std::vector<std::string> &values) {
        base::logDecision("usage.collected",
                          {{"window", window}, {"entries", values.size()}});
        for (const auto &it : values)
          if (const auto message = usage::decodeUsageMessage(it))
            for (const auto &usage : message->Usage)
              Ledger.merge(message->Source, usage);
      });
}

usage::ReporterSurroundings UsageService::surroundings() const {
  usage::ReporterSurroundings it;
  it.StoreReachable = Store.isStoreReachable();
  it.HearsOthers = 2 * Clock.entries().size() >= Peers.peerNames().size();
  it.Order = candidatesBefore();
  it.LastEnded =
      usage::windowAt(Clock.at(Owner.now()), Settings.Ledger.WindowLength) - 1;
  return it;
}

unsigned UsageService::candidatesBefore() const {
  const auto own = candidateRank(Settings.Source.Entry);
  const auto entries = Clock.entries();
  return static_cast<unsigned>(
      std::count_if(entries.begin(), entries.end(),
                    [&](const auto &it) { return candidateRank(it) < own; }));
}

void UsageService::act() {
  logHolderChange();
  const auto action = Reporter.nextAction(
      bootNow(), surroundings(), [this](WindowNumber lastFixed) {
        return Ledger.completeWindows(lastFixed, Clock.at(Owner.now()));
      });
  if (action)
    std::visit([this](const auto &it) { perform(it); }, *action);
}

void UsageService::perform(const ReadRecord &) {
  Backend->readRecord(Owner.now() + StoreCallTimeout,
                      [this](const std::optional<usage::RecordState> &state) {
                        Reporter.recordRead(state, bootNow());
                        act();
                      });
}

void UsageService::perform(const AppendRecord &it) {
  Backend->appendRecord(
      it, Owner.now() + StoreCallTimeout,
      [this, record = it.Record](usage::AppendResult result,
                                 std::uint64_t era) {
        nlohmann::json fields = {{"result", resultName(result)},
                                 {"era", era},
                                 {"token", record.Token},
                                 {"last_fixed", record.LastFixed}};
        if (!record.Unconfirmed.empty()) {
          const usage::WindowUsage &newest = record.Unconfirmed.back();
          fields["requests"] = usage::totalRequests(newest.Counts);
          fields["entries"] = Ledger.totalByEntry(newest.Window);
        }
        base::logDecision("usage.record", fields);
        Reporter.recordAppend(result, era, bootNow());
        act();
      });
}

void UsageService::perform(const SendReport &it) {
  const TimePoint deadline = Owner.now() + (it.NotAfter - bootNow());
  Backend->sendReport(
      it, deadline, [notAfter = it.NotAfter] { return bootNow() < notAfter; },
      [this, it](bool accepted) {
        base::logDecision("usage.report",
                          {{"window", it.Usage.Window},
                           {"token", it.Token},
                           {"requests", usage::totalRequests(it.Usage.Counts)},
                           {"accepted", accepted}});
        Owner.metrics().addCount("bergamot_usage_reports_total",
                                 accepted ? "outcome=\"accepted\""
                                          : "outcome=\"failed\"");
        Reporter.recordSent(accepted, bootNow());
        act();
      });
}

void UsageService::logHolderChange() {
  const std::uint64_t token = Reporter.isHolder() ? Reporter.token() : 0;
  if (token == LoggedToken)
    return;
  base::logInfo(token != 0 ? "usage.duty_started" : "usage.duty_ended",
                {{"token", token != 0 ? token : LoggedToken},
                 {"last_fixed", Reporter.lastFixed()}});
  LoggedToken = token;
  // Other candidates should hear of a new holder before they try, too.
  NextCountsAt = {};
  NextStatusAt = {};
  Owner.metrics().setGauge("bergamot_usage_duty_held", "", token != 0 ? 1 : 0);
}

} // namespace bergamot::entrypath
