#include "libbergamotgateway/eventsplitter.h"

#include <charconv>

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

/// Removes the first line from a text and returns it without its end.
std::string_view takeLine(std::string_view &text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text = end == std::string_view::npos ? "" : text.substr(end + 1);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

/// The parts of an event that tell where a stream goes on.
struct Event {
  /// Empty if the event has none.
  std::string_view Id;
  /// Blocks without data, such as comments, aren't events to the caller.
  bool HasData = false;
};

/// Removes the first event and its empty line from a text.
Event takeEvent(std::string_view &text) {
  Event event;
  for (std::string_view line = takeLine(text); !line.empty();
       line = takeLine(text)) {
    event.HasData =
        event.HasData || line == "data" || line.starts_with("data:");
    if (!line.starts_with(IdField))
      continue;
    event.Id = line.substr(IdField.size());
    if (event.Id.starts_with(' '))
      event.Id.remove_prefix(1);
  }
  return event;
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
  std::string_view rest(text.data(), endOfLastEvent(text));
  while (LastEventId && !rest.empty()) {
    const Event event = takeEvent(rest);
    if (!event.HasData)
      continue;
    const auto last = parseId(*LastEventId);
    const auto next = parseId(event.Id);
    return last && next ? *next > *last
                        : !event.Id.empty() && event.Id != *LastEventId;
  }
  return true;
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
  while (!events.empty()) {
    const Event event = takeEvent(events);
    ++EventCount;
    if (!event.Id.empty())
      LastEventId = std::string(event.Id);
    if (event.HasData)
      Resumable = !event.Id.empty();
  }
}

} // namespace bergamot::gateway
