#include "net/clients.h"

#include <algorithm>
#include <boost/asio/ip/v6_only.hpp>

#include "net/message_parser.h"

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An idle connection must be left open for 2 s. The client counts them from the arrival of the response, a
// little later than this side does; hence the margin of 50 ms.
constexpr Micros min_idle_before_close = milliseconds(2050);
// A peer that sends no request must get an error or a close within 3 s of connecting, and one that stops in
// the middle of a further request within 3 s of stopping. These three add up to less: the wait in the backlog
// at the connection limit, the time allowed for the first complete request or without further input of a
// later one, and the interval between two sweeps.
constexpr Micros backlog_timeout = milliseconds(250);
constexpr Micros incomplete_request_timeout = milliseconds(2300);
constexpr auto sweep_interval = milliseconds(250);
// Interval of the checks whether a connection in the backlog can be accepted, and delay after an accept that
// failed for lack of descriptors.
constexpr auto accept_retry_delay = milliseconds(20);
// The first request of a new connection most likely arrives within this time.
constexpr Micros new_connection_time = milliseconds(100);
constexpr Micros request_timeout = seconds(10);   // from a later request's first byte to its last
constexpr Micros response_timeout = seconds(10);  // for the client to read a response, and to close after one
constexpr Micros idle_timeout = seconds(300);     // between requests

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

// One client connection: reads a request, waits for its response, writes that, and repeats. A read is pending
// in every state, so that a disconnect is detected at once.
class Clients::Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class State { reading, waiting, writing, lingering };

    Connection(Clients& owner, tcp::socket socket) : owner_(owner), socket_(std::move(socket)) {}

    void start() {
        error_code error;
        socket_.set_option(tcp::no_delay(true), error);
        socket_.non_blocking(true, error);
        prepare_to_read_request();
        read();
    }

    // Returns whether the connection is between requests with no part of a request, and no close, received.
    bool is_idle() { return state_ == State::reading && !has_partial_request() && no_input_pending(socket_); }
    // Returns whether the connection has been idle for long enough to be closed for a new one.
    bool may_be_replaced(Time now) { return now - state_since_ >= min_idle_before_close && is_idle(); }
    Time state_since() const { return state_since_; }
    // Returns whether the connection is so new that its first request is most likely on its way.
    bool is_new() const {
        return !has_received_request_ && owner_.clock_.now() - opened_at_ < new_connection_time;
    }

    bool is_overdue(Time now) {
        switch (state_) {
            case State::reading:
                // Bounds how long a peer can hold a connection without ever sending a request.
                if (!has_received_request_) return now - opened_at_ > incomplete_request_timeout;
                if (has_partial_request()) return has_stalled(now) || now - state_since_ > request_timeout;
                // A request that has arrived and is about to be read must not be lost.
                return now - state_since_ > idle_timeout && no_input_pending(socket_);
            case State::waiting: return false;
            default: return now - state_since_ > response_timeout;
        }
    }

    void respond(HttpResponse response) {
        response.version(11);
        response.keep_alive(!closes_after_response());
        response.prepare_payload();
        close_after_write_ = !response.keep_alive();
        response_bytes_ = to_bytes(response);
        written_bytes_ = 0;
        set_state(State::writing);
        write();
    }

    // Detects a disconnect that has reached the socket before the event loop delivers it.
    void detect_disconnect() {
        if (peer_has_closed(socket_)) on_disconnect();
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
        owner_.on_connection_closed(this);
    }

