#include "libbergamotgateway/targetratelimits.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bergamot::gateway {

using std::chrono::duration;
using std::chrono::seconds;

namespace {

/// Period without a response of a target after which other entries take over
/// its limit: the time in which each of the entries that share it may send so
/// many requests, but at least MinTakeOverPeriod.
constexpr double RequestsPerTakeOver = 2;
constexpr seconds MinTakeOverPeriod{5};
/// Statements are forgotten after this time without a newer one.
constexpr seconds StatementLifetime{60};
/// How many entries share a limit, beyond one for each request per second.
constexpr double ExtraEntries = 1;
/// Requests that an entry may save up, in seconds of its share, but at least
/// one request.
constexpr double MaxSavedSeconds = 0.2;
/// Rate assumed for a target that takes none: without a request, nobody would
/// learn that it takes some again.
constexpr double MinRequestsPerSecond = 0.1;

double rateOf(const RateStatement &statement) {
  return std::max(MinRequestsPerSecond, *statement.RequestsPerSecond);
}

/// Returns how many of the entries share a limit.
double sharingEntries(double rate, std::size_t entries) {
  return std::min(static_cast<double>(entries),
                  std::floor(rate) + ExtraEntries);
}

/// Returns the number of the take-over period in which a statement is.
std::uint64_t takeOverEpoch(const RateStatement &statement, std::size_t entries,
                            TimePoint now) {
  const double rate = rateOf(statement);
  const duration<double> period(
      std::max(duration<double>(MinTakeOverPeriod).count(),
               RequestsPerTakeOver * sharingEntries(rate, entries) / rate));
  const duration<double> age = now - statement.StatedAt;
  return static_cast<std::uint64_t>(std::max(0.0, age / period));
}

std::uint64_t rendezvousHash(TargetHash target, std::uint64_t epoch,
                             std::uint64_t entryHash) {
  const std::array<std::uint64_t, 3> words = {target, epoch, entryHash};
  return base::xxHash64(std::string_view(
      reinterpret_cast<const char *>(words.data()), sizeof(words)));
}

} // namespace

void TargetRateLimits::setEntries(const std::string &self,
                                  const std::set<std::string> &heard,
                                  const std::set<std::string> &known) {
  std::set<std::string> others = known;
  others.insert(heard.begin(), heard.end());
  others.erase(self);
  const std::size_t heardCount = heard.size() - heard.count(self);
  const bool hearsMajority = 2 * (heardCount + 1) > others.size() + 1;
  std::set<std::uint64_t> hashes;
  for (const auto &it : hearsMajority ? heard : others)
    hashes.insert(base::xxHash64(it));
  OwnHash = base::xxHash64(self);
  hashes.insert(OwnHash);
  if (hashes == EntryHashes)
    return;
  EntryHashes = std::move(hashes);
  ++Revision;
}

bool TargetRateLimits::recordResponse(const RateStatement &statement,
                                      TimePoint sentAt) {
  const auto it = ByTarget.find(statement.Target);
  const Limit *known = it == ByTarget.end() ? nullptr : &it->second;
  if (!statement.RequestsPerSecond) {
    if (!known || !known->Statement.RequestsPerSecond ||
        sentAt < known->Statement.StatedAt)
      return false;
    set(statement, true, statement.StatedAt);
    return true;
  }
  const bool isNews =
      !known ||
      known->Statement.RequestsPerSecond != statement.RequestsPerSecond ||
      known->Statement.StartedAtMs != statement.StartedAtMs;
  set(statement, true, statement.StatedAt);
  return isNews;
}

void TargetRateLimits::merge(const std::vector<RateStatement> &statements,
                             TimePoint now) {
  for (const auto &it : statements) {
    const auto known = ByTarget.find(it.Target);
    if (known == ByTarget.end() ||
        known->second.Statement.StatedAt < it.StatedAt)
      set(it, false, now);
  }
}

