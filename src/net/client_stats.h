// Counters on client connections for the log: how many came, what was turned away, and why they were closed.
#pragma once

#include <array>
#include <cstddef>
#include <string>

namespace flaxdoor::net {

// Why this side considers a client connection closed.
enum class CloseReason {
    by_client,          // closed or reset by the client
    after_response,     // as the response announced
    idle,               // idle for too long, or idle in a shutdown
    replaced,           // idle, and a new connection needed the descriptor
    no_request,         // no complete first request in time
    stalled_request,    // the client stopped in the middle of a request
    slow_request,       // a request took too long from its first byte to its last
    response_not_read,  // the client did not take a response, or did not close after it
    write_failed,
    memory,  // the connection held too much memory while others needed it
    shutdown,
};
inline constexpr std::size_t close_reason_count = 11;

const char* to_string(CloseReason reason);

struct ClientStats {
    unsigned accepted = 0, closed_unread = 0, malformed = 0, input_discarded = 0, shed = 0, accept_errors = 0;
    std::array<unsigned, close_reason_count> closed{};

    void count_close(CloseReason reason) { ++closed[static_cast<std::size_t>(reason)]; }
    // Returns the counters as part of a log line; empty if all are zero.
    std::string summary() const;
};

}  // namespace flaxdoor::net
