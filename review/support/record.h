#ifndef BERGAMOT_REVIEW_RECORD_H
#define BERGAMOT_REVIEW_RECORD_H

#include "net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace bergamot::review {

/// The record of what was sent, answered and run. Safe to use from several
/// threads.
class Record {
public:
  explicit Record(const std::string &path);

  /// Writes a line with the time since the start in milliseconds.
  void write(const std::string &text);
  /// Returns the time since the start.
  std::chrono::milliseconds now() const;

private:
  std::mutex Mutex;
  std::ofstream File;
  Clock::time_point StartedAt = Clock::now();
};

} // namespace bergamot::review

#endif
