#include "net/second_answer_tally.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <utility>

namespace flaxdoor::net {

void SecondAnswerTally::count(Micros late_by) {
    const auto bound = std::ranges::lower_bound(bounds, late_by);
    ++counts_[static_cast<std::size_t>(bound - bounds.begin())];
    latest_ = std::max(latest_, late_by);
}

std::string SecondAnswerTally::take_text() {
    const SecondAnswerTally tally = std::exchange(*this, SecondAnswerTally());
    const auto& counts = tally.counts_;
    const unsigned all = std::accumulate(counts.begin(), counts.end(), 0U);
    if (all == 0) return {};
    char text[192];
    std::snprintf(
        text, sizeof text,
        "duplicate responses %u (immediate %u, within 1 ms %u, 2 ms %u, 5 ms %u, 10 ms %u, 100 ms %u, "
        "later %u, max %.1f ms)",
        all, counts[0], counts[1], counts[2], counts[3], counts[4], counts[5], counts[6],
        static_cast<double>(tally.latest_.count()) / 1e3);
    return text;
}

}  // namespace flaxdoor::net
