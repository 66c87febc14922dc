#include "policy/overload_manager.h"

#include <algorithm>

namespace flaxdoor {

namespace {

// Shares of the process's memory. The rest is for the program, lists of upstreams and what the allocator
// adds.
constexpr double request_share = 3.0 / 8;
constexpr double response_share = 1.0 / 4;
// Shedding frees this share of the limit more than it must, so that it is not due again at the next byte.
constexpr double headroom_share = 1.0 / 16;
// Use of the limit from which responses that are not taken are shed: others need the rest meanwhile.
constexpr double response_shedding_share = 3.0 / 4;
constexpr std::size_t small_request_bytes = 4 * 1024;
// A client that takes its response takes some of it within this time.
constexpr Micros max_response_block = std::chrono::milliseconds(500);

std::size_t share_of(std::size_t bytes, double share) {
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

// Returns the indices of holders in the order of bytes times age, the largest first, until together they hold
// `excess_bytes`. Skips those that `may_shed` rejects.
template <typename MayShed>
std::vector<std::size_t> select_heaviest(const std::vector<MemoryHolder>& holders, std::size_t excess_bytes,
                                         MayShed may_shed) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (may_shed(holders[i])) order.push_back(i);
    }
    const auto weight = [&](std::size_t i) {
        return static_cast<double>(holders[i].bytes) * (1.0 + static_cast<double>(holders[i].age.count()));
    };
    std::ranges::sort(order, std::greater<>(), weight);
    std::size_t freed = 0, count = 0;
    while (count < order.size() && freed < excess_bytes) freed += holders[order[count++]].bytes;
    order.resize(count);
    return order;
}

}  // namespace

MessageMemoryLimits message_memory_limits(std::size_t process_bytes) {
    return {share_of(process_bytes, request_share), share_of(process_bytes, response_share)};
}

std::vector<std::size_t> select_requests_to_shed(const std::vector<MemoryHolder>& holders,
                                                 std::size_t used_bytes, std::size_t limit_bytes) {
    if (used_bytes <= limit_bytes) return {};
    const std::size_t excess = used_bytes - limit_bytes + share_of(limit_bytes, headroom_share);
    return select_heaviest(holders, excess,
                           [](const MemoryHolder& holder) { return holder.bytes > small_request_bytes; });
}

std::vector<std::size_t> select_responses_to_shed(const std::vector<MemoryHolder>& holders,
                                                  std::size_t used_bytes, std::size_t limit_bytes) {
    const std::size_t threshold = share_of(limit_bytes, response_shedding_share);
    if (used_bytes <= threshold) return {};
    const std::size_t excess = used_bytes - threshold + share_of(limit_bytes, headroom_share);
    return select_heaviest(holders, excess, [](const MemoryHolder& holder) {
        return holder.bytes > 0 && holder.age >= max_response_block;
    });
}

}  // namespace flaxdoor
