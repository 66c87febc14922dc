// Pool of idle connections to upstreams: decides which of them may be reused and limits the number of open
// connections. Uses neither sockets nor a clock; callers pass the current time.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/duplicate_response_stats.h"

namespace flaxdoor::net {

// A connection as the pool uses it while the connection carries no request.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;
    virtual UpstreamId upstream() const = 0;
    // Neither bytes nor the end of the connection have arrived since the last response.
    virtual bool has_no_pending_input() = 0;
    // The bytes that have arrived since the last response begin another one.
    virtual bool has_duplicate_response() = 0;
    // Closes the connection and releases its slot in the pool; does nothing if it is closed already.
    virtual void close() = 0;
};

// Whether an idle connection may be reused.
enum class ReuseState {
    single_use,     // never: its upstream has recently sent a duplicate response
    reuse_delayed,  // not yet: a duplicate of the last response may still arrive
    ready,
};

struct ConnectionPoolLimits {
    std::size_t max_connections = 0;  // maximum of open ones, over all upstreams
    // How long after a duplicate response the connections to its upstream carry one request each.
    Micros single_use_period = std::chrono::seconds(3);
};

// Idle connections by upstream, and the count of all open ones.
class ConnectionPool {
public:
    using ConnectionPtr = std::shared_ptr<PooledConnection>;

    explicit ConnectionPool(ConnectionPoolLimits limits) : limits_(limits) {}

    // Reserves a slot for another open connection. At the limit, closes the connection that has been idle
    // longest; returns false if none is idle.
    bool acquire_slot(Time now);
    // Releases the slot of a connection that was closed.
    void release_slot() { --open_count_; }

    // Removes and returns an idle connection to the upstream that is ready for reuse. Returns null if there
    // is none, and counts the cause.
    ConnectionPtr take_ready(UpstreamId upstream, Time now);
    // Whether a connection to the upstream may be kept for reuse once its response has been read.
    bool may_keep(UpstreamId upstream, Time now) const;
    // Adds a connection that has become idle.
    void add_idle(ConnectionPtr connection, Time now);
    // Closes an idle connection that has received something or has been idle for too long.
    void discard(const ConnectionPtr& connection, Time now);
    // Closes the idle connections to the upstream.
    void close_idle(UpstreamId upstream);
    // Closes the idle connections to all upstreams.
    void close_all();

    // The upstream has sent a duplicate response, `delay` after the first one was read. Closes its idle
    // connections and, for ConnectionPoolLimits::single_use_period, keeps no new ones.
    void on_duplicate_response(UpstreamId upstream, Time now, Micros delay);

    // Number of open connections, in use or idle.
    std::size_t open_count() const { return open_count_; }
    // Number of idle connections to the upstream.
    std::size_t idle_count(UpstreamId upstream) const;

    // Counters since the last call, for the log.
    struct Stats {
        unsigned stale = 0;  // idle connections found closed or with unsolicited bytes when taken for reuse
        unsigned none_idle = 0, reuse_delayed = 0, single_use = 0;  // why none was ready
        DuplicateResponseStats duplicate_responses;
    };
    Stats take_stats();

private:
    struct IdleConnection {
        ConnectionPtr connection;
        Time idle_since{};
    };
    struct UpstreamPool {
        std::vector<IdleConnection> idle;  // most recently used last
        Time single_use_until{};
    };

    bool close_longest_idle(Time now);
    // Checks for a duplicate response before closing; if there is one, closes the upstream's other idle
    // connections too.
    void close(const IdleConnection& idle, Time now);
    static ReuseState reuse_state(const UpstreamPool& pool, const IdleConnection& idle, Time now);
    void count_miss(const UpstreamPool& pool, Time now);

    const ConnectionPoolLimits limits_;
    std::unordered_map<UpstreamId, UpstreamPool> pools_;
    std::size_t open_count_ = 0;
    Stats stats_;
};

}  // namespace flaxdoor::net
