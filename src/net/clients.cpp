#include "net/clients.h"

#include <algorithm>
#include <boost/asio/ip/v6_only.hpp>
#include <thread>

#include "net/client_connection.h"

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;

// The wait in the backlog at the connection limit, and the interval between two sweeps: see
// `incomplete_request_timeout`.
constexpr Micros backlog_timeout = milliseconds(250);
constexpr auto sweep_interval = milliseconds(250);
// Interval of the checks whether a connection in the backlog can be accepted, and delay after an accept that
// failed for lack of descriptors.
constexpr auto accept_retry_delay = milliseconds(20);
// The system may be short of memory or descriptors at a start, or still hold the address. The time of all
// attempts stays far below what a balancer may take to be ready.
constexpr int max_listen_attempts = 20;
constexpr auto listen_retry_delay = milliseconds(100);

}  // namespace

Clients::Clients(asio::io_context& loop, const Clock& clock, const Settings& settings,
                 std::size_t max_connections, MemoryBudget& memory, EventLog& event_log, ClientEvents& events)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      max_connections_(max_connections),
      memory_(memory),
      event_log_(event_log),
      events_(events),
      acceptor_(loop),
      accept_retry_timer_(loop),
      capacity_check_timer_(loop),
      sweep_timer_(loop) {}

Clients::~Clients() { stop(); }

void Clients::listen(const tcp::endpoint& address) {
    error_code error = try_listen(address);
    for (int attempt = 1; error && attempt < max_listen_attempts; ++attempt) {
        log("cannot listen: " + error.message());
        std::this_thread::sleep_for(listen_retry_delay);
        error = try_listen(address);
    }
    if (error) throw boost::system::system_error(error, "listen");
    wait_for_connection();
    sweep();
}

error_code Clients::try_listen(const tcp::endpoint& address) {
    error_code error, ignored;
    acceptor_.close(ignored);
    acceptor_.open(address.protocol(), error);
    if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(address, error);
    if (!error) acceptor_.non_blocking(true, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

tcp::endpoint Clients::address() const { return acceptor_.local_endpoint(); }

bool Clients::has_backlog() { return ready_events(acceptor_.native_handle(), POLLIN) != 0; }

void Clients::wait_for_connection() {
    if (accept_pending_ || !acceptor_.is_open()) return;
    accept_pending_ = true;
    // The handler may be posted, and then runs also after this object's end.
    const auto on_ready = [this, alive = std::weak_ptr<char>(alive_)](error_code error) {
        if (alive.expired() || error == asio::error::operation_aborted) return;
        accept_pending_ = false;
        if (error) return retry_accept();
        if (acceptor_.is_open()) accept_connection();
    };
    wait_until_ready(acceptor_, tcp::acceptor::wait_read, has_backlog(), on_ready);
}

// Closes an idle connection only for one that is already in the backlog: the client of the closed one may
// have a request on its way.
bool Clients::accept_connection() {
    if (!has_backlog()) {
        wait_for_connection();
        return false;
    }
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
        ++stats_.accept_errors;
        event_log_.write("accept failed: " + error.message());
        close_longest_idle();
        retry_accept();
        return false;
    }
    if (!error) {
        ++stats_.accepted;
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
        ++stats_.closed_unread;
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
    held->close(CloseReason::replaced);
    return true;
}

void Clients::sweep() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](error_code error) {
        if (error) return;
        std::vector<std::pair<std::shared_ptr<Connection>, CloseReason>> overdue;
        for (const auto& [connection, held] : connections_) {
            if (const auto reason = connection->overdue_reason(clock_.now()))
                overdue.emplace_back(held, *reason);
        }
        for (const auto& [connection, reason] : overdue) connection->close(reason);
        continue_writes();
        enforce_request_memory_limit();
        enforce_response_memory_limit();
        sweep();
    });
}

void Clients::continue_writes() {
    std::vector<std::shared_ptr<Connection>> writing;
    for (const auto& [connection, held] : connections_) {
        if (connection->state() == Connection::State::writing) writing.push_back(held);
    }
    for (const auto& connection : writing) connection->continue_write();
}

void Clients::enforce_request_memory_limit() {
    const std::size_t used = memory_.used(MemoryPool::requests), limit = memory_.limit(MemoryPool::requests);
    if (used <= limit) return;
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<MemoryHolder> holders;
    for (const auto& [connection, held] : connections_) {
        connections.push_back(held);
        holders.push_back({connection->input_bytes(), clock_.now() - connection->state_since()});
    }
    for (const std::size_t i : select_requests_to_shed(holders, used, limit)) connections[i]->shed_input();
}

void Clients::enforce_response_memory_limit() {
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<MemoryHolder> holders;
    for (const auto& [connection, held] : connections_) {
        if (connection->state() != Connection::State::writing) continue;
        connections.push_back(held);
        holders.push_back({connection->response_bytes(), clock_.now() - connection->state_since()});
    }
    const auto shed = select_responses_to_shed(holders, memory_.used(MemoryPool::responses),
                                               memory_.limit(MemoryPool::responses));
    for (const std::size_t i : shed) connections[i]->close(CloseReason::memory);
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
    for (const auto& connection : idle) connection->close(CloseReason::idle);
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
    for (const auto& [connection, owned] : held) connection->close(CloseReason::shutdown);
    awaiting_response_.clear();
}

std::string Clients::take_summary() {
    const std::string counters = std::exchange(stats_, {}).summary();
    if (counters.empty()) return {};
    std::array<std::size_t, Connection::state_count> in_state{};
    for (const auto& [connection, held] : connections_)
        ++in_state[static_cast<std::size_t>(connection->state())];
    const auto count = [&](Connection::State state) {
        return std::to_string(in_state[static_cast<std::size_t>(state)]);
    };
    std::string line = "clients " + std::to_string(connections_.size()) + " open: ";
    line.append(count(Connection::State::reading)).append(" reading, ");
    line.append(count(Connection::State::waiting)).append(" waiting, ");
    line.append(count(Connection::State::writing)).append(" writing, ");
    line.append(count(Connection::State::lingering)).append(" lingering; ");
    return line.append(counters);
}

}  // namespace flaxdoor::net
