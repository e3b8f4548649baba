#include "heapmeter.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/configbuilder.h"
#include "libbergamotconfig/configledger.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <random>

DEFINE_uint64(seed, 20240501, "seed of the changes");
DEFINE_uint32(changes, 9, "changes per size; times are their median");

using namespace bergamot;
using namespace bergamot::config;
using namespace bergamot::configsize;

namespace {

constexpr double ChangesPerDay = 850;
constexpr double SecondsPerDay = 86400;
/// All control traffic, processor time and memory of one daemon.
constexpr double BytesPerSecondBound = 3000;
constexpr double CoreShareBound = 0.05;
constexpr double MemoryBoundBytes = 64e6;

/// The rest of a deployment with this many accounts.
struct Size {
  std::uint32_t Accounts;
  std::uint32_t Models;
  std::uint32_t Targets;
  std::uint32_t Entries;
};

constexpr Size Sizes[] = {
    {10, 1, 12, 3}, {1000, 10, 100, 30}, {12000, 30, 600, 330}};

constexpr std::uint32_t Domains = 7;

/// What one way of writing changes costs at one size.
struct Cost {
  double RecordBytes = 0;
  double ApplySeconds = 0;
  double HeldBytes = 0;
  double PeakBytes = 0;
  double SnapshotBytes = 0;
  double SnapshotSeconds = 0;
};

Configuration deployment(const Size &size, const Signer &signer) {
  ConfigBuilder builder;
  builder.addSigner("operator", signer.publicKey());
  for (std::uint32_t i = 0; i < Domains; ++i)
    builder.addFailureDomain("domain-" + std::to_string(i),
                             i < 4 ? "north" : "south");
  EndpointRange ports{"127.0.0.1", 1024};
  const auto domain = [](std::uint32_t i) {
    return "domain-" + std::to_string(i % Domains);
  };
  for (std::uint32_t i = 0; i < size.Entries; ++i)
    builder.addEntry("entry-" + std::to_string(i), domain(i), ports.take());
  ServiceLimits limits{16, 100'000, 2, {}, 65536, 512};
  limits.FirstTokenBound = std::chrono::milliseconds(1800);
  for (std::uint32_t i = 0; i < size.Models; ++i)
    builder.addModelService("service-" + std::to_string(i),
                            {"model-" + std::to_string(i)}, limits);
  for (std::uint32_t i = 0; i < size.Targets; ++i)
    builder.addTarget({{"target-" + std::to_string(i)},
                       {"vm-target-" + std::to_string(i)},
                       {"service-" + std::to_string(i % size.Models)},
                       {domain(i)},
                       ports.take()});
  for (std::uint32_t i = 0; i < size.Accounts; ++i) {
    const std::string id = "account-" + std::to_string(i);
    builder.addAccount(id, {}).addApiKey(id + ".secret");
  }
  return builder.build();
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

template <typename F> double secondsOf(const F &function) {
  const auto start = std::chrono::steady_clock::now();
  function();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

/// Changes one account or the state of one target, as most changes do.
Configuration edited(Configuration c, std::mt19937_64 &random) {
  if (random() % 2 == 0)
    c.Accounts[random() % c.Accounts.size()].RatePerSecond =
        1 + static_cast<std::uint32_t>(random() % 1000);
  else
    c.Targets[random() % c.Targets.size()].ChecksFencingToken =
        random() % 2 == 0;
  return c;
}

/// Returns the record that turns one configuration into another.
std::string writeChange(const std::string &id, base::ConfigVersion base,
                        const Configuration *from, const Configuration &to,
                        const Signer &signer) {
  Change change{id, base, "operator", {"operator"}};
  if (from == nullptr)
    change.Whole = to;
  else
    change.Delta = difference(*from, to);
  setSignature(change, signer);
  return recordText(change);
}

/// Applies one record and notes its time and the heap that it took at most.
double applySeconds(ConfigLedger &ledger, const LogRecord &record, Cost &cost) {
  const std::size_t idle = heapBytes();
  restartHeapPeak();
  VerdictKind kind = VerdictKind::Invalid;
  const double seconds = secondsOf([&] { kind = ledger.apply(record).Kind; });
  if (kind != VerdictKind::Accepted)
    throw base::Error(base::Step::Configuration, "",
                      "a change was not accepted");
  cost.PeakBytes =
      std::max(cost.PeakBytes, static_cast<double>(heapPeak() - idle));
  return seconds;
}

Cost measure(const Size &size, bool whole) {
  const Signer signer(std::string(32, 's'));
  std::mt19937_64 random(FLAGS_seed);
  Configuration present = deployment(size, signer);
  ConfigLedger ledger;
  std::uint64_t offset = 0;
  ledger.apply({{offset},
                base::WallTime(),
                writeChange("first", {0}, nullptr, present, signer)});
  std::vector<double> bytes;
  std::vector<double> seconds;
  Cost cost;
  for (std::uint32_t i = 1; i <= FLAGS_changes; ++i) {
    Configuration next = edited(present, random);
    const LogRecord record{
        {++offset},
        base::WallTime(),
        writeChange("change-" + std::to_string(i), ledger.version(),
                    whole ? nullptr : &present, next, signer)};
    present = std::move(next);
    bytes.push_back(static_cast<double>(record.Text.size()));
    seconds.push_back(applySeconds(ledger, record, cost));
  }
  cost.RecordBytes = median(bytes);
  cost.ApplySeconds = median(seconds);
  std::string snapshot;
  cost.SnapshotSeconds = secondsOf([&] { snapshot = ledger.snapshotText(); });
  cost.SnapshotBytes = static_cast<double>(snapshot.size());
  const std::size_t held = heapBytes();
  ledger = {};
  cost.HeldBytes = static_cast<double>(held - heapBytes());
  return cost;
}

void print(const std::string &name, double value, const char *unit,
           std::optional<double> bound, std::optional<double> naive) {
  nlohmann::ordered_json line;
  line["name"] = name;
  line["value"] = value;
  line["unit"] = unit;
  line["bound"] = bound ? nlohmann::ordered_json(*bound) : nullptr;
  line["naive"] = naive ? nlohmann::ordered_json(*naive) : nullptr;
  std::cout << line.dump() << std::endl;
}

void printSize(const Size &size) {
  const Cost delta = measure(size, false);
  const Cost whole = measure(size, true);
  const std::string suffix = "_" + std::to_string(size.Accounts) + "_accounts";
  const double snapshotsPerDay =
      SecondsPerDay /
      (static_cast<double>(Settings().LogRetention.count()) / 4);
  const auto rate = [&](const Cost &cost) {
    return (ChangesPerDay * cost.RecordBytes +
            snapshotsPerDay * delta.SnapshotBytes) /
           SecondsPerDay;
  };
  const auto share = [](const Cost &cost) {
    return ChangesPerDay * cost.ApplySeconds / SecondsPerDay;
  };
  print("record_bytes" + suffix, delta.RecordBytes, "B", {}, whole.RecordBytes);
  print("log_traffic" + suffix, rate(delta), "B/s", BytesPerSecondBound,
        rate(whole));
  print("apply_time" + suffix, delta.ApplySeconds * 1e3, "ms", {},
        whole.ApplySeconds * 1e3);
  print("apply_core_share" + suffix, share(delta), "core", CoreShareBound,
        share(whole));
  print("ledger_held" + suffix, delta.HeldBytes, "B", MemoryBoundBytes,
        whole.HeldBytes);
  print("apply_peak" + suffix, delta.PeakBytes, "B", MemoryBoundBytes,
        whole.PeakBytes);
  print("snapshot_bytes" + suffix, delta.SnapshotBytes, "B", {}, {});
  print("snapshot_time" + suffix, delta.SnapshotSeconds * 1e3, "ms", {}, {});
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cerr << "seed " << FLAGS_seed << ", " << FLAGS_changes
            << " changes per size; naive: each change is a whole document\n";
  try {
    for (const Size &size : Sizes)
      printSize(size);
  } catch (const base::Error &e) {
    std::cerr << "bench_config-size: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
