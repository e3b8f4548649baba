#include "entrypath/storebounds.h"

#include <algorithm>

namespace bergamot::entrypath {

using std::chrono::milliseconds;

namespace {

/// The interval between reads allows two of them within the drain bound less
/// the time that a slow read may take.
constexpr int ReadsPerDrainBound = 2;
constexpr milliseconds SlowReadTime{700};
constexpr milliseconds MinTargetsPollInterval{100};
constexpr milliseconds MaxTargetsPollInterval{2000};
constexpr milliseconds MaxTargetsPollTimeout{2000};
constexpr milliseconds MinOperatorPollTimeout{500};
constexpr milliseconds MaxOperatorPollTimeout{10000};
/// Time from a full read that lacks a target until no request reaches it.
constexpr milliseconds RemovalTime{500};
/// Time for a full read over a new connection.
constexpr milliseconds FullReadTime{300};

} // namespace

milliseconds maxSilenceTime(const FollowerSettings &settings) {
  return settings.PollInterval + settings.PollTimeout +
         settings.ReadTimeoutMargin + settings.RetryDelay + FullReadTime;
}

FollowerSettings operatorFollowerSettings(const std::string &topic,
                                          const StoreBounds &bounds) {
  FollowerSettings settings;
  settings.Topic = topic;
  settings.PollTimeout = milliseconds(0);
  const milliseconds bound =
      std::max(bounds.StableWindow,
               std::min(bounds.ConfigurationBound, bounds.EvacuationBound));
  settings.PollTimeout =
      std::clamp(bound - maxSilenceTime(settings), MinOperatorPollTimeout,
                 MaxOperatorPollTimeout);
  return settings;
}

FollowerSettings targetsFollowerSettings(const std::string &topic,
                                         const StoreBounds &bounds) {
  FollowerSettings settings;
  settings.Topic = topic;
  settings.PollTimeout = milliseconds(0);
  settings.PollInterval = milliseconds(0);
  const milliseconds left =
      bounds.StableWindow - RemovalTime - maxSilenceTime(settings);
  settings.PollInterval = std::clamp(
      std::min((bounds.DrainBound - SlowReadTime) / ReadsPerDrainBound, left),
      MinTargetsPollInterval, MaxTargetsPollInterval);
  // The bound on a removal counts from the start of the read before the one
  // that fails, and both may wait.
  constexpr int WaitingReads = 2;
  settings.PollTimeout =
      std::clamp((left - settings.PollInterval) / WaitingReads, milliseconds(0),
                 MaxTargetsPollTimeout);
  return settings;
}

} // namespace bergamot::entrypath
