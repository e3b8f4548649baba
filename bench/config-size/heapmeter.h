#ifndef BERGAMOT_CONFIG_SIZE_HEAPMETER_H
#define BERGAMOT_CONFIG_SIZE_HEAPMETER_H

#include <cstddef>

namespace bergamot::configsize {

/// Returns the bytes that operator new has handed out and not got back.
std::size_t heapBytes();

/// Returns the largest value of heapBytes() since the last restart.
std::size_t heapPeak();

/// Sets the peak to the present value.
void restartHeapPeak();

} // namespace bergamot::configsize

#endif
