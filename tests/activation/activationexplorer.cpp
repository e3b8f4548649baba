#include "activationexplorer.h"

#include "explorerworld.h"

#include <algorithm>
#include <optional>
#include <unordered_set>

namespace bergamot::experts {

namespace {

const base::TimePoint Start{};
const base::TimePoint Deadline = Start + std::chrono::hours(1);

/// Applies one event to a world.
class Transition {
public:
  Transition(World &world, const ExplorerSettings &settings)
      : W(world), Settings(settings) {}

  /// Sends a message. Answers to coordinators arrive at once: they only make a
  /// coordinator send more, and what it sends may arrive late.
  void send(const Outgoing &message) {
    if (message.To == ToCoordinator) {
      deliver(message);
      return;
    }
    const std::uint64_t hash = messageHash(message);
    const SentMessage *stored = &*W.Messages->try_emplace(hash, message).first;
    if (std::ranges::find(W.Sent, stored) == W.Sent.end())
      W.Sent.push_back(stored);
  }

  /// Sends what leaders and coordinators have to say. Sending at once loses no
  /// behaviour, because a message may arrive at any later moment.
  void sendPending() {
    for (const auto &leader : W.Leaders)
      if (leader.step() <= Settings.Steps)
        sendAll(leader.messages());
    for (std::size_t i = 0; i < W.Coordinators.size(); ++i) {
      if (Settings.Without == Removed::Confirmations)
        send({ToLeader, SwitchOrder{{i + 1}, changeOf(i)}});
      sendAll(W.Coordinators[i].orders(Start));
    }
  }

  /// Forgets messages that their receivers will ignore from now on, which
  /// makes more states equal: epochs only grow, and a rank's epoch starts
  /// again only when it is replaced.
  void prune() {
    std::erase_if(W.Sent, [this](const SentMessage *message) {
      return std::visit(
          [&](const auto &m) { return isDead(message->second.To, m); },
          message->second.Message);
    });
  }

  /// The map of each coordinator; both have the same version.
  static MapId changeOf(std::size_t coordinator) {
    return {2, coordinator == 0 ? "x" : "y"};
  }

  void sendAll(const std::vector<Outgoing> &messages) {
    for (const auto &message : messages)
      send(message);
  }

  void deliver(const Outgoing &message) {
    if (message.To == ToLeader)
      std::visit([this](const auto &m) { toLeaders(m); }, message.Message);
    else if (message.To == ToCoordinator)
      std::visit([this](const auto &m) { toCoordinators(m); }, message.Message);
    else
      std::visit([&](const auto &m) { toRank(message.To, m); },
                 message.Message);
  }

  void replace(std::uint32_t rank) {
    ++W.Replacements;
    const Incarnation life{W.Members[rank].Rank.life().Value + 1};
    if (rank == 0) {
      W.Leaders.emplace_back(livesWith(rank, life),
                             leaderToken(W.Leaders.size()),
                             W.Announced.Version > 0 ? W.Announced : FirstMap);
      W.UnnoticedReplacement.push_back(false);
    } else {
      W.UnnoticedReplacement.back() = true;
    }
    const FencingToken order{W.Coordinators.size()};
    const FencingToken leader = leaderToken(W.Leaders.size() - 1);
    W.Members[rank] = {ActivationRank(rank, life, order, leader),
                       {{}, {}, {}},
                       {},
                       std::vector<MapId>(Settings.Steps)};
    for (auto &coordinator : W.Coordinators)
      coordinator.setReplaced(rank, life);
  }

  std::vector<Incarnation> livesWith(std::uint32_t rank,
                                     Incarnation life) const {
    std::vector<Incarnation> lives;
    for (const Member &member : W.Members)
      lives.push_back(member.Rank.life());
    lives[rank] = life;
    return lives;
  }

  static FencingToken leaderToken(std::size_t index) { return {11 + index}; }

private:
  template <typename T> bool isDead(std::uint32_t, const T &) const {
    return false;
  }
  bool isDead(std::uint32_t, const JoinReply &m) const {
    return std::ranges::none_of(W.Leaders, [&](const StepLeader &leader) {
      return leader.epoch() == m.At && leader.step() == 0;
    });
  }
  bool isDead(std::uint32_t, const StepDone &m) const {
    return std::ranges::none_of(W.Leaders, [&](const StepLeader &leader) {
      return leader.epoch() == m.At &&
             (leader.step() == 0 || leader.step() <= m.Step);
    });
  }
  bool isDead(std::uint32_t rank, const JoinQuery &m) const {
    return isStale(rank, m.At);
  }
  bool isDead(std::uint32_t rank, const StepStart &m) const {
    return isStale(rank, m.At);
  }
  bool isStale(std::uint32_t rank, const Epoch &at) const {
    return Settings.Without != Removed::TokenGuard &&
           W.Replacements == Settings.Replacements &&
           at < W.Members[rank].Rank.epoch();
  }

