#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETRATELIMITS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETRATELIMITS_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotgateway/loadtracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// What a target's newest response states about the request rate that it takes.
struct RateStatement {
  TargetHash Target = 0;
  /// Start time in the target's record, in Unix milliseconds. A statement
  /// doesn't apply to a target that has restarted since.
  std::int64_t StartedAtMs = 0;
  /// Requests per second that the target takes from all entries together; unset
  /// if it no longer names a limit.
  std::optional<double> RequestsPerSecond;
  /// When the response arrived.
  TimePoint StatedAt;
};

/// The request rates that targets take from all entries together. Each entry
/// paces its requests to a limited target by a share of the limit, and the
/// entries tell each other what targets state, so that an entry without a share
/// and one that has just started know a limit and its end.
///
/// A limit may be lower than one request per second for each entry. A few
/// entries then share it, as equal fractions would let many entries send their
/// first request at the same time. They are determined by rendezvous hashing of
/// the names. If no response of a target arrives anywhere for some time, as its
/// entries are gone or have no callers for it, other entries take over.
///
/// The shares of all entries together bear requests that are already in flight:
/// in any four seconds they add up to less than 1.5 times the limit and five
/// requests.
class TargetRateLimits {
public:
  /// Sets the entries among which limits are divided. `heard` are the ones from
  /// which something arrived lately, `known` all that may be running; both may
  /// omit this entry (`self`). An entry that hears no majority of the others is
  /// probably cut off itself, and counts all of them.
  void setEntries(const std::string &self, const std::set<std::string> &heard,
                  const std::set<std::string> &known);

  /// Records what a response states. A response without a limit ends one only
  /// if the request was sent after the limit was stated, because responses may
  /// overtake each other. Returns true if other entries should learn of it at
  /// once.
  bool recordResponse(const RateStatement &statement, TimePoint sentAt);
  /// Merges what another entry has heard from targets.
  void merge(const std::vector<RateStatement> &statements, TimePoint now);
  /// Returns the statements that no other entry has heard later than this one,
  /// to be sent to the others.
  std::vector<RateStatement> ownStatements() const;
  /// Returns all statements, for an entry that has just started.
  std::vector<RateStatement> allStatements() const;

  /// Returns when this entry may send the next request to a target: in the past
  /// if at once, TimePoint::max() if other entries use the limit.
  TimePoint nextSendAt(TargetHash target, std::int64_t startedAtMs,
                       TimePoint now);
  /// Returns the requests per second that this entry may send to a target;
  /// unset if the target names no limit.
  std::optional<double> share(TargetHash target, std::int64_t startedAtMs,
                              TimePoint now);
  /// Counts a request against this entry's share.
  void recordSent(TargetHash target, TimePoint now);

  /// Discards what has been saved up while the process was suspended.
  void handleSuspension(TimePoint now);
  /// Removes statements that are too old to be of use.
  void removeExpired(TimePoint now);
  bool isEmpty() const { return ByTarget.empty(); }

private:
  struct Limit {
    RateStatement Statement;
    /// The statement comes from a response to this entry.
    bool IsOwn = false;
    /// Requests that may be sent at `CountedAt`.
    double Tokens = 0;
    TimePoint CountedAt;
    /// This entry's share in requests per second, and what it was computed for:
    /// the number of the take-over period, and the revision of the entries.
    double Share = 0;
    std::uint64_t ShareEpoch = 0;
    std::uint64_t ShareRevision = 0;
  };

  Limit *activeLimit(TargetHash target, std::int64_t startedAtMs,
                     TimePoint now);
  void set(const RateStatement &statement, bool isOwn, TimePoint now);
  void update(Limit &limit, TimePoint now);
  double computeShare(const Limit &limit, std::uint64_t epoch) const;

  std::map<TargetHash, Limit> ByTarget;
  std::uint64_t OwnHash = 0;
  std::set<std::uint64_t> EntryHashes{0};
  /// Incremented with each change of the entries.
  std::uint64_t Revision = 1;
};

} // namespace bergamot::gateway

#endif
