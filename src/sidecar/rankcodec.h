#ifndef BERGAMOT_SIDECAR_RANKCODEC_H
#define BERGAMOT_SIDECAR_RANKCODEC_H

#include "sidecar/rankclient.h"

#include <optional>
#include <string>

namespace bergamot::sidecar {

/// Encodings of the messages between sidecars, in CBOR. Decoders return unset
/// for damaged bytes.
std::string encodeState(const experts::RankState &state);
std::optional<experts::RankState> decodeState(const std::string &bytes);
/// Counts are scaled to one byte each, which keeps the largest within 0.2%.
std::string encodeCounts(const AddedCounts &counts);
std::optional<AddedCounts> decodeCounts(const std::string &bytes);
std::string encodeExperts(const RankExperts &experts);
std::optional<RankExperts> decodeExperts(const std::string &bytes);
std::string encodeOrder(const experts::RankOrder &order);
std::optional<experts::RankOrder> decodeOrder(const std::string &bytes);
std::string encodeResult(experts::OrderResult result);
std::optional<experts::OrderResult> decodeResult(const std::string &bytes);

} // namespace bergamot::sidecar

#endif
