#ifndef BERGAMOT_ENTRYPATH_RECORDMESSAGE_H
#define BERGAMOT_ENTRYPATH_RECORDMESSAGE_H

#include "entrypath/compactedtopic.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::entrypath {

/// Records of a topic that an entry hands on to another one.
struct RecordMessage {
  std::vector<TopicRecord> Records;
  /// The position up to which the sender has read the topic.
  TopicPosition End;
};

/// Encodes records as CBOR. A former version ignores the eras.
std::string encodeRecordMessage(const RecordMessage &message);
/// Decodes records; malformed ones are left out. A former version states no
/// eras and heeds none, so its offsets are taken for those of the first one.
/// Returns nullopt if the message itself is malformed.
std::optional<RecordMessage> decodeRecordMessage(std::string_view bytes);

} // namespace bergamot::entrypath

#endif
