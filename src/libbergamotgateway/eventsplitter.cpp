#include "libbergamotgateway/eventsplitter.h"

#include <utility>

namespace bergamot::gateway {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the offset past the last empty line, or 0 if there is none.
std::size_t endOfLastEvent(std::string_view text) {
  const std::size_t lf = text.rfind("\n\n");
  const std::size_t crlf = text.rfind("\n\r\n");
  const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
  const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 3;
  return lfEnd > crlfEnd ? lfEnd : crlfEnd;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes) {
  PartialEvent.append(bytes);
  const std::size_t end = endOfLastEvent(PartialEvent);
  if (end == 0)
    return {};
  std::string events = PartialEvent.substr(0, end);
  PartialEvent.erase(0, end);
  recordEvents(events);
  return events;
}

void EventSplitter::recordEvents(std::string_view events) {
  bool hasId = false;
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events = end == std::string_view::npos ? "" : events.substr(end + 1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.empty()) {
      ++EventCount;
      LastEventHasId = std::exchange(hasId, false);
    }
    if (!line.starts_with(IdField))
      continue;
    line.remove_prefix(IdField.size());
    if (line.starts_with(' '))
      line.remove_prefix(1);
    LastEventId = std::string(line);
    hasId = !line.empty();
  }
}

} // namespace bergamot::gateway
