#include "net/discovery_call.h"

#include <poll.h>

#include <utility>

namespace flaxdoor::net {

namespace {

// Against a line that never ends. Memory is taken as it comes: an upstream takes 150 bytes, indented twice
// that.
constexpr std::size_t line_most = 2 * 1024 * 1024;

bool blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

// Brackets opened less brackets closed in a line of JSON.
int nesting_of(std::string_view line) {
    int nesting = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quoted && c == '\\') {
            ++i;
        } else if (c == '"') {
            quoted = !quoted;
        } else if (!quoted) {
            nesting += (c == '{' || c == '[') - (c == '}' || c == ']');
        }
    }
    return nesting;
}

// Whether the connection has come up or failed, though the loop has not yet told so.
bool has_outcome(tcp::socket& connecting) {
    pollfd outcome{connecting.native_handle(), POLLOUT, 0};
    return ::poll(&outcome, 1, 0) > 0;
}

}  // namespace

DiscoveryCall::DiscoveryCall(asio::io_context& loop, Kind kind, std::string target, int checks,
                             DiscoveryCallEvents& events)
    : kind_(kind),
      target_(std::move(target)),
      events_(events),
      socket_(loop),
      check_(loop),
      checks_left_(checks),
      timer_(loop) {
    parser_.header_limit(max_header_bytes);
    parser_.body_limit(boost::none);  // a watch never ends; its lines are bounded
    parser_.eager(true);
}

void DiscoveryCall::start(const tcp::endpoint& address) {
    address_ = address;
    await_news();
    socket_.async_connect(address, [self = shared_from_this()](error_code error) {
        if (self->over_) return;
        if (error) return self->fail(CallError::no_connection);
        self->ask();
    });
}

void DiscoveryCall::drop() {
    over_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    check_.close(ignored);
}

void DiscoveryCall::fail(CallError error, const std::string& detail) {
    if (over_) return;
    drop();
    events_.on_call_failed(*this, {error, std::chrono::steady_clock::now() - last_word_, detail});
}

void DiscoveryCall::finish() {
    drop();
    events_.on_call_answered(*this);
}

void DiscoveryCall::await_news() {
    error_code ignored;
    check_.close(ignored);
    last_word_ = there_at_ = std::chrono::steady_clock::now();
    await_check_or_end();
}

void DiscoveryCall::await_check_or_end() {
    if (may_check()) {
        set_timer(there_at_ + check_gap, &DiscoveryCall::begin_check);
    } else {
        set_timer(there_at_ + watch_idle_timeout, &DiscoveryCall::give_up);
    }
}

void DiscoveryCall::set_timer(TimePoint due, void (DiscoveryCall::*on_due)()) {
    timer_.expires_at(due);
    timer_.async_wait([self = shared_from_this(), on_due](error_code error) {
        if (error || self->over_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
        // Guards against a loop that is behind: what has come in meanwhile is about to be read.
        if (self->connected_ && !no_input_pending(self->socket_)) return;
        (*self.*on_due)();
    });
}

void DiscoveryCall::give_up() { fail(connected_ ? CallError::silence : CallError::connect_timeout); }

// ------------------------------------------------------------------------------------------------- checks

// A watch that has spoken says something every 2 s, as long as it stands.
bool DiscoveryCall::may_check() const { return connected_ && !parser_.got_some() && checks_left_ > 0; }

void DiscoveryCall::begin_check() {
    --checks_left_;
    there_at_ += check_gap;
    const auto end = std::chrono::steady_clock::now() + check_time;
    error_code error;
    check_.open(address_.protocol(), error);
    // No descriptor is left, which says nothing of discovery.
    if (error) return set_timer(end, &DiscoveryCall::give_up);
    check_.async_connect(address_, [self = shared_from_this()](error_code failed) {
        if (!self->over_ && self->check_.is_open()) self->end_check(failed);
    });
    set_timer(end, &DiscoveryCall::give_up_check);
}

void DiscoveryCall::end_check(error_code error) {
    error_code ignored;
    check_.close(ignored);
    if (!error) return await_check_or_end();
    // The answer has come meanwhile, or the end of the call.
    if (!no_input_pending(socket_)) return;
    fail(CallError::cut_off, error.message());
}

void DiscoveryCall::give_up_check() {
    // Guards against a loop that is behind: `end_check` is next.
    if (has_outcome(check_)) return;
    fail(CallError::cut_off);
}

// ------------------------------------------------------------------------------------ question and answer

void DiscoveryCall::ask() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    HttpRequest request(http::verb::get, target_, 11);
    request.set(http::field::host, "discovery");
    out_ = to_bytes(request);
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code error, auto) {
        if (error) self->fail(CallError::broken);
    });
    connected_ = true;
    await_check_or_end();
    read();
}

void DiscoveryCall::read() {
    read_when_ready(socket_, buffer_, [self = shared_from_this()](error_code error) {
        if (!self->over_) self->take(error);
    });
}

void DiscoveryCall::take(error_code ended) {
    error_code error;
    if (buffer_.size() > 0) buffer_.consume(parser_.put(buffer_.data(), error));
    if (error && error != http::error::need_more) return fail(CallError::malformed_answer);
    if (ended == asio::error::eof && parser_.got_some() && !parser_.is_done()) parser_.put_eof(error);
    if (parser_.is_header_done()) {
        if (parser_.get().result() != http::status::ok) return fail(CallError::turned_away);
        lines_.append(parser_.get().body());
        parser_.get().body().clear();
        if (!(kind_ == Kind::watch ? take_lines() : take_list())) return;
    }
    if (parser_.is_done() && kind_ == Kind::list) return finish();
    if (parser_.is_done() || ended) return fail(error_of_end(ended));
    await_news();
    read();
}

// A process that dies resets its connections; one that lives closes them in order.
CallError DiscoveryCall::error_of_end(error_code ended) const {
    if (!parser_.got_some()) return CallError::unanswered;
    const bool in_order = parser_.is_done() || ended == asio::error::eof;
    return in_order ? CallError::ended : CallError::reset;
}

// False when the call is over. An object stands on one line or is indented over several, and ends with the
// line that closes its last bracket. An empty line tells that one begun before it will not be finished.
bool DiscoveryCall::take_lines() {
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = lines_.find('\n', line_)) != std::string::npos; line_ = end + 1) {
        const auto line = std::string_view(lines_).substr(line_, end - line_);
        open_brackets_ += nesting_of(line);
        if (open_brackets_ > 0 && !blank(line)) continue;
        if (!hand_on(std::string_view(lines_).substr(begin, end - begin))) return false;
        open_brackets_ = 0;
        begin = end + 1;
    }
    lines_.erase(0, begin);
    line_ -= begin;
    return bounded();
}

bool DiscoveryCall::take_list() { return parser_.is_done() ? hand_on(lines_) : bounded(); }

bool DiscoveryCall::hand_on(std::string_view text) {
    if (kind_ == Kind::watch && blank(text)) {
        events_.on_call_alive(*this);
    } else if (const auto problem = events_.on_call_text(*this, text)) {
        fail(problem->error, problem->detail);
    }
    return !over_;
}

bool DiscoveryCall::bounded() {
    if (lines_.size() > line_most) fail(CallError::line_too_long);
    return !over_;
}

}  // namespace flaxdoor::net
