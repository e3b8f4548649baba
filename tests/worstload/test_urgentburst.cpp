// Replays requests that compete for the slots of a service and compares the
// decisions of the current settings with those of the default ones.
#include "loadreplay.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <map>
#include <string>

using namespace bergamot;
using namespace bergamot::worstload;
using namespace std::chrono_literals;
using gateway::WaitingRequest;
using gateway::WaitSettings;

namespace {

/// Callers with the same terms.
struct Kind {
  std::uint32_t Priority = 0;
  milliseconds LatencyObjective{500};
  /// Requests per second by the start of each phase.
  std::map<milliseconds, double> Rates;
  std::string Account;
  /// Rejected requests are retried at once until their callers give up.
  bool RetriesAtOnce = false;
};

struct KindResult {
  unsigned Arrived = 0;
  unsigned OnTime = 0;
  unsigned Served = 0;

  double onTimeShare() const { return static_cast<double>(OnTime) / Arrived; }
  double servedShare() const { return static_cast<double>(Served) / Arrived; }
};

/// Replays the load on one entry in virtual time. Callers honor Retry-After up
/// to a third of their remaining time and retry once.
std::vector<KindResult> replayKinds(const std::vector<Kind> &kinds,
                                    const WaitSettings &settings,
                                    std::uint64_t seed) {
  constexpr milliseconds RequestTimeout{8000};
  constexpr milliseconds CallerTimeout{2000};
  constexpr milliseconds Tick{5};
  constexpr milliseconds RetryDelay{20};
  const Load load;
  struct Attempt {
    std::size_t Kind = 0;
    TimePoint FirstArrivedAt;
    bool IsRetry = false;
  };
  std::multimap<TimePoint, Attempt> due;
  std::vector<KindResult> results(kinds.size());
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    Load ofKind;
    ofKind.Rates = kinds[i].Rates;
    ofKind.Seed = 100 * seed + i;
    for (const milliseconds t : arrivals(ofKind)) {
      due.emplace(at(t), Attempt{i, at(t)});
      ++results[i].Arrived;
    }
  }
  CurrentPolicy policy(settings);
  std::mt19937_64 random(seed);
  std::vector<Attempt> attempts;
  std::vector<TimePoint> busyUntil;
  for (milliseconds t{0}; t < load.Length + CallerTimeout; t += Tick) {
    const TimePoint now = at(t);
    const auto reject = [&](const WaitingRequest &request) {
      const Attempt &attempt = attempts[request.SequenceNumber];
      if (kinds[attempt.Kind].RetriesAtOnce) {
        if (now < attempt.FirstArrivedAt + CallerTimeout)
          due.emplace(now + RetryDelay, attempt);
        return;
      }
      const auto left = attempt.FirstArrivedAt + RequestTimeout - now;
      const double draw = std::uniform_real_distribution<double>(0, 1)(random);
      const auto delay =
          policy.retryAfter(request, left, draw, now, load.Slots);
      if (!attempt.IsRetry && delay <= left / 3)
        due.emplace(std::max(now + delay, now + Tick),
                    Attempt{attempt.Kind, attempt.FirstArrivedAt, true});
    };
    while (!due.empty() && due.begin()->first <= now) {
      const auto [arrivedAt, attempt] = *due.begin();
      due.erase(due.begin());
      const Kind &kind = kinds[attempt.Kind];
      gateway::Route route;
      route.Streaming = true;
      route.LatencyObjective = kind.LatencyObjective;
      const auto limits = gateway::waitLimits(
          route, {arrivedAt, attempt.FirstArrivedAt + RequestTimeout, false});
      const WaitingRequest request{
          attempts.size(),  kind.Priority, arrivedAt,   limits.OnTimeUntil,
          limits.ExpiresAt, false,         kind.Account};
      attempts.push_back(attempt);
      if (!policy.admit(request, now, false, load.Slots))
        reject(request);
      else
        for (const auto &it : policy.drop(now, false, load.Slots))
          reject(it);
    }
    std::erase_if(busyUntil, [&](TimePoint it) { return it <= now; });
    while (const auto it = policy.next(
               now, static_cast<std::uint32_t>(busyUntil.size()), load.Slots)) {
      busyUntil.push_back(now + load.ServiceTime);
      const Attempt &attempt = attempts[it->SequenceNumber];
      KindResult &result = results[attempt.Kind];
      ++result.Served;
      if (now + load.FirstEventDelay <=
          attempt.FirstArrivedAt + kinds[attempt.Kind].LatencyObjective)
        ++result.OnTime;
    }
    for (const auto &it : policy.drop(now, false, load.Slots))
      reject(it);
  }
  return results;
}

