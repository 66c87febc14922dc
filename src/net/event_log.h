// Log lines on single connections and requests, limited in number so that a flood of events can't flood the
// log.
#pragma once

#include <string>
#include <string_view>

namespace flaxdoor::net {

// Returns text that a peer has chosen in a form that is safe in a log line: limited in length, with "?" in
// place of what is no letter, digit, "-", "_" or ".".
std::string printable(std::string_view text);

// Not thread-safe.
class EventLog {
public:
    // Writes the line, or counts it as suppressed where the interval's lines are used up.
    void write(std::string_view line);
    // Starts the next interval. Returns how many lines were suppressed in the last one.
    unsigned start_interval();

private:
    unsigned lines_ = 0;
    unsigned suppressed_ = 0;
};

}  // namespace flaxdoor::net
