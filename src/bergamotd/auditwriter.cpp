#include "bergamotd/auditwriter.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t RecordsPerRead = 64;
constexpr milliseconds ReadTime{1000};

/// Less than AuditSettings::AppendTimeout, so that the chain learns of the
/// failure from here.
constexpr milliseconds AppendTime{1000};

/// Pause after a failure, so that a log that is down isn't flooded.
constexpr milliseconds FailurePause{200};

/// Longest sleep of the thread.
constexpr milliseconds LongestIdle{100};

} // namespace

AuditWriter::AuditWriter(base::VmId daemon, base::Incarnation life,
                         const std::string &platformEndpoint,
                         state::AuditSettings limits, base::Metrics &metrics)
    : Daemon(std::move(daemon)), Stream(state::auditStream(Daemon)),
      Metrics(metrics), Log(platformEndpoint), Chain(Daemon, life, {}, limits) {
}

AuditWriter::~AuditWriter() { stop(steady_clock::now()); }

void AuditWriter::start() {
  Writer = std::thread([this] { run(); });
}

void AuditWriter::add(state::AuditRecord record) {
  bool isKept = false;
  {
    const std::lock_guard lock(Mutex);
    // Set under the lock, so that the times of a stream don't decrease.
    record.Time = base::wallNow();
    isKept = Chain.add(std::move(record), steady_clock::now());
  }
  Metrics.addCount(isKept ? "bergamot_audit_records_total"
                          : "bergamot_audit_dropped_total",
                   "");
}

void AuditWriter::stop(base::TimePoint flushBy) {
  {
    const std::lock_guard lock(Mutex);
    if (!IsStopping)
      FlushBy = flushBy;
    IsStopping = true;
    Chain.requestFlush();
  }
  Changed.notify_all();
  if (!Writer.joinable())
    return;
  Writer.join();
  const std::lock_guard lock(Mutex);
  if (!Chain.isFullyConfirmed())
    base::logWarning(
        "audit.not_flushed",
        {{"stream", Stream}, {"last_sequence", Chain.lastLink().Sequence}});
}

bool AuditWriter::isOver(base::TimePoint now) const {
  return IsStopping && (Chain.isFullyConfirmed() || now >= FlushBy);
}

void AuditWriter::pause(milliseconds time) {
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, time);
}

void AuditWriter::run() {
  // Nothing can be appended while the log can't be read, so records wait in
  // the chain's bounded memory meanwhile.
  while (!findEarlierBatch()) {
    pause(FailurePause);
    const std::lock_guard lock(Mutex);
    if (isOver(steady_clock::now()))
      return;
  }
  for (;;) {
    std::vector<state::AuditAction> actions;
    {
      std::unique_lock lock(Mutex);
      const auto wakeAt =
          std::min(Chain.wakeAt(), steady_clock::now() + LongestIdle);
      if (!IsStopping)
        Changed.wait_until(lock, wakeAt);
      if (isOver(steady_clock::now()))
        return;
      actions = Chain.takeActions(steady_clock::now());
    }
    for (const auto &action : actions)
      std::visit([this](const auto &it) { runAction(it); }, action);
    if (actions.empty())
      pause(milliseconds(1));
  }
}

bool AuditWriter::findEarlierBatch() {
  state::AuditLink last;
  base::LogOffset next;
  try {
    for (;;) {
      const auto page = Log.read(Stream, next, RecordsPerRead,
                                 steady_clock::now() + ReadTime);
      for (const auto &record : page.Records)
        if (auto found = state::parseBatch(record.Text);
            found && found->HashMatches && found->Batch.Daemon == Daemon)
          last = std::move(found->Batch.Link);
      next = std::max(page.Next, page.Earliest);
      if (page.Records.empty())
        break;
    }
  } catch (const base::Error &) {
    return false;
  }
  const std::lock_guard lock(Mutex);
  Chain.setPriorLastLink(std::move(last), next);
  return true;
}

void AuditWriter::runAction(const state::AuditAppend &append) {
  try {
    const auto offset =
        Log.append(Stream, {append.Text}, steady_clock::now() + AppendTime);
    const std::lock_guard lock(Mutex);
    Chain.recordAppended(append.AppendNumber, offset);
  } catch (const base::Error &e) {
    base::logWarning("audit.append_failed",
                     {{"peer", e.peer()}, {"detail", e.what()}});
    {
      const std::lock_guard lock(Mutex);
      Chain.recordUnconfirmed(append.AppendNumber, steady_clock::now());
    }
    pause(FailurePause);
  }
}

void AuditWriter::runAction(const state::AuditReadBack &readBack) {
  try {
    auto next = readBack.From;
    for (;;) {
      const auto page = Log.read(Stream, next, RecordsPerRead,
                                 steady_clock::now() + ReadTime);
      const std::lock_guard lock(Mutex);
      for (const auto &record : page.Records)
        Chain.apply({record.Offset, record.Time, record.Text});
      next = std::max(page.Next, page.Earliest);
      if (page.Records.empty())
        break;
    }
  } catch (const base::Error &) {
    return; // The chain asks for another read-back.
  }
  const std::lock_guard lock(Mutex);
  Chain.finishReadBack(readBack.AppendNumber);
}

} // namespace bergamot::bergamotd
