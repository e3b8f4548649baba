#ifndef BERGAMOT_SIDECAR_POPULARITYRECORD_H
#define BERGAMOT_SIDECAR_POPULARITYRECORD_H

#include "libbergamotexperts/groupplanner.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::sidecar {

/// Encodes the popularity of a group's experts for the platform's store: one
/// byte per expert, i.e. 16 KB for 128 sets of 128 experts, and a
/// checksum. The record survives the loss of all VMs and doesn't depend on
/// which ranks return.
std::string encodePopularity(const experts::ExpertLoads &loads);

/// Decodes a record; the sum of each set's loads is approximately preserved.
/// Returns std::nullopt if the record is corrupt, of another format version, or
/// of a group with other dimensions.
std::optional<experts::ExpertLoads>
decodePopularity(const std::string &bytes, std::uint32_t sets,
                 std::uint32_t expertsPerSet);

} // namespace bergamot::sidecar

#endif
