#include "systemstate.h"

#include "libbergamotbase/digest.h"

#include <sstream>

namespace bergamot::experts {

namespace {

void addMap(std::vector<std::uint64_t> &out, const MapId &map) {
  out.insert(out.end(), {map.Version, base::xxHash64(map.Hash)});
}

struct MessageWords {
  std::vector<std::uint64_t> &Out;

  void operator()(const StageOrder &m) { appendHeader(m.Token.Value, m.Map); }
  void operator()(const SwitchOrder &m) { appendHeader(m.Token.Value, m.Map); }
  void operator()(const StageReply &m) {
    appendHeader(m.Token.Value, m.Map);
    Out.insert(Out.end(),
               {m.Rank, m.RankIncarnation.Value, m.Staged ? 1ULL : 0ULL});
  }
  void operator()(const SwitchReply &m) {
    appendHeader(m.OrderToken.Value, m.Map);
    Out.push_back(m.LeaderToken.Value);
    Out.push_back(m.Step);
  }
  void operator()(const JoinRequest &m) {
    appendHeader(m.GroupEpoch.Token.Value, {m.GroupEpoch.Round, {}});
    Out.push_back(m.RankIncarnation.Value);
  }
  void operator()(const JoinReply &m) {
    appendHeader(m.GroupEpoch.Token.Value, m.LastMap);
    Out.insert(Out.end(), {m.GroupEpoch.Round, m.Rank, m.RankIncarnation.Value,
                           m.LastStep});
  }
  void operator()(const StepStart &m) {
    appendHeader(m.GroupEpoch.Token.Value, m.Map);
    addMap(Out, m.MapToPrepare);
    Out.insert(Out.end(), {m.GroupEpoch.Round, m.Step});
  }
  void operator()(const StepDone &m) {
    appendHeader(m.GroupEpoch.Token.Value, m.ReadyMap);
    Out.insert(Out.end(),
               {m.GroupEpoch.Round, m.Rank, m.RankIncarnation.Value, m.Step});
  }
  void appendHeader(std::uint64_t token, const MapId &map) {
    Out.push_back(token);
    addMap(Out, map);
  }
};

std::uint64_t hashWords(const std::vector<std::uint64_t> &words) {
  return base::xxHash64({reinterpret_cast<const char *>(words.data()),
                         words.size() * sizeof(std::uint64_t)});
}

struct MessageText {
  std::ostream &Out;

  void operator()(const StageOrder &m) { Out << "stage " << m.Map.Hash; }
  void operator()(const SwitchOrder &m) { Out << "order " << m.Map.Hash; }
  void operator()(const StageReply &m) { Out << "staged " << m.Map.Hash; }
  void operator()(const SwitchReply &m) { Out << "active " << m.Map.Hash; }
  void operator()(const JoinRequest &m) {
    epoch(m.GroupEpoch) << "join request";
  }
  void operator()(const JoinReply &m) {
    epoch(m.GroupEpoch) << "join reply of " << m.Rank << " incarnation "
                        << m.RankIncarnation.Value << " last " << m.LastStep
                        << m.LastMap.Hash;
  }
  void operator()(const StepStart &m) {
    epoch(m.GroupEpoch) << "start " << m.Step << m.Map.Hash << " prepare "
                        << m.MapToPrepare.Hash;
  }
  void operator()(const StepDone &m) {
    epoch(m.GroupEpoch) << "done " << m.Step << " by " << m.Rank
                        << " incarnation " << m.RankIncarnation.Value
                        << " ready " << m.ReadyMap.Hash;
  }
  std::ostream &epoch(const JoinEpoch &groupEpoch) {
    return Out << "[" << groupEpoch.Token.Value << "." << groupEpoch.Round
               << "] ";
  }
};

} // namespace

std::uint64_t messageHash(const OutgoingMessage &message) {
  std::vector<std::uint64_t> out{message.Receiver, message.Message.index()};
  std::visit(MessageWords{out}, message.Message);
  return hashWords(out);
}

std::string describe(const OutgoingMessage &message) {
  std::ostringstream out;
  out << "to " << message.Receiver % 100 << ": ";
  std::visit(MessageText{out}, message.Message);
  return out.str();
}

std::uint64_t fingerprint(const SystemState &state) {
  std::vector<std::uint64_t> out;
  for (const Member &member : state.Members) {
    member.Participant.appendState(out);
    addMap(out, member.RankEngine.Active);
    addMap(out, member.RankEngine.Staged);
    addMap(out, member.ReportedReady);
    out.push_back(member.RankEngine.Token.Value);
    for (const MapId &map : member.RanMaps)
      addMap(out, map);
  }
  for (const auto &leader : state.Leaders)
    leader.appendState(out);
  for (const auto &coordinator : state.Coordinators)
    coordinator.appendState(out);
  for (const bool pending : state.UndetectedReplacement)
    out.push_back(pending ? 1 : 0);
  out.push_back(state.Replacements);
  addMap(out, state.Announced);
  out.push_back(state.AnnouncedStep);
  // The sent messages are a set, so their order doesn't count.
  std::uint64_t sum = 0;
  for (const auto *message : state.Sent)
    sum += message->first;
  out.push_back(sum);
  return hashWords(out);
}

std::string describeTrace(const SystemState &state) {
  std::string text;
  for (auto step = state.Trace; step; step = step->Previous)
    text.insert(0, step->Event + "\n");
  return text;
}

} // namespace bergamot::experts
