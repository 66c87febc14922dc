#include "policy/list_use_log.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace flaxdoor {

namespace {

std::string format_seconds(Micros span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f s", std::chrono::duration<double>(span).count());
    return text;
}

}  // namespace

std::string ListUseLog::first_list_line(Time now, Time usable_until) {
    return "list of upstreams: the first one may be used for " + format_seconds(usable_until - now) +
           " without an answer from discovery";
}

std::optional<std::string> ListUseLog::record(Time now, Time usable_until) {
    const bool in_use = now < usable_until;
    if (in_use != unused_since_.has_value()) return std::nullopt;
    if (!in_use) {
        unused_since_ = usable_until;
        return "list of upstreams: out of use for " + format_seconds(now - usable_until) +
               " by now, as discovery has not answered in time";
    }
    const Time unused_since = *std::exchange(unused_since_, std::nullopt);
    return "list of upstreams: in use again after " + format_seconds(now - unused_since);
}

}  // namespace flaxdoor
