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

#include "net/call_failures.h"
#include "net/http.h"

namespace flaxdoor::net {

class DiscoveryCall;

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

    DiscoveryCall(boost::asio::io_context& loop, Kind kind, std::string target, DiscoveryCallEvents& events);

    void start(const tcp::endpoint& address);

    // No further news, not even of its end.
    void drop();

private:
    void fail(CallError error, const std::string& detail = {});
    void finish();
    void await_news();
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
    tcp::socket socket_;
    asio::steady_timer silence_;
    std::string out_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    std::string lines_;
    std::size_t line_ = 0;                             // where the line begins that is not yet whole
    int open_brackets_ = 0;                            // in what has come before it
    std::chrono::steady_clock::time_point last_word_;  // or the start of the call
    bool connected_ = false;
    bool over_ = false;
};

}  // namespace flaxdoor::net