private:
    bool has_partial_request() const { return buffer_.size() > 0 || parser_->got_some(); }

    // Returns whether the client has stopped in the middle of a request.
    bool has_stalled(Time now) {
        const Time last_progress_at = std::max(last_input_at_, state_since_);
        return now - last_progress_at > incomplete_request_timeout && no_input_pending(socket_);
    }

    // Returns whether the connection closes after this response. During the shutdown a further request that
    // has already arrived keeps it open for its own response, so that the request is not lost.
    bool closes_after_response() {
        if (!keep_alive_ || input_discarded_) return true;
        return owner_.draining_ && buffer_.size() == 0 && no_input_pending(socket_);
    }

    void set_state(State state) {
        state_ = state;
        state_since_ = owner_.clock_.now();
    }

    void prepare_to_read_request() {
        parser_.emplace();
        continue_sent_ = false;
        set_state(State::reading);
    }

    void read() {
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
            self->process_input();
            self->limit_buffered_input();
            if (!self->closed_) self->read();
        });
    }

    // Bounds the input buffered behind the request being served. Input beyond the bound is discarded, and the
    // connection closes after the response. Reading goes on all the same: without a read a disconnect would
    // go undetected.
    void limit_buffered_input() {
        if (state_ == State::reading || buffer_.size() <= max_header_bytes + max_body_bytes) return;
        buffer_.consume(buffer_.size());
        input_discarded_ = true;
    }

    void on_disconnect() {
        const bool was_waiting = state_ == State::waiting;
        const RequestId id = request_id_;
        Clients& owner = owner_;
        if (was_waiting) owner.awaiting_response_.erase(id);
        close();
        if (was_waiting) owner.events_.on_client_disconnected(id);
    }

    void process_input() {
        if (state_ == State::lingering) buffer_.consume(buffer_.size());
        if (state_ != State::reading || buffer_.size() == 0) return;
        if (!parser_->got_some()) state_since_ = owner_.clock_.now();
        error_code error;
        parser_->parse(buffer_, error);
        if (error && error != http::error::need_more) {
            // The end of this request is unknown, so the connection closes after the response.
            keep_alive_ = false;
            const bool large = error == http::error::body_limit;
            respond(plain_response(large ? http::status::payload_too_large : http::status::bad_request));
        } else if (parser_->is_done()) {
            dispatch(parser_->release());
        } else if (parser_->is_header_done() && !continue_sent_ &&
                   beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
            continue_sent_ = true;
            std::size_t sent = 0;
            if (!write_some(socket_, "HTTP/1.1 100 Continue\r\n\r\n", sent)) close();
        }
    }

    void dispatch(HttpRequest message) {
        has_received_request_ = true;
        keep_alive_ = message.keep_alive();
        // The end of a body in an unknown transfer coding can't be found, so the connection closes after the
        // response.
        if (message.count(http::field::transfer_encoding) > 0 && !message.chunked()) {
            keep_alive_ = false;
            respond(plain_response(http::status::bad_request));
            return;
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
            respond(plain_response(http::status::bad_request));
            return;
        }
        request_id_ = request->policy_request.id = ++owner_.last_request_id_;
        set_state(State::waiting);
        owner_.awaiting_response_.emplace(request_id_, this);
        owner_.events_.on_client_request(std::move(*request));
    }

    void write() {
        if (!write_some(socket_, response_bytes_, written_bytes_)) {
            close();
        } else if (written_bytes_ == response_bytes_.size()) {
            on_response_written();
        } else {
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                if (!error && !self->closed_ && self->state_ == State::writing) self->write();
            });
        }
    }

    void on_response_written() {
        if (close_after_write_ || input_discarded_) {
            linger();
            return;
        }
        prepare_to_read_request();
        if (buffer_.size() == 0) return;
        // Deferred, as this may run inside the handler of the last request.
        asio::post(owner_.loop_, [self = shared_from_this()] {
            if (self->closed_) return;
            self->process_input();
            if (!self->closed_) self->read();
        });
    }

    // Lingering close: closing the socket with unread input would reset the connection and could destroy the
    // response on its way. Only the sending side is shut down, and input is discarded until the client
    // closes.
    void linger() {
        set_state(State::lingering);
        error_code error;
        socket_.shutdown(tcp::socket::shutdown_send, error);
        if (error) {
            close();
            return;
        }
        buffer_.consume(buffer_.size());
        read();
    }

    Clients& owner_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    std::string response_bytes_;
    std::size_t written_bytes_ = 0;
    RequestId request_id_ = 0;
    Time state_since_{};  // when the state was entered, or the first byte of the request read
    Time last_input_at_{};
    State state_ = State::reading;
    const Time opened_at_ = owner_.clock_.now();
    bool has_received_request_ = false;  // a complete request has been received
    bool read_pending_ = false;
    bool keep_alive_ = true;
    bool continue_sent_ = false;
    bool input_discarded_ = false;
    bool close_after_write_ = false;
    bool closed_ = false;
};

Clients::Clients(asio::io_context& loop, const Clock& clock, const Settings& settings,
                 std::size_t max_connections, ClientEvents& events)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      max_connections_(max_connections),
      events_(events),
      acceptor_(loop),
      accept_retry_timer_(loop),
      capacity_check_timer_(loop),
      sweep_timer_(loop) {}

Clients::~Clients() { stop(); }

void Clients::listen(const tcp::endpoint& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.non_blocking(true);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    wait_for_connection();
    sweep();
}

tcp::endpoint Clients::address() const { return acceptor_.local_endpoint(); }

