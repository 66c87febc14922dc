// One call to discovery on a connection of its own, from the connect to its end: a plain call, whose answer
// is one object, or a watch, whose answer goes on line by line. Hands on the text of each object unread.
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
#include "net/call_failures.h"
#include "net/http.h"

namespace flaxdoor::net {

class DiscoveryCall;

// Discovery works off calls in turn, so that one may hear nothing for long before its answer. So does one
// that is cut off from discovery's machine, but no further connection to that comes up. A check tells the two
// apart: a second connection, closed at once without a byte. While checks come up the call stays out.

// The time in which the connection of a check has to come up. The system repeats a request for one that was
// lost after 1 s, so that one lost request proves nothing.
inline constexpr std::chrono::milliseconds check_time{1750};
// A check begins so long after the call, or after the check before it. Its time is then over
// `watch_idle_timeout` after either: a call that is cut off is given up no later than a watch that has fallen
// silent, unless its own connection came up late.
inline constexpr Micros check_gap = watch_idle_timeout - check_time;
// Checks of one call, each of which keeps it out for another `check_gap`: with one it is given up after 4.25
// s. Most balancers then call anew, 0.5 to 2.35 s later, before what they miss counts as told, after 6 s.
inline constexpr int checks_most = 1;

// What is wrong with an object.
struct CallProblem {
    CallError error = CallError::malformed_list;
    std::string detail;
};

class DiscoveryCallEvents {
public:
    virtual ~DiscoveryCallEvents() = default;
    // An empty line of a watch: nothing has changed.
    virtual void on_call_alive(DiscoveryCall& call) = 0;
    // The text of one object. Returns what is wrong with it, which ends the call, or nothing.
    virtual std::optional<CallProblem> on_call_text(DiscoveryCall& call, std::string_view text) = 0;
    // The last news of a call that failed. A watch only ever fails; it has no other end.
    virtual void on_call_failed(DiscoveryCall& call, const CallFailure& failure) = 0;
    // The last news of a plain call that was answered in full.
    virtual void on_call_answered(DiscoveryCall& call) = 0;
};

// Once it has ended or was dropped it reports nothing more.
class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
public:
    enum class Kind { list, watch };

    // Makes so many checks at most; with none, a call without a word for `watch_idle_timeout` is given up.
    DiscoveryCall(boost::asio::io_context& loop, Kind kind, std::string target, int checks,
                  DiscoveryCallEvents& events);

    void start(const tcp::endpoint& address);

    // No further news, not even of its end.
    void drop();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    void fail(CallError error, const std::string& detail = {});
    void finish();
    void await_news();
    void await_check_or_end();
    void set_timer(TimePoint due, void (DiscoveryCall::*on_due)());
    void give_up();
    bool may_check() const;
    void begin_check();
    void end_check(error_code error);
    void give_up_check();
    void ask();
    void read();
    void take(error_code ended);
    CallError error_of_end(error_code ended) const;
    bool take_lines();
    bool take_list();
    bool hand_on(std::string_view text);
    bool bounded();

    const Kind kind_;
    const std::string target_;
    DiscoveryCallEvents& events_;
    tcp::endpoint address_;
    tcp::socket socket_;
    tcp::socket check_;  // open while a check is under way
    int checks_left_;
    asio::steady_timer timer_;
    std::string out_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    std::string lines_;
    std::size_t line_ = 0;   // where the line begins that is not yet whole
    int open_brackets_ = 0;  // in what has come before it
    TimePoint there_at_;     // the last word, or when the last check after it was due
    TimePoint last_word_;    // or the start of the call
    bool connected_ = false;
    bool over_ = false;
};

}  // namespace flaxdoor::net
