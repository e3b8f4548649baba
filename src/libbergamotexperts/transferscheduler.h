#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_TRANSFERSCHEDULER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_TRANSFERSCHEDULER_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::experts {

/// Names the weights of one expert on their way to one rank of a group.
struct TransferKey {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t Layer = 0;
  std::uint32_t Expert = 0;

  auto operator<=>(const TransferKey &) const = default;
};

/// Weights that a rank needs.
struct TransferRequest {
  TransferKey Key;
  std::uint64_t Bytes = 0;
  /// Tokens per step that wait for the replica; the hottest goes first.
  double Priority = 0;
};

/// Limits over all groups together.
struct TransferSettings {
  /// Rate that the weight store grants to all groups together.
  double BytesPerSecond = 500e6;
  /// Part of the time in which a group may receive, as a transfer slows the
  /// steps of its whole group. A group has one read at a time; after a read
  /// that took d, the next starts d / MaxBusyPart after the start of that read.
  double MaxBusyFraction = 0.5;
  /// Bytes per read; an interruption loses at most one.
  std::uint64_t ChunkBytes = 4 << 20;
  std::uint32_t MaxConcurrentReads = 8;
  /// Failed reads in a row after which a transfer is given up.
  std::uint32_t MaxFailures = 5;
  base::Duration RetryDelay = std::chrono::milliseconds(200);
  /// Time after which a read without an answer counts as failed.
  base::Duration ReadTimeout = std::chrono::seconds(5);
};

/// Asks for one read from the weight store.
struct ReadAction {
  TransferKey Key;
  std::uint64_t Offset = 0;
  std::uint64_t Length = 0;
};

/// How a transfer ended.
struct TransferResult {
  TransferKey Key;
  bool Complete = false;
};

/// Orders the reads from the weight store of all groups.
class TransferScheduler {
public:
  explicit TransferScheduler(TransferSettings settings);

  /// Adds a transfer, or updates the heat of one that is known.
  void addTransfer(const TransferRequest &request);
  /// Drops the transfers of a group that aren't needed any more, except those
  /// in `needed`.
  void removeAllExcept(const std::string &group,
                       const std::vector<TransferKey> &needed,
                       base::TimePoint now);

  /// Returns the reads to start now, hottest transfers first, and counts reads
  /// without an answer as failed.
  std::vector<ReadAction> startReads(base::TimePoint now);
  /// Records bytes that arrived. Only bytes at the offset that is due count.
  void recordBytes(const TransferKey &key, std::uint64_t offset,
                   std::uint64_t bytes, base::TimePoint now);
  /// Records that a read failed. `retryAt` is the store's wish, or `now`.
  void recordFailure(const TransferKey &key, base::TimePoint now,
                     base::TimePoint retryAt);
  /// Records a Retry-After of the store, which stops all reads until then and
  /// isn't a failure of the transfer.
  void recordThrottle(const TransferKey &key, base::TimePoint now,
                      base::TimePoint retryAt);

  /// Returns the transfers that ended since the last call.
  std::vector<TransferResult> takeResults();
  /// Returns when startReads() can do more; TimePoint::max() if only an answer
  /// or a new transfer can change that.
  base::TimePoint nextStartTime(base::TimePoint now) const;
  std::size_t transferCount() const { return Transfers.size(); }

private:
  struct Transfer {
    std::uint64_t Bytes = 0;
    std::uint64_t Offset = 0;
    double Priority = 0;
    std::uint32_t Failures = 0;
    bool Reading = false;
    base::TimePoint NotBefore;
    base::TimePoint ReadStarted;
    base::TimePoint ReadDeadline;
  };
  struct Group {
    bool Reading = false;
    base::TimePoint AvailableAt;
  };

  void failTimedOutReads(base::TimePoint now);
  void finishRead(const TransferKey &key, Transfer &transfer,
                  base::TimePoint now);

  TransferSettings Settings;
  std::map<TransferKey, Transfer> Transfers;
  std::map<std::string, Group> Groups;
  base::TimePoint StoreAvailableAt;
  std::uint32_t Reads = 0;
  std::vector<TransferResult> Results;
};

} // namespace bergamot::experts

#endif
