// What the log says of attempts that upstreams turned away as full: how many, at how many upstreams, the one
// with the most, and how little time the most pressed one had left. Refusals at one upstream tell of one that
// drains or is slow, refusals at many of an overload, refusals with little time left of requests that come
// too late.
#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

class RefusalTally {
public:
    // `left`: the time that the request had left as the refusal came.
    void count(UpstreamId upstream, Micros left);

    // As in "turned away as full 9 (at 2 upstreams, 7 at 5be2a07c, least left 12 ms)"; empty when there were
    // none. Begins anew.
    std::string take_text();

private:
    std::unordered_map<UpstreamId, unsigned> by_upstream_;
    Micros least_left_ = Micros::max();
};

}  // namespace flaxdoor::net
