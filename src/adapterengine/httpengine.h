#ifndef BERGAMOT_ADAPTERENGINE_HTTPENGINE_H
#define BERGAMOT_ADAPTERENGINE_HTTPENGINE_H

#include "adapterengine/backend.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bergamot::adapterengine {

/// A change of an engine's prefix cache. BlockHash is one of the values of
/// promptPrefixHashes().
struct EngineCacheEvent {
  enum class EventKind { Stored, Evicted, Cleared };

  std::uint64_t Sequence = 0;
  EventKind Kind = EventKind::Stored;
  std::uint64_t BlockHash = 0;
};

/// Cache events of one incarnation of the engine. Next is the sequence number
/// to continue reading from.
struct EngineCacheEventPage {
  base::Incarnation BackEndIncarnation;
  std::vector<EngineCacheEvent> Events;
  std::uint64_t Next = 0;
};

/// Outcome of an order. StaleFence: the engine has already seen a higher
/// fencing token.
enum class OrderResult { Accepted, StaleFence };

/// Client of an engine over HTTP and server-sent events. Thread-safe. Throws
/// the same errors as HttpBackEnd.
class HttpEngine : public HttpBackEnd {
public:
  using HttpBackEnd::HttpBackEnd;

  /// Resumes the response stream of a request at a byte offset of its body.
  /// Status 404 means that the engine doesn't know the stream.
  bool resume(const base::RequestId &id, std::uint64_t offset,
              const CallDeadlines &deadlines, const ResponseSink &sink,
              CancellationToken &cancel);

  /// Cancels the generation for a request. Returns whether it was running.
  bool cancelStream(const base::RequestId &id, base::TimePoint deadline);

  /// Returns the cache events starting at a sequence number. Engines publish
  /// events with a delay, and sequence numbers may be missing.
  EngineCacheEventPage cacheEvents(std::uint64_t from,
                                   base::TimePoint deadline);

  /// Sends an order with a fencing token. The fields depend on the kind of the
  /// order, e.g. {"model":"m"} for "load_model".
  OrderResult order(const std::string &kind, const base::FencingToken &fence,
                    const nlohmann::json &fields, base::TimePoint deadline);

  /// Uploads an expert map to the rank, which stores it under its hash.
  void stageMap(const std::string &hash, const nlohmann::json &map,
                base::TimePoint deadline);

  /// Activates a staged map at the given step. Returns false if the rank
  /// refuses, because the map isn't staged or the step has passed.
  bool switchMap(const std::string &hash, std::uint64_t step,
                 base::TimePoint deadline);

  /// Returns the rank's expert counts: {"step","map","counts":[[...],...]}.
  nlohmann::json expertCounts(base::TimePoint deadline);

private:
  adapterhttp::HttpResponse post(const std::string &target,
                                 const nlohmann::json &body,
                                 base::TimePoint deadline);
};

/// Requirements on the client of an engine.
template <typename T>
concept EngineApi = ServiceApi<T> &&
    requires(T &client, const base::RequestId &id, std::uint64_t number,
             const CallDeadlines &deadlines, const ResponseSink &sink,
             CancellationToken &cancel, base::TimePoint deadline,
             const std::string &text, const base::FencingToken &fence,
             const nlohmann::json &fields) {
  { client.resume(id, number, deadlines, sink, cancel) } -> std::same_as<bool>;
  { client.cancelStream(id, deadline) } -> std::same_as<bool>;
  {
    client.cacheEvents(number, deadline)
    } -> std::same_as<EngineCacheEventPage>;
  { client.order(text, fence, fields, deadline) } -> std::same_as<OrderResult>;
  client.stageMap(text, fields, deadline);
  { client.switchMap(text, number, deadline) } -> std::same_as<bool>;
  { client.expertCounts(deadline) } -> std::same_as<nlohmann::json>;
};

static_assert(EngineApi<HttpEngine>);

} // namespace bergamot::adapterengine

#endif
