#include "net/rejection_stats.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <numeric>
#include <utility>

namespace flaxdoor::net {

void RejectionStats::record(UpstreamId upstream, Micros time_left) {
    ++counts_[upstream];
    min_time_left_ = std::min(min_time_left_, time_left);
}

std::string RejectionStats::take_summary() {
    const RejectionStats stats = std::exchange(*this, RejectionStats());
    if (stats.counts_.empty()) return {};
    const unsigned total = std::accumulate(stats.counts_.begin(), stats.counts_.end(), 0U,
                                           [](unsigned sum, const auto& each) { return sum + each.second; });
    // Ties go to the highest id, so that the text does not depend on the hash order.
    const auto most =
        std::max_element(stats.counts_.begin(), stats.counts_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second, a.first) < std::pair(b.second, b.first);
        });
    const auto min_time_left = std::chrono::duration_cast<std::chrono::milliseconds>(stats.min_time_left_);
    char text[128];
    std::snprintf(text, sizeof text,
                  "rejected %u (by %zu upstreams, most %u by %" PRIx64 ", least time left %lld ms)", total,
                  stats.counts_.size(), most->second, most->first,
                  static_cast<long long>(min_time_left.count()));
    return text;
}

}  // namespace flaxdoor::net
