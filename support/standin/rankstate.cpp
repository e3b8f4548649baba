#include "standin/rankstate.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

namespace bergamot::standin {

namespace {

constexpr std::uint64_t DefaultLayers = 4;
constexpr std::uint64_t DefaultExperts = 16;
constexpr std::uint64_t MaxCounts = 1000000;
constexpr std::uint64_t TokensOfTopExpert = 1000;

} // namespace

bool RankState::handle(Exchange &exchange) {
  if (exchange.is("POST", "/v1/rank/stage"))
    stage(exchange);
  else if (exchange.is("POST", "/v1/rank/switch"))
    setMap(exchange);
  else if (exchange.is("GET", "/v1/rank/counts"))
    answerCounts(exchange);
  else
    return false;
  return true;
}

void RankState::stage(Exchange &exchange) {
  auto body = exchange.body();
  auto hash = body.at("hash").get<std::string>();
  {
    std::lock_guard lock(Mutex);
    Staged.emplace(hash, body.at("map"));
  }
  exchange.answer(200, {{"hash", hash}, {"staged", true}});
}

void RankState::setMap(Exchange &exchange) {
  auto body = exchange.body();
  auto hash = body.at("hash").get<std::string>();
  auto step = body.at("step").get<std::uint64_t>();
  std::string problem;
  {
    std::lock_guard lock(Mutex);
    auto it = Switches.find(step);
    bool isRepeat = it != Switches.end() && it->second == hash;
    if (Staged.count(hash) == 0)
      problem = "the map is not staged";
    else if (it != Switches.end() && !isRepeat)
      problem = "another map is switched to at this step";
    else if (step < Step && !isRepeat)
      problem = "the step has passed";
    else
      Switches[step] = hash;
  }
  if (!problem.empty())
    exchange.answerProblem(409, problem);
  else
    exchange.answer(200, {{"hash", hash}, {"step", step}});
}

void RankState::answerCounts(Exchange &exchange) {
  std::uint64_t layers = exchange.number("layers", DefaultLayers);
  std::uint64_t experts = exchange.number("experts", DefaultExperts);
  if (layers * experts > MaxCounts)
    throw base::Error(base::Step::Parse, "", "too many experts");
  nlohmann::json body;
  {
    std::lock_guard lock(Mutex);
    body = {{"step", ++Step}, {"map", mapInUse()}};
  }
  nlohmann::json counts = nlohmann::json::array();
  for (std::uint64_t layer = 0; layer < layers; ++layer) {
    // Popularity falls with the rank of the expert; which expert has which
    // rank differs by layer.
    std::uint64_t shift = base::xxHash64(std::to_string(layer), Seed) % experts;
    nlohmann::json row = nlohmann::json::array();
    for (std::uint64_t i = 0; i < experts; ++i)
      row.push_back(TokensOfTopExpert / ((i + shift) % experts + 1));
    counts.push_back(std::move(row));
  }
  body["counts"] = std::move(counts);
  exchange.answer(200, body);
}

std::string RankState::mapInUse() const {
  auto it = Switches.upper_bound(Step);
  return it == Switches.begin() ? std::string() : std::prev(it)->second;
}

} // namespace bergamot::standin
