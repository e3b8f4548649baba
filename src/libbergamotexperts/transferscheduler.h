#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_TRANSFERSCHEDULER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_TRANSFERSCHEDULER_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::experts {

/// Identifies the transfer of one expert's weights to one rank of a group.
struct TransferKey {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t Layer = 0;
  std::uint32_t Expert = 0;

  auto operator<=>(const TransferKey &) const = default;
};

/// A transfer to be scheduled.
struct TransferRequest {
  TransferKey Key;
  std::uint64_t Bytes = 0;
  /// Tokens per step that the replica will take over; the transfer with the
  /// highest value goes first.
  double Priority = 0;
};

/// Limits of the transfers of all groups.
struct TransferSettings {
  /// Rate that the weight store grants to all groups together.
  double BytesPerSecond = 500e6;
  /// Fraction of the time in which a group may receive, as a transfer slows the
  /// steps of its whole group. Each group has one read at a time; a read that
  /// takes d is followed by the next d / MaxBusyFraction after its start.
  double MaxBusyFraction = 0.5;
  /// Bytes per read; an interruption loses at most one read.
  std::uint64_t ChunkBytes = 4 << 20;
  std::uint32_t MaxConcurrentReads = 8;
  /// Consecutive failed reads after which a transfer is abandoned.
  std::uint32_t MaxFailures = 5;
  base::Duration RetryDelay = std::chrono::milliseconds(200);
  /// Time after which an unanswered read counts as failed.
  base::Duration ReadTimeout = std::chrono::seconds(5);
};

/// A read from the weight store to start.
struct ReadAction {
  TransferKey Key;
  std::uint64_t Offset = 0;
  std::uint64_t Length = 0;
};

/// Outcome of a transfer.
struct TransferResult {
  TransferKey Key;
  bool Complete = false;
};

/// Schedules the reads of all groups from the weight store.
class TransferScheduler {
public:
  explicit TransferScheduler(TransferSettings settings);

  /// Adds a transfer, or updates the priority of a known one.
  void addTransfer(const TransferRequest &request);
  /// Removes the transfers of a group except those in `needed`.
  void removeAllExcept(const std::string &group,
                       const std::vector<TransferKey> &needed,
                       base::TimePoint now);

  /// Returns the reads to start now, by descending priority. Before that,
  /// counts unanswered reads past their timeout as failed.
  std::vector<ReadAction> startReads(base::TimePoint now);
  /// Records received bytes. Bytes that don't start at the end of those
  /// received so far are ignored.
  void recordBytes(const TransferKey &key, std::uint64_t offset,
                   std::uint64_t bytes, base::TimePoint now);
  /// Records a failed read. `retryAt` is the time that the store asks to wait
  /// until, or `now`.
  void recordFailure(const TransferKey &key, base::TimePoint now,
                     base::TimePoint retryAt);
  /// Records a Retry-After of the store in response to the read of `key`. It
  /// blocks the reads of all groups until `retryAt` and doesn't count as a
  /// failure of the transfer.
  void recordThrottle(const TransferKey &key, base::TimePoint now,
                      base::TimePoint retryAt);

  /// Returns the results of the transfers that ended since the last call.
  std::vector<TransferResult> takeResults();
  /// Returns when startReads() may return more reads; TimePoint::max() if only
  /// a response or a new transfer can change that.
  base::TimePoint nextStartTime(base::TimePoint now) const;
  std::size_t transferCount() const { return Transfers.size(); }

private:
  struct Transfer {
    std::uint64_t Bytes = 0;
    std::uint64_t Offset = 0;
    double Priority = 0;
    std::uint32_t Failures = 0;
    bool ReadInProgress = false;
    base::TimePoint NotBefore;
    base::TimePoint ReadStarted;
    base::TimePoint ReadDeadline;
  };
  struct Group {
    bool ReadInProgress = false;
    base::TimePoint AvailableAt;
  };

  void failTimedOutReads(base::TimePoint now);
  void finishRead(const TransferKey &key, Transfer &transfer,
                  base::TimePoint now);

  TransferSettings Settings;
  std::map<TransferKey, Transfer> Transfers;
  std::map<std::string, Group> Groups;
  base::TimePoint StoreAvailableAt;
  std::uint32_t ReadsInProgress = 0;
  std::vector<TransferResult> Results;
};

} // namespace bergamot::experts

#endif