  template <typename T> void toLeaders(const T &) {}
  template <typename T> void toCoordinators(const T &) {}
  template <typename T> void toRank(std::uint32_t, const T &) {}

  void toLeaders(const SwitchOrder &order) {
    for (auto &leader : W.Leaders)
      announce(leader.setOrder(order));
  }
  void toLeaders(const JoinReply &reply) {
    for (auto &leader : W.Leaders)
      leader.setReply(reply);
  }
  void toLeaders(StepDone done) {
    for (auto &leader : W.Leaders) {
      if (Settings.Without == Removed::Confirmations)
        done.Ready = prepared(done.Step);
      announce(leader.setReply(done));
    }
  }
  /// The map that some leader wants prepared in a step.
  MapId prepared(std::uint64_t step) const {
    for (const auto *message : W.Sent)
      if (const auto *start = std::get_if<StepStart>(&message->second.Message);
          start != nullptr && start->Step == step &&
          start->Prepare.Version != 0)
        return start->Prepare;
    return {};
  }
  void announce(const std::optional<SwitchReply> &reply) {
    if (!reply)
      return;
    // The log shows when a newer lease came before the announcement.
    if (reply->Leader == W.Leaders.back().epoch().Token &&
        reply->Map.Version > W.Announced.Version) {
      W.Announced = reply->Map;
      W.AnnouncedStep = reply->Step;
    }
    send({ToCoordinator, *reply});
  }
  void toCoordinators(const StageReply &reply) {
    for (auto &coordinator : W.Coordinators)
      coordinator.setReply(reply);
  }
  void toCoordinators(const SwitchReply &reply) {
    for (auto &coordinator : W.Coordinators)
      coordinator.setReply(reply);
  }
  void toRank(std::uint32_t rank, StageOrder order) {
    if (Settings.Without == Removed::TokenGuard)
      order.Token = std::max(order.Token, W.Members[rank].Rank.newestOrder());
    act(rank, W.Members[rank].Rank.setMessage(order));
  }
  void toRank(std::uint32_t rank, JoinQuery query) {
    if (Settings.Without == Removed::LifeInJoinQuery)
      query.Life = W.Members[rank].Rank.life();
    act(rank, W.Members[rank].Rank.setMessage(query));
  }
  void toRank(std::uint32_t rank, StepStart start) {
    if (Settings.Without == Removed::TokenGuard)
      start.At = W.Members[rank].Rank.epoch();
    act(rank, W.Members[rank].Rank.setMessage(start));
  }

  void act(std::uint32_t rank, const std::vector<RankAction> &actions) {
    for (const auto &action : actions) {
      if (const auto *message = std::get_if<Outgoing>(&action)) {
        if (const auto *done = std::get_if<StepDone>(&message->Message);
            done != nullptr && done->Ready.Version != 0)
          W.Members[rank].Promised = done->Ready;
        send(*message);
      } else if (const auto *stage = std::get_if<EngineStage>(&action)) {
        engineStage(rank, *stage);
      } else {
        engineRun(rank, std::get<EngineRun>(action));
      }
    }
  }

  void engineStage(std::uint32_t rank, const EngineStage &order) {
    Engine &engine = W.Members[rank].Device;
    if (Settings.EnginesHonourTokens && order.Token < engine.Token)
      return;
    engine.Token = std::max(engine.Token, order.Token);
    if (Settings.Without == Removed::SwitchAtDecidedStep)
      engine.Active = order.Map;
    else
      engine.Staged = order.Map;
    act(rank, W.Members[rank].Rank.setEngineStaged(order.Map));
  }

  void engineRun(std::uint32_t rank, const EngineRun &order) {
    Member &member = W.Members[rank];
    Engine &engine = member.Device;
    const bool unchecked = Settings.Without == Removed::SwitchAtDecidedStep;
    if (!unchecked && engine.Active != order.Map) {
      const bool anyHash =
          Settings.Without == Removed::HashCheck && engine.Staged.Version != 0;
      if (engine.Staged != order.Map && !anyHash) {
        // Without a replacement, every run finds its map loaded.
        if (member.Promised == order.Map || W.Replacements == 0)
          W.Fault = "a confirmed map isn't loaded when the switch is due";
        act(rank, member.Rank.setEngineRan(order.Step, false));
        return;
      }
      engine.Active = engine.Staged;
      engine.Staged = {};
    }
    checkRun(rank, order.Step, engine.Active);
    act(rank, member.Rank.setEngineRan(order.Step, true));
  }

