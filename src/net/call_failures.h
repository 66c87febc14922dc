// What the log says of failed calls to discovery: a line at the first, a summary now and then while they go
// on, and one at the end. Counted by cause, with the time that each call waited: calls turned away at once or
// after a wait tell of a discovery that has more calls than it can answer, calls without a connection or in
// silence of one that is down or can't be reached.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::net {

// Why a call failed.
enum class CallError {
    no_connection,     // refused, or another error while connecting
    connect_timeout,   // the connection did not come up in time
    silence,           // nothing came for too long on a connection that stood
    cut_off,           // nothing came on it, and no second connection came up
    turned_away,       // answered, with another status than 200
    unanswered,        // ended or was reset before a word of an answer
    ended,             // closed in order after that
    reset,             // broken off after that
    broken,            // the question could not be written
    malformed_answer,  // not HTTP
    malformed_list,    // not in the form of a list
    line_too_long,
    renumbered,  // changes to a list that was never heard: the versions have begun anew
};

std::string_view name_of(CallError error);

struct CallFailure {
    CallError error = CallError::ended;
    std::chrono::steady_clock::duration wait{};  // since the call began, or since its last word if it had one
    std::string detail = {};
};

// Gathers a spell of failed calls, from the first failure to the next answer. Has no clock: each event
// carries its time, which must never go back. Returns the line to be logged, where one is due.
class CallFailures {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    static constexpr Duration summary_gap = std::chrono::seconds(5);
    static constexpr std::size_t single_waits_most = 8;

    std::optional<std::string> failed(TimePoint now, std::string_view call, const CallFailure& failure);
    std::optional<std::string> answered(TimePoint now);

private:
    struct Tally {
        CallError error;
        std::size_t calls = 0;
        Duration shortest = Duration::max();
        Duration longest{};
    };

    Tally& tally_of(CallError error);
    std::string counts(TimePoint now) const;
    std::string single_waits() const;

    std::size_t calls_ = 0;  // of this spell; 0: there is none
    TimePoint first_at_{};
    TimePoint logged_at_{};
    std::vector<Tally> tallies_;  // in the order in which their causes came up
    std::vector<Duration> first_waits_;
};

}  // namespace flaxdoor::net
