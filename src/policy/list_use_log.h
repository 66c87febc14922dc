// Log lines on the use of the list of upstreams: for how long a process may use the list that it starts with,
// when a list goes out of use, and when one is in use again. While none is in use, all requests are refused.
#pragma once

#include <optional>
#include <string>

#include "flaxdoor/decide.h"

namespace flaxdoor {

// Has no clock and writes nothing itself.
class ListUseLog {
public:
    // Returns the line on the list that a process starts with, which it may use until `usable_until` unless
    // discovery sends one.
    static std::string first_list_line(Time now, Time usable_until);

    // Returns a line if the list has gone out of use since the last call, or is in use again. `usable_until`
    // is the time until which the list may be used, as it stands at `now`.
    std::optional<std::string> record(Time now, Time usable_until);

private:
    std::optional<Time> unused_since_;
};

}  // namespace flaxdoor
