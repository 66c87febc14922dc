// A seeded random number generator with the same output on every platform.
#pragma once

#include <cstddef>
#include <cstdint>

namespace flaxdoor::util {

// SplitMix64. The generators of <random> are portable, but its distributions are not.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    // Returns a number from 0 to `bound` - 1; `bound` must be below 2^32.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>((next() >> 32) * bound >> 32); }

    // Returns a number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

}  // namespace flaxdoor::util
