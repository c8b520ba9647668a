#include "tests/wire/allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocated_bytes{0};

}  // namespace

// With --wrap=malloc, the linker redirects calls of malloc() in this program to __wrap_malloc().
// Calls in shared libraries are not counted, except those of the operator new below.
extern "C" {
void* __real_malloc(std::size_t size);
void* __wrap_malloc(std::size_t size) {
  allocated_bytes += size;
  return __real_malloc(size);
}
}

void* operator new(std::size_t size) {
  void* block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) throw std::bad_alloc();
  return block;
}
void operator delete(void* block) noexcept { std::free(block); }
void operator delete(void* block, std::size_t /*size*/) noexcept { std::free(block); }

namespace parsleyline::wire {

std::size_t AllocatedBytes() { return allocated_bytes; }
void ResetAllocatedBytes() { allocated_bytes = 0; }

}  // namespace parsleyline::wire
