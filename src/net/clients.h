// The client side: listens, answers readiness checks, reads requests, sends one response to each, and detects
// that a client has disconnected.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "flaxdoor/decide.h"
#include "net/client_request.h"
#include "net/client_stats.h"
#include "net/clock.h"
#include "net/event_log.h"
#include "net/http.h"
#include "net/memory_budget.h"

namespace flaxdoor::net {

// Receives the events of Clients.
class ClientEvents {
public:
    virtual ~ClientEvents() = default;
    virtual void on_client_request(ClientRequest request) = 0;
    // The client of a request that has no response yet has disconnected. No response can reach it.
    virtual void on_client_disconnected(RequestId request) = 0;
};

// The listening socket and the client connections. Runs on the thread of `loop`; what the constructor takes
// by reference must outlive it.
class Clients {
public:
    // At most `max_connections` are open at once. At the limit the connection that has been idle longest is
    // closed for a new one, if it has been idle long enough to be closed. Where there is none, new
    // connections wait in the listener's backlog for a short time and are then closed without being read.
    Clients(boost::asio::io_context& loop, const Clock& clock, const Settings& settings,
            std::size_t max_connections, MemoryBudget& memory, EventLog& event_log, ClientEvents& events);
    ~Clients();

    // Throws boost::system::system_error when listening on the address fails repeatedly.
    void listen(const boost::asio::ip::tcp::endpoint& address);
    boost::asio::ip::tcp::endpoint address() const;

    // Sends the only response to a request. Does nothing if the client has disconnected.
    void respond(RequestId request, HttpResponse response);
    // Calls on_client_disconnected() at once if the client of the request has disconnected by now, even if
    // the event loop has not delivered that yet.
    void detect_disconnect(RequestId request);
    // From now on a response closes its connection unless a further request has arrived on it, and idle
    // connections are closed. Returns whether other connections remain: a request is being received or
    // served, or the client may not have received its response yet.
    bool drain();
    void stop();

    // Returns a log line on connections since the last call and resets the counters. The line is empty if
    // nothing has happened.
    std::string take_summary();

private:
    class Connection;
    friend class Connection;

    boost::system::error_code try_listen(const boost::asio::ip::tcp::endpoint& address);
    // Goes on with responses whose wait for the socket the system could not register.
    void continue_writes();
    // Returns whether a connection waits to be accepted.
    bool has_backlog();
    // Waits for the next connection in the backlog and accepts it.
    void wait_for_connection();
    // Returns whether a connection has been accepted, so that there may be more in the backlog.
    bool accept_connection();
    void retry_accept();
    // Leaves connections in the backlog until one can be accepted or their time limit is over.
    void wait_for_capacity();
    void check_capacity();
    void close_backlog();
    // Closes the connection that has been idle longest, if one may be closed. Returns whether it closed one.
    bool close_longest_idle();
    // Closes, at regular intervals, the connections that have been in their state for too long.
    void sweep();
    void on_connection_closed(Connection* connection);
    // Make connections give up memory where the sum of all exceeds a limit.
    void enforce_request_memory_limit();
    void enforce_response_memory_limit();

    boost::asio::io_context& loop_;
    const Clock& clock_;
    const Settings& settings_;
    const std::size_t max_connections_;
    MemoryBudget& memory_;
    EventLog& event_log_;
    ClientEvents& events_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_timer_;
    boost::asio::steady_timer capacity_check_timer_;
    boost::asio::steady_timer sweep_timer_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
    std::unordered_map<RequestId, Connection*> awaiting_response_;
    RequestId last_request_id_ = 0;
    std::uint64_t last_connection_id_ = 0;
    ClientStats stats_;
    bool accept_pending_ = false;            // an asynchronous wait on the listener is pending
    std::optional<Time> at_capacity_since_;  // set while connections in the backlog can't be accepted
    bool draining_ = false;
    const std::shared_ptr<char> alive_ = std::make_shared<char>();  // expires with this object
};

}  // namespace flaxdoor::net
