// Fleets of entries that share the request rate that a target has named.
#include "libbergamotgateway/targetratelimits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr TargetHash Target = 7;
/// The bound on a target that has named a rate: in any window of this length,
/// so many times what the rate allows and some requests more.
constexpr milliseconds WindowLength{4000};
constexpr double MaxExcess = 1.5;
constexpr double MaxExtraRequests = 5;
/// The bound holds from this time on after the rate was first named.
constexpr milliseconds SettlingTime{3000};

TimePoint at(milliseconds time) { return TimePoint(1h) + time; }

/// How a simulated fleet behaves.
struct Fleet {
  unsigned Entries = 3;
  double Limit = 2;
  /// Requests per second of all entries that could go to the target.
  double Demand = 30;
  /// Fraction of the demand at the first entry; the rest is spread evenly.
  double FirstEntryDemand = 0.5;
  /// Fraction of the reports between entries that are lost.
  double Loss = 0;
  /// Entries that stop for good at 8 s, restart at 9 s without memory, stand
  /// still from 8 to 12 s, or exchange no reports with others from 8 s on.
  unsigned Stopped = 0;
  unsigned Restarted = 0;
  unsigned Frozen = 0;
  unsigned CutOff = 0;
  std::uint64_t Seed = 1;
};

struct Result {
  std::vector<milliseconds> Arrivals;
  /// When the last running entry learnt that the limit had ended.
  milliseconds LiftedAt{0};

  std::size_t most(milliseconds from, milliseconds until) const {
    std::size_t result = 0;
    for (auto t = from; t + WindowLength <= until; t += 50ms)
      result = std::max(result, count(t, t + WindowLength));
    return result;
  }
  std::size_t count(milliseconds from, milliseconds until) const {
    return static_cast<std::size_t>(
        std::count_if(Arrivals.begin(), Arrivals.end(),
                      [&](auto it) { return it >= from && it < until; }));
  }
};

constexpr milliseconds LimitFrom{2000};
constexpr milliseconds LimitUntil{26000};
constexpr milliseconds End{38000};
constexpr milliseconds EventAt{8000};
constexpr milliseconds FreezeUntil{12000};
constexpr milliseconds RestartAt{9000};
constexpr milliseconds ResponseDelay{120};
constexpr milliseconds ReportDelay{5};
constexpr milliseconds ReportPeriod{500};
constexpr milliseconds HeardFor{1500};
constexpr milliseconds Step{20};
constexpr milliseconds EntryUpdatePeriod{250};

/// Plays a fleet whose entries send to the target whenever they may.
class Simulation {
public:
  explicit Simulation(const Fleet &fleet)
      : Options(fleet), Random(fleet.Seed), States(fleet.Entries) {
    for (unsigned i = 0; i < fleet.Entries; ++i) {
      Names.insert(name(i));
      States[i].HeardAt.assign(fleet.Entries, 0ms);
    }
  }

  Result run() {
    for (milliseconds t{0}; t < End; t += Step) {
      deliverResponses(t);
      deliverReports(t);
      for (unsigned i = 0; i < Options.Entries; ++i) {
        if (!isRunning(i, t))
          continue;
        if (i >= Options.Frozen + Options.Stopped &&
            i < Options.Frozen + Options.Stopped + Options.Restarted &&
            t == RestartAt)
          restart(i, t);
        step(i, t);
      }
    }
    return Played;
  }

private:
  struct Response {
    milliseconds ArrivesAt;
    milliseconds SentAt;
    unsigned Entry;
    std::optional<double> Limit;
  };
  struct Report {
    milliseconds ArrivesAt;
    unsigned From;
    unsigned To;
    std::vector<RateStatement> Statements;
  };
  struct EntryState {
    TargetRateLimits Limits;
    std::vector<milliseconds> HeardAt;
    milliseconds NextReportAt{0};
  };

  static std::string name(unsigned i) { return "entry-" + std::to_string(i); }
  double draw() { return std::uniform_real_distribution<>()(Random); }

