#ifndef BERGAMOT_LIBBERGAMOTUSAGE_USAGEMESSAGE_H
#define BERGAMOT_LIBBERGAMOTUSAGE_USAGEMESSAGE_H

#include "libbergamotusage/usageledger.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::usage {

/// What the holder of the duty states about itself.
struct HolderAnnouncement {
  std::uint64_t Token = 0;
  WindowNumber LastFixed = 0;
  /// The holder stops; another entry has to take over.
  bool Leaving = false;

  bool operator==(const HolderAnnouncement &) const = default;
};

/// A message from one entry to another.
struct UsageMessage {
  UsageSource Source;
  /// The sender's wall clock.
  base::WallTime Clock;
  /// Set if the sender holds the duty.
  std::optional<HolderAnnouncement> Holder;
  /// The sender's own counts; only sent to the entries that collect them.
  std::vector<SourceUsage> Usage;
};

/// The number of accounts that fit into a datagram, with names of up to a
/// hundred bytes.
inline constexpr std::size_t MaxAccountsPerDatagram = 500;

/// Encodes a message: the format's version as one byte, then CBOR. Counts are
/// split between several messages with at most `maxAccounts` accounts each.
std::vector<std::string>
encodeUsageMessage(const UsageMessage &message,
                   std::size_t maxAccounts = MaxAccountsPerDatagram);
/// Decodes a message. Returns std::nullopt if it is malformed or in another
/// format.
std::optional<UsageMessage> decodeUsageMessage(std::string_view bytes);
/// Returns whether a datagram has the format of a UsageMessage.
bool isUsageMessage(std::string_view bytes);

} // namespace bergamot::usage

#endif
