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

std::string seriesName(const std::string &name, const std::string &labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

void writeTypeLine(std::ostream &out, std::string &lastName,
                   const std::string &name, const char *type) {
  if (lastName == name)
    return;
  lastName = name;
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
  auto &latencies = Histograms[{name, labels}];
  if (!latencies)
    latencies = std::make_unique<Histogram>();
  latencies->Buckets(toSeconds(latency));
  latencies->SumSeconds += toSeconds(latency);
  ++latencies->Count;
}

std::string Metrics::prometheusText() const {
  const std::lock_guard lock(Mutex);
  std::ostringstream out;
  std::string lastName;
  for (const auto &[key, value] : Counters) {
    writeTypeLine(out, lastName, key.Name, "counter");
    out << seriesName(key.Name, key.Labels) << ' ' << value << '\n';
  }
  for (const auto &[key, value] : Gauges) {
    writeTypeLine(out, lastName, key.Name, "gauge");
    out << seriesName(key.Name, key.Labels) << ' ' << value << '\n';
  }
  for (const auto &[key, latencies] : Histograms) {
    writeTypeLine(out, lastName, key.Name, "histogram");
    const std::string prefix = key.Labels.empty() ? "" : key.Labels + ",";
    // The Prometheus format has cumulative buckets, so the underflow bin (index
    // -1) counts towards every bucket.
    double total = latencies->Buckets.at(-1);
    for (int i = 0; i < BucketCount; ++i) {
      total += latencies->Buckets.at(i);
      out << key.Name << "_bucket{" << prefix << "le=\""
          << latencies->Buckets.axis().bin(i).upper() << "\"} " << total
          << '\n';
    }
    out << key.Name << "_bucket{" << prefix << "le=\"+Inf\"} "
        << latencies->Count << '\n';
    out << seriesName(key.Name + "_sum", key.Labels) << ' '
        << latencies->SumSeconds << '\n';
    out << seriesName(key.Name + "_count", key.Labels) << ' '
        << latencies->Count << '\n';
  }
  return out.str();
}

} // namespace bergamot::base
