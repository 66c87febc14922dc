#include "net/duplicate_response_stats.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <utility>

namespace flaxdoor::net {

void DuplicateResponseStats::record(Micros delay) {
    const auto bound = std::ranges::lower_bound(bucket_bounds, delay);
    ++bucket_counts_[static_cast<std::size_t>(bound - bucket_bounds.begin())];
    max_delay_ = std::max(max_delay_, delay);
}

std::string DuplicateResponseStats::take_summary() {
    const DuplicateResponseStats stats = std::exchange(*this, DuplicateResponseStats());
    const auto& counts = stats.bucket_counts_;
    const unsigned total = std::accumulate(counts.begin(), counts.end(), 0U);
    if (total == 0) return {};
    char text[192];
    std::snprintf(
        text, sizeof text,
        "duplicate responses %u (immediate %u, within 1 ms %u, 2 ms %u, 5 ms %u, 10 ms %u, 100 ms %u, "
        "later %u, max %.1f ms)",
        total, counts[0], counts[1], counts[2], counts[3], counts[4], counts[5], counts[6],
        static_cast<double>(stats.max_delay_.count()) / 1e3);
    return text;
}

}  // namespace flaxdoor::net