  bool isFrozen(unsigned i, milliseconds t) const {
    return i < Options.Frozen && t >= EventAt && t < FreezeUntil;
  }
  bool isRunning(unsigned i, milliseconds t) const {
    const bool stopped =
        i >= Options.Frozen && i < Options.Frozen + Options.Stopped;
    const unsigned first = Options.Frozen + Options.Stopped;
    const bool down = i >= first && i < first + Options.Restarted &&
                      t >= EventAt && t < RestartAt;
    return !isFrozen(i, t) && !(stopped && t >= EventAt) && !down;
  }
  void restart(unsigned i, milliseconds t) {
    States[i].Limits = {};
    updateEntries(i, t);
    // A started entry asks the others for what they know.
    for (unsigned other = 0; other < Options.Entries; ++other)
      if (other != i && isRunning(other, t) && draw() >= Options.Loss)
        Reports.push_back({t + 2 * ReportDelay, other, i,
                           States[other].Limits.allStatements()});
  }
  bool isCutOff(unsigned i, milliseconds t) const {
    return t >= EventAt && i + Options.CutOff >= Options.Entries;
  }

  void deliverResponses(milliseconds t) {
    std::erase_if(Responses, [&](const Response &it) {
      if (it.ArrivesAt > t)
        return false;
      if (!isRunning(it.Entry, t))
        return !isFrozen(it.Entry, t);
      auto &state = States[it.Entry];
      if (state.Limits.recordResponse({Target, 1, it.Limit, at(t)},
                                      at(it.SentAt)))
        state.NextReportAt = t;
      return true;
    });
  }

  void deliverReports(milliseconds t) {
    std::erase_if(Reports, [&](const Report &it) {
      if (it.ArrivesAt > t)
        return false;
      if (!isRunning(it.To, t))
        return !isFrozen(it.To, t);
      States[it.To].HeardAt[it.From] = t;
      // A report carries ages, so what waits for a frozen entry looks fresh.
      std::vector<RateStatement> statements = it.Statements;
      for (auto &statement : statements)
        statement.StatedAt += t - it.ArrivesAt;
      States[it.To].Limits.merge(statements, at(t));
      return true;
    });
  }

  void updateEntries(unsigned i, milliseconds t) {
    std::set<std::string> heard;
    for (unsigned other = 0; other < Options.Entries; ++other)
      if (other != i && States[i].HeardAt[other] + HeardFor > t)
        heard.insert(name(other));
    States[i].Limits.setEntries(name(i), heard, Names);
  }

  void step(unsigned i, milliseconds t) {
    auto &state = States[i];
    if (t.count() % EntryUpdatePeriod.count() == 0)
      updateEntries(i, t);
    const bool limited = state.Limits.share(Target, 1, at(t)).has_value();
    if (limited && t > LimitUntil)
      Played.LiftedAt = t;
    const double rate = Options.Entries == 1 ? Options.Demand
                        : i == 0
                            ? Options.Demand * Options.FirstEntryDemand
                            : Options.Demand * (1 - Options.FirstEntryDemand) /
                                  (Options.Entries - 1);
    if (draw() < rate * std::chrono::duration<double>(Step).count() &&
        state.Limits.nextSendAt(Target, 1, at(t)) <= at(t))
      send(i, t);
    if (t < state.NextReportAt)
      return;
    state.NextReportAt = t + ReportPeriod;
    for (unsigned other = 0; other < Options.Entries; ++other)
      if (other != i && draw() >= Options.Loss && !isCutOff(i, t) &&
          !isCutOff(other, t))
        Reports.push_back(
            {t + ReportDelay, i, other, state.Limits.ownStatements()});
  }

  void send(unsigned i, milliseconds t) {
    States[i].Limits.recordSent(Target, at(t));
    Played.Arrivals.push_back(t);
    const bool limited = t >= LimitFrom && t < LimitUntil;
    Responses.push_back(
        {t + ResponseDelay, t, i,
         limited ? std::optional(Options.Limit) : std::nullopt});
  }

  Fleet Options;
  std::mt19937_64 Random;
  std::vector<EntryState> States;
  std::set<std::string> Names;
  std::deque<Response> Responses;
  std::deque<Report> Reports;
  Result Played;
};

