// One discovery call on a connection of its own, from the connect to its end: a fetch, whose response body is
// one JSON object, or a watch, whose response body is a stream of objects and of empty lines. Passes on the
// text of each object unparsed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "flaxdoor/decide.h"
#include "net/call_failure_log.h"
#include "net/http.h"
#include "net/message_parser.h"

namespace flaxdoor::net {

class DiscoveryCall;

// Discovery processes calls one after another, so that a call may wait for long without receiving a byte. A
// call whose route to discovery's machine has failed receives nothing either, but then no new connection to
// the machine can be established. A reachability check tells the two cases apart: it opens a second
// connection and closes it at once without sending a byte. The call stays open while its checks succeed.

// Time limit for establishing the connection of a reachability check. The system retransmits a lost SYN after
// 1 s, so that a single lost packet doesn't fail the check.
inline constexpr std::chrono::milliseconds reachability_check_timeout{1750};
// Time from the last activity of a call, or from its previous check, to the start of a check. The time limit
// of the check then expires `watch_idle_timeout` after either, so that a call to an unreachable machine is
// abandoned no later than a watch that has fallen silent, unless the call's own connection was established
// late.
inline constexpr Micros reachability_check_interval = watch_idle_timeout - reachability_check_timeout;
// Default maximum number of reachability checks per call, each of which keeps the call open for another
// `reachability_check_interval`. With one, a call is abandoned after 4.25 s. Most balancers then start the
// next call, 0.5 to 2.35 s later, before the 6 s after which they count as notified of the changes that they
// have missed.
inline constexpr int max_reachability_checks = 1;

// Why a received object can't be used.
struct ObjectError {
    CallError error = CallError::malformed_list;
    std::string detail;
};

// Receives what a DiscoveryCall reports. Called on the thread that runs its loop.
class DiscoveryCallEvents {
public:
    virtual ~DiscoveryCallEvents() = default;
    // An empty line has come on a watch: nothing has changed, and the connection is alive.
    virtual void on_call_heartbeat(DiscoveryCall& call) = 0;
    // Passes on the text of one object. Returns an error, which fails the call, or nothing.
    virtual std::optional<ObjectError> on_call_object(DiscoveryCall& call, std::string_view text) = 0;
    // The last event of a call that failed. Every watch ends in this way unless it is cancelled.
    virtual void on_call_failed(DiscoveryCall& call, const CallFailure& failure) = 0;
    // The last event of a fetch whose response was complete.
    virtual void on_call_completed(DiscoveryCall& call) = 0;
};

// Reports nothing after it has ended or was cancelled. `events` is borrowed and must outlive the call or its
// cancel(). The call keeps itself alive while operations are pending.
class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
public:
    enum class Kind { fetch, watch };

    // `max_checks`: maximum number of reachability checks. With 0, the call fails after `watch_idle_timeout`
    // without a byte.
    DiscoveryCall(boost::asio::io_context& loop, Kind kind, std::string target, int max_checks,
                  DiscoveryCallEvents& events);

    // Connects and sends the request. To be called once.
    void start(const tcp::endpoint& address);

    // Closes the call without any further event.
    void cancel();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void fail(CallError error, const std::string& detail = {});
    void complete();
    void record_activity();
    void arm_check_or_timeout();
    void set_timer(TimePoint due, void (DiscoveryCall::*on_due)());
    void on_timeout();
    bool check_allowed() const;
    void start_check();
    void on_check_result(error_code error);
    void on_check_timeout();
    void send_request();
    void read();
    void on_read(error_code read_error);
    CallError end_error(error_code read_error) const;
    bool deliver_objects();
    bool deliver_list();
    bool deliver_object(std::string_view text);
    bool enforce_size_limit();

    const Kind kind_;
    const std::string target_;
    DiscoveryCallEvents& events_;
    tcp::endpoint address_;
    tcp::socket socket_;
    tcp::socket check_socket_;  // open during a reachability check
    int checks_left_;
    asio::steady_timer timer_;
    std::string request_bytes_;
    beast::flat_buffer read_buffer_;
    ResponseParser parser_{MessageLength::unlimited};  // `max_object_bytes` limits the objects of the body
    std::string body_;            // received text of the response body that is not yet delivered
    std::size_t line_start_ = 0;  // offset in `body_` of the first incomplete line
    int open_brackets_ = 0;       // brackets opened less closed in the complete lines of the pending object
    TimePoint reachable_at_;      // of the last activity, or when the last check after it was due
    TimePoint last_activity_at_;  // when data last came, or the call was started
    bool connected_ = false;
    bool finished_ = false;
};

}  // namespace flaxdoor::net
