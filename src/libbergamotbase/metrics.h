#ifndef BERGAMOT_LIBBERGAMOTBASE_METRICS_H
#define BERGAMOT_LIBBERGAMOTBASE_METRICS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bergamot::base {

/// Counters, gauges and latency histograms of a process, by name and label text
/// (e.g. `service="stock"`). Thread-safe. Names and labels must come from
/// configuration or code, never from client requests, to bound the number of
/// series.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Increments a counter, which starts at 0.
  void addCount(const std::string &name, const std::string &labels,
                std::uint64_t count = 1);

  /// Sets a gauge.
  void setGauge(const std::string &name, const std::string &labels,
                double value);

  /// Records a latency in a histogram with logarithmic buckets from 0.1 ms to
  /// 100 s.
  void addLatency(const std::string &name, const std::string &labels,
                  Duration latency);

  /// Returns all metrics in version 0.0.4 of the Prometheus text format.
  std::string prometheusText() const;

private:
  struct Histogram;
  struct Key {
    std::string Name;
    std::string Labels;
    auto operator<=>(const Key &) const = default;
  };

  mutable std::mutex Mutex;
  std::map<Key, std::uint64_t> Counters;
  std::map<Key, double> Gauges;
  std::map<Key, std::unique_ptr<Histogram>> Histograms;
};

} // namespace bergamot::base

#endif
