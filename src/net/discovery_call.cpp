#include "net/discovery_call.h"

#include <poll.h>

#include <boost/system/errc.hpp>
#include <utility>

namespace flaxdoor::net {

namespace {

// Limits an object that never ends. The buffer grows only as data comes: an entry of an upstream takes 150
// bytes, or twice that when indented.
constexpr std::size_t max_object_bytes = 2 * 1024 * 1024;

bool is_blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

// Returns the number of brackets opened less those closed in a line of JSON, outside of strings.
int bracket_balance(std::string_view line) {
    int balance = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quoted && c == '\\') {
            ++i;
        } else if (c == '"') {
            quoted = !quoted;
        } else if (!quoted) {
            balance += (c == '{' || c == '[') - (c == '}' || c == ']');
        }
    }
    return balance;
}

// Returns whether a connection failed for lack of something on this side, which says nothing about discovery.
bool is_local_failure(error_code error) {
    return error == asio::error::no_descriptors ||
           error == boost::system::errc::too_many_files_open_in_system ||
           error == asio::error::no_buffer_space || error == asio::error::no_memory ||
           error == boost::system::errc::no_space_on_device || error == asio::error::address_in_use ||
           error == boost::system::errc::address_not_available;
}

// Returns whether the connection attempt has succeeded or failed, even if the loop has not yet run its
// handler.
bool connect_finished(tcp::socket& connecting) {
    pollfd outcome{connecting.native_handle(), POLLOUT, 0};
    return ::poll(&outcome, 1, 0) > 0;
}

}  // namespace

DiscoveryCall::DiscoveryCall(asio::io_context& loop, Kind kind, std::string target, int max_checks,
                             DiscoveryCallEvents& events)
    : kind_(kind),
      target_(std::move(target)),
      events_(events),
      socket_(loop),
      check_socket_(loop),
      checks_left_(max_checks),
      timer_(loop) {}

void DiscoveryCall::start(const tcp::endpoint& address) {
    address_ = address;
    record_activity();
    socket_.async_connect(address, [self = shared_from_this()](error_code error) {
        if (self->finished_) return;
        if (error)
            return self->fail(is_local_failure(error) ? CallError::local_failure : CallError::connect_failed);
        self->send_request();
    });
}

void DiscoveryCall::cancel() {
    finished_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    check_socket_.close(ignored);
}

void DiscoveryCall::fail(CallError error, const std::string& detail) {
    if (finished_) return;
    cancel();
    events_.on_call_failed(*this, {error, std::chrono::steady_clock::now() - last_activity_at_, detail});
}

void DiscoveryCall::complete() {
    cancel();
    events_.on_call_completed(*this);
}

void DiscoveryCall::record_activity() {
    error_code ignored;
    check_socket_.close(ignored);
    last_activity_at_ = reachable_at_ = std::chrono::steady_clock::now();
    arm_check_or_timeout();
}

void DiscoveryCall::arm_check_or_timeout() {
    if (check_allowed()) {
        set_timer(reachable_at_ + reachability_check_interval, &DiscoveryCall::start_check);
    } else {
        set_timer(reachable_at_ + watch_idle_timeout, &DiscoveryCall::on_timeout);
    }
}

void DiscoveryCall::set_timer(TimePoint due, void (DiscoveryCall::*on_due)()) {
    timer_.expires_at(due);
    timer_.async_wait([self = shared_from_this(), on_due](error_code error) {
        if (error || self->finished_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
        // Guards against a delayed loop: data that has come in the meantime is about to be read.
        if (self->connected_ && !no_input_pending(self->socket_)) return;
        (*self.*on_due)();
    });
}

void DiscoveryCall::on_timeout() { fail(connected_ ? CallError::read_timeout : CallError::connect_timeout); }

// ------------------------------------------------------------------------------------ reachability checks

// After its first byte a watch needs no checks: discovery sends something every 2 s while the watch is open.
bool DiscoveryCall::check_allowed() const { return connected_ && !parser_.got_some() && checks_left_ > 0; }

void DiscoveryCall::start_check() {
    --checks_left_;
    reachable_at_ += reachability_check_interval;
    const auto deadline = std::chrono::steady_clock::now() + reachability_check_timeout;
    error_code error;
    check_socket_.open(address_.protocol(), error);
    // No file descriptor is left, which says nothing about discovery.
    if (error) return set_timer(deadline, &DiscoveryCall::on_timeout);
    check_socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
        if (!self->finished_ && self->check_socket_.is_open()) self->on_check_result(failed);
    });
    set_timer(deadline, &DiscoveryCall::on_check_timeout);
}

