#include "net/process_memory.h"

#include <malloc.h>

namespace flaxdoor::net {

namespace {

constexpr int min_separate_buffer_bytes = 32 * 1024;

}  // namespace

void configure_allocator() { ::mallopt(M_MMAP_THRESHOLD, min_separate_buffer_bytes); }

void release_free_memory() { ::malloc_trim(0); }

}  // namespace flaxdoor::net
