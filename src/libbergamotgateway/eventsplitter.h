#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_EVENTSPLITTER_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::gateway {

/// Cuts the body of an event stream (text/event-stream) at the ends of events,
/// so that a response that breaks off can be continued behind the last whole
/// event. An event ends with an empty line.
class EventSplitter {
public:
  /// Takes bytes and returns the whole events that they complete.
  std::string push(std::string_view bytes);
  /// Returns the id of the last whole event that had one.
  const std::optional<std::string> &lastEventId() const { return LastEventId; }
  /// Returns the number of whole events so far.
  std::uint64_t eventCount() const { return Events; }
  /// Returns the bytes of an event that isn't whole yet.
  const std::string &partialEvent() const { return PartialEvent; }
  /// Forgets an incomplete event, before another source continues.
  void dropPartialEvent() { PartialEvent.clear(); }

private:
  void readIds(std::string_view events);

  std::string PartialEvent;
  std::optional<std::string> LastEventId;
  std::uint64_t Events = 0;
};

} // namespace bergamot::gateway

#endif