void DiscoveryCall::on_check_result(error_code error) {
    error_code ignored;
    check_socket_.close(ignored);
    if (!error) return arm_check_or_timeout();
    // The response or the end of the connection has come in the meantime and is about to be read.
    if (!no_input_pending(socket_)) return;
    fail(CallError::reachability_check_failed, error.message());
}

void DiscoveryCall::on_check_timeout() {
    // Guards against a delayed loop: `on_check_result` is about to be called.
    if (connect_finished(check_socket_)) return;
    fail(CallError::reachability_check_failed);
}

// ----------------------------------------------------------------------------------- request and response

void DiscoveryCall::send_request() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    HttpRequest request(http::verb::get, target_, 11);
    request.set(http::field::host, "discovery");
    request_bytes_ = to_bytes(request);
    asio::async_write(socket_, asio::buffer(request_bytes_),
                      [self = shared_from_this()](error_code error, auto) {
                          if (error) self->fail(CallError::write_failed);
                      });
    connected_ = true;
    arm_check_or_timeout();
    read();
}

void DiscoveryCall::read() {
    read_when_ready(socket_, read_buffer_, [self = shared_from_this()](error_code error) {
        if (!self->finished_) self->on_read(error);
    });
}

void DiscoveryCall::on_read(error_code read_error) {
    error_code error;
    parser_.parse(read_buffer_, error);
    if (error && error != http::error::need_more) return fail(CallError::malformed_response);
    if (read_error == asio::error::eof && parser_.got_some() && !parser_.is_done()) parser_.put_eof(error);
    if (parser_.is_header_done()) {
        if (parser_.get().result() != http::status::ok) return fail(CallError::rejected);
        body_.append(parser_.get().body());
        parser_.get().body().clear();
        if (!(kind_ == Kind::watch ? deliver_objects() : deliver_list())) return;
    }
    if (parser_.is_done() && kind_ == Kind::fetch) return complete();
    if (parser_.is_done() || read_error) return fail(end_error(read_error));
    record_activity();
    read();
}

// A process that dies resets its connections; one that is running closes them in order.
CallError DiscoveryCall::end_error(error_code read_error) const {
    if (!parser_.got_some()) return CallError::no_response;
    const bool in_order = parser_.is_done() || read_error == asio::error::eof;
    return in_order ? CallError::closed : CallError::reset;
}

// Returns false when the call has ended. An object is written on one line or indented over several, and ends
// with the line that closes its last bracket. An empty line ends an unfinished object, as the rest of it
// won't come.
bool DiscoveryCall::deliver_objects() {
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = body_.find('\n', line_start_)) != std::string::npos;
         line_start_ = end + 1) {
        const auto line = std::string_view(body_).substr(line_start_, end - line_start_);
        open_brackets_ += bracket_balance(line);
        if (open_brackets_ > 0 && !is_blank(line)) continue;
        if (!deliver_object(std::string_view(body_).substr(begin, end - begin))) return false;
        open_brackets_ = 0;
        begin = end + 1;
    }
    body_.erase(0, begin);
    line_start_ -= begin;
    return enforce_size_limit();
}

bool DiscoveryCall::deliver_list() {
    return parser_.is_done() ? deliver_object(body_) : enforce_size_limit();
}

bool DiscoveryCall::deliver_object(std::string_view text) {
    if (kind_ == Kind::watch && is_blank(text)) {
        events_.on_call_heartbeat(*this);
    } else if (const auto object_error = events_.on_call_object(*this, text)) {
        fail(object_error->error, object_error->detail);
    }
    return !finished_;
}

bool DiscoveryCall::enforce_size_limit() {
    if (body_.size() > max_object_bytes) fail(CallError::object_too_large);
    return !finished_;
}

}  // namespace flaxdoor::net