std::vector<KindResult> replaySeeds(const std::vector<Kind> &kinds,
                                    const WaitSettings &settings) {
  std::vector<KindResult> total(kinds.size());
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto results = replayKinds(kinds, settings, seed);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      total[i].Arrived += results[i].Arrived;
      total[i].OnTime += results[i].OnTime;
      total[i].Served += results[i].Served;
    }
  }
  return total;
}

void print(const char *name, const std::vector<KindResult> &results) {
  for (std::size_t i = 0; i < results.size(); ++i)
    std::printf("%s kind %zu: arrived %u, on time %.3f, served %.3f\n", name, i,
                results[i].Arrived, results[i].onTimeShare(),
                results[i].servedShare());
}

} // namespace

// Guards against urgent requests that are rejected because less urgent ones
// have filled the queue. The capacity is 25 requests per second; the routes are
// those of the first deployment at one of its entries.
TEST_CASE("urgent burst after a burst of less urgent requests") {
  const std::vector<Kind> kinds{
      {0, 500ms, {{0ms, 8}, {3000ms, 30}, {6000ms, 8}}},
      {1, 500ms, {{0ms, 6}}},
      {2, 1000ms, {{0ms, 4}, {2000ms, 40}, {4000ms, 4}}}};
  const auto before = replaySeeds(kinds, {});
  const auto now = replaySeeds(kinds, {true, false});
  print("previous", before);
  print("by priority", now);
  CHECK(now[0].onTimeShare() > 1.4 * before[0].onTimeShare());
  CHECK(now[0].onTimeShare() >= now[1].onTimeShare());
  CHECK(now[0].onTimeShare() >= now[2].onTimeShare());
  CHECK(now[1].onTimeShare() >= before[1].onTimeShare());
}

// Guards against starving less urgent requests while the most urgent ones alone
// exceed the capacity.
TEST_CASE("less urgent requests are served under lasting urgent overload") {
  const std::vector<Kind> kinds{
      {0, 500ms, {{0ms, 40}}}, {1, 500ms, {{0ms, 6}}}, {2, 1000ms, {{0ms, 4}}}};
  const auto before = replaySeeds(kinds, {});
  const auto now = replaySeeds(kinds, {true, false});
  print("previous", before);
  print("by priority", now);
  double served = 0;
  double arrived = 0;
  for (const auto &it : now) {
    served += it.Served;
    arrived += it.Arrived;
  }
  for (const auto &it : now)
    CHECK(it.servedShare() >= served / arrived / 4);
}

// Guards against an account that pushes back others of the same priority by
// sending three times as often and by retrying rejected requests at once.
TEST_CASE(
    "account that sends more than others gains nothing at their expense") {
  // The capacity is 25 requests per second, demand without retries 35.
  const auto accounts = [](double firstRate, bool retriesAtOnce) {
    std::vector<Kind> kinds(24);
    for (std::size_t i = 0; i < kinds.size(); ++i)
      kinds[i] = {1,
                  500ms,
                  {{0ms, i == 0 ? firstRate : 1.35}},
                  std::to_string(i),
                  i == 0 && retriesAtOnce};
    return kinds;
  };
  // Returns the results of the first account and of all others together.
  const auto replayAccounts = [&](const char *name, double firstRate,
                                  bool retriesAtOnce, bool fairAccounts) {
    const auto results =
        replaySeeds(accounts(firstRate, retriesAtOnce), {true, fairAccounts});
    std::vector<KindResult> sums{results[0], {}};
    for (std::size_t i = 1; i < results.size(); ++i) {
      sums[1].Arrived += results[i].Arrived;
      sums[1].OnTime += results[i].OnTime;
      sums[1].Served += results[i].Served;
    }
    print(name, sums);
    return sums;
  };
  for (const bool retries : {false, true}) {
    const auto before = replayAccounts("by arrival", 4.05, retries, false);
    const auto now = replayAccounts("by account", 4.05, retries, true);
    CHECK(now[0].onTimeShare() < 0.9 * now[1].onTimeShare());
    CHECK(now[1].onTimeShare() > before[1].onTimeShare() + 0.02);
    CHECK(now[1].servedShare() > before[1].servedShare());
    CHECK(now[0].servedShare() > now[1].servedShare() / 4);
  }
  replayAccounts("equal accounts, by arrival", 1.35, false, false);
  replayAccounts("equal accounts, by account", 1.35, false, true);
}
