#include "activationexplorer.h"

#include "systemstate.h"

#include <algorithm>
#include <optional>
#include <unordered_set>

namespace bergamot::experts {

namespace {

const base::TimePoint Start{};
const base::TimePoint Deadline = Start + std::chrono::hours(1);

/// Applies one event to a system state.
class Transition {
public:
  Transition(SystemState &state, const ExplorerSettings &settings)
      : State(state), Settings(settings) {}

  /// Sends a message. Replies to coordinators are delivered at once: they only
  /// make a coordinator send more, and those messages may be late.
  void send(const OutgoingMessage &message) {
    if (message.Receiver == ToCoordinator) {
      deliver(message);
      return;
    }
    const std::uint64_t hash = messageHash(message);
    const SentMessage *stored =
        &*State.Messages->try_emplace(hash, message).first;
    if (std::ranges::find(State.Sent, stored) == State.Sent.end())
      State.Sent.push_back(stored);
  }

  /// Sends the pending messages of leaders and coordinators. Sending them at
  /// once excludes no behaviour, because a message may arrive at any later
  /// time.
  void sendPending() {
    for (const auto &leader : State.Leaders)
      if (leader.step() <= Settings.Steps)
        sendAll(leader.messages());
    for (std::size_t i = 0; i < State.Coordinators.size(); ++i) {
      if (Settings.Disabled == DisabledMechanism::Confirmations)
        send({ToLeader, SwitchOrder{{i + 1}, coordinatorMap(i)}});
      sendAll(State.Coordinators[i].orders(Start));
    }
  }

  /// Drops messages that their receivers will ignore from now on, so that more
  /// states compare equal. This is safe because epochs only increase and a
  /// rank's epoch is reset only when the rank is replaced.
  void dropObsoleteMessages() {
    std::erase_if(State.Sent, [this](const SentMessage *message) {
      return std::visit(
          [&](const auto &m) {
            return isObsolete(message->second.Receiver, m);
          },
          message->second.Message);
    });
  }

  /// Returns the map of a coordinator; both have the same version.
  static MapId coordinatorMap(std::size_t coordinator) {
    return {2, coordinator == 0 ? "x" : "y"};
  }

  void sendAll(const std::vector<OutgoingMessage> &messages) {
    for (const auto &message : messages)
      send(message);
  }

  void deliver(const OutgoingMessage &message) {
    if (message.Receiver == ToLeader)
      std::visit([this](const auto &m) { toLeaders(m); }, message.Message);
    else if (message.Receiver == ToCoordinator)
      std::visit([this](const auto &m) { toCoordinators(m); }, message.Message);
    else
      std::visit([&](const auto &m) { toRank(message.Receiver, m); },
                 message.Message);
  }

  void replace(std::uint32_t rank) {
    ++State.Replacements;
    const Incarnation incarnation{
        State.Members[rank].Participant.incarnation().Value + 1};
    if (rank == 0) {
      State.Leaders.emplace_back(incarnationsWith(rank, incarnation),
                                 leaderToken(State.Leaders.size()),
                                 State.Announced.Version > 0 ? State.Announced
                                                             : FirstMap);
      State.UndetectedReplacement.push_back(false);
    } else {
      State.UndetectedReplacement.back() = true;
    }
    const FencingToken order{State.Coordinators.size()};
    const FencingToken leader = leaderToken(State.Leaders.size() - 1);
    State.Members[rank] = {
        ActivationParticipant(rank, incarnation, order, leader),
        {{}, {}, {}},
        {},
        std::vector<MapId>(Settings.Steps)};
    for (auto &coordinator : State.Coordinators)
      coordinator.handleReplacement(rank, incarnation);
  }

  std::vector<Incarnation> incarnationsWith(std::uint32_t rank,
                                            Incarnation incarnation) const {
    std::vector<Incarnation> incarnations;
    for (const Member &member : State.Members)
      incarnations.push_back(member.Participant.incarnation());
    incarnations[rank] = incarnation;
    return incarnations;
  }

  static FencingToken leaderToken(std::size_t index) { return {11 + index}; }

private:
  template <typename T> bool isObsolete(std::uint32_t, const T &) const {
    return false;
  }
  bool isObsolete(std::uint32_t, const JoinReply &m) const {
    return std::ranges::none_of(State.Leaders, [&](const StepLeader &leader) {
      return leader.epoch() == m.GroupEpoch && leader.step() == 0;
    });
  }
  bool isObsolete(std::uint32_t, const StepDone &m) const {
    return std::ranges::none_of(State.Leaders, [&](const StepLeader &leader) {
      return leader.epoch() == m.GroupEpoch &&
             (leader.step() == 0 || leader.step() <= m.Step);
    });
  }
  bool isObsolete(std::uint32_t rank, const JoinRequest &m) const {
    return isStale(rank, m.GroupEpoch);
  }
  bool isObsolete(std::uint32_t rank, const StepStart &m) const {
    return isStale(rank, m.GroupEpoch);
  }
  bool isStale(std::uint32_t rank, const JoinEpoch &groupEpoch) const {
    return Settings.Disabled != DisabledMechanism::TokenCheck &&
           State.Replacements == Settings.Replacements &&
           groupEpoch < State.Members[rank].Participant.epoch();
  }

