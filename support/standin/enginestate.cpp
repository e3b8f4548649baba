#include "standin/enginestate.h"

#include <algorithm>

namespace bergamot::standin {

namespace {

constexpr std::size_t MaxEvents = 100000;

std::uint64_t startIncarnation() {
  return static_cast<std::uint64_t>(base::toUnixMilliseconds(base::wallNow()));
}

} // namespace

EngineState::EngineState(const EngineLimits &limits)
    : Limits(limits), Incarnation(startIncarnation()),
      Cold(limits.WarmAfter > 0) {
  noteReport();
}

std::optional<EngineRun> EngineState::begin(const std::string &requestId,
                                            std::uint64_t kvTokens) {
  std::lock_guard lock(Mutex);
  ++Count.Requests;
  if (base::TimePoint::clock::now() < RestartedAt) {
    ++Count.Refused;
    return std::nullopt;
  }
  if (isOverloaded(kvTokens)) {
    fallOver();
    return std::nullopt;
  }
  for (const auto &[number, it] : Runs)
    if (it.RequestId == requestId)
      ++Count.DuplicateIds;
  Runs[++LastRun] = {requestId, kvTokens};
  KvUsed += kvTokens;
  Count.HighestRunning =
      std::max<std::uint64_t>(Count.HighestRunning, Runs.size());
  Count.HighestKvTokens = std::max(Count.HighestKvTokens, KvUsed);
  noteReport();
  return EngineRun{LastRun, Incarnation, Cold};
}

bool EngineState::isOverloaded(std::uint64_t kvTokens) {
  std::size_t running = Runs.size() + 1;
  if (KvUsed + kvTokens > Limits.KvTokens) {
    ++Count.KvOverloads;
    return true;
  }
  bool isGrace = base::TimePoint::clock::now() < GraceUntil;
  if (Cold && Limits.ColdLimit != 0 && running > Limits.ColdLimit && !isGrace) {
    ++Count.ColdOverloads;
    return true;
  }
  if (Limits.MaxRunning != 0 && running > Limits.MaxRunning) {
    ++Count.RunningOverloads;
    return true;
  }
  return false;
}

bool EngineState::isRunning(const EngineRun &run) const {
  std::lock_guard lock(Mutex);
  return Runs.count(run.Number) != 0;
}

void EngineState::finish(const EngineRun &run, bool isCompleted) {
  std::lock_guard lock(Mutex);
  auto it = Runs.find(run.Number);
  if (it == Runs.end())
    return;
  KvUsed -= it->second.KvTokens;
  Runs.erase(it);
  if (isCompleted) {
    ++Count.Completed;
    if (++CompletedSinceCold >= Limits.WarmAfter)
      Cold = false;
  } else {
    ++Count.Cancelled;
  }
  noteReport();
}

bool EngineState::cancel(const std::string &requestId) {
  std::lock_guard lock(Mutex);
  for (auto it = Runs.begin(); it != Runs.end(); ++it) {
    if (it->second.RequestId != requestId)
      continue;
    KvUsed -= it->second.KvTokens;
    Runs.erase(it);
    ++Count.Cancelled;
    noteReport();
    return true;
  }
  return false;
}

void EngineState::addBlocks(const std::vector<std::uint64_t> &blocks) {
  std::lock_guard lock(Mutex);
  for (std::uint64_t it : blocks) {
    if (std::find(Cached.begin(), Cached.end(), it) != Cached.end())
      continue;
    Cached.push_back(it);
    addEvent("stored", it);
    if (Cached.size() > Limits.CacheBlocks) {
      addEvent("evicted", Cached.front());
      Cached.pop_front();
    }
  }
}

void EngineState::setCold() {
  std::lock_guard lock(Mutex);
  Cold = true;
  CompletedSinceCold = 0;
  GraceUntil = base::TimePoint::clock::now() + Limits.ColdGrace;
  noteReport();
}

void EngineState::restart() {
  std::lock_guard lock(Mutex);
  fallOver();
}

bool EngineState::isRestarting() const {
  std::lock_guard lock(Mutex);
  return base::TimePoint::clock::now() < RestartedAt;
}

std::uint64_t EngineState::incarnation() const {
  std::lock_guard lock(Mutex);
  return Incarnation;
}

void EngineState::fallOver() {
  Incarnation = std::max(Incarnation + 1, startIncarnation());
  Runs.clear();
  KvUsed = 0;
  Cold = Limits.WarmAfter > 0;
  CompletedSinceCold = 0;
  GraceUntil = {};
  RestartedAt = base::TimePoint::clock::now() + Limits.RestartTime;
  Cached.clear();
  LastSequence = 0;
  Events.clear();
  noteReport();
}

void EngineState::addEvent(const char *kind, std::uint64_t block) {
  ++LastSequence;
  if (Limits.EventGap != 0 && LastSequence % Limits.EventGap == 0)
    return;
  Events.push_back({LastSequence, kind, block,
                    base::TimePoint::clock::now() + Limits.EventLag});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

void EngineState::noteReport() {
  auto now = base::TimePoint::clock::now();
  Reports.push_back({now,
                     {{"incarnation", Incarnation},
                      {"running", Runs.size()},
                      {"kv_tokens_used", KvUsed},
                      {"kv_tokens_total", Limits.KvTokens},
                      {"cold", Cold},
                      {"time_ms", base::toUnixMilliseconds(base::wallNow())}}});
  // The newest report that is older than the lag is the visible one.
  while (Reports.size() > 1 && Reports[1].At <= now - Limits.LoadLag)
    Reports.pop_front();
}

nlohmann::json EngineState::loadReport() const {
  std::lock_guard lock(Mutex);
  auto visible = base::TimePoint::clock::now() - Limits.LoadLag;
  std::size_t i = 0;
  while (i + 1 < Reports.size() && Reports[i + 1].At <= visible)
    ++i;
  nlohmann::json body = Reports[i].Body;
  // Time at which the state was as reported.
  if (i + 1 == Reports.size())
    body["time_ms"] =
        base::toUnixMilliseconds(base::wallNow() - Limits.LoadLag);
  return body;
}

nlohmann::json EngineState::cacheEvents(std::uint64_t from) const {
  std::lock_guard lock(Mutex);
  auto now = base::TimePoint::clock::now();
  nlohmann::json events = nlohmann::json::array();
  std::uint64_t next = from;
  for (const Event &it : Events) {
    if (it.VisibleAt > now)
      break;
    if (it.Sequence < from)
      continue;
    events.push_back(
        {{"sequence", it.Sequence}, {"kind", it.Kind}, {"block", it.Block}});
    next = it.Sequence + 1;
  }
  return {{"incarnation", Incarnation}, {"events", events}, {"next", next}};
}

nlohmann::json EngineState::stats() const {
  std::lock_guard lock(Mutex);
  return {{"incarnation", Incarnation},
          {"cold", Cold},
          {"running", Runs.size()},
          {"kv_tokens_used", KvUsed},
          {"requests", Count.Requests},
          {"completed", Count.Completed},
          {"cancelled", Count.Cancelled},
          {"refused", Count.Refused},
          {"overloads",
           Count.KvOverloads + Count.ColdOverloads + Count.RunningOverloads},
          {"kv_overloads", Count.KvOverloads},
          {"cold_overloads", Count.ColdOverloads},
          {"running_overloads", Count.RunningOverloads},
          {"highest_running", Count.HighestRunning},
          {"highest_kv_tokens", Count.HighestKvTokens},
          {"duplicate_ids", Count.DuplicateIds}};
}

} // namespace bergamot::standin
