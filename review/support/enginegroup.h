#ifndef BERGAMOT_REVIEW_ENGINEGROUP_H
#define BERGAMOT_REVIEW_ENGINEGROUP_H

#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::review {

/// Dimensions of the expert maps.
struct GroupShape {
  unsigned Ranks = 3;
  unsigned Experts = 12;
  unsigned Placements = 6;
  unsigned Spare = 2;
};

/// Stands in for the workers of one group of ranks, which execute passes
/// together: their orders, their reports and what requests chose. Each rank has
/// an address of its own. The group is always busy and never restarts.
class EngineGroup {
public:
  EngineGroup(const std::vector<std::string> &addresses, std::string service,
              GroupShape shape, Store &store, Record &record);

  const Endpoint &endpoint(unsigned rank) const;
  /// From now on, the rank sends a second copy of its answer to the next
  /// `prepare`, at the point where the next answer on that channel is due. It
  /// doesn't answer the `arm` that comes there, and carries it out after
  /// `delay`.
  void disturb(unsigned rank, std::chrono::milliseconds delay);
  /// Returns the number of answers that the rank has sent, copies left out.
  unsigned answers(unsigned rank);
  /// Returns the number of changes of the map.
  unsigned changes() const { return Changes; }
  /// Returns whether a pass has begun with different maps.
  bool isMixed() const { return Mixed; }

private:
  struct Rank {
    Endpoint Listening;
    std::uint64_t Map = 0;
    nlohmann::json Content;
    std::uint64_t Highest = 0;
    std::uint64_t Prepared = 0;
    nlohmann::json PreparedContent;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> Armed;
    std::optional<std::uint64_t> Held;
    std::vector<std::uint64_t> Counts;
    std::uint64_t Sequence = 0;
    unsigned Answers = 0;
    bool Disturbed = false;
    std::chrono::milliseconds Delay{0};
  };

  void checkIn();
  void runPasses();
  void beginPass();
  void serve(unsigned rank, int fd);
  std::string report(unsigned rank);
  std::string picked(unsigned rank, bool withLists);
  int order(unsigned rank, const nlohmann::json &body);
  int prepare(Rank &it, unsigned rank, const nlohmann::json &body);

  std::string Service;
  GroupShape Shape;
  Store &Platform;
  Record &Log;
  std::mutex Mutex;
  std::vector<Rank> Ranks;
  std::uint64_t Step = 1;
  unsigned Passes = 0;
  std::atomic<unsigned> Changes{0};
  std::atomic<bool> Mixed{false};
};

} // namespace bergamot::review

#endif
