// One call to discovery on a connection of its own, from the connect to its end: a plain call, whose answer
// is one object, or a watch, whose answer goes on line by line. Hands on the text of each object unread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"

namespace flaxdoor::net {

class DiscoveryCall;

class DiscoveryCallEvents {
public:
    virtual ~DiscoveryCallEvents() = default;
    // An empty line of a watch: nothing has changed.
    virtual void on_call_alive(DiscoveryCall& call) = 0;
    // The text of one object. Returns whether it was understood; if not, the call ends.
    virtual bool on_call_text(DiscoveryCall& call, std::string_view text) = 0;
    // The last news of a call. `silent`: it is a watch that has said nothing for `watch_silence`.
    virtual void on_call_ended(DiscoveryCall& call, const char* why, bool silent) = 0;
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
    void end(const char* why, bool silent = false);
    void await_news();
    void ask();
    void read();
    void take(error_code ended);
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
    std::size_t line_ = 0;   // where the line begins that is not yet whole
    int open_brackets_ = 0;  // in what has come before it
    bool reading_ = false;
    bool over_ = false;
};

}  // namespace flaxdoor::net
