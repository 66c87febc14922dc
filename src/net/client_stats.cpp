#include "net/client_stats.h"

namespace flaxdoor::net {

namespace {

void append_count(std::string& text, const char* name, unsigned count) {
    if (count == 0) return;
    if (!text.empty()) text.append(", ");
    text.append(name).append(" ").append(std::to_string(count));
}

}  // namespace

const char* to_string(CloseReason reason) {
    switch (reason) {
        case CloseReason::by_client: return "by client";
        case CloseReason::after_response: return "after response";
        case CloseReason::idle: return "idle";
        case CloseReason::replaced: return "replaced";
        case CloseReason::no_request: return "no request";
        case CloseReason::stalled_request: return "stalled request";
        case CloseReason::slow_request: return "slow request";
        case CloseReason::response_not_read: return "response not read";
        case CloseReason::write_failed: return "write failed";
        case CloseReason::memory: return "memory";
        case CloseReason::shutdown: return "shutdown";
    }
    return "unknown";
}

std::string ClientStats::summary() const {
    std::string text;
    append_count(text, "accepted", accepted);
    append_count(text, "closed unread", closed_unread);
    append_count(text, "accept errors", accept_errors);
    append_count(text, "malformed", malformed);
    append_count(text, "input discarded", input_discarded);
    append_count(text, "unfinished requests refused for memory", shed);
    std::string reasons;
    for (std::size_t i = 0; i < closed.size(); ++i) {
        append_count(reasons, to_string(static_cast<CloseReason>(i)), closed[i]);
    }
    if (reasons.empty()) return text;
    if (!text.empty()) text.append(", ");
    return text.append("closed: ").append(reasons);
}

}  // namespace flaxdoor::net
