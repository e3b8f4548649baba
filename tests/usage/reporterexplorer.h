#ifndef BERGAMOT_TESTS_USAGE_REPORTEREXPLORER_H
#define BERGAMOT_TESTS_USAGE_REPORTEREXPLORER_H

#include "libbergamotusage/usagereporter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bergamot::usage {

/// Runs several reporters against a model of the store and of the service that
/// accepts reports, with random delays, lost and late calls, pauses, restarts
/// and cut connections. Checks what the service may not see: two counts for one
/// window, a token of two holders, a token lower than an earlier one, and a
/// holder that acts again soon after another one.
class ReporterExplorer {
public:
  struct Options {
    std::uint64_t Seed = 1;
    /// Whether a report is sent although its time has passed, for example
    /// because the VM was paused just before.
    bool SendsLate = false;
    /// Probabilities that an announcement, and a report, are lost.
    double AnnouncementLoss = 0.1;
    double ReportLoss = 0.2;
    /// Faults occur until this time.
    std::chrono::milliseconds FaultsUntil{60000};
    bool Faults = true;
    /// Whether the store is restored from older copies now and then.
    bool Restorations = false;
  };

  explicit ReporterExplorer(const Options &options);

  void run(std::chrono::milliseconds time);
  /// Stops a node for good, or pauses it for a time.
  void kill(std::size_t node) { Nodes[node].Reporter.reset(); }
  void pause(std::size_t node, std::chrono::milliseconds time) {
    Nodes[node].PausedUntil = Now + time;
  }
  /// Cuts a node off from the store, from the other nodes, or both.
  void cut(std::size_t node, bool fromStore, bool fromOthers) {
    Nodes[node].CutFromStore = fromStore;
    Nodes[node].CutFromOthers = fromOthers;
  }
  /// Returns the node that holds the duty; nodeCount() if there is none.
  std::size_t holder() const;
  std::size_t nodeCount() const { return Nodes.size(); }

  /// Describes the first broken rule; empty if none.
  const std::string &violation() const { return Violation; }
  /// Returns how many windows have been reported.
  std::size_t reportedCount() const { return Accepted.size(); }
  bool isReported(WindowNumber window) const {
    return Accepted.contains(window);
  }
  WindowNumber currentWindow() const;
  std::size_t storeCalls() const { return StoreCalls; }
  std::size_t holderChanges() const { return HolderOfToken.size(); }

private:
  using Task = std::function<void()>;

  struct Node {
    std::string Name;
    std::unique_ptr<UsageReporter> Reporter;
    /// Distinguishes the calls of a killed process from those of the next one.
    std::uint64_t Incarnation = 0;
    base::TimePoint PausedUntil;
    base::TimePoint RestartAt;
    bool CutFromStore = false;
    bool CutFromOthers = false;
  };

  /// One process of a node.
  struct Process {
    std::size_t Node = 0;
    std::uint64_t Incarnation = 0;
  };

  void step();
  void injectFault();
  /// Restores the store from a copy of some seconds ago.
  void restore();
  void start(std::size_t node);
  void announce();
  void act(std::size_t node);
  void perform(std::size_t node, const ReadRecord &it);
  void perform(std::size_t node, const AppendRecord &it);
  void perform(std::size_t node, const SendReport &it);
  /// Runs a task at a time, or when a paused node continues after it. The task
  /// is dropped if the node's process has ended by then.
  void callBack(Process process, base::TimePoint at, Task task);
  Process process(std::size_t node) const;
  bool append(const AppendRecord &it);
  void accept(const std::string &holder, const SendReport &it);
  std::chrono::milliseconds delay();
  bool draw(double probability);
  /// Returns whether a fault with this probability occurs now.
  bool drawFault(double probability);

  Options Settings;
  std::mt19937_64 Random;
  base::TimePoint Now;
  std::vector<Node> Nodes;
  std::multimap<base::TimePoint, Task> Tasks;
  /// The records of the store's topic, and when each was written.
  std::vector<std::pair<base::TimePoint, ReportRecord>> Log;
  std::uint64_t Era = FirstStoreEra;
  std::map<WindowNumber, AccountCounts> Accepted;
  std::map<std::uint64_t, std::string> HolderOfToken;
  std::uint64_t HighestToken = 0;
  std::string LastActor;
  std::map<std::string, base::TimePoint> LastActAt;
  std::size_t StoreCalls = 0;
  std::string Violation;
};

} // namespace bergamot::usage

#endif
