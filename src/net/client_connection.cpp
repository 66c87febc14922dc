#include "net/client_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An idle connection must be left open for 2 s. The client counts them from the arrival of the response, a
// little later than this side does; hence the margin of 50 ms.
constexpr Micros min_idle_before_close = milliseconds(2050);
// The first request of a new connection most likely arrives within this time.
constexpr Micros new_connection_time = milliseconds(100);
// Time for the first complete request of a connection, and the longest time without input within a later one.
// A peer that sends no request, or stops in the middle of one, must get an error or a close within 3 s: this
// time, the wait in the backlog at the connection limit and the interval between two sweeps add up to less.
constexpr Micros incomplete_request_timeout = milliseconds(2300);
constexpr Micros request_timeout = seconds(10);   // from a later request's first byte to its last
constexpr Micros response_timeout = seconds(10);  // for the client to read a response, and to close after one
// For a client to take the rest of a refusal while it still sends, where memory is short.
constexpr Micros refused_linger_timeout = seconds(2);
constexpr Micros idle_timeout = seconds(300);  // between requests

beast::string_view path_without_query(const HttpRequest& message) {
    return message.target().substr(0, message.target().find('?'));
}

HttpResponse plain_response(http::status status) {
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(http::obsolete_reason(status)) + "\n";
    return response;
}

}  // namespace

Clients::Connection::Connection(Clients& owner, tcp::socket socket)
    : owner_(owner),
      id_(++owner.last_connection_id_),
      socket_(std::move(socket)),
      input_charge_(owner.memory_, MemoryPool::requests),
      response_charge_(owner.memory_, MemoryPool::responses),
      opened_at_(owner.clock_.now()) {}