void TargetRateLimits::set(const RateStatement &statement, bool isOwn,
                           TimePoint now) {
  Limit &limit = ByTarget[statement.Target];
  const bool wasLimited = limit.Statement.RequestsPerSecond &&
                          limit.Statement.StartedAtMs == statement.StartedAtMs;
  if (wasLimited)
    update(limit, now);
  else
    limit = {.CountedAt = now};
  limit.Statement = statement;
  limit.IsOwn = isOwn;
  limit.ShareRevision = 0;
  if (statement.RequestsPerSecond)
    update(limit, now);
}

std::vector<RateStatement> TargetRateLimits::ownStatements() const {
  std::vector<RateStatement> statements;
  for (const auto &[target, limit] : ByTarget)
    if (limit.IsOwn)
      statements.push_back(limit.Statement);
  return statements;
}

std::vector<RateStatement> TargetRateLimits::allStatements() const {
  std::vector<RateStatement> statements;
  for (const auto &[target, limit] : ByTarget)
    statements.push_back(limit.Statement);
  return statements;
}

/// Adds the requests that have become due since the last call, and computes
/// this entry's share from now on.
void TargetRateLimits::update(Limit &limit, TimePoint now) {
  if (now > limit.CountedAt) {
    const double passed = duration<double>(now - limit.CountedAt).count();
    const double most = std::max(1.0, limit.Share * MaxSavedSeconds);
    limit.Tokens = std::min(most, limit.Tokens + passed * limit.Share);
    limit.CountedAt = now;
  }
  const std::uint64_t epoch =
      takeOverEpoch(limit.Statement, EntryHashes.size(), now);
  if (limit.ShareRevision == Revision && limit.ShareEpoch == epoch)
    return;
  limit.Share = computeShare(limit, epoch);
  limit.ShareEpoch = epoch;
  limit.ShareRevision = Revision;
}

double TargetRateLimits::computeShare(const Limit &limit,
                                      std::uint64_t epoch) const {
  const double rate = rateOf(limit.Statement);
  const double sharing = sharingEntries(rate, EntryHashes.size());
  const TargetHash target = limit.Statement.Target;
  const std::uint64_t self = rendezvousHash(target, epoch, OwnHash);
  const auto ahead = std::count_if(
      EntryHashes.begin(), EntryHashes.end(), [&](std::uint64_t it) {
        return rendezvousHash(target, epoch, it) < self;
      });
  return static_cast<double>(ahead) < sharing ? rate / sharing : 0;
}

TargetRateLimits::Limit *TargetRateLimits::activeLimit(TargetHash target,
                                                       std::int64_t startedAtMs,
                                                       TimePoint now) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end() || !it->second.Statement.RequestsPerSecond ||
      it->second.Statement.StartedAtMs < startedAtMs)
    return nullptr;
  update(it->second, now);
  return &it->second;
}

TimePoint TargetRateLimits::nextSendAt(TargetHash target,
                                       std::int64_t startedAtMs,
                                       TimePoint now) {
  const Limit *limit = activeLimit(target, startedAtMs, now);
  if (!limit || limit->Tokens >= 1)
    return now;
  if (limit->Share <= 0)
    return TimePoint::max();
  return now + std::chrono::ceil<base::Duration>(
                   duration<double>((1 - limit->Tokens) / limit->Share));
}

std::optional<double> TargetRateLimits::share(TargetHash target,
                                              std::int64_t startedAtMs,
                                              TimePoint now) {
  const Limit *limit = activeLimit(target, startedAtMs, now);
  return limit ? std::optional(limit->Share) : std::nullopt;
}

void TargetRateLimits::recordSent(TargetHash target, TimePoint now) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end() || !it->second.Statement.RequestsPerSecond)
    return;
  update(it->second, now);
  it->second.Tokens -= 1;
}

void TargetRateLimits::handleSuspension(TimePoint now) {
  for (auto &[target, limit] : ByTarget) {
    limit.Tokens = std::min(limit.Tokens, 0.0);
    limit.CountedAt = now;
  }
}

void TargetRateLimits::removeExpired(TimePoint now) {
  std::erase_if(ByTarget, [&](const auto &it) {
    return it.second.Statement.StatedAt + StatementLifetime <= now;
  });
}

} // namespace bergamot::gateway
