// Log lines about failed discovery calls: one at the first failure, periodic summaries while calls keep
// failing, and one at the next success. Failures are counted by cause, with the time that each call waited:
// calls that are rejected, at once or after a wait, point to an overloaded discovery; calls that fail to
// connect, or that time out, point to one that is down or unreachable.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::net {

// Why a discovery call failed.
enum class CallError {
    connect_failed,             // the connection was refused, or connecting failed otherwise
    local_failure,              // this process or system lacks what a connection takes, such as a descriptor
    connect_timeout,            // the connection was not established in time
    read_timeout,               // connected, but nothing was received for too long
    reachability_check_failed,  // connected, but nothing was received, and a reachability check failed
    rejected,                   // the response has a status other than 200
    no_response,                // the connection was closed or reset before the first byte of a response
    closed,                     // closed in order after the first byte of a response
    reset,                      // broken off after the first byte of a response
    write_failed,               // the request could not be written
    malformed_response,         // the response is not valid HTTP
    malformed_list,             // the response is not a list in discovery's format
    object_too_large,           // an object exceeds the size limit
    version_reset,              // discovery has reset its version numbers and sent a delta to an unknown list
};

// Returns the text for the cause in log lines.
std::string_view description_of(CallError error);

// A failed discovery call.
struct CallFailure {
    CallError error = CallError::closed;
    std::chrono::steady_clock::duration wait{};  // since data was last received, or since the call's start
    std::string detail = {};                     // more on the cause for the log; may be empty
};

// Summarizes an outage of discovery for the log, from the first failed call to the next success. Has no
// clock: each call passes the current time, which must never go back. Returns the line to be logged, if one
// is due.
class CallFailureLog {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    static constexpr Duration summary_interval = std::chrono::seconds(5);
    static constexpr std::size_t max_listed_waits = 8;

    // `call` names the kind of call in the log.
    std::optional<std::string> record_failure(TimePoint now, std::string_view call,
                                              const CallFailure& failure);
    std::optional<std::string> record_success(TimePoint now);

private:
    struct Tally {
        CallError error;
        std::size_t calls = 0;
        Duration shortest_wait = Duration::max();
        Duration longest_wait{};
    };

    Tally& tally_for(CallError error);
    std::string counts_text(TimePoint now) const;
    std::string first_waits_text() const;

    std::size_t failed_calls_ = 0;  // in this outage; 0: there is none
    TimePoint first_failure_at_{};
    TimePoint last_logged_at_{};
    std::vector<Tally> tallies_;  // in the order in which the causes first occurred
    std::vector<Duration> first_waits_;
};

}  // namespace flaxdoor::net
