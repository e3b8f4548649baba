#include "libbergamotstate/claimbatcher.h"
#include "libbergamotstate/membergossip.h"

#include <malloc.h>
#include <time.h>

#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

using namespace bergamot;
using namespace bergamot::state;

namespace {

constexpr std::uint64_t Seed = 1;
/// Bounds of section 2 of the design page.
constexpr double MaxCpuPercent = 5;
constexpr double MaxMemoryBytes = 64e6;
constexpr double MaxBytesPerSecond = 3000;
/// Several hundred appends per second, of which claims may take this many.
constexpr double MaxAppendsPerSecond = 300;
/// Requests per second and account at two-year size: 3,800 over 12,000.
constexpr double RequestsPerAccount = 3800.0 / 12000;
/// Assumed share of requests with an idempotency key. Not measured; the
/// figures are proportional to it.
constexpr double KeyedShare = 0.1;

base::TimePoint at(std::int64_t ms) {
  return base::TimePoint(std::chrono::milliseconds(ms));
}

double cpuSeconds() {
  timespec spec{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spec);
  return double(spec.tv_sec) + double(spec.tv_nsec) / 1e9;
}

double heapBytes() {
  const auto info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

std::string numberText(double value) {
  if (value < 0)
    return "null";
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

/// Prints one result; negative numbers stand for none.
void print(const std::string &name, double value, const char *unit,
           double bound, double naive) {
  std::printf(R"({"name":"%s","value":%s,"unit":"%s","bound":%s,"naive":%s})"
              "\n",
              name.c_str(), numberText(value).c_str(), unit,
              numberText(bound).c_str(), numberText(naive).c_str());
}

/// All daemons of a deployment, with the digests that they exchange.
class Group {
public:
  explicit Group(std::size_t count) {
    std::vector<ListedVm> list;
    for (std::size_t i = 0; i < count; ++i) {
      Ids.push_back({"vm-" + std::to_string(i)});
      list.push_back({Ids[i], "10.0.0.1:" + std::to_string(i), {"d"}, false});
    }
    for (const auto &vm : Ids) {
      auto daemon = std::make_unique<Daemon>(vm);
      daemon->View.setVmList(list, base::fromUnixMilliseconds(1), at(0));
      for (const auto &other : Ids)
        daemon->View.addAnnouncement({other, {1}, 1, false});
      daemon->Gossip.setDaemons(Ids);
      Daemons.emplace(vm, std::move(daemon));
    }
  }

  /// Changes what so many daemons state about themselves.
  void change(std::size_t count) {
    ++Change;
    for (std::size_t i = 0; i < count; ++i) {
      auto &daemon = *Daemons.at(Ids[i]);
      daemon.View.addAnnouncement({Ids[i], {1}, Change, true});
      daemon.Gossip.markChanged(Ids[i]);
    }
  }

  /// Runs for a time, or until all agree, and returns the time in ms.
  std::int64_t run(std::int64_t ms, bool untilAgreed) {
    const auto start = Now;
    for (; Now < start + ms; Now += 500) {
      std::vector<std::pair<base::VmId, OutgoingGossip>> sends;
      for (auto &[vm, daemon] : Daemons)
        for (auto &it : daemon->Gossip.takeMessages(at(Now)))
          sends.emplace_back(vm, std::move(it));
      for (const auto &[from, send] : sends) {
        Bytes += wireSize(send.Message);
        // One message in a hundred is lost.
        if (Random() % 100 != 0)
          Daemons.at(send.To)->Gossip.apply(from, send.Message);
      }
      if (untilAgreed && agree())
        return Now + 500 - start;
    }
    return ms;
  }

  /// Sent and received bytes since the last call, per daemon and second.
  double takeBytes(std::int64_t ms) {
    const double rate =
        2 * double(Bytes) / double(Daemons.size()) / (double(ms) / 1000);
    Bytes = 0;
    return rate;
  }

private:
  struct Daemon {
    Membership View;
    MemberGossip Gossip;
    explicit Daemon(const base::VmId &vm) : Gossip(vm, View) {}
  };

  bool agree() const {
    const auto &first = Daemons.begin()->second->Gossip.announcementHashes();
    for (const auto &it : Daemons)
      if (it.second->Gossip.announcementHashes() != first)
        return false;
    return true;
  }

  std::vector<base::VmId> Ids;
  std::map<base::VmId, std::unique_ptr<Daemon>> Daemons;
  std::mt19937_64 Random{Seed};
  std::uint32_t Change = 1;
  std::int64_t Now = 0;
  std::uint64_t Bytes = 0;
};

struct GossipCost {
  double CpuPercent;
  double Memory;
};

/// Measures the exchange of membership between so many daemons.
GossipCost measureGossip(std::size_t count) {
  const std::string suffix = "." + std::to_string(count) + "_daemons";
  const double heap = heapBytes();
  Group group(count);
  const double memory = (heapBytes() - heap) / double(count);
  group.run(20000, false);
  group.takeBytes(1);
  const double start = cpuSeconds();
  group.run(20000, false);
  const double rest = group.takeBytes(20000);
  group.change(1);
  const auto agreed = group.run(60000, true);
  const double busy = group.takeBytes(agreed);
  const double cpu = 100 * (cpuSeconds() - start) / double(count) /
                     (20 + double(agreed) / 1000);
  // All daemons of one of seven failure domains change at once.
  group.change(count / 7);
  const auto domain = group.run(300000, true);
  const double domainBytes = group.takeBytes(domain);
  // The naive exchange: each daemon tells each other every 500 ms.
  const double naive = 2 * 2 * double(count - 1) *
                       double(wireSize({{}, {{{"vm-100"}, {1}, 1, false}}}));
  print("gossip_bytes_at_rest" + suffix, rest, "bytes/s", MaxBytesPerSecond,
        naive);
  print("gossip_bytes_while_changing" + suffix, busy, "bytes/s",
        MaxBytesPerSecond, naive);
  print("gossip_convergence" + suffix, double(agreed) / 1000, "s", -1, 0.5);
  print("gossip_domain_convergence" + suffix, double(domain) / 1000, "s", -1,
        0.5);
  print("gossip_domain_bytes" + suffix, domainBytes, "bytes/s",
        MaxBytesPerSecond, naive);
  print("gossip_cpu" + suffix, cpu, "percent of a core", MaxCpuPercent, -1);
  print("gossip_memory" + suffix, memory, "bytes", MaxMemoryBytes, -1);
  return {cpu, memory};
}

struct ClaimCost {
  double Claims = 0;
  double Appends = 0;
  double Bytes = 0;
  double CpuSeconds = 0;
  double MemoryPerClaim = 0;
  double LatencyMs = 0;
};

ClaimSettings limitsWith(base::Duration wait) {
  ClaimSettings limits;
  limits.MaxWait = wait;
  limits.MaxClaims = 100000;
  return limits;
}

/// Runs one writer of claims at a rate, against a log that answers an append
/// in 5 ms, for so many simulated seconds.
ClaimCost runClaims(double perSecond, double seconds, base::Duration wait) {
  std::mt19937_64 random(Seed);
  std::exponential_distribution<double> gap(perSecond / 1000);
  ClaimCost cost;
  const double heap = heapBytes();
  ClaimTable table(std::chrono::hours(24));
  ClaimBatcher batcher({"vm-1"}, {1}, table, limitsWith(wait));
  std::deque<std::pair<std::int64_t, ClaimAppend>> log;
  std::map<std::uint64_t, std::int64_t> made;
  std::uint64_t offset = 0;
  double next = gap(random);
  const Outcome outcome = makeOutcome(200, "application/json", "{\"ok\":true}");
  const double start = cpuSeconds();
  for (std::int64_t now = 0; now < std::int64_t(seconds * 1000); ++now) {
    for (; next < double(now); next += gap(random)) {
      const auto key = claimKey({"a"}, {"s"}, std::to_string(random()));
      const auto id =
          batcher.addClaim(key, hash128("request"), at(now + 2000), at(now)).Id;
      made[id->Sequence] = now;
    }
    while (!log.empty() && log.front().first <= now) {
      for (const auto &it : log.front().second.Records)
        batcher.apply({{offset++}, base::fromUnixMilliseconds(now), it},
                      at(now));
      batcher.recordAppended(log.front().second.AppendNumber);
      log.pop_front();
    }
    if (batcher.wakeAt() > at(now))
      continue;
    for (auto &it : batcher.takeActions(at(now))) {
      if (auto *p = std::get_if<ClaimAppend>(&it)) {
        ++cost.Appends;
        for (const auto &text : p->Records)
          cost.Bytes += 2 * double(text.size()); // appended and read back
        log.emplace_back(now + 5, std::move(*p));
      } else if (const auto *d = std::get_if<ClaimDecision>(&it)) {
        ++cost.Claims;
        cost.LatencyMs += double(now - made[d->Id.Sequence]);
        made.erase(d->Id.Sequence);
        if (batcher.takeDispatchPermit(d->Id, at(now)))
          batcher.addOutcome(d->Id, outcome, at(now));
      }
    }
  }
  cost.CpuSeconds = cpuSeconds() - start;
  cost.MemoryPerClaim = (heapBytes() - heap) / cost.Claims;
  cost.LatencyMs /= cost.Claims;
  return cost;
}

/// Measures claims for so many accounts in so many partitions, with one writer
/// each whose claims wait for so long.
double measureAccounts(double accounts, double writers,
                       base::Duration wait = std::chrono::milliseconds(50)) {
  constexpr double Seconds = 600;
  const double rate = accounts * RequestsPerAccount * KeyedShare;
  const std::string suffix =
      "." + std::to_string(static_cast<int>(accounts)) + "_accounts_" +
      std::to_string(static_cast<int>(writers)) + "_partitions";
  const auto cost = runClaims(rate / writers, Seconds, wait);
  const double cpu = 100 * cost.CpuSeconds / Seconds;
  print("claims_bytes" + suffix, cost.Bytes / Seconds, "bytes/s",
        MaxBytesPerSecond, writers * cost.Bytes / Seconds);
  print("claims_cpu" + suffix, cpu, "percent of a core", MaxCpuPercent, -1);
  print("claims_per_append" + suffix, cost.Claims / cost.Appends,
        "claims/append", -1, 0.5);
  print("appends_of_all_writers" + suffix, writers * cost.Appends / Seconds,
        "appends/s", MaxAppendsPerSecond, 2 * rate);
  print("claim_decision" + suffix, cost.LatencyMs, "ms mean", -1, 5);
  // With few claims, the batcher's fixed memory would dominate the quotient.
  if (rate / writers > 1)
    print("window_in_64_MB" + suffix,
          MaxMemoryBytes / cost.MemoryPerClaim / (rate / writers) / 3600, "h",
          -1, -1);
  return cpu;
}

void measureThroughput() {
  const auto cost = runClaims(3800, 20, std::chrono::milliseconds(20));
  print("claims_per_append.3800_claims_per_s", cost.Claims / cost.Appends,
        "claims/append", -1, 0.5);
  print("appends.3800_claims_per_s", cost.Appends / 20, "appends/s",
        MaxAppendsPerSecond, 2 * 3800);
  print("claims_per_cpu_second", cost.Claims / cost.CpuSeconds, "claims/s", -1,
        -1);
  print("claim_memory", cost.MemoryPerClaim, "bytes", -1, -1);
  print("claims_in_64_MB", MaxMemoryBytes / cost.MemoryPerClaim, "claims", -1,
        -1);
}

} // namespace

int main() {
  std::fprintf(stderr, "seed %d\n", static_cast<int>(Seed));
  measureGossip(15);
  const auto small = measureGossip(100);
  const auto large = measureGossip(930);
  print("gossip_cpu_slope", (large.CpuPercent - small.CpuPercent) / 830,
        "percent of a core per daemon", -1, -1);
  print("gossip_memory_slope", (large.Memory - small.Memory) / 830,
        "bytes per daemon", -1, -1);
  measureAccounts(10, 16);
  const double few = measureAccounts(1000, 16);
  const double many = measureAccounts(12000, 16);
  measureAccounts(12000, 64);
  measureAccounts(12000, 128, std::chrono::milliseconds(250));
  print("claims_cpu_slope", (many - few) / 11000,
        "percent of a core per account", -1, -1);
  measureThroughput();
  return 0;
}
