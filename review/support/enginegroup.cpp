#include "enginegroup.h"

#include <unistd.h>

#include <algorithm>
#include <thread>

namespace bergamot::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Epoch = 1;
constexpr milliseconds PassTime{45};
constexpr milliseconds CopyTime{400};
constexpr milliseconds CheckInInterval{1200};
/// Which experts are popular changes after this number of passes.
constexpr unsigned PassesPerPopularity = 60;
constexpr std::uint64_t PopularChoices = 4000;
constexpr std::uint64_t OtherChoices = 200;

std::string response(int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

json versionOrNull(std::uint64_t version) {
  return version == 0 ? json(nullptr) : json{{"version", version}};
}

} // namespace

EngineGroup::EngineGroup(const std::vector<std::string> &addresses,
                         std::string service, GroupShape shape, Store &store,
                         Record &record)
    : Service(std::move(service)), Shape(shape), Platform(store), Log(record),
      Ranks(shape.Ranks) {
  // Map 0 assigns experts in turn.
  json first(std::vector<std::vector<unsigned>>(Shape.Ranks));
  for (unsigned e = 0; e < Shape.Experts; ++e)
    first[e % Shape.Ranks].push_back(e);
  for (unsigned i = 0; i < Shape.Ranks; ++i) {
    Ranks[i].Content = json::array({first});
    Ranks[i].Counts.assign(Shape.Experts, 0);
    const int listener = listenOn(addresses[i], Ranks[i].Listening);
    serveForever(listener, [this, i](int fd) { serve(i, fd); });
  }
  std::thread([this] {
    for (;;) {
      checkIn();
      std::this_thread::sleep_for(CheckInInterval);
    }
  }).detach();
  std::thread([this] { runPasses(); }).detach();
}

const Endpoint &EngineGroup::endpoint(unsigned rank) const {
  return Ranks[rank].Listening;
}

void EngineGroup::disturb(unsigned rank, milliseconds delay) {
  const std::lock_guard lock(Mutex);
  Ranks[rank].Disturbed = true;
  Ranks[rank].Delay = delay;
}

unsigned EngineGroup::answers(unsigned rank) {
  const std::lock_guard lock(Mutex);
  return Ranks[rank].Answers;
}

void EngineGroup::checkIn() {
  const std::lock_guard lock(Mutex);
  for (unsigned i = 0; i < Shape.Ranks; ++i) {
    const json entry = {
        {"service", Service},
        {"address", Ranks[i].Listening.text()},
        {"zone", "zone-a"},
        {"version", "v1"},
        {"slots", 12},
        {"state", "ready"},
        {"cold-remaining-ms", 0},
        {"sequence", Ranks[i].Sequence},
        {"group",
         {{"name", "g"}, {"epoch", Epoch}, {"rank", i}, {"state", "open"}}},
        {"size", Shape.Ranks}};
    Platform.put("keyed.servers", "i-rank-" + std::to_string(i), entry.dump());
  }
}

void EngineGroup::runPasses() {
  for (;;) {
    std::this_thread::sleep_for(PassTime);
    const std::lock_guard lock(Mutex);
    const bool isHeld =
        std::any_of(Ranks.begin(), Ranks.end(),
                    [&](const Rank &it) { return it.Held == Step + 1; });
    if (!isHeld)
      beginPass();
  }
}

/// Begins the next pass: armed ranks switch to their new map.
void EngineGroup::beginPass() {
  ++Step;
  bool hasSwitched = false;
  for (auto &it : Ranks) {
    if (!it.Armed || it.Armed->second != Step)
      continue;
    it.Map = it.Armed->first;
    it.Content = it.PreparedContent;
    it.Armed.reset();
    hasSwitched = true;
  }
  std::string maps;
  bool isSame = true;
  for (const auto &it : Ranks) {
    maps += " " + std::to_string(it.Map);
    isSame = isSame && it.Map == Ranks.front().Map &&
             it.Content == Ranks.front().Content;
  }
  if (hasSwitched) {
    ++Changes;
    Log.write("pass " + std::to_string(Step) + " begins with the maps" + maps);
  }
  if (!isSame && !Mixed.exchange(true))
    Log.write("broken: pass " + std::to_string(Step) +
              " begins while the ranks have different maps:" + maps);
  const unsigned popular = ++Passes / PassesPerPopularity % Shape.Ranks;
  for (auto &it : Ranks)
    for (unsigned e = 0; e < Shape.Experts; ++e)
      it.Counts[e] +=
          e % Shape.Ranks == popular ? PopularChoices : OtherChoices;
}

