// Decides how much memory connections may hold for messages, and which client connections give theirs up when
// they hold more together. A request that has been read whole is never given up.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor {

// Most bytes that may be held for requests and for responses.
struct MessageMemoryLimits {
    std::size_t requests = std::numeric_limits<std::size_t>::max();
    std::size_t responses = std::numeric_limits<std::size_t>::max();
};

// Returns the limits of a process that may use `process_bytes` of memory for everything.
MessageMemoryLimits message_memory_limits(std::size_t process_bytes);

// What a client connection would free if it were shed.
struct MemoryHolder {
    std::size_t bytes = 0;
    Micros age{};  // since it began its request, or to write its response
};

// Returns the indices of the holders of unfinished requests to shed, the heaviest and slowest first, so that
// `used_bytes` of the limit's pool falls below the limit. Empty while the limit is kept. Holders of a small
// request are never shed: they are bounded by the number of connections.
std::vector<std::size_t> select_requests_to_shed(const std::vector<MemoryHolder>& holders,
                                                 std::size_t used_bytes, std::size_t limit_bytes);

// The same for responses that clients have not taken for long, once most of the limit is used.
std::vector<std::size_t> select_responses_to_shed(const std::vector<MemoryHolder>& holders,
                                                  std::size_t used_bytes, std::size_t limit_bytes);

}  // namespace flaxdoor
