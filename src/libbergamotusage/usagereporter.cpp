#include "libbergamotusage/usagereporter.h"

#include <algorithm>
#include <utility>

namespace bergamot::usage {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Time without a sign of the holder after which the first candidate takes
/// over; the holder announces itself several times within it.
constexpr milliseconds SilenceTimeout{1500};
/// Additional time for each candidate that comes before.
constexpr milliseconds DelayPerCandidate{400};
constexpr unsigned MaxDelayedCandidates = 10;
/// Time without a sign of the holder if most of the other entries can't be
/// heard either. It is longer than a window, within which a holder that can't
/// be heard changes the record.
constexpr milliseconds IsolatedSilenceTimeout{8000};
constexpr milliseconds RetryDelay{1000};
/// A holder whose calls to the store fail for this long doesn't announce
/// itself any more, so that an entry that reaches the store takes over.
constexpr milliseconds MaxFailingTime{1500};
/// Least time left for sending a report.
constexpr milliseconds MinSendTime{200};
/// Longest time for sending a report.
constexpr milliseconds MaxSendTime{1000};
/// Bounds the record while reports aren't accepted. With names of ten bytes, it
/// stays below 256 KiB, the store's limit on a record.
constexpr std::size_t MaxUnconfirmedAccounts = 16000;
/// Bits of a token that hold the offset; the others hold the era. Tokens stay
/// exact as floating-point numbers for two million eras.
constexpr unsigned OffsetBits = 32;

void boundUnconfirmed(std::vector<WindowUsage> &windows) {
  std::size_t accounts = 0;
  for (const auto &it : windows)
    accounts += it.Counts.size();
  while (windows.size() > 1 && accounts > MaxUnconfirmedAccounts) {
    accounts -= windows.front().Counts.size();
    windows.erase(windows.begin());
  }
}

} // namespace

UsageReporter::UsageReporter(ReporterSettings settings, TimePoint now)
    : Settings(std::move(settings)), LastSignAt(now) {}

ReporterAction UsageReporter::begin(ReporterAction action, TimePoint now) {
  Outstanding = action;
  StartedAt = now;
  return action;
}

std::optional<ReporterAction>
UsageReporter::nextAction(TimePoint now, const ReporterSurroundings &it,
                          const ReadyWindows &readyWindows) {
  // After an outage of the store, its holder is the first to act again.
  LastEnded = std::max(LastEnded, it.LastEnded);
  if (!it.StoreReachable)
    LastSignAt = std::max(LastSignAt, now);
  if (Outstanding || Leaving || now < RetryAt)
    return std::nullopt;
  if (State == Phase::Waiting && now >= *ActiveFrom)
    State = Phase::Holding;
  switch (State) {
  case Phase::Watching:
    return candidateAction(now, it);
  case Phase::Acquiring: {
    ReportRecord next = Record;
    next.Holder = Settings.Name;
    next.Token = nextToken();
    next.Era = Era;
    return begin(AppendRecord{End, std::move(next)}, now);
  }
  case Phase::Verifying:
    return begin(ReadRecord{}, now);
  case Phase::Waiting:
    return std::nullopt;
  case Phase::Holding:
    return holderAction(now, readyWindows);
  }
  return std::nullopt;
}

std::optional<ReporterAction>
UsageReporter::candidateAction(TimePoint now, const ReporterSurroundings &it) {
  const Duration silence =
      it.HearsOthers
          ? SilenceTimeout +
                std::min(it.Order, MaxDelayedCandidates) * DelayPerCandidate
          : IsolatedSilenceTimeout;
  if (!it.StoreReachable || now < LastSignAt + silence)
    return std::nullopt;
  return begin(ReadRecord{}, now);
}

std::optional<ReporterAction>
UsageReporter::holderAction(TimePoint now, const ReadyWindows &readyWindows) {
  const auto ready = readyWindows(Record.LastFixed);
  if (!ready.empty()) {
    ReportRecord next = Record;
    next.Unconfirmed.insert(next.Unconfirmed.end(), ready.begin(), ready.end());
    boundUnconfirmed(next.Unconfirmed);
    next.LastFixed = ready.back().Window;
    return begin(AppendRecord{End, std::move(next)}, now);
  }
  if (Record.Unconfirmed.empty())
    return std::nullopt;
  if (now + MinSendTime >= SendUntil) {
    State = Phase::Verifying;
    return begin(ReadRecord{}, now);
  }
  const TimePoint notAfter = std::min<TimePoint>(SendUntil, now + MaxSendTime);
  return begin(SendReport{Token, Record.Unconfirmed.front(), notAfter}, now);
}

void UsageReporter::recordRead(const std::optional<RecordState> &state,
                               TimePoint now) {
  Outstanding.reset();
  recordStoreCall(state.has_value(), now);
  if (!state)
    return;
  if (State == Phase::Verifying)
    verifyRecord(*state, now);
  else
    considerRecord(*state, now);
}

/// Decides whether to replace a record that another entry has written.
void UsageReporter::considerRecord(const RecordState &state, TimePoint now) {
  Record = state.Record.value_or(ReportRecord());
  End = state.End;
  Era = state.Era;
  const auto known = std::pair(KnownToken, KnownFixed);
  const auto recorded = std::pair(Record.Token, Record.LastFixed);
  KnownToken = std::max(KnownToken, Record.Token);
  KnownFixed = std::max(KnownFixed, Record.LastFixed);
  if (recorded > known)
    LastSignAt = now; // A holder that isn't heard has acted.
  else
    State = Phase::Acquiring;
  if (Record.Era < Era) {
    // Written for an earlier era, it may even have replaced a later one.
    Record.Unconfirmed.clear();
    skipEndedWindows();
  }
}

