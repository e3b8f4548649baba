#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_FRAMINGHABIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_FRAMINGHABIT_H

#include <cstddef>
#include <cstdint>

namespace bergamot::gateway {

/// Whether the responses of a service usually state where they end. If they do,
/// one that ends with its connection is more likely to be cut.
class FramingHabit {
public:
  /// Records a success; `framed` if it had a length or came in chunks.
  void add(bool framed);
  /// Returns whether at least half of the last successes had neither. False if
  /// there were too few.
  bool isUsuallyUnframed() const;

private:
  /// One bit for each of the last successes, the latest in the lowest bit; set
  /// for unframed ones.
  std::uint64_t Unframed = 0;
  std::size_t Count = 0;
};

} // namespace bergamot::gateway

#endif
