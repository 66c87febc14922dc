// What the log says of upstreams that answered a request twice: how many such answers came, and how late
// after the first one. Whether the rest between two requests is long enough shows in those within it. Where a
// second answer came on a connection in use again, it was taken for the next request's, and that one's own
// answer is counted here in its place, with the time from the wrong one to it.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

class SecondAnswerTally {
public:
    // `late_by`: time from when the first answer was read until the second one was; 0 for one behind it in
    // the same read.
    void count(Micros late_by);

    // As in "answered twice 4 (at once 1, within 1 ms 0, 2 ms 0, 5 ms 2, 10 ms 0, 100 ms 0, later 1, latest
    // 250.0 ms)"; empty when there were none. Begins anew.
    std::string take_text();

private:
    // Upper bounds of the classes of lateness; the last class has none.
    static constexpr std::array<Micros, 6> bounds = {
        Micros{0},
        std::chrono::milliseconds(1),
        std::chrono::milliseconds(2),
        std::chrono::milliseconds(5),
        std::chrono::milliseconds(10),
        std::chrono::milliseconds(100),
    };

    std::array<unsigned, bounds.size() + 1> counts_{};
    Micros latest_{};
};

}  // namespace flaxdoor::net
