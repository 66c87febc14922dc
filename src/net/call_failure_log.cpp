#include "net/call_failure_log.h"

#include <algorithm>
#include <cstdio>

namespace flaxdoor::net {

namespace {

std::string format_seconds(CallFailureLog::Duration span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(span).count());
    return text;
}

}  // namespace

std::string_view description_of(CallError error) {
    switch (error) {
        case CallError::connect_failed: return "connect failed";
        case CallError::local_failure: return "no connection could be opened";
        case CallError::connect_timeout: return "connect timeout";
        case CallError::read_timeout: return "read timeout";
        case CallError::reachability_check_failed: return "reachability check failed";
        case CallError::rejected: return "rejected";
        case CallError::no_response: return "closed without a response";
        case CallError::closed: return "closed by discovery";
        case CallError::reset: return "connection reset";
        case CallError::write_failed: return "request write failed";
        case CallError::malformed_response: return "malformed response";
        case CallError::malformed_list: return "malformed list";
        case CallError::object_too_large: return "object too large";
        case CallError::version_reset: return "delta to an unknown list";
    }
    return "unknown";
}

std::optional<std::string> CallFailureLog::record_failure(TimePoint now, std::string_view call,
                                                          const CallFailure& failure) {
    const bool first = ++failed_calls_ == 1;
    if (first) first_failure_at_ = now;
    Tally& tally = tally_for(failure.error);
    ++tally.calls;
    tally.shortest_wait = std::min(tally.shortest_wait, failure.wait);
    tally.longest_wait = std::max(tally.longest_wait, failure.wait);
    if (first_waits_.size() < max_listed_waits) first_waits_.push_back(failure.wait);

    if (!first && now - last_logged_at_ < summary_interval) return std::nullopt;
    last_logged_at_ = now;
    std::string line = "discovery: ";
    if (!first) {
        line.append("still failing after ").append(counts_text(now)).append("; ").append(first_waits_text());
        return line;
    }
    line.append(call).append(" failed: ").append(description_of(failure.error));
    line.append(" after ").append(format_seconds(failure.wait)).append(" s");
    if (!failure.detail.empty()) line.append(": ").append(failure.detail);
    return line;
}

std::optional<std::string> CallFailureLog::record_success(TimePoint now) {
    if (failed_calls_ == 0) return std::nullopt;
    std::string line = "discovery: recovered after ";
    line.append(counts_text(now));
    *this = CallFailureLog();
    return line;
}

CallFailureLog::Tally& CallFailureLog::tally_for(CallError error) {
    const auto found = std::find_if(tallies_.begin(), tallies_.end(),
                                    [&](const Tally& tally) { return tally.error == error; });
    if (found != tallies_.end()) return *found;
    return tallies_.emplace_back(Tally{error});
}

// For example "4 failed calls in 7.203 s: rejected 3 (0.004 to 2.001 s), read timeout 1 (3.000 s)".
std::string CallFailureLog::counts_text(TimePoint now) const {
    std::string text =
        std::to_string(failed_calls_) + (failed_calls_ == 1 ? " failed call in " : " failed calls in ");
    text += format_seconds(now - first_failure_at_) + " s";
    std::string_view separator = ": ";
    for (const Tally& tally : tallies_) {
        text.append(separator)
            .append(description_of(tally.error))
            .append(" ")
            .append(std::to_string(tally.calls));
        text.append(" (").append(format_seconds(tally.shortest_wait));
        if (tally.calls > 1) text.append(" to ").append(format_seconds(tally.longest_wait));
        text += " s)";
        separator = ", ";
    }
    return text;
}

std::string CallFailureLog::first_waits_text() const {
    std::string text = "first waits ";
    std::string_view separator = "";
    for (const Duration wait : first_waits_) {
        text.append(separator).append(format_seconds(wait));
        separator = ", ";
    }
    return text + " s";
}

}  // namespace flaxdoor::net
