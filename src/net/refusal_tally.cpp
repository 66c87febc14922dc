#include "net/refusal_tally.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <numeric>
#include <utility>

namespace flaxdoor::net {

void RefusalTally::count(UpstreamId upstream, Micros left) {
    ++by_upstream_[upstream];
    least_left_ = std::min(least_left_, left);
}

std::string RefusalTally::take_text() {
    const RefusalTally tally = std::exchange(*this, RefusalTally());
    if (tally.by_upstream_.empty()) return {};
    const unsigned all = std::accumulate(tally.by_upstream_.begin(), tally.by_upstream_.end(), 0U,
                                         [](unsigned sum, const auto& each) { return sum + each.second; });
    // Ties go to the highest id, so that the text does not depend on the hash order.
    const auto most = std::max_element(tally.by_upstream_.begin(), tally.by_upstream_.end(),
                                       [](const auto& a, const auto& b) {
                                           return std::pair(a.second, a.first) < std::pair(b.second, b.first);
                                       });
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(tally.least_left_);
    char text[128];
    std::snprintf(text, sizeof text,
                  "rejected %u (by %zu upstreams, most %u by %" PRIx64 ", least time left %lld ms)", all,
                  tally.by_upstream_.size(), most->second, most->first, static_cast<long long>(left.count()));
    return text;
}

}  // namespace flaxdoor::net
