// A token bucket whose rate and capacity are given with each refill.
#pragma once

#include <algorithm>
#include <chrono>

namespace flaxdoor::util {

struct TokenBucket {
    double tokens = 0;
    std::chrono::microseconds filled_at{};

    // Adds the tokens gained since `filled_at`, up to `capacity` in all. Returns whether a token is
    // available. Takes none.
    bool fill(double gained, double capacity, std::chrono::microseconds now) {
        tokens = std::min(capacity, tokens + gained);
        filled_at = now;
        return tokens >= 1;
    }
};

}  // namespace flaxdoor::util
