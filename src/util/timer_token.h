// What a timer of the decision module is for, packed into the number that its host hands back.
#pragma once

#include <cstddef>
#include <cstdint>

namespace flaxdoor::util {

// Four bits tell the kind, 28 the slot, 32 the serial number: a timer whose serial has been overtaken no
// longer counts.
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
