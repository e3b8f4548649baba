#ifndef BERGAMOT_ADAPTERENGINE_HTTPENGINE_H
#define BERGAMOT_ADAPTERENGINE_HTTPENGINE_H

#include "adapterengine/backend.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bergamot::adapterengine {

/// A change of an engine's prefix cache. Block is one of promptBlocks().
struct EngineCacheEvent {
  enum class Kind { Stored, Evicted, Cleared };

  std::uint64_t Sequence = 0;
  Kind Change = Kind::Stored;
  std::uint64_t Block = 0;
};

/// Cache events of one incarnation; Next is the sequence number to read on
/// from.
struct EngineCacheEvents {
  base::Incarnation BackEnd;
  std::vector<EngineCacheEvent> Events;
  std::uint64_t Next = 0;
};

/// What an engine did with an order.
enum class OrderResult { Accepted, StaleFence };

/// Access to an engine over HTTP and server-sent events. Safe to use from
/// several threads; for errors see HttpBackEnd.
class HttpEngine : public HttpBackEnd {
public:
  using HttpBackEnd::HttpBackEnd;

  /// Continues the stream of a request from a byte of its body on. A status of
  /// 404 means that the engine doesn't know the stream.
  bool resume(const base::RequestId &id, std::uint64_t offset,
              const CallDeadlines &deadlines, const ResponseSink &sink,
              CallCancel &cancel);

  /// Ends the generation for a request. Returns whether it was running.
  bool cancelStream(const base::RequestId &id, base::TimePoint deadline);

  /// Returns the cache events from a sequence number on. They come late and
  /// with gaps.
  EngineCacheEvents cacheEvents(std::uint64_t from, base::TimePoint deadline);

  /// Gives an order with a fencing token. The fields are those of the kind of
  /// order, e.g. {"model":"m"} for "load_model".
  OrderResult order(const std::string &kind, const base::FencingToken &fence,
                    const nlohmann::json &fields, base::TimePoint deadline);

  /// Keeps an expert map under its hash at the rank.
  void stageMap(const std::string &hash, const nlohmann::json &map,
                base::TimePoint deadline);

  /// Makes a staged map the one in use from the step on. Returns false if the
  /// rank refuses, because it doesn't have the map or the step has passed.
  bool switchMap(const std::string &hash, std::uint64_t step,
                 base::TimePoint deadline);

  /// Returns the rank's expert counts: {"step","map","counts":[[...],...]}.
  nlohmann::json expertCounts(base::TimePoint deadline);

private:
  adapterhttp::HttpResponse post(const std::string &target,
                                 const nlohmann::json &body,
                                 base::TimePoint deadline);
};

/// Access to an engine.
template <typename T>
concept EnginePort = ServicePort<T> &&
    requires(T &port, const base::RequestId &id, std::uint64_t number,
             const CallDeadlines &deadlines, const ResponseSink &sink,
             CallCancel &cancel, base::TimePoint deadline,
             const std::string &text, const base::FencingToken &fence,
             const nlohmann::json &fields) {
  { port.resume(id, number, deadlines, sink, cancel) } -> std::same_as<bool>;
  { port.cancelStream(id, deadline) } -> std::same_as<bool>;
  { port.cacheEvents(number, deadline) } -> std::same_as<EngineCacheEvents>;
  { port.order(text, fence, fields, deadline) } -> std::same_as<OrderResult>;
  port.stageMap(text, fields, deadline);
  { port.switchMap(text, number, deadline) } -> std::same_as<bool>;
  { port.expertCounts(deadline) } -> std::same_as<nlohmann::json>;
};

static_assert(EnginePort<HttpEngine>);

} // namespace bergamot::adapterengine

#endif
