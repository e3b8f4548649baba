#include "reporterexplorer.h"

namespace bergamot::usage {

using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t NodeCount = 5;
/// Any time far from the epoch.
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr milliseconds StepTime{50};
constexpr milliseconds WindowLength{5000};
constexpr milliseconds ReadyDelay{600};
constexpr milliseconds CallTimeout{1000};
/// Probability of a fault in each step; a fault lasts for four seconds on
/// average.
constexpr double FaultProbability = 0.01;
constexpr double RestorationProbability = 0.003;
constexpr milliseconds MaxCopyAge{12000};
constexpr milliseconds Lease{3000};
constexpr milliseconds AnnouncementPeriod{500};

} // namespace

ReporterExplorer::ReporterExplorer(const Options &options)
    : Settings(options), Random(options.Seed), Now(Start), Nodes(NodeCount) {
  for (std::size_t i = 0; i < NodeCount; ++i) {
    Nodes[i].Name = "entry-" + std::to_string(i);
    start(i);
  }
}

bool ReporterExplorer::draw(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < probability;
}

bool ReporterExplorer::drawFault(double probability) {
  return Settings.Faults && Now < Start + Settings.FaultsUntil &&
         draw(probability);
}

milliseconds ReporterExplorer::delay() {
  return milliseconds(draw(0.1) ? Random() % 400 : 1 + Random() % 10);
}

void ReporterExplorer::start(std::size_t node) {
  ReporterSettings settings;
  settings.Name = Nodes[node].Name;
  settings.Lease = Lease;
  Nodes[node].Reporter = std::make_unique<UsageReporter>(settings, Now);
  ++Nodes[node].Incarnation;
}

WindowNumber ReporterExplorer::currentWindow() const {
  return Now.time_since_epoch() / WindowLength;
}

std::size_t ReporterExplorer::holder() const {
  for (std::size_t i = 0; i < Nodes.size(); ++i)
    if (Nodes[i].Reporter && Nodes[i].Reporter->isHolder())
      return i;
  return Nodes.size();
}

void ReporterExplorer::run(milliseconds time) {
  for (const TimePoint end = Now + time; Now < end;)
    step();
}

void ReporterExplorer::step() {
  Now += StepTime;
  if (drawFault(FaultProbability))
    injectFault();
  if (Settings.Restorations && drawFault(RestorationProbability))
    restore();
  while (!Tasks.empty() && Tasks.begin()->first <= Now) {
    const Task task = std::move(Tasks.begin()->second);
    Tasks.erase(Tasks.begin());
    task();
  }
  if (Now.time_since_epoch() % AnnouncementPeriod < StepTime)
    announce();
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    if (!Nodes[i].Reporter && Nodes[i].RestartAt != TimePoint() &&
        Now >= Nodes[i].RestartAt)
      start(i);
    if (Now >= Nodes[i].PausedUntil)
      act(i);
  }
}

void ReporterExplorer::injectFault() {
  // The holder is hit more often than the others.
  const std::size_t active = holder();
  const std::size_t node =
      active < Nodes.size() && draw(0.5) ? active : Random() % Nodes.size();
  Node &it = Nodes[node];
  const milliseconds time(200 + Random() % 8000);
  switch (Random() % 4) {
  case 0:
    it.Reporter.reset();
    it.RestartAt = Now + time / 2;
    break;
  case 1:
    it.PausedUntil = Now + time;
    break;
  case 2:
    cut(node, draw(0.6), draw(0.6));
    Tasks.emplace(Now + time, [this, node] { cut(node, false, false); });
    break;
  default:
    if (it.Reporter)
      it.Reporter->leave();
    Tasks.emplace(Now + time, [this, node] {
      Nodes[node].Reporter.reset();
      Nodes[node].RestartAt = Now + StepTime;
    });
    break;
  }
}

void ReporterExplorer::restore() {
  const TimePoint copiedAt =
      Now - milliseconds(Random() % static_cast<unsigned>(MaxCopyAge.count()));
  std::erase_if(Log, [&](const auto &it) { return it.first > copiedAt; });
  ++Era;
}

void ReporterExplorer::announce() {
  for (std::size_t from = 0; from < Nodes.size(); ++from) {
    Node &sender = Nodes[from];
    if (!sender.Reporter || Now < sender.PausedUntil || sender.CutFromOthers)
      continue;
    const auto it =
        sender.Reporter->announcement(Now, {!sender.CutFromStore, true, 0});
    for (std::size_t to = 0; it && to < Nodes.size(); ++to)
      if (to != from && !Nodes[to].CutFromOthers &&
          !drawFault(Settings.AnnouncementLoss))
        callBack(process(to), Now + delay(), [this, to, it] {
          Nodes[to].Reporter->recordAnnouncement(*it, Now);
        });
  }
}

ReporterExplorer::Process ReporterExplorer::process(std::size_t node) const {
  return {node, Nodes[node].Incarnation};
}