  template <typename T> void toLeaders(const T &) {}
  template <typename T> void toCoordinators(const T &) {}
  template <typename T> void toRank(std::uint32_t, const T &) {}

  void toLeaders(const SwitchOrder &order) {
    for (auto &leader : State.Leaders)
      announce(leader.handleOrder(order));
  }
  void toLeaders(const JoinReply &reply) {
    for (auto &leader : State.Leaders)
      leader.handleReply(reply);
  }
  void toLeaders(StepDone done) {
    for (auto &leader : State.Leaders) {
      if (Settings.Disabled == DisabledMechanism::Confirmations)
        done.ReadyMap = mapToPrepare(done.Step);
      announce(leader.handleReply(done));
    }
  }
  /// Returns the map that some leader prepares during a step.
  MapId mapToPrepare(std::uint64_t step) const {
    for (const auto *message : State.Sent)
      if (const auto *start = std::get_if<StepStart>(&message->second.Message);
          start != nullptr && start->Step == step &&
          start->MapToPrepare.Version != 0)
        return start->MapToPrepare;
    return {};
  }
  void announce(const std::optional<SwitchReply> &reply) {
    if (!reply)
      return;
    // The log shows whether a newer lease precedes the announcement.
    if (reply->LeaderToken == State.Leaders.back().epoch().Token &&
        reply->Map.Version > State.Announced.Version) {
      State.Announced = reply->Map;
      State.AnnouncedStep = reply->Step;
    }
    send({ToCoordinator, *reply});
  }
  void toCoordinators(const StageReply &reply) {
    for (auto &coordinator : State.Coordinators)
      coordinator.handleReply(reply);
  }
  void toCoordinators(const SwitchReply &reply) {
    for (auto &coordinator : State.Coordinators)
      coordinator.handleReply(reply);
  }
  void toRank(std::uint32_t rank, StageOrder order) {
    if (Settings.Disabled == DisabledMechanism::TokenCheck)
      order.Token = std::max(
          order.Token, State.Members[rank].Participant.newestOrderToken());
    applyActions(rank, State.Members[rank].Participant.handleMessage(order));
  }
  void toRank(std::uint32_t rank, JoinRequest request) {
    if (Settings.Disabled == DisabledMechanism::IncarnationCheck)
      request.RankIncarnation = State.Members[rank].Participant.incarnation();
    applyActions(rank, State.Members[rank].Participant.handleMessage(request));
  }
  void toRank(std::uint32_t rank, StepStart start) {
    if (Settings.Disabled == DisabledMechanism::TokenCheck)
      start.GroupEpoch = State.Members[rank].Participant.epoch();
    applyActions(rank, State.Members[rank].Participant.handleMessage(start));
  }

  void applyActions(std::uint32_t rank,
                    const std::vector<RankAction> &actions) {
    for (const auto &action : actions) {
      if (const auto *message = std::get_if<OutgoingMessage>(&action)) {
        if (const auto *done = std::get_if<StepDone>(&message->Message);
            done != nullptr && done->ReadyMap.Version != 0)
          State.Members[rank].ReportedReady = done->ReadyMap;
        send(*message);
      } else if (const auto *stage = std::get_if<EngineStageCommand>(&action)) {
        stageOnEngine(rank, *stage);
      } else {
        runOnEngine(rank, std::get<EngineRunCommand>(action));
      }
    }
  }

  void stageOnEngine(std::uint32_t rank, const EngineStageCommand &order) {
    Engine &engine = State.Members[rank].RankEngine;
    if (Settings.EnginesCheckTokens && order.Token < engine.Token)
      return;
    engine.Token = std::max(engine.Token, order.Token);
    if (Settings.Disabled == DisabledMechanism::SwitchAtDecidedStep)
      engine.Active = order.Map;
    else
      engine.Staged = order.Map;
    applyActions(rank,
                 State.Members[rank].Participant.handleEngineStaged(order.Map));
  }

  void runOnEngine(std::uint32_t rank, const EngineRunCommand &order) {
    Member &member = State.Members[rank];
    Engine &engine = member.RankEngine;
    const bool unchecked =
        Settings.Disabled == DisabledMechanism::SwitchAtDecidedStep;
    if (!unchecked && engine.Active != order.Map) {
      const bool anyHash = Settings.Disabled == DisabledMechanism::HashCheck &&
                           engine.Staged.Version != 0;
      if (engine.Staged != order.Map && !anyHash) {
        // Without a replacement, each run finds its map loaded.
        if (member.ReportedReady == order.Map || State.Replacements == 0)
          State.Violation =
              "a confirmed map isn't loaded when the switch is due";
        applyActions(rank,
                     member.Participant.handleEngineRan(order.Step, false));
        return;
      }
      engine.Active = engine.Staged;
      engine.Staged = {};
    }
    checkRun(rank, order.Step, engine.Active);
    applyActions(rank, member.Participant.handleEngineRan(order.Step, true));
  }

