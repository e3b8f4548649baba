#ifndef BERGAMOT_ENTRYPATH_STOREBOUNDS_H
#define BERGAMOT_ENTRYPATH_STOREBOUNDS_H

#include "entrypath/topicfollower.h"

#include <string>

namespace bergamot::entrypath {

/// What a deployment promises on the age of what its entries know from the
/// store. An entry whose connections have gone silent is excused for
/// StableWindow and must then keep all promises again, although only its own
/// time-outs show it the silence.
struct StoreBounds {
  /// A target gets no requests later than this after its removal.
  std::chrono::milliseconds DrainBound{2000};
  /// A configuration is in force within this time.
  std::chrono::milliseconds ConfigurationBound{2000};
  /// An evacuated failure domain gets no requests later than this.
  std::chrono::milliseconds EvacuationBound{5000};
  std::chrono::milliseconds StableWindow{3000};

  bool operator==(const StoreBounds &) const = default;
};

/// Returns the longest time from when a follower's connection goes silent to
/// the end of the full read over a new one.
std::chrono::milliseconds maxSilenceTime(const FollowerSettings &settings);

/// Returns the settings for the topic of the operators' records.
FollowerSettings operatorFollowerSettings(const std::string &topic,
                                          const StoreBounds &bounds);

/// Returns the settings for the topic of the targets' records. Targets may
/// write at each heartbeat, so there is an interval between reads.
FollowerSettings targetsFollowerSettings(const std::string &topic,
                                         const StoreBounds &bounds);

} // namespace bergamot::entrypath

#endif
