// Log summary of duplicate responses of upstreams: how many arrived, and how long after the first response.
// Those within the reuse delay show whether it is long enough. On a connection that was reused before the
// duplicate arrived, the duplicate was taken for the response to the next request; that request's own
// response is then counted here in its place, with the time since the wrong one.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

// Counts duplicate responses by their delay.
class DuplicateResponseStats {
public:
    // `delay`: time from reading the first response to reading the duplicate; 0 if both came in the same
    // read.
    void record(Micros delay);

    // Returns a text like "duplicate responses 4 (immediate 1, within 1 ms 0, 2 ms 0, 5 ms 2, 10 ms 0, 100 ms
    // 0, later 1, max 250.0 ms)", empty if there were none, and resets the counters.
    std::string take_summary();

private:
    // Upper bounds of the buckets; the last bucket has none.
    static constexpr std::array<Micros, 6> bucket_bounds = {
        Micros{0},
        std::chrono::milliseconds(1),
        std::chrono::milliseconds(2),
        std::chrono::milliseconds(5),
        std::chrono::milliseconds(10),
        std::chrono::milliseconds(100),
    };

    std::array<unsigned, bucket_bounds.size() + 1> bucket_counts_{};
    Micros max_delay_{};
};

}  // namespace flaxdoor::net
