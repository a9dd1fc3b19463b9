#include "allocationcount.h"

#include <cstdlib>
#include <new>

namespace {

std::uint64_t Count = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++Count;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }

void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

namespace cranberryspool::routing {

std::uint64_t allocationCount() { return Count; }

} // namespace cranberryspool::routing
