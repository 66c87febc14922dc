// Counts the memory that connections hold for messages, as one sum for the process, against its limits. Each
// connection is bounded by itself, but hundreds of them together can hold more than the process may use.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <utility>

#include "policy/overload_manager.h"

namespace flaxdoor::net {

// What memory is held for.
enum class MemoryPool {
    requests,   // requests from their first byte to their last attempt, and input behind them
    responses,  // responses, from an upstream's first byte until the client has taken the last one
};
inline constexpr std::size_t memory_pool_count = 2;

// Not thread-safe. Charges may outlive it: handlers that an event loop still holds keep connections alive.
class MemoryBudget {
    struct Usage {
        std::size_t bytes = 0, peak_bytes = 0;
    };

public:
    // The bytes that one holder has charged to a pool. Charges nothing once it is destroyed or moved from.
    class Charge {
    public:
        Charge(MemoryBudget& budget, MemoryPool pool) : usage_(budget.shared_usage(pool)) {}
        ~Charge() { set(0); }
        Charge(Charge&& other) noexcept : usage_(other.usage_), bytes_(std::exchange(other.bytes_, 0)) {}
        Charge& operator=(Charge&& other) noexcept {
            std::swap(usage_, other.usage_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }

        // Replaces the charge. `bytes` is what the allocator was asked for, not only the part in use.
        void set(std::size_t bytes) {
            usage_->bytes += bytes - bytes_;
            usage_->peak_bytes = std::max(usage_->peak_bytes, usage_->bytes);
            bytes_ = bytes;
        }
        std::size_t bytes() const { return bytes_; }

    private:
        std::shared_ptr<Usage> usage_;
        std::size_t bytes_ = 0;
    };

    MemoryBudget() = default;  // without limits
    explicit MemoryBudget(const MessageMemoryLimits& limits) : limits_{limits.requests, limits.responses} {}

    std::size_t limit(MemoryPool pool) const { return limits_[static_cast<std::size_t>(pool)]; }
    // Returns whether `bytes` more may be charged to the pool.
    bool has_room(MemoryPool pool, std::size_t bytes) const { return used(pool) + bytes <= limit(pool); }
    // Bytes charged to the pool now.
    std::size_t used(MemoryPool pool) const { return shared_usage(pool)->bytes; }
    // Returns the most bytes charged to the pool at once since the last call.
    std::size_t take_peak(MemoryPool pool) {
        return std::exchange(usage(pool).peak_bytes, usage(pool).bytes);
    }

private:
    const std::shared_ptr<Usage>& shared_usage(MemoryPool pool) const {
        return usage_[static_cast<std::size_t>(pool)];
    }
    Usage& usage(MemoryPool pool) { return *shared_usage(pool); }

    std::array<std::shared_ptr<Usage>, memory_pool_count> usage_{std::make_shared<Usage>(),
                                                                 std::make_shared<Usage>()};
    std::array<std::size_t, memory_pool_count> limits_{MessageMemoryLimits{}.requests,
                                                       MessageMemoryLimits{}.responses};
};

}  // namespace flaxdoor::net