  void checkRun(std::uint32_t rank, std::uint64_t step, const MapId &map) {
    for (const Member &other : State.Members) {
      const MapId &ran = other.RanMaps[step - 1];
      if (ran.Version != 0 && ran != map)
        State.Violation = "two maps in one step";
      for (std::uint64_t s = 0; s < step - 1; ++s)
        if (other.RanMaps[s].Version > map.Version)
          State.Violation = "a later step used an older map";
    }
    if (State.Announced.Version > map.Version && step >= State.AnnouncedStep)
      State.Violation = "an announced switch was reverted";
    State.Members[rank].RanMaps[step - 1] = map;
  }

  SystemState &State;
  const ExplorerSettings &Settings;
};

SystemState initialState(const ExplorerSettings &settings,
                         std::map<std::uint64_t, OutgoingMessage> &messages) {
  SystemState state;
  state.Messages = &messages;
  for (std::uint32_t r = 0; r < settings.Ranks; ++r)
    state.Members.push_back({ActivationParticipant(r, {1}, {1}, {11}),
                             {},
                             {},
                             std::vector<MapId>(settings.Steps)});
  state.Leaders.emplace_back(
      std::vector<Incarnation>(settings.Ranks, Incarnation{1}),
      Transition::leaderToken(0), FirstMap);
  state.Coordinators.emplace_back(settings.Ranks, FencingToken{1},
                                  Transition::coordinatorMap(0), Deadline);
  state.UndetectedReplacement.push_back(false);
  // The messages delivered here may be delivered again.
  Transition transition(state, settings);
  transition.sendPending();
  const std::uint64_t first = settings.StartMidChange ? 2 : 1;
  for (std::size_t i = 0; state.Leaders[0].step() < first; ++i) {
    transition.sendPending();
    const auto *message = state.Sent.at(i);
    if (settings.StartMidChange ||
        std::holds_alternative<JoinRequest>(message->second.Message) ||
        std::holds_alternative<JoinReply>(message->second.Message))
      transition.deliver(message->second);
  }
  transition.sendPending();
  return state;
}

/// Calls `visitor` with each successor of a state.
template <typename Visitor>
void forEachSuccessor(const SystemState &state,
                      const ExplorerSettings &settings,
                      const Visitor &visitor) {
  const auto addSuccessor = [&](std::string event, const auto &change) {
    SystemState next = state;
    Transition transition(next, settings);
    change(next, transition);
    transition.sendPending();
    transition.dropObsoleteMessages();
    next.Trace = std::make_shared<const TraceEvent>(
        TraceEvent{state.Trace, std::move(event)});
    visitor(std::move(next));
  };
  // Replacements are added first, so that the depth-first search visits them
  // last: they cut most paths short.
  if (state.Replacements < settings.Replacements)
    for (std::uint32_t r = 0; r < settings.Ranks; ++r)
      addSuccessor("replace " + std::to_string(r),
                   [&](SystemState &, Transition &t) { t.replace(r); });
  for (const auto *message : state.Sent)
    addSuccessor(describe(message->second), [&](SystemState &, Transition &t) {
      t.deliver(message->second);
    });
  if (state.UndetectedReplacement.back())
    addSuccessor("leader detects replacement",
                 [&](SystemState &successor, Transition &) {
                   successor.UndetectedReplacement.back() = false;
                   for (std::uint32_t r = 0; r < successor.Members.size(); ++r)
                     successor.Leaders.back().handleReplacement(
                         r, successor.Members[r].Participant.incarnation());
                 });
  if (settings.SecondCoordinator && state.Coordinators.size() == 1)
    addSuccessor(
        "second coordinator", [&](SystemState &successor, Transition &) {
          successor.Coordinators.emplace_back(settings.Ranks, FencingToken{2},
                                              Transition::coordinatorMap(1),
                                              Deadline);
        });
}

bool ranLaterMap(const SystemState &state) {
  return std::ranges::any_of(state.Members, [](const Member &member) {
    return std::ranges::any_of(
        member.RanMaps, [](const MapId &map) { return map.Version > 1; });
  });
}

} // namespace

ExplorerResult explore(const ExplorerSettings &settings) {
  ExplorerResult result;
  std::unordered_set<std::uint64_t> seen;
  std::map<std::uint64_t, OutgoingMessage> messages;
  std::vector<SystemState> frontier{initialState(settings, messages)};
  seen.insert(fingerprint(frontier.back()));
  while (!frontier.empty() && result.Violation.empty()) {
    if (seen.size() > settings.MaxStates)
      break;
    const SystemState state = std::move(frontier.back());
    frontier.pop_back();
    forEachSuccessor(state, settings, [&](SystemState next) {
      if (!seen.insert(fingerprint(next)).second)
        return;
      if (!next.Violation.empty())
        result = {next.Violation, describeTrace(next), 0, false,
                  result.Switched};
      result.Switched |= ranLaterMap(next);
      frontier.push_back(std::move(next));
    });
  }
  result.States = seen.size();
  result.Complete = frontier.empty() && result.Violation.empty();
  return result;
}

} // namespace bergamot::experts