void EngineGroup::serve(unsigned rank, int fd) {
  HttpReader reader(fd);
  // The second copy of an answer on this channel that is still to be sent.
  std::string copy;
  while (const auto request = reader.read()) {
    const std::string target = request->secondWord();
    std::string answer;
    if (target.starts_with("/v1/report")) {
      answer = response(200, report(rank));
    } else if (target.starts_with("/v1/picked")) {
      answer = response(
          200, picked(rank, target.find("lists") != std::string::npos));
    } else if (target.starts_with("/v1/order")) {
      const json body = json::parse(request->Body);
      const auto operation = body.at("operation").get<std::string>();
      if (!copy.empty() && operation == "arm") {
        Log.write("rank " + std::to_string(rank) +
                  " sends the copy of its answer to prepare, leaves arm "
                  "unanswered and will carry it out late");
        std::thread([this, rank, body] {
          std::this_thread::sleep_for(Ranks[rank].Delay);
          Log.write("rank " + std::to_string(rank) + " carries out the arm: " +
                    std::to_string(order(rank, body)));
        }).detach();
        (void)sendAll(fd, std::exchange(copy, {}));
        continue;
      }
      const int status = order(rank, body);
      Log.write("rank " + std::to_string(rank) + " answers " +
                std::to_string(status) + " to " + operation + " " +
                std::to_string(body.value("version", std::uint64_t{0})) +
                " step " +
                std::to_string(body.value("step", std::uint64_t{0})));
      answer = response(status, "{}");
      const std::lock_guard lock(Mutex);
      if (Ranks[rank].Disturbed && operation == "prepare" && status == 202) {
        Ranks[rank].Disturbed = false;
        copy = answer;
      }
    } else {
      answer = response(404, "");
    }
    {
      const std::lock_guard lock(Mutex);
      ++Ranks[rank].Answers;
    }
    if (!sendAll(fd, answer))
      break;
  }
  ::close(fd);
}

std::string EngineGroup::report(unsigned rank) {
  const std::lock_guard lock(Mutex);
  const Rank &it = Ranks[rank];
  json body = {
      {"stage", "both"},
      {"models", json::array()},
      {"busy", false},
      {"sequence", it.Sequence},
      {"queue-depth", 0},
      {"active-requests", 6},
      {"group",
       {{"name", "g"}, {"epoch", Epoch}, {"rank", rank}, {"state", "open"}}},
      {"size", Shape.Ranks},
      {"step", Step},
      {"map", {{"version", it.Map}}},
      {"prepared", versionOrNull(it.Prepared)},
      {"armed", nullptr},
      {"held", nullptr},
      {"pace", 1.0}};
  if (it.Armed)
    body["armed"] = {{"version", it.Armed->first}, {"step", it.Armed->second}};
  if (it.Held)
    body["held"] = {{"step", *it.Held}};
  return body.dump();
}

std::string EngineGroup::picked(unsigned rank, bool withLists) {
  const std::lock_guard lock(Mutex);
  const Rank &it = Ranks[rank];
  json body = {{"step", Step}, {"epoch", Epoch}, {"counts", it.Counts}};
  if (withLists) {
    body["map"] = {{"version", it.Map},
                   {"experts", json::array({it.Content[0][rank]})}};
    body["prepared"] = versionOrNull(it.Prepared);
  }
  return body.dump();
}

int EngineGroup::order(unsigned rank, const json &body) {
  const std::lock_guard lock(Mutex);
  Rank &it = Ranks[rank];
  const auto operation = body.at("operation").get<std::string>();
  if (body.value("epoch", Epoch) != Epoch)
    return 409;
  const auto version = body.value("version", std::uint64_t{0});
  const auto step = body.value("step", std::uint64_t{0});
  if (operation == "prepare")
    return prepare(it, rank, body);
  if (operation == "arm") {
    const std::pair armed(version, step);
    if (it.Armed == armed)
      return 200;
    if (it.Prepared != version || step <= Step || it.Armed)
      return 409;
    it.Armed = armed;
  } else if (operation == "disarm") {
    if (it.Map == version)
      return 409;
    if (!it.Armed || it.Armed->first != version)
      return 200;
    it.Armed.reset();
  } else if (operation == "hold") {
    if (it.Held == step)
      return 200;
    if (step <= Step || it.Held)
      return 409;
    it.Held = step;
  } else if (operation == "go") {
    if (it.Held != step)
      return 200;
    it.Held.reset();
  } else {
    return 400;
  }
  ++it.Sequence;
  return 202;
}

int EngineGroup::prepare(Rank &it, unsigned rank, const json &body) {
  const auto version = body.at("version").get<std::uint64_t>();
  if (version <= it.Highest || it.Armed)
    return 409;
  const json &map = body.at("map");
  unsigned added = 0;
  for (const json &expert : map[0][rank]) {
    const json &held = it.Content[0][rank];
    added += std::find(held.begin(), held.end(), expert) == held.end() ? 1 : 0;
  }
  if (added > Shape.Spare || map[0][rank].size() > Shape.Placements)
    return 409;
  it.Highest = version;
  it.Prepared = 0;
  ++it.Sequence;
  std::thread([this, &it, version, map, added] {
    std::this_thread::sleep_for(added * CopyTime);
    const std::lock_guard lock(Mutex);
    if (it.Highest != version)
      return;
    it.Prepared = version;
    it.PreparedContent = map;
  }).detach();
  return 202;
}

} // namespace bergamot::review
