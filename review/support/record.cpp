#include "record.h"

namespace bergamot::review {

Record::Record(const std::string &path) : File(path, std::ios::trunc) {}

void Record::write(const std::string &text) {
  const std::lock_guard lock(Mutex);
  File << now().count() << " ms: " << text << std::endl;
}

std::chrono::milliseconds Record::now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               StartedAt);
}

} // namespace bergamot::review