/// Leaves out the windows that another holder may have sent with counts that
/// the store has lost.
void UsageReporter::skipEndedWindows() {
  Record.LastFixed = std::max({Record.LastFixed, KnownFixed, LastEnded});
}

/// Returns the token of a holder that replaces the record at End: higher than
/// all of earlier eras, and in the first one the number of records.
std::uint64_t UsageReporter::nextToken() const {
  return ((Era - FirstStoreEra) << OffsetBits) + End + 1;
}

/// Takes the duty once more after the store was restored, unless another entry
/// has done so. What this one has fixed may be gone from the store.
void UsageReporter::acquireAgain(const RecordState &state, TimePoint now) {
  const ReportRecord stored = state.Record.value_or(ReportRecord());
  if (stored.Token > Token) {
    stepDown(now);
    return;
  }
  End = state.End;
  Era = state.Era;
  Token = 0;
  ActiveFrom.reset();
  Record.LastFixed = std::max(Record.LastFixed, stored.LastFixed);
  skipEndedWindows();
  dropConfirmed();
  State = Phase::Acquiring;
}

/// Decides after a read of the record whether this entry is the holder.
void UsageReporter::verifyRecord(const RecordState &state, TimePoint now) {
  if (state.Era != Era) {
    acquireAgain(state, now);
    return;
  }
  // Two entries that try to write at the same offset use the same token, of
  // which only one takes effect.
  const bool isOwn = state.Record && state.Record->Token == Token &&
                     state.Record->Holder == Settings.Name;
  if (!isOwn) {
    stepDown(now);
    return;
  }
  Record = *state.Record;
  End = state.End;
  dropConfirmed();
  if (!ActiveFrom) {
    becomeHolder(now);
    return;
  }
  SendUntil = StartedAt + Settings.Lease - Settings.LeaseMargin;
  State = now < *ActiveFrom ? Phase::Waiting : Phase::Holding;
}

void UsageReporter::recordAppend(AppendResult result, std::uint64_t era,
                                 TimePoint now) {
  const auto sent = std::get<AppendRecord>(*Outstanding);
  Outstanding.reset();
  recordStoreCall(result == AppendResult::Appended, now);
  // In another era, the condition held for an offset of another log.
  if (result == AppendResult::Appended && era == Era) {
    Record = sent.Record;
    End = sent.At + 1;
    dropConfirmed();
    if (State == Phase::Acquiring) {
      Token = sent.Record.Token;
      becomeHolder(now);
    } else {
      SendUntil = StartedAt + Settings.Lease - Settings.LeaseMargin;
    }
    return;
  }
  if (State == Phase::Acquiring && result == AppendResult::NotAppended) {
    stepDown(now);
    return;
  }
  Token = sent.Record.Token;
  State = Phase::Verifying;
}

void UsageReporter::recordSent(bool accepted, TimePoint now) {
  const auto sent = std::get<SendReport>(*Outstanding);
  Outstanding.reset();
  if (!accepted) {
    RetryAt = now + RetryDelay;
    return;
  }
  Confirmed.insert(sent.Usage.Window);
  dropConfirmed();
}

void UsageReporter::dropConfirmed() {
  std::erase_if(Record.Unconfirmed, [&](const WindowUsage &it) {
    return Confirmed.contains(it.Window);
  });
}

void UsageReporter::becomeHolder(TimePoint now) {
  ActiveFrom = now + Settings.Lease;
  State = Phase::Waiting;
}

void UsageReporter::stepDown(TimePoint now) {
  State = Phase::Watching;
  Token = 0;
  ActiveFrom.reset();
  Confirmed.clear();
  FailingSince.reset();
  LastSignAt = now;
}

void UsageReporter::recordStoreCall(bool succeeded, TimePoint now) {
  if (succeeded) {
    FailingSince.reset();
    return;
  }
  RetryAt = now + RetryDelay;
  if (!FailingSince)
    FailingSince = now;
}

void UsageReporter::recordAnnouncement(const HolderAnnouncement &it,
                                       TimePoint now) {
  if (it.Token < std::max(KnownToken, Token))
    return;
  KnownToken = it.Token;
  KnownFixed = std::max(KnownFixed, it.LastFixed);
  LastSignAt = it.Leaving ? now - SilenceTimeout : now;
  if (it.Token > Token && State != Phase::Watching && !Outstanding)
    stepDown(now);
}

std::optional<HolderAnnouncement>
UsageReporter::announcement(TimePoint now,
                            const ReporterSurroundings &it) const {
  const bool failing = FailingSince && now >= *FailingSince + MaxFailingTime;
  if (!isHolder() || failing || !it.StoreReachable)
    return std::nullopt;
  return HolderAnnouncement{Token, Record.LastFixed, Leaving};
}

bool UsageReporter::isHolderMissing(TimePoint now) const {
  return !isHolder() && now >= LastSignAt + SilenceTimeout;
}

WindowNumber UsageReporter::lastFixed() const {
  return isHolder() ? Record.LastFixed : KnownFixed;
}

} // namespace bergamot::usage