  void checkRun(std::uint32_t rank, std::uint64_t step, const MapId &map) {
    for (const Member &other : W.Members) {
      const MapId &ran = other.Ran[step - 1];
      if (ran.Version != 0 && ran != map)
        W.Fault = "two maps in one step";
      for (std::uint64_t s = 0; s < step - 1; ++s)
        if (other.Ran[s].Version > map.Version)
          W.Fault = "a later step went back to an older map";
    }
    if (W.Announced.Version > map.Version && step >= W.AnnouncedStep)
      W.Fault = "a switch that was announced did not last";
    W.Members[rank].Ran[step - 1] = map;
  }

  World &W;
  const ExplorerSettings &Settings;
};

World firstWorld(const ExplorerSettings &settings,
                 std::map<std::uint64_t, Outgoing> &messages) {
  World world;
  world.Messages = &messages;
  for (std::uint32_t r = 0; r < settings.Ranks; ++r)
    world.Members.push_back({ActivationRank(r, {1}, {1}, {11}),
                             {},
                             {},
                             std::vector<MapId>(settings.Steps)});
  world.Leaders.emplace_back(
      std::vector<Incarnation>(settings.Ranks, Incarnation{1}),
      Transition::leaderToken(0), FirstMap);
  world.Coordinators.emplace_back(settings.Ranks, FencingToken{1},
                                  Transition::changeOf(0), Deadline);
  world.UnnoticedReplacement.push_back(false);
  // The messages delivered here may still arrive again.
  Transition transition(world, settings);
  transition.sendPending();
  const std::uint64_t first = settings.MidChange ? 2 : 1;
  for (std::size_t i = 0; world.Leaders[0].step() < first; ++i) {
    transition.sendPending();
    const auto *message = world.Sent.at(i);
    if (settings.MidChange ||
        std::holds_alternative<JoinQuery>(message->second.Message) ||
        std::holds_alternative<JoinReply>(message->second.Message))
      transition.deliver(message->second);
  }
  transition.sendPending();
  return world;
}

/// Calls use(world) with every successor of a world.
template <typename Use>
void eachSuccessor(const World &world, const ExplorerSettings &settings,
                   const Use &use) {
  const auto with = [&](std::string event, const auto &change) {
    World next = world;
    Transition transition(next, settings);
    change(next, transition);
    transition.sendPending();
    transition.prune();
    next.Path = std::make_shared<const PathStep>(
        PathStep{world.Path, std::move(event)});
    use(std::move(next));
  };
  // Replacements come last in the depth-first order, as they cut most paths
  // short.
  if (world.Replacements < settings.Replacements)
    for (std::uint32_t r = 0; r < settings.Ranks; ++r)
      with("replace " + std::to_string(r),
           [&](World &, Transition &t) { t.replace(r); });
  for (const auto *message : world.Sent)
    with(textOf(message->second),
         [&](World &, Transition &t) { t.deliver(message->second); });
  if (world.UnnoticedReplacement.back())
    with("leader notices", [&](World &w, Transition &) {
      w.UnnoticedReplacement.back() = false;
      for (std::uint32_t r = 0; r < w.Members.size(); ++r)
        w.Leaders.back().setReplaced(r, w.Members[r].Rank.life());
    });
  if (settings.SecondCoordinator && world.Coordinators.size() == 1)
    with("second coordinator", [&](World &w, Transition &) {
      w.Coordinators.emplace_back(settings.Ranks, FencingToken{2},
                                  Transition::changeOf(1), Deadline);
    });
}

bool ranLaterMap(const World &world) {
  return std::ranges::any_of(world.Members, [](const Member &member) {
    return std::ranges::any_of(
        member.Ran, [](const MapId &map) { return map.Version > 1; });
  });
}

} // namespace

ExplorerResult explore(const ExplorerSettings &settings) {
  ExplorerResult result;
  std::unordered_set<std::uint64_t> seen;
  std::map<std::uint64_t, Outgoing> messages;
  std::vector<World> frontier{firstWorld(settings, messages)};
  seen.insert(fingerprint(frontier.back()));
  while (!frontier.empty() && result.Fault.empty()) {
    if (seen.size() > settings.MaxStates)
      break;
    const World world = std::move(frontier.back());
    frontier.pop_back();
    eachSuccessor(world, settings, [&](World next) {
      if (!seen.insert(fingerprint(next)).second)
        return;
      if (!next.Fault.empty())
        result = {next.Fault, pathOf(next), 0, false, result.Switched};
      result.Switched |= ranLaterMap(next);
      frontier.push_back(std::move(next));
    });
  }
  result.States = seen.size();
  result.Complete = frontier.empty() && result.Fault.empty();
  return result;
}

} // namespace bergamot::experts
