#ifndef BERGAMOT_SIDECAR_BATCH_H
#define BERGAMOT_SIDECAR_BATCH_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::sidecar {

/// Calls of a coordinator that one sidecar passes on to several, so that the
/// coordinator's link and processor time don't grow with the size of its group.
struct Batch {
  struct Call {
    /// Address of the sidecar without port.
    std::string Member;
    /// Index into Bodies; unset for a query.
    std::optional<std::uint32_t> Body;
  };

  /// Path and parameters, the same for all calls.
  std::string Target;
  /// Bodies that several calls may share.
  std::vector<std::string> Bodies;
  std::vector<Call> Calls;
  /// Time for all answers, measured from when the batch is received, as clocks
  /// of two VMs can't be compared.
  std::chrono::milliseconds Within{0};
};

/// An answer to one of the calls; unset if there was none in time.
using BatchAnswers = std::vector<std::optional<std::string>>;

/// Encodings in CBOR. Decoders return unset for damaged bytes.
std::string encodeBatch(const Batch &batch);
std::optional<Batch> decodeBatch(const std::string &bytes);
std::string encodeAnswers(const BatchAnswers &answers);
std::optional<BatchAnswers> decodeAnswers(const std::string &bytes);

/// Puts the sum of all counts in the first answer that has some, and leaves the
/// others empty: counts are most of the bytes between sidecars.
void mergeCounts(BatchAnswers &answers);

} // namespace bergamot::sidecar

#endif
