#ifndef BERGAMOT_BERGAMOTCTL_CONFIGLOG_H
#define BERGAMOT_BERGAMOTCTL_CONFIGLOG_H

#include "adapterplatform/platformlog.h"
#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <string>
#include <utility>

namespace bergamot::bergamotctl {

/// Name of the stream that holds the configuration.
inline const std::string ConfigStream = "config";

/// The stream `config` as the commands use it. Both functions throw
/// base::Error; after a failed append, the record may have been stored.
class ConfigLog {
public:
  virtual ~ConfigLog() = default;

  /// Appends one record and returns its offset.
  virtual base::LogOffset append(const std::string &record,
                                 base::TimePoint deadline) = 0;

  /// Reads records from an offset on, waiting for the first until shortly
  /// before the deadline.
  virtual adapterplatform::LogPage read(base::LogOffset from, std::size_t limit,
                                        base::TimePoint deadline) = 0;
};

/// The stream over any log port.
template <adapterplatform::LogApi Log>
class ConfigLogOver final : public ConfigLog {
public:
  /// Constructs the port from the arguments.
  template <typename... Arguments>
  explicit ConfigLogOver(Arguments &&...arguments)
      : Port(std::forward<Arguments>(arguments)...) {}

  base::LogOffset append(const std::string &record,
                         base::TimePoint deadline) override {
    return Port.append(ConfigStream, {record}, deadline);
  }

  adapterplatform::LogPage read(base::LogOffset from, std::size_t limit,
                                base::TimePoint deadline) override {
    return Port.read(ConfigStream, from, limit, deadline);
  }

private:
  Log Port;
};

} // namespace bergamot::bergamotctl

#endif
