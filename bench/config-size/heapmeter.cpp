#include "heapmeter.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

// The benchmark has one thread.
std::size_t liveBytes = 0;
std::size_t peakBytes = 0;

void release(void *block) {
  if (block != nullptr)
    liveBytes -= malloc_usable_size(block);
  std::free(block);
}

} // namespace

void *operator new(std::size_t size) {
  void *block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr)
    throw std::bad_alloc();
  liveBytes += malloc_usable_size(block);
  peakBytes = std::max(peakBytes, liveBytes);
  return block;
}

void operator delete(void *block) noexcept { release(block); }

void operator delete(void *block, std::size_t) noexcept { release(block); }

namespace bergamot::configsize {

std::size_t heapBytes() { return liveBytes; }

std::size_t heapPeak() { return peakBytes; }

void restartHeapPeak() { peakBytes = liveBytes; }

} // namespace bergamot::configsize
