#ifndef BERGAMOT_SIDECAR_POPULARITYRECORD_H
#define BERGAMOT_SIDECAR_POPULARITYRECORD_H

#include "libbergamotexperts/groupplanner.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::sidecar {

/// Encodes the popularity of a group's experts for the platform's store: one
/// byte an expert, so 16 KB for 128 sets of 128 experts, and a checksum. It
/// outlives the loss of all VMs and doesn't depend on which ranks come back.
std::string encodePopularity(const experts::ExpertLoads &loads);

/// Decodes a record; the loads of each set have about the sum that they had.
/// Unset if the record is damaged, of another version, or of a group with other
/// sizes.
std::optional<experts::ExpertLoads> decodePopularity(const std::string &bytes,
                                                     std::uint32_t sets,
                                                     std::uint32_t experts);

} // namespace bergamot::sidecar

#endif
