// The memory allocator of the process: settings that let freed memory go back to the system.
#pragma once

namespace flaxdoor::net {

// Lets the allocator take long buffers from the system one by one, and return each as it is freed. Otherwise
// a small allocation behind them would keep all of them. To be called once, before buffers are allocated.
void configure_allocator();

// Returns to the system what the allocator holds and nothing uses.
void release_free_memory();

}  // namespace flaxdoor::net
