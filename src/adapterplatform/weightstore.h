#ifndef BERGAMOT_ADAPTERPLATFORM_WEIGHTSTORE_H
#define BERGAMOT_ADAPTERPLATFORM_WEIGHTSTORE_H

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::adapterplatform {

/// Identifies the weights of one expert.
struct ExpertWeightsId {
  std::string Model;
  std::uint32_t Layer = 0;
  std::uint32_t Expert = 0;
};

/// Result of a read from the weight store.
struct WeightPart {
  /// Content of the requested range. Empty if the range starts past the end or
  /// RetryAfter is set.
  std::string Bytes;
  /// Length of the whole content.
  std::uint64_t TotalBytes = 0;
  /// Hexadecimal SHA-256 of the whole content. Empty if the store sent none.
  std::string ContentHash;
  /// Time to wait before a retry, set if the store rate-limited the read.
  std::optional<std::chrono::seconds> RetryAfter;
};

/// Requirements on a client of the weight store. Functions throw base::Error.
template <typename T>
concept WeightStoreApi = requires(T &store, const ExpertWeightsId &id,
                                  std::uint64_t offset, std::uint64_t length,
                                  base::TimePoint deadline) {
  { store.read(id, offset, length, deadline) } -> std::same_as<WeightPart>;
};

/// Client of the weight store over HTTP. Thread-safe.
class HttpWeightStore {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpWeightStore(const std::string &endpoint) : Client(endpoint) {}

  /// Reads a byte range of an expert's weights. Throws base::Error.
  WeightPart read(const ExpertWeightsId &id, std::uint64_t offset,
                  std::uint64_t length, base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(WeightStoreApi<HttpWeightStore>);

} // namespace bergamot::adapterplatform

#endif
