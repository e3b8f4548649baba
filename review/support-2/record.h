#ifndef BERGAMOT_REVIEW_SUPPORT2_RECORD_H
#define BERGAMOT_REVIEW_SUPPORT2_RECORD_H

#include "socket.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The record of a case: one line for each event, with the milliseconds since
/// the start. Also written to standard output.
class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}

  void line(const std::string &text);
  std::int64_t milliseconds(TimePoint at) const;

private:
  std::mutex Mutex;
  std::ofstream Out;
  TimePoint StartedAt = Clock::now();
};

} // namespace review

#endif
