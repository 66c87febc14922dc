// Log summary of attempts that upstreams rejected as overloaded: how many, by how many upstreams, the
// upstream with the most, and the least time that one of the requests had left. Rejections by one upstream
// indicate that it drains or is slow, rejections by many an overload, and rejections with little time left
// requests that arrive too late.
#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

// Counts rejections by upstream.
class RejectionStats {
public:
    // `time_left`: time until the attempt's deadline when the rejection arrived.
    void record(UpstreamId upstream, Micros time_left);

    // Returns a text like "rejected 9 (by 2 upstreams, most 7 by 5be2a07c, least time left 12 ms)", empty if
    // there were no rejections, and resets the counters.
    std::string take_summary();

private:
    std::unordered_map<UpstreamId, unsigned> counts_;
    Micros min_time_left_ = Micros::max();
};

}  // namespace flaxdoor::net