void Clients::Connection::start() {
    error_code error;
    socket_.set_option(tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    prepare_to_read_request();
    read();
}

bool Clients::Connection::is_idle() {
    return state_ == State::reading && !has_partial_request() && no_input_pending(socket_);
}
bool Clients::Connection::may_be_replaced(Time now) {
    return now - state_since_ >= min_idle_before_close && is_idle();
}
bool Clients::Connection::is_new() const {
    return !has_received_request_ && owner_.clock_.now() - opened_at_ < new_connection_time;
}

std::optional<CloseReason> Clients::Connection::overdue_reason(Time now) {
    const auto when = [](bool overdue, CloseReason reason) {
        return overdue ? std::optional(reason) : std::nullopt;
    };
    switch (state_) {
        case State::reading:
            // Bounds how long a peer can hold a connection without ever sending a request.
            if (!has_received_request_)
                return when(now - opened_at_ > incomplete_request_timeout, CloseReason::no_request);
            if (has_partial_request()) {
                if (has_stalled(now)) return CloseReason::stalled_request;
                return when(now - state_since_ > request_timeout, CloseReason::slow_request);
            }
            // A request that has arrived and is about to be read must not be lost.
            return when(now - state_since_ > idle_timeout && no_input_pending(socket_), CloseReason::idle);
        case State::waiting: return std::nullopt;
        case State::lingering:
            if (refused_for_memory_)
                return when(now - state_since_ > refused_linger_timeout, CloseReason::memory);
            [[fallthrough]];
        default: return when(now - state_since_ > response_timeout, CloseReason::response_not_read);
    }
}

void Clients::Connection::respond(HttpResponse response) {
    response.version(11);
    response.keep_alive(!closes_after_response());
    response.prepare_payload();
    close_after_write_ = !response.keep_alive();
    response_ = OutgoingMessage(std::move(response));
    response_charge_.set(response_.header_memory() + response_.body_memory());
    set_state(State::writing);
    write();
}

void Clients::Connection::detect_disconnect() {
    if (peer_has_closed(socket_)) on_disconnect();
}

void Clients::Connection::close(CloseReason reason) {
    if (closed_) return;
    closed_ = true;
    owner_.stats_.count_close(reason);
    log_close(reason);
    error_code ignored;
    socket_.close(ignored);
    owner_.on_connection_closed(this);
}

void Clients::Connection::log_close(CloseReason reason) {
    const bool is_ordinary = reason == CloseReason::by_client || reason == CloseReason::after_response ||
                             reason == CloseReason::idle || reason == CloseReason::replaced ||
                             reason == CloseReason::shutdown;
    if (is_ordinary) return;
    const auto open_ms = std::chrono::duration_cast<milliseconds>(owner_.clock_.now() - opened_at_).count();
    std::string line = "client " + std::to_string(id_) + " closed: " + to_string(reason) + "; open for ";
    line.append(std::to_string(open_ms)).append(" ms, requests ").append(std::to_string(request_count_));
    line.append(", holds ").append(std::to_string(input_charge_.bytes())).append(" bytes of input and ");
    line.append(std::to_string(response_charge_.bytes())).append(" of a response");
    owner_.event_log_.write(line);
}

void Clients::Connection::stop_reading() {
    parser_.reset();
    release_and_charge_input();
}

void Clients::Connection::release_and_charge_input() {
    if (buffer_.size() == 0) buffer_.shrink_to_fit();
    input_charge_.set(buffer_.capacity() + (parser_ ? memory_of(parser_->get()) : 0));
}

bool Clients::Connection::has_partial_request() const { return buffer_.size() > 0 || parser_->got_some(); }

bool Clients::Connection::has_stalled(Time now) {
    const Time last_progress_at = std::max(last_input_at_, state_since_);
    return now - last_progress_at > incomplete_request_timeout && no_input_pending(socket_);
}

bool Clients::Connection::closes_after_response() {
    if (!keep_alive_ || input_discarded_) return true;
    return owner_.draining_ && buffer_.size() == 0 && no_input_pending(socket_);
}

void Clients::Connection::set_state(State state) {
    state_ = state;
    state_since_ = owner_.clock_.now();
}

void Clients::Connection::prepare_to_read_request() {
    parser_.emplace();
    continue_sent_ = false;
    set_state(State::reading);
}

void Clients::Connection::read() {
    if (read_pending_) return;
    read_pending_ = true;
    read_when_ready(socket_, buffer_, [self = shared_from_this()](error_code error) {
        self->read_pending_ = false;
        if (self->closed_) return;
        if (error) {
            self->on_disconnect();
            return;
        }
        self->last_input_at_ = self->owner_.clock_.now();
        self->on_input();
    });
}

void Clients::Connection::on_input() {
    process_input();
    limit_buffered_input();
    if (closed_) return;
    release_and_charge_input();
    owner_.enforce_request_memory_limit();
    if (!closed_) read();
}

void Clients::Connection::limit_buffered_input() {
    if (state_ != State::reading && buffer_.size() > max_header_bytes + max_body_bytes)
        discard_buffered_input();
}

void Clients::Connection::discard_buffered_input() {
    buffer_.consume(buffer_.size());
    if (!std::exchange(input_discarded_, true)) ++owner_.stats_.input_discarded;
}

void Clients::Connection::shed_input() {
    if (closed_) return;
    if (state_ != State::reading) {
        discard_buffered_input();
        release_and_charge_input();
        return;
    }
    ++owner_.stats_.shed;
    owner_.event_log_.write("client " + std::to_string(id_) + " refused for memory: holds " +
                            std::to_string(input_bytes()) + " bytes of an unfinished request");
    refused_for_memory_ = true;
    keep_alive_ = false;
    buffer_.consume(buffer_.size());
    stop_reading();
    respond(plain_response(http::status::service_unavailable));
}

void Clients::Connection::on_disconnect() {
    const bool was_waiting = state_ == State::waiting;
    const RequestId id = request_id_;
    Clients& owner = owner_;
    if (was_waiting) owner.awaiting_response_.erase(id);
    close(state_ == State::lingering ? CloseReason::after_response : CloseReason::by_client);
    if (was_waiting) owner.events_.on_client_disconnected(id);
}

void Clients::Connection::process_input() {
    if (state_ == State::lingering) buffer_.consume(buffer_.size());
    if (state_ != State::reading || buffer_.size() == 0) return;
    if (!parser_->got_some()) state_since_ = owner_.clock_.now();
    error_code error;
    parser_->parse(buffer_, error);
    if (error && error != http::error::need_more) {
        const bool large = error == http::error::body_limit;
        reject_malformed(large ? http::status::payload_too_large : http::status::bad_request,
                         error.message());
    } else if (parser_->is_done()) {
        dispatch(parser_->release());
    } else if (parser_->is_header_done() && !continue_sent_ &&
               beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        continue_sent_ = true;
        std::size_t sent = 0;
        if (!write_some(socket_, "HTTP/1.1 100 Continue\r\n\r\n", sent)) close(CloseReason::write_failed);
    }
}

void Clients::Connection::reject_malformed(http::status status, const std::string& cause) {
    keep_alive_ = false;
    ++owner_.stats_.malformed;
    owner_.event_log_.write("client " + std::to_string(id_) + ": malformed request: " + cause);
    stop_reading();
    respond(plain_response(status));
}

void Clients::Connection::dispatch(HttpRequest message) {
    has_received_request_ = true;
    ++request_count_;
    stop_reading();
    keep_alive_ = message.keep_alive();
    // The end of a body in an unknown transfer coding can't be found, so the connection closes after the
    // response.
    if (message.count(http::field::transfer_encoding) > 0 && !message.chunked()) {
        return reject_malformed(http::status::bad_request, "unknown transfer coding");
    }
    const auto path = path_without_query(message);
    if (path == "/ready" && message.method() == http::verb::get) {
        respond(plain_response(owner_.draining_ ? http::status::service_unavailable : http::status::ok));
        return;
    }
    if (path != "/api") {
        respond(plain_response(http::status::not_found));
        return;
    }
    auto request = parse_client_request(std::move(message), owner_.settings_);
    if (!request) {
        ++owner_.stats_.malformed;
        respond(plain_response(http::status::bad_request));
        return;
    }
    request_id_ = request->policy_request.id = ++owner_.last_request_id_;
    set_state(State::waiting);
    owner_.awaiting_response_.emplace(request_id_, this);
    owner_.events_.on_client_request(std::move(*request));
}

void Clients::Connection::write() {
    if (!response_.write_some(socket_)) {
        close(CloseReason::write_failed);
    } else if (response_.is_written()) {
        on_response_written();
    } else {
        if (std::exchange(write_pending_, true)) return;
        write_when_ready(socket_, [self = shared_from_this()](error_code) {
            self->write_pending_ = false;
            self->continue_write();
        });
    }
}

void Clients::Connection::continue_write() {
    if (!closed_ && state_ == State::writing) write();
}

void Clients::Connection::on_response_written() {
    response_ = {};
    response_charge_.set(0);
    if (close_after_write_ || input_discarded_) {
        linger();
        return;
    }
    prepare_to_read_request();
    if (buffer_.size() == 0) return;
    // Deferred, as this may run inside the handler of the last request.
    asio::post(owner_.loop_, [self = shared_from_this()] {
        if (!self->closed_) self->on_input();
    });
}

void Clients::Connection::linger() {
    set_state(State::lingering);
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        close(CloseReason::write_failed);
        return;
    }
    // A peer that has stopped has nothing unread that would reset the connection, and need not be waited for.
    if (refused_for_memory_ && no_input_pending(socket_)) return close(CloseReason::memory);
    buffer_.consume(buffer_.size());
    read();
}

}  // namespace flaxdoor::net
