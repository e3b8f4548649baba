#include "explorerworld.h"

#include "libbergamotbase/digest.h"

#include <sstream>

namespace bergamot::experts {

namespace {

void addMap(std::vector<std::uint64_t> &out, const MapId &map) {
  out.insert(out.end(), {map.Version, base::xxHash64(map.Hash)});
}

struct MessageState {
  std::vector<std::uint64_t> &Out;

  void operator()(const StageOrder &m) { head(m.Token.Value, m.Map); }
  void operator()(const SwitchOrder &m) { head(m.Token.Value, m.Map); }
  void operator()(const StageReply &m) {
    head(m.Token.Value, m.Map);
    Out.insert(Out.end(), {m.Rank, m.Life.Value, m.Staged ? 1ULL : 0ULL});
  }
  void operator()(const SwitchReply &m) {
    head(m.Token.Value, m.Map);
    Out.push_back(m.Leader.Value);
    Out.push_back(m.Step);
  }
  void operator()(const JoinQuery &m) {
    head(m.At.Token.Value, {m.At.Round, {}});
    Out.push_back(m.Life.Value);
  }
  void operator()(const JoinReply &m) {
    head(m.At.Token.Value, m.LastMap);
    Out.insert(Out.end(), {m.At.Round, m.Rank, m.Life.Value, m.LastStep});
  }
  void operator()(const StepStart &m) {
    head(m.At.Token.Value, m.Map);
    addMap(Out, m.Prepare);
    Out.insert(Out.end(), {m.At.Round, m.Step});
  }
  void operator()(const StepDone &m) {
    head(m.At.Token.Value, m.Ready);
    Out.insert(Out.end(), {m.At.Round, m.Rank, m.Life.Value, m.Step});
  }
  void head(std::uint64_t token, const MapId &map) {
    Out.push_back(token);
    addMap(Out, map);
  }
};

std::uint64_t hashOf(const std::vector<std::uint64_t> &words) {
  return base::xxHash64({reinterpret_cast<const char *>(words.data()),
                         words.size() * sizeof(std::uint64_t)});
}

struct MessageText {
  std::ostream &Out;

  void operator()(const StageOrder &m) { Out << "stage " << m.Map.Hash; }
  void operator()(const SwitchOrder &m) { Out << "order " << m.Map.Hash; }
  void operator()(const StageReply &m) { Out << "staged " << m.Map.Hash; }
  void operator()(const SwitchReply &m) { Out << "in force " << m.Map.Hash; }
  void operator()(const JoinQuery &m) { epoch(m.At) << "join query"; }
  void operator()(const JoinReply &m) {
    epoch(m.At) << "join reply of " << m.Rank << " life " << m.Life.Value
                << " last " << m.LastStep << m.LastMap.Hash;
  }
  void operator()(const StepStart &m) {
    epoch(m.At) << "start " << m.Step << m.Map.Hash << " prepare "
                << m.Prepare.Hash;
  }
  void operator()(const StepDone &m) {
    epoch(m.At) << "done " << m.Step << " by " << m.Rank << " life "
                << m.Life.Value << " ready " << m.Ready.Hash;
  }
  std::ostream &epoch(const Epoch &at) {
    return Out << "[" << at.Token.Value << "." << at.Round << "] ";
  }
};

} // namespace

std::uint64_t messageHash(const Outgoing &message) {
  std::vector<std::uint64_t> out{message.To, message.Message.index()};
  std::visit(MessageState{out}, message.Message);
  return hashOf(out);
}

std::string textOf(const Outgoing &message) {
  std::ostringstream out;
  out << "to " << message.To % 100 << ": ";
  std::visit(MessageText{out}, message.Message);
  return out.str();
}

std::uint64_t fingerprint(const World &world) {
  std::vector<std::uint64_t> out;
  for (const Member &member : world.Members) {
    member.Rank.addState(out);
    addMap(out, member.Device.Active);
    addMap(out, member.Device.Staged);
    addMap(out, member.Promised);
    out.push_back(member.Device.Token.Value);
    for (const MapId &map : member.Ran)
      addMap(out, map);
  }
  for (const auto &leader : world.Leaders)
    leader.addState(out);
  for (const auto &coordinator : world.Coordinators)
    coordinator.addState(out);
  for (const bool pending : world.UnnoticedReplacement)
    out.push_back(pending ? 1 : 0);
  out.push_back(world.Replacements);
  addMap(out, world.Announced);
  out.push_back(world.AnnouncedStep);
  // The messages sent are a set, so their order is left out.
  std::uint64_t sum = 0;
  for (const auto *message : world.Sent)
    sum += message->first;
  out.push_back(sum);
  return hashOf(out);
}

std::string pathOf(const World &world) {
  std::string text;
  for (auto step = world.Path; step; step = step->Before)
    text.insert(0, step->Event + "\n");
  return text;
}

} // namespace bergamot::experts
