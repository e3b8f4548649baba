#include "record.h"

#include <iostream>

namespace review {

void Record::line(const std::string &text) {
  const std::lock_guard lock(Mutex);
  const std::string it =
      std::to_string(milliseconds(Clock::now())) + " ms  " + text + "\n";
  Out << it << std::flush;
  std::cout << it << std::flush;
}

std::int64_t Record::milliseconds(TimePoint at) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at - StartedAt)
      .count();
}

} // namespace review
