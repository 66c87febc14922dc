// Remembers the ids that clients gave their requests, so that a request is not run twice when its id comes
// again: after its client has disconnected, on another connection, or once it has been answered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "flaxdoor/decide.h"

namespace flaxdoor {

// An execution that an earlier request with the same id may have had.
struct PastExecution {
    int group = 0;   // of upstreams that drop repeats of it
    Time sent_at{};  // of the first attempt that may have run
};

// Bounded in time and in number; the oldest entries are dropped first.
class RequestHistory {
public:
    // An id is remembered for this long after its request: longer than any client waits for an answer.
    static constexpr Micros retention = std::chrono::seconds(60);
    static constexpr std::size_t max_entries = 16 * 1024;

    // Records that a request may have run. An execution that is recorded already stays as it is.
    void record(std::uint64_t call_id, const PastExecution& execution, Time now);
    // Returns what an earlier request with this id may have run, if that is remembered.
    std::optional<PastExecution> find(std::uint64_t call_id, Time now) const;

private:
    struct Entry {
        PastExecution execution;
        Time recorded_at{};
    };
    void drop_expired(Time now);

    std::unordered_map<std::uint64_t, Entry> entries_;
    std::deque<std::uint64_t> order_;  // ids, oldest first
};

}  // namespace flaxdoor
