#include "bergamotd/configfollower.h"

#include "bergamotd/auditrecords.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using std::chrono::steady_clock;

namespace {

constexpr const char *Stream = "config";
constexpr std::size_t RecordsPerRead = 256;
constexpr std::size_t RecentRecords = 256;

/// Bytes of a snapshot in one frame.
constexpr std::size_t PartBytes = 256 * 1024;

/// How long one read of the log may wait for a new record.
constexpr std::chrono::milliseconds LongPollTime{2000};

/// Pause after a failed read, so that a log that is down isn't flooded.
constexpr std::chrono::milliseconds FailurePause{500};

/// A peer is asked again only after this time; heartbeats come more often.
constexpr std::chrono::milliseconds AskInterval{500};

} // namespace

ConfigFollower::ConfigFollower(base::VmId self,
                               const std::string &platformEndpoint,
                               ConfigStore &store, AuditWriter &audit)
    : Self(std::move(self)), Store(store), Audit(audit), Log(platformEndpoint) {
}

ConfigFollower::~ConfigFollower() { stop(); }

void ConfigFollower::start() {
  Reader = std::thread([this] { run(); });
}

void ConfigFollower::stop() {
  {
    const std::lock_guard lock(StopMutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  if (Reader.joinable())
    Reader.join();
}

void ConfigFollower::pause(std::chrono::milliseconds time) {
  std::unique_lock lock(StopMutex);
  StopChanged.wait_for(lock, time, [this] { return IsStopping; });
}

void ConfigFollower::run() {
  for (;;) {
    {
      const std::lock_guard lock(StopMutex);
      if (IsStopping)
        return;
    }
    if (readLog())
      appendDueSnapshot();
    else
      pause(FailurePause);
  }
}

bool ConfigFollower::readLog() {
  base::LogOffset from;
  {
    const std::lock_guard lock(Mutex);
    from = Ledger.nextOffset();
  }
  try {
    const auto page = Log.read(Stream, from, RecordsPerRead,
                               steady_clock::now() + LongPollTime);
    const std::lock_guard lock(Mutex);
    LogProblem.clear();
    for (const auto &record : page.Records)
      applyRecord({record.Offset, record.Time, record.Text});
    putInForce("log");
    return true;
  } catch (const base::Error &e) {
    const std::lock_guard lock(Mutex);
    if (std::exchange(LogProblem, e.what()).empty())
      base::logWarning("config.log_unreachable",
                       {{"peer", e.peer()}, {"detail", e.what()}});
    return false;
  }
}

void ConfigFollower::applyRecord(const config::LogRecord &record) {
  if (record.Offset < Ledger.nextOffset())
    return; // Came from a peer first, or from the log first.
  logVerdict(Ledger.apply(record), "record");
  Recent.push_back(record);
  if (Recent.size() > RecentRecords)
    Recent.pop_front();
}

void ConfigFollower::putInForce(const char *source) {
  if (Ledger.version() <= Store.version() || !Ledger.configuration())
    return;
  auto active = std::make_shared<const ActiveConfig>(
      ActiveConfig{config::ConfigurationIndex(Ledger.configuration()),
                   Ledger.version(), Ledger.hash(), base::wallNow()});
  base::logDecision("config.in_force",
                    {{"config_version", active->Version.Value},
                     {"config_hash", active->Hash},
                     {"source", source}});
  Audit.add(inForceRecord(*active, source));
  Store.setActive(active);
}

void ConfigFollower::logVerdict(const config::Verdict &verdict,
                                const char *source) const {
  base::logDecision("config.verdict",
                    {{"offset", verdict.Offset.Value},
                     {"verdict", config::verdictName(verdict.Kind)},
                     {"change", verdict.ChangeId},
                     {"config_version", Ledger.version().Value},
                     {"source", source}});
  if (auto record = verdictRecord(verdict))
    Audit.add(std::move(*record));
}

void ConfigFollower::appendDueSnapshot() {
  std::string text;
  {
    const std::lock_guard lock(Mutex);
    const auto dueAt = Ledger.snapshotDueAt(Self);
    if (!dueAt || base::wallNow() < *dueAt || !Ledger.isComplete())
      return;
    text = Ledger.snapshotText();
  }
  try {
    Log.append(Stream, {text}, steady_clock::now() + LongPollTime);
  } catch (const base::Error &e) {
    // Another daemon or a later attempt appends it; twice does no harm.
    base::logWarning("config.snapshot_failed",
                     {{"peer", e.peer()}, {"detail", e.what()}});
  }
}

bool ConfigFollower::addMessage(const adapterpeer::PeerSessionPtr &session,
                                const wire::Envelope &message) {
  if (message.config_version > Store.version().Value)
    askPeer(session);
  if (const auto *request = wire::payloadAs<fb::ConfigRequestT>(message)) {
    answerPeer(session, *request);
    return true;
  }
  if (const auto *records = wire::payloadAs<fb::ConfigRecordsT>(message)) {
    takeRecords(*records);
    return true;
  }
  if (const auto *part = wire::payloadAs<fb::ConfigSnapshotPartT>(message)) {
    takeSnapshotPart(session, *part);
    return true;
  }
  return false;
}

void ConfigFollower::askPeer(const adapterpeer::PeerSessionPtr &session) {
  fb::ConfigRequestT request;
  {
    const std::lock_guard lock(Mutex);
    const auto now = steady_clock::now();
    if (now < AskAgainAt)
      return;
    AskAgainAt = now + AskInterval;
    request.from = Ledger.nextOffset().Value;
  }
  session->send(wire::makeEnvelope(request));
}

void ConfigFollower::answerPeer(const adapterpeer::PeerSessionPtr &session,
                                const fb::ConfigRequestT &request) {
  fb::ConfigRecordsT answer;
  std::string snapshot;
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(Mutex);
    if (!Ledger.configuration() || !Ledger.isComplete())
      return;
    version = Ledger.version().Value;
    if (Recent.empty() || Recent.front().Offset.Value > request.from)
      snapshot = Ledger.snapshotText();
    for (const auto &record : Recent) {
      if (!snapshot.empty() || record.Offset.Value < request.from)
        continue;
      auto copy = std::make_unique<fb::LogRecordT>();
      copy->offset = record.Offset.Value;
      copy->time_ms = base::toUnixMilliseconds(record.Time);
      copy->text = record.Text;
      answer.records.push_back(std::move(copy));
    }
  }
  if (snapshot.empty())
    session->send(wire::makeEnvelope(std::move(answer)));
  else
    sendSnapshot(session, version, snapshot);
}

void ConfigFollower::sendSnapshot(const adapterpeer::PeerSessionPtr &session,
                                  std::uint64_t version,
                                  const std::string &text) {
  for (std::size_t offset = 0; offset < text.size(); offset += PartBytes) {
    const std::string_view bytes =
        std::string_view(text).substr(offset, PartBytes);
    fb::ConfigSnapshotPartT part;
    part.version = version;
    part.total = text.size();
    part.offset = offset;
    part.bytes.assign(bytes.begin(), bytes.end());
    session->send(wire::makeEnvelope(std::move(part)));
  }
}

void ConfigFollower::takeRecords(const fb::ConfigRecordsT &records) {
  const std::lock_guard lock(Mutex);
  for (const auto &record : records.records)
    applyRecord({base::LogOffset{record->offset},
                 base::fromUnixMilliseconds(record->time_ms), record->text});
  putInForce("peer");
}

void ConfigFollower::takeSnapshotPart(
    const adapterpeer::PeerSessionPtr &session,
    const fb::ConfigSnapshotPartT &part) {
  if (part.total > config::MaximumDocumentBytes)
    return;
  const std::lock_guard lock(Mutex);
  if (part.offset == 0)
    Incoming = {session, part.version, ""};
  if (Incoming.Session != session || Incoming.Version != part.version ||
      Incoming.Text.size() != part.offset)
    return;
  Incoming.Text.append(part.bytes.begin(), part.bytes.end());
  if (Incoming.Text.size() < part.total)
    return;
  logVerdict(Ledger.installSnapshot(Incoming.Text, base::wallNow()),
             "peer snapshot");
  Incoming = {};
  Recent.clear();
  putInForce("peer");
}

std::string ConfigFollower::sourceText() const {
  const std::lock_guard lock(Mutex);
  const std::string reason = Ledger.notReadyReason();
  if (!reason.empty())
    return "not ready: " + reason +
           (LogProblem.empty() ? "" : "; log: " + LogProblem);
  return LogProblem.empty() ? "log" : "peers; log: " + LogProblem;
}

} // namespace bergamot::bergamotd
