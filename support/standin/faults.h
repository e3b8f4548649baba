#ifndef BERGAMOT_STANDIN_FAULTS_H
#define BERGAMOT_STANDIN_FAULTS_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace bergamot::standin {

/// A way in which a stand-in misbehaves.
enum class Fault {
  Down,       ///< closes the connection before any effect
  LoseAnswer, ///< the effect happens, the response is cut
  Repeat,     ///< records or events are stored or delivered twice
  Reorder,    ///< records or events are delivered in reverse order
  Silent,     ///< holds the connection open without an effect or a response
};

/// The faults that `POST /faults` has set. Safe to use from several threads.
/// `{"down":3,"slow_ms":200,"slow_count":5,"path":"/v1/streams"}` makes the
/// next three requests under that path fail and delays the next five. A value
/// of true lasts until it is changed, false or 0 ends it. Fields that are not
/// given keep their state; `{"clear":true}` ends all.
class Faults {
public:
  /// Takes the body of `POST /faults`. Throws base::Error with step Parse on
  /// an unknown field or a bad value.
  void set(const nlohmann::json &body);

  /// Returns what is set, in the form that set() takes.
  nlohmann::json present() const;

  /// Returns whether the fault applies to a request with this path, and counts
  /// it down if so.
  bool take(Fault fault, std::string_view path);

  /// Returns whether the fault applies, without counting it.
  bool applies(Fault fault, std::string_view path) const;

  /// Returns the delay for a request with this path, and counts it down.
  std::chrono::milliseconds takeDelay(std::string_view path);

private:
  static constexpr std::size_t FaultCount = 5;
  static constexpr std::int64_t Unlimited = -1;

  bool matches(std::string_view path) const;

  mutable std::mutex Mutex;
  std::array<std::int64_t, FaultCount> Counts{};
  std::chrono::milliseconds Delay{0};
  std::int64_t DelayCount = 0;
  std::string PathPrefix;
};

} // namespace bergamot::standin

#endif
