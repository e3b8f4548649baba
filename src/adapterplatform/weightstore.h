#ifndef BERGAMOT_ADAPTERPLATFORM_WEIGHTSTORE_H
#define BERGAMOT_ADAPTERPLATFORM_WEIGHTSTORE_H

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::adapterplatform {

/// Names the weights of one expert.
struct WeightName {
  std::string Model;
  std::uint32_t Layer = 0;
  std::uint32_t Expert = 0;
};

/// Result of one read from the weight store.
struct WeightPart {
  /// Empty past the end and if RetryAfter is set.
  std::string Bytes;
  /// Length of the whole content.
  std::uint64_t TotalBytes = 0;
  /// SHA-256 of the whole content in hexadecimal, empty if not stated.
  std::string ContentHash;
  /// Set if the store refused the read because of its rate limit.
  std::optional<std::chrono::seconds> RetryAfter;
};

/// Access to the weight store. Throws base::Error.
template <typename T>
concept WeightStorePort = requires(T &store, const WeightName &name,
                                   std::uint64_t offset, std::uint64_t length,
                                   base::TimePoint deadline) {
  { store.read(name, offset, length, deadline) } -> std::same_as<WeightPart>;
};

/// The weight store over HTTP. Safe to use from several threads.
class HttpWeightStore {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpWeightStore(const std::string &endpoint) : Client(endpoint) {}

  /// Reads bytes of an expert's weights. Throws base::Error.
  WeightPart read(const WeightName &name, std::uint64_t offset,
                  std::uint64_t length, base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(WeightStorePort<HttpWeightStore>);

} // namespace bergamot::adapterplatform

#endif
