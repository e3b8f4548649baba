#include "libbergamotexperts/transferscheduler.h"

#include <algorithm>
#include <utility>

namespace bergamot::experts {

namespace {

base::Duration scaled(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(duration) * factor);
}

} // namespace

TransferScheduler::TransferScheduler(TransferSettings settings)
    : Settings(settings) {}

void TransferScheduler::addTransfer(const TransferRequest &request) {
  auto [it, isNew] = Transfers.try_emplace(request.Key);
  it->second.Priority = request.Priority;
  if (isNew)
    it->second.Bytes = request.Bytes;
}

void TransferScheduler::removeAllExcept(const std::string &group,
                                        const std::vector<TransferKey> &needed,
                                        base::TimePoint now) {
  for (auto it = Transfers.begin(); it != Transfers.end();) {
    if (it->first.Group != group ||
        std::ranges::find(needed, it->first) != needed.end()) {
      ++it;
      continue;
    }
    finishRead(it->first, it->second, now);
    it = Transfers.erase(it);
  }
}

void TransferScheduler::finishRead(const TransferKey &key, Transfer &transfer,
                                   base::TimePoint now) {
  if (!transfer.ReadInProgress)
    return;
  transfer.ReadInProgress = false;
  --ReadsInProgress;
  Group &group = Groups[key.Group];
  group.ReadInProgress = false;
  group.AvailableAt =
      transfer.ReadStarted +
      scaled(now - transfer.ReadStarted, 1 / Settings.MaxBusyFraction);
}

void TransferScheduler::failTimedOutReads(base::TimePoint now) {
  std::vector<TransferKey> timedOut;
  for (const auto &[key, transfer] : Transfers)
    if (transfer.ReadInProgress && now >= transfer.ReadDeadline)
      timedOut.push_back(key);
  for (const auto &key : timedOut)
    recordFailure(key, now, now);
}

std::vector<ReadAction> TransferScheduler::startReads(base::TimePoint now) {
  failTimedOutReads(now);
  std::vector<std::pair<const TransferKey, Transfer> *> candidates;
  for (auto &entry : Transfers)
    if (!entry.second.ReadInProgress && entry.second.NotBefore <= now)
      candidates.push_back(&entry);
  std::ranges::stable_sort(candidates, [](const auto *a, const auto *b) {
    return a->second.Priority > b->second.Priority;
  });
  std::vector<ReadAction> reads;
  for (auto *entry : candidates) {
    auto &[key, transfer] = *entry;
    if (ReadsInProgress >= Settings.MaxConcurrentReads ||
        StoreAvailableAt > now)
      break;
    Group &group = Groups[key.Group];
    if (group.ReadInProgress || group.AvailableAt > now)
      continue;
    const std::uint64_t length =
        std::min(Settings.ChunkBytes, transfer.Bytes - transfer.Offset);
    reads.push_back({key, transfer.Offset, length});
    transfer.ReadInProgress = true;
    transfer.ReadStarted = now;
    transfer.ReadDeadline = now + Settings.ReadTimeout;
    group.ReadInProgress = true;
    ++ReadsInProgress;
    StoreAvailableAt =
        now + scaled(std::chrono::seconds(1),
                     static_cast<double>(length) / Settings.BytesPerSecond);
  }
  return reads;
}

void TransferScheduler::recordBytes(const TransferKey &key,
                                    std::uint64_t offset, std::uint64_t bytes,
                                    base::TimePoint now) {
  const auto it = Transfers.find(key);
  if (it == Transfers.end())
    return;
  Transfer &transfer = it->second;
  if (!transfer.ReadInProgress || offset != transfer.Offset || bytes == 0)
    return;
  finishRead(key, transfer, now);
  transfer.Offset = std::min(transfer.Offset + bytes, transfer.Bytes);
  transfer.Failures = 0;
  transfer.NotBefore = now;
  if (transfer.Offset == transfer.Bytes) {
    Results.push_back({key, true});
    Transfers.erase(it);
  }
}

void TransferScheduler::recordFailure(const TransferKey &key,
                                      base::TimePoint now,
                                      base::TimePoint retryAt) {
  const auto it = Transfers.find(key);
  if (it == Transfers.end() || !it->second.ReadInProgress)
    return;
  Transfer &transfer = it->second;
  finishRead(key, transfer, now);
  if (++transfer.Failures >= Settings.MaxFailures) {
    Results.push_back({key, false});
    Transfers.erase(it);
    return;
  }
  const auto delay = Settings.RetryDelay * (1U << (transfer.Failures - 1));
  transfer.NotBefore = std::max(retryAt, now + delay);
}

void TransferScheduler::recordThrottle(const TransferKey &key,
                                       base::TimePoint now,
                                       base::TimePoint retryAt) {
  const auto it = Transfers.find(key);
  if (it != Transfers.end())
    finishRead(key, it->second, now);
  StoreAvailableAt = std::max(StoreAvailableAt, retryAt);
}

std::vector<TransferResult> TransferScheduler::takeResults() {
  return std::exchange(Results, {});
}

base::TimePoint TransferScheduler::nextStartTime(base::TimePoint now) const {
  auto next = base::TimePoint::max();
  for (const auto &[key, transfer] : Transfers) {
    const auto group = Groups.find(key.Group);
    if (transfer.ReadInProgress)
      next = std::min(next, transfer.ReadDeadline);
    else if (group == Groups.end())
      next =
          std::min(next, std::max({now, transfer.NotBefore, StoreAvailableAt}));
    else if (ReadsInProgress < Settings.MaxConcurrentReads &&
             !group->second.ReadInProgress)
      next = std::min(next, std::max({now, transfer.NotBefore, StoreAvailableAt,
                                      group->second.AvailableAt}));
  }
  return next;
}

} // namespace bergamot::experts
