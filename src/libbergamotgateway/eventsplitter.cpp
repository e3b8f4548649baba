#include "libbergamotgateway/eventsplitter.h"

#include <charconv>
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

/// Returns the value of a field if the line, without its end, has this name.
std::optional<std::string_view> fieldValue(std::string_view line,
                                           std::string_view name) {
  if (!line.starts_with(name))
    return std::nullopt;
  line.remove_prefix(name.size());
  if (line.starts_with(' '))
    line.remove_prefix(1);
  return line;
}

/// Removes the first line from a text and returns it without its end.
std::string_view takeLine(std::string_view &text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text = end == std::string_view::npos ? "" : text.substr(end + 1);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

std::optional<std::uint64_t> parseId(std::string_view text) {
  std::uint64_t id = 0;
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, id);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return id;
}

} // namespace

bool EventSplitter::mayContinueWith(std::string_view bytes) const {
  const std::string text = PartialEvent + std::string(bytes);
  if (!LastEventId || endOfLastEvent(text) == 0)
    return true;
  std::string_view rest = text;
  for (std::string_view line = takeLine(rest); !line.empty();
       line = takeLine(rest)) {
    const auto id = fieldValue(line, IdField);
    if (!id)
      continue;
    const auto last = parseId(*LastEventId);
    const auto next = parseId(*id);
    return last && next ? *next > *last : *id != *LastEventId;
  }
  return false;
}

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
    const std::string_view line = takeLine(events);
    if (line.empty()) {
      ++EventCount;
      LastEventHasId = std::exchange(hasId, false);
    }
    if (const auto id = fieldValue(line, IdField)) {
      LastEventId = std::string(*id);
      hasId = !id->empty();
    }
  }
}

} // namespace bergamot::gateway
