#include "libbergamotbase/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace bergamot::base {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr int BucketCount = 30;
constexpr double LowestBucketSeconds = 1e-4;
constexpr double HighestBucketSeconds = 100.0;

double toSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

std::string series(const std::string &name, const std::string &labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

void writeType(std::ostream &out, std::string &last, const std::string &name,
               const char *type) {
  if (last == name)
    return;
  last = name;
  out << "# TYPE " << name << ' ' << type << '\n';
}

} // namespace

struct Metrics::Histogram {
  decltype(bh::make_histogram(std::declval<LogAxis>())) Buckets =
      bh::make_histogram(
          LogAxis(BucketCount, LowestBucketSeconds, HighestBucketSeconds));
  double SumSeconds = 0;
  std::uint64_t Count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::addCount(const std::string &name, const std::string &labels,
                       std::uint64_t count) {
  const std::lock_guard lock(Mutex);
  Counters[{name, labels}] += count;
}

void Metrics::setGauge(const std::string &name, const std::string &labels,
                       double value) {
  const std::lock_guard lock(Mutex);
  Gauges[{name, labels}] = value;
}

void Metrics::addLatency(const std::string &name, const std::string &labels,
                         Duration latency) {
  const std::lock_guard lock(Mutex);
  auto &entry = Histograms[{name, labels}];
  if (!entry)
    entry = std::make_unique<Histogram>();
  entry->Buckets(toSeconds(latency));
  entry->SumSeconds += toSeconds(latency);
  ++entry->Count;
}

std::string Metrics::prometheusText() const {
  const std::lock_guard lock(Mutex);
  std::ostringstream out;
  std::string last;
  for (const auto &[key, value] : Counters) {
    writeType(out, last, key.Name, "counter");
    out << series(key.Name, key.Labels) << ' ' << value << '\n';
  }
  for (const auto &[key, value] : Gauges) {
    writeType(out, last, key.Name, "gauge");
    out << series(key.Name, key.Labels) << ' ' << value << '\n';
  }
  for (const auto &[key, entry] : Histograms) {
    writeType(out, last, key.Name, "histogram");
    const std::string prefix = key.Labels.empty() ? "" : key.Labels + ",";
    // Buckets are cumulative in this format; the underflow bin comes first.
    double total = entry->Buckets.at(-1);
    for (int i = 0; i < BucketCount; ++i) {
      total += entry->Buckets.at(i);
      out << key.Name << "_bucket{" << prefix << "le=\""
          << entry->Buckets.axis().bin(i).upper() << "\"} " << total << '\n';
    }
    out << key.Name << "_bucket{" << prefix << "le=\"+Inf\"} " << entry->Count
        << '\n';
    out << series(key.Name + "_sum", key.Labels) << ' ' << entry->SumSeconds
        << '\n';
    out << series(key.Name + "_count", key.Labels) << ' ' << entry->Count
        << '\n';
  }
  return out.str();
}

} // namespace bergamot::base