void ReporterExplorer::callBack(Process process, TimePoint at, Task task) {
  Tasks.emplace(at, [this, process, task = std::move(task)]() mutable {
    const Node &it = Nodes[process.Node];
    if (!it.Reporter || it.Incarnation != process.Incarnation)
      return;
    if (Now < it.PausedUntil)
      callBack(process, it.PausedUntil, std::move(task));
    else
      task();
  });
}

void ReporterExplorer::act(std::size_t node) {
  Node &it = Nodes[node];
  if (!it.Reporter)
    return;
  const ReporterSurroundings surroundings{!it.CutFromStore, !it.CutFromOthers,
                                          static_cast<unsigned>(node),
                                          currentWindow() - 1};
  const auto action = it.Reporter->nextAction(
      Now, surroundings, [this](WindowNumber lastFixed) {
        // Every node counts differently.
        std::vector<WindowUsage> ready;
        const WindowNumber last =
            (Now - ReadyDelay).time_since_epoch() / WindowLength - 1;
        for (auto w = std::max(lastFixed + 1, last - 4); w <= last; ++w)
          ready.push_back({w, {{"a", Random()}}});
        return ready;
      });
  if (action)
    std::visit([&](const auto &what) { perform(node, what); }, *action);
}

void ReporterExplorer::perform(std::size_t node, const ReadRecord &) {
  ++StoreCalls;
  const bool lost = Nodes[node].CutFromStore || drawFault(0.1);
  if (lost) {
    callBack(process(node), Now + CallTimeout, [this, node] {
      Nodes[node].Reporter->recordRead(std::nullopt, Now);
    });
    return;
  }
  Tasks.emplace(Now + delay(), [this, node, caller = process(node)] {
    RecordState state;
    state.End = Log.size();
    state.Era = Era;
    if (!Log.empty())
      state.Record = Log.back().second;
    callBack(caller, Now + delay(), [this, node, state] {
      Nodes[node].Reporter->recordRead(state, Now);
    });
  });
}

bool ReporterExplorer::append(const AppendRecord &it) {
  if (it.At != Log.size())
    return false;
  Log.emplace_back(Now, it.Record);
  return true;
}

void ReporterExplorer::perform(std::size_t node, const AppendRecord &it) {
  ++StoreCalls;
  const bool answerLost = Nodes[node].CutFromStore || drawFault(0.15);
  if (answerLost) {
    // Not executed at all, or seconds later.
    if (draw(0.7))
      Tasks.emplace(Now + milliseconds(Random() % 6000),
                    [this, it] { append(it); });
    callBack(process(node), Now + CallTimeout, [this, node] {
      Nodes[node].Reporter->recordAppend(AppendResult::Unknown, FirstStoreEra,
                                         Now);
    });
    return;
  }
  Tasks.emplace(Now + delay(), [this, node, it, caller = process(node)] {
    const bool appended = append(it);
    callBack(caller, Now + delay(), [this, node, appended, era = Era] {
      Nodes[node].Reporter->recordAppend(appended ? AppendResult::Appended
                                                  : AppendResult::NotAppended,
                                         era, Now);
    });
  });
}

void ReporterExplorer::perform(std::size_t node, const SendReport &it) {
  // The connection is opened first; the send condition is checked after that.
  callBack(process(node), Now + delay(), [this, node, it] {
    if (Now >= it.NotAfter && !Settings.SendsLate) {
      Nodes[node].Reporter->recordSent(false, Now);
      return;
    }
    const bool lost = drawFault(Settings.ReportLoss);
    const bool answerLost = drawFault(0.2);
    const TimePoint arrival = Now + delay();
    const bool aborted =
        arrival >= it.NotAfter + StepTime && !Settings.SendsLate;
    if (!lost && !aborted)
      Tasks.emplace(arrival, [this, holder = Nodes[node].Name, it] {
        accept(holder, it);
      });
    callBack(process(node), arrival + delay(),
             [this, node, ok = !lost && !answerLost] {
               Nodes[node].Reporter->recordSent(ok, Now);
             });
  });
}

void ReporterExplorer::accept(const std::string &holder, const SendReport &it) {
  const auto fail = [&](const char *what) {
    if (Violation.empty())
      Violation = what;
  };
  const auto [known, added] =
      Accepted.emplace(it.Usage.Window, it.Usage.Counts);
  if (!added && known->second != it.Usage.Counts)
    fail("two counts for one window");
  if (HolderOfToken.emplace(it.Token, holder).first->second != holder)
    fail("two holders with the same token");
  if (it.Token < HighestToken)
    fail("a lower token after a higher one");
  HighestToken = std::max(HighestToken, it.Token);
  const auto last = LastActAt.find(holder);
  if (holder != LastActor && last != LastActAt.end() &&
      Now < last->second + Lease)
    fail("a holder acted again soon after another one");
  LastActor = holder;
  LastActAt[holder] = Now;
}

} // namespace bergamot::usage
