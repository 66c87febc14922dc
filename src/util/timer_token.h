// The purpose of a timer of the decision module, packed into the token that the host passes back to
// on_timer().
#pragma once

#include <cstddef>
#include <cstdint>

namespace flaxdoor::util {

// 4 bits of kind, 28 bits of slot and 32 bits of serial number. Timers can't be cancelled: one whose serial
// number is no longer the latest is to be ignored.
struct TimerToken {
    std::uint64_t kind = 0;
    std::size_t slot = 0;
    std::uint32_t serial = 0;

    static TimerToken unpack(std::uint64_t bits) {
        return {bits >> 60, bits >> 32 & 0x0fffffffU, static_cast<std::uint32_t>(bits)};
    }
    std::uint64_t pack() const { return kind << 60 | static_cast<std::uint64_t>(slot) << 32 | serial; }
};

}  // namespace flaxdoor::util