std::vector<Fleet> fleets() {
  std::vector<Fleet> result;
  for (const unsigned entries : {1U, 3U, 5U, 24U, 54U})
    for (const double limit : {0.3, 2.6, 12.0}) {
      Fleet it;
      it.Entries = entries;
      it.Limit = limit;
      it.Demand = std::max(8.0 * entries, 4 * limit);
      result.push_back(it);
      it.Loss = 0.3;
      result.push_back(it);
      if (entries == 1)
        continue;
      it.Loss = 0;
      it.Stopped = entries / 3;
      result.push_back(it);
      it.Stopped = 0;
      it.Restarted = entries / 2;
      result.push_back(it);
      it.Restarted = 0;
      it.Frozen = entries / 3;
      result.push_back(it);
      it.Frozen = 0;
      it.CutOff = 1;
      result.push_back(it);
      it.CutOff = entries;
      result.push_back(it);
    }
  return result;
}

/// The limit must not be met by sending nothing.
void checkUse(const Fleet &fleet, const Result &result) {
  if (fleet.CutOff > 1)
    return;
  const auto used =
      static_cast<double>(result.count(LimitFrom + SettlingTime, LimitUntil));
  const std::chrono::duration<double> time =
      LimitUntil - LimitFrom - SettlingTime;
  CHECK(used >= 0.5 * fleet.Limit * time.count());
}

/// All entries must learn that the target no longer names a rate.
void checkEnd(const Fleet &fleet, const Result &result) {
  if (fleet.CutOff > 0)
    return;
  // The next request may be due only after its share of a second; reports may
  // be lost several times.
  const auto untilRequest = std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(2 / fleet.Limit));
  CHECK(result.LiftedAt < LimitUntil + untilRequest + 4 * ReportPeriod);
  // The first entry, with half of the callers, may have stopped.
  CHECK(result.count(End - 2000ms, End) > 2 * 0.2 * fleet.Demand);
}

} // namespace

TEST_CASE("a target gets no more than the rate it names from all entries") {
  for (Fleet fleet : fleets())
    for (fleet.Seed = 1; fleet.Seed <= (fleet.Entries > 5 ? 1U : 2U);
         ++fleet.Seed) {
      CAPTURE(fleet.Entries, fleet.Limit, fleet.Loss, fleet.Stopped,
              fleet.Restarted, fleet.Frozen, fleet.CutOff, fleet.Seed);
      const Result result = Simulation(fleet).run();
      const double allowed =
          MaxExcess * fleet.Limit * WindowLength.count() / 1000 +
          MaxExtraRequests;
      CHECK(static_cast<double>(
                result.most(LimitFrom + SettlingTime, LimitUntil)) <= allowed);
      checkUse(fleet, result);
      checkEnd(fleet, result);
    }
}

TEST_CASE("a response to a request sent before the limit doesn't end it") {
  TargetRateLimits limits;
  CHECK(limits.recordResponse({Target, 1, 2.0, at(100ms)}, at(0ms)));
  CHECK_FALSE(
      limits.recordResponse({Target, 1, std::nullopt, at(200ms)}, at(50ms)));
  CHECK(limits.share(Target, 1, at(200ms)) == 2.0);
  CHECK(limits.recordResponse({Target, 1, std::nullopt, at(400ms)}, at(150ms)));
  CHECK_FALSE(limits.share(Target, 1, at(400ms)));
  // What another entry heard before doesn't bring it back.
  limits.merge({{Target, 1, 2.0, at(300ms)}}, at(450ms));
  CHECK_FALSE(limits.share(Target, 1, at(450ms)));
}

TEST_CASE("a limit doesn't apply to a target that has restarted") {
  TargetRateLimits limits;
  limits.recordResponse({Target, 1, 0.5, at(0ms)}, at(0ms));
  CHECK(limits.nextSendAt(Target, 1, at(0ms)) > at(0ms));
  CHECK(limits.nextSendAt(Target, 2, at(0ms)) <= at(0ms));
}

TEST_CASE("a target that takes no requests is still asked now and then") {
  TargetRateLimits limits;
  limits.recordResponse({Target, 1, 0.0, at(0ms)}, at(0ms));
  CHECK(limits.nextSendAt(Target, 1, at(0ms)) > at(5s));
  CHECK(limits.nextSendAt(Target, 1, at(0ms)) <= at(30s));
}

TEST_CASE("an entry whose process stood still has saved up no requests") {
  TargetRateLimits limits;
  limits.recordResponse({Target, 1, 2.0, at(0ms)}, at(0ms));
  CHECK(limits.nextSendAt(Target, 1, at(5s)) <= at(5s));
  limits.handleSuspension(at(5s));
  CHECK(limits.nextSendAt(Target, 1, at(5s)) > at(5s));
}
