// A token bucket.
#pragma once

#include <algorithm>
#include <chrono>

namespace flaxdoor::util {

struct TokenBucket {
    double tokens = 0;
    std::chrono::microseconds filled_at{};

    // Adds what has been gained since `filled_at`, up to `most` in all. Returns whether a token can be taken.
    bool fill(double gained, double most, std::chrono::microseconds now) {
        tokens = std::min(most, tokens + gained);
        filled_at = now;
        return tokens >= 1;
    }
};

}  // namespace flaxdoor::util