void Clients::wait_for_connection() {
    if (accept_pending_ || !acceptor_.is_open()) return;
    accept_pending_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
        if (error) return;
        accept_pending_ = false;
        accept_connection();
    });
}

// Closes an idle connection only for one that is already in the backlog: the client of the closed one may
// have a request on its way.
bool Clients::accept_connection() {
    if (connections_.size() >= max_connections_ && !close_longest_idle()) {
        wait_for_capacity();
        return false;
    }
    tcp::socket socket(loop_);
    error_code error;
    acceptor_.accept(socket, error);
    const bool is_transient = error == asio::error::would_block || error == asio::error::try_again ||
                              error == asio::error::connection_aborted || error == asio::error::interrupted;
    if (error && !is_transient) {
        close_longest_idle();
        retry_accept();
        return false;
    }
    if (!error) {
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connections_.emplace(connection.get(), connection);
        connection->start();
    }
    wait_for_connection();
    return !error;
}

// Prevents a busy loop when descriptors run out: the listener stays readable, and each accept fails at once.
void Clients::retry_accept() {
    accept_retry_timer_.expires_after(accept_retry_delay);
    accept_retry_timer_.async_wait([this](error_code error) {
        if (!error) wait_for_connection();
    });
}

// Prevents a busy loop at the connection limit: the listener stays readable. Connections in the backlog are
// checked at intervals instead.
void Clients::wait_for_capacity() {
    if (at_capacity_since_) return;
    at_capacity_since_ = clock_.now();
    check_capacity();
}

void Clients::check_capacity() {
    capacity_check_timer_.expires_after(accept_retry_delay);
    capacity_check_timer_.async_wait([this](error_code error) {
        if (error) return;
        if (accept_pending_) {  // the wait of the last check is still pending: the backlog is empty
            at_capacity_since_.reset();
        } else if (clock_.now() - *at_capacity_since_ >= backlog_timeout) {
            close_backlog();
        } else {
            wait_for_connection();
            check_capacity();
        }
    });
}

// Closes all connections in the backlog unread. A client whose connection is closed at once can try elsewhere
// instead of waiting for nothing, and no peer is left with neither a response nor a close. A request that has
// not been read has not been accepted, so none is lost.
void Clients::close_backlog() {
    at_capacity_since_.reset();
    for (int i = 0; i < asio::socket_base::max_listen_connections; ++i) {
        tcp::socket unread(loop_);
        error_code error;
        acceptor_.accept(unread, error);
        if (error) break;
    }
    wait_for_connection();
}

bool Clients::close_longest_idle() {
    const Time now = clock_.now();
    Connection* oldest = nullptr;
    for (const auto& [connection, held] : connections_) {
        if (oldest && connection->state_since() >= oldest->state_since()) continue;
        if (connection->may_be_replaced(now)) oldest = connection;
    }
    if (!oldest) return false;
    const auto held = connections_.at(oldest);
    held->close();
    return true;
}

void Clients::sweep() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](error_code error) {
        if (error) return;
        std::vector<std::shared_ptr<Connection>> overdue;
        for (const auto& [connection, held] : connections_) {
            if (connection->is_overdue(clock_.now())) overdue.push_back(held);
        }
        for (const auto& connection : overdue) connection->close();
        sweep();
    });
}

void Clients::respond(RequestId request, HttpResponse response) {
    const auto found = awaiting_response_.find(request);
    if (found == awaiting_response_.end()) return;
    const auto connection = found->second->shared_from_this();
    awaiting_response_.erase(found);
    connection->respond(std::move(response));
}

void Clients::detect_disconnect(RequestId request) {
    const auto found = awaiting_response_.find(request);
    if (found == awaiting_response_.end()) return;
    const auto connection = found->second->shared_from_this();
    connection->detect_disconnect();
}

bool Clients::drain() {
    draining_ = true;
    // Connections that the kernel has already established would be reset when the listener closes.
    while (acceptor_.is_open() && accept_connection()) {
    }
    std::vector<std::shared_ptr<Connection>> idle;
    for (const auto& [connection, held] : connections_) {
        if (connection->is_idle() && !connection->is_new()) idle.push_back(held);
    }
    for (const auto& connection : idle) connection->close();
    return !connections_.empty();
}

void Clients::on_connection_closed(Connection* connection) {
    connections_.erase(connection);
    wait_for_connection();
}

void Clients::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    capacity_check_timer_.cancel();
    sweep_timer_.cancel();
    const auto held = std::move(connections_);
    connections_.clear();
    for (const auto& [connection, owned] : held) connection->close();
    awaiting_response_.clear();
}

}  // namespace flaxdoor::net
