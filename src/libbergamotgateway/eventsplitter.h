#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_EVENTSPLITTER_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::gateway {

/// Splits the body of an event stream (text/event-stream) at event boundaries,
/// so that an interrupted response can be resumed after the last complete
/// event. An event ends with an empty line.
class EventSplitter {
public:
  /// Appends bytes and returns the events that they complete.
  std::string push(std::string_view bytes);
  /// Returns the id of the last complete event that had one.
  const std::optional<std::string> &lastEventId() const { return LastEventId; }
  /// Returns whether another target can be told where the complete events end:
  /// the last one that had data had an id, or none had data.
  bool isResumable() const { return Resumable; }
  /// Returns the number of complete events so far.
  std::uint64_t eventCount() const { return EventCount; }
  /// Returns whether bytes that come next may be the rest of the stream: they
  /// complete no event with data, or the first such event has another id than
  /// the last one so far, and a greater one if both are numbers.
  bool mayContinueWith(std::string_view bytes) const;
  /// Returns the bytes of an event that isn't complete yet.
  const std::string &partialEvent() const { return PartialEvent; }
  /// Discards an incomplete event before the stream is resumed at another
  /// target.
  void dropPartialEvent() { PartialEvent.clear(); }
  /// Exchanges the incomplete event for that of another connection.
  void swapPartialEvent(std::string &other) { PartialEvent.swap(other); }

private:
  /// Counts complete events and updates LastEventId.
  void recordEvents(std::string_view events);

  std::string PartialEvent;
  std::optional<std::string> LastEventId;
  bool Resumable = true;
  std::uint64_t EventCount = 0;
};

} // namespace bergamot::gateway

#endif
