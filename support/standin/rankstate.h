#ifndef BERGAMOT_STANDIN_RANKSTATE_H
#define BERGAMOT_STANDIN_RANKSTATE_H

#include "standin/exchange.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bergamot::standin {

/// The part of an engine that serves one rank of an expert-parallel group:
/// `POST /v1/rank/stage {"hash","map"}` keeps a map under its hash,
/// `POST /v1/rank/switch {"hash","step"}` makes it the map in use from that
/// step on, and `GET /v1/rank/counts?layers=&experts=` runs one step and
/// returns the tokens that each expert of each layer got in it.
class RankState {
public:
  /// Routing of tokens to experts is a function of the seed and the step.
  explicit RankState(std::uint64_t seed) : Seed(seed) {}

  /// Returns whether the request was for a rank endpoint, and answers it.
  bool handle(Exchange &exchange);

private:
  void stage(Exchange &exchange);
  void setMap(Exchange &exchange);
  void answerCounts(Exchange &exchange);
  std::string mapInUse() const;

  std::uint64_t Seed;
  mutable std::mutex Mutex;
  std::map<std::string, nlohmann::json> Staged;
  std::map<std::uint64_t, std::string> Switches;
  std::uint64_t Step = 0;
};

} // namespace bergamot::standin

#endif
