#ifndef BERGAMOT_SIDECAR_RANKCODEC_H
#define BERGAMOT_SIDECAR_RANKCODEC_H

#include "sidecar/rankclient.h"

#include <optional>
#include <string>

namespace bergamot::sidecar {

/// CBOR encoding of the messages between sidecars. Decoders return std::nullopt
/// for malformed input.
std::string encodeState(const experts::RankState &state);
std::optional<experts::RankState> decodeState(const std::string &bytes);
/// Counts are scaled to one byte each, with an error of at most 0.2% of the
/// largest count in the message.
std::string encodeCounts(const CountDeltas &counts);
std::optional<CountDeltas> decodeCounts(const std::string &bytes);
std::string encodeExpertIds(const RankExpertIds &expertIds);
std::optional<RankExpertIds> decodeExpertIds(const std::string &bytes);
std::string encodeOrder(const experts::RankOrder &order);
std::optional<experts::RankOrder> decodeOrder(const std::string &bytes);
std::string encodeResult(experts::OrderResult result);
std::optional<experts::OrderResult> decodeResult(const std::string &bytes);

} // namespace bergamot::sidecar

#endif
