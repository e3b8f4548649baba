#ifndef BERGAMOT_SIDECAR_BATCH_H
#define BERGAMOT_SIDECAR_BATCH_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::sidecar {

/// Calls from a coordinator to several sidecars, which one sidecar relays so
/// that the coordinator's bandwidth and CPU time don't grow with the size of
/// its group.
struct Batch {
  struct Call {
    /// IP address of the sidecar, without port.
    std::string MemberAddress;
    /// Index into Bodies; unset for calls without a body.
    std::optional<std::uint32_t> Body;
  };

  /// Request target (path and query), the same for all calls.
  std::string RequestTarget;
  /// Request bodies; several calls may refer to the same one.
  std::vector<std::string> Bodies;
  std::vector<Call> Calls;
  /// Time limit for all responses. Relative to the receipt of the batch,
  /// because the clocks of two VMs can't be compared.
  std::chrono::milliseconds Timeout{0};
};

/// Response bodies in the order of the calls; unset for calls that failed or
/// timed out.
using BatchResponses = std::vector<std::optional<std::string>>;

/// CBOR encoding. Decoders return std::nullopt for malformed input.
std::string encodeBatch(const Batch &batch);
std::optional<Batch> decodeBatch(const std::string &bytes);
std::string encodeResponses(const BatchResponses &responses);
std::optional<BatchResponses> decodeResponses(const std::string &bytes);

/// Stores the sum of all counts in the first response that has counts, and
/// replaces the counts of the others by empty ones. Counts are most of the
/// traffic between sidecars.
void mergeCounts(BatchResponses &responses);

} // namespace bergamot::sidecar

#endif
