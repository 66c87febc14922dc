#include "net/connection_pool.h"

#include <algorithm>
#include <utility>

namespace flaxdoor::net {

namespace {

// A duplicate response may arrive some milliseconds after the first one. Responses carry no request id: on a
// connection that has been reused by then, the duplicate would be taken for the response to the next
// request.
constexpr Micros reuse_delay = std::chrono::milliseconds(10);

}  // namespace

ReuseState ConnectionPool::reuse_state(const UpstreamPool& pool, const IdleConnection& idle, Time now) {
    if (now < pool.single_use_until) return ReuseState::single_use;
    return idle.idle_since > now - reuse_delay ? ReuseState::reuse_delayed : ReuseState::ready;
}

bool ConnectionPool::acquire_slot(Time now) {
    if (open_count_ >= limits_.max_connections && !close_longest_idle(now)) return false;
    ++open_count_;
    return true;
}

bool ConnectionPool::close_longest_idle(Time now) {
    UpstreamPool* longest_idle = nullptr;
    for (auto& [upstream, pool] : pools_) {
        if (pool.idle.empty()) continue;
        if (!longest_idle || pool.idle.front().idle_since < longest_idle->idle.front().idle_since)
            longest_idle = &pool;
    }
    if (!longest_idle) return false;
    const IdleConnection removed = std::move(longest_idle->idle.front());
    longest_idle->idle.erase(longest_idle->idle.begin());
    close(removed, now);
    return true;
}

// Guards against an idle connection whose end has not been noticed yet: a request written to it would end in
// a reset and might have run.
ConnectionPool::ConnectionPtr ConnectionPool::take_ready(UpstreamId upstream, Time now) {
    UpstreamPool& pool = pools_[upstream];
    for (;;) {
        auto at = std::ranges::find_if(pool.idle, [&](const IdleConnection& idle) {
            return reuse_state(pool, idle, now) != ReuseState::ready;
        });
        if (at == pool.idle.begin()) break;
        --at;  // the most recently used of those that are ready
        const IdleConnection idle = std::move(*at);
        pool.idle.erase(at);
        if (idle.connection->has_no_pending_input()) return idle.connection;
        ++stats_.stale;
        close(idle, now);
    }
    count_miss(pool, now);
    return nullptr;
}

void ConnectionPool::count_miss(const UpstreamPool& pool, Time now) {
    if (now < pool.single_use_until) {
        ++stats_.single_use;
    } else if (pool.idle.empty()) {
        ++stats_.none_idle;
    } else {
        ++stats_.reuse_delayed;
    }
}

bool ConnectionPool::may_keep(UpstreamId upstream, Time now) const {
    const auto found = pools_.find(upstream);
    return found == pools_.end() || now >= found->second.single_use_until;
}

void ConnectionPool::add_idle(ConnectionPtr connection, Time now) {
    const UpstreamId upstream = connection->upstream();
    pools_[upstream].idle.push_back({std::move(connection), now});
}

void ConnectionPool::discard(const ConnectionPtr& connection, Time now) {
    auto& idle = pools_[connection->upstream()].idle;
    const auto found = std::ranges::find(idle, connection, &IdleConnection::connection);
    if (found == idle.end()) return;
    const IdleConnection removed = std::move(*found);
    idle.erase(found);
    close(removed, now);
}

// Guards against duplicate responses that arrive after the reuse delay: one that arrives earlier shows that
// the upstream sends duplicates.
void ConnectionPool::close(const IdleConnection& idle, Time now) {
    const bool duplicate_response = idle.connection->has_duplicate_response();
    idle.connection->close();
    if (duplicate_response) on_duplicate_response(idle.connection->upstream(), now, now - idle.idle_since);
}

void ConnectionPool::close_idle(UpstreamId upstream) {
    const auto found = pools_.find(upstream);
    if (found == pools_.end()) return;
    for (const IdleConnection& idle : found->second.idle) idle.connection->close();
    found->second.idle.clear();
}

void ConnectionPool::close_all() {
    for (const auto& [upstream, pool] : pools_) close_idle(upstream);
}

// An upstream that has sent a duplicate response may send another one, with a longer delay.
void ConnectionPool::on_duplicate_response(UpstreamId upstream, Time now, Micros delay) {
    stats_.duplicate_responses.record(delay);
    pools_[upstream].single_use_until = now + limits_.single_use_period;
    close_idle(upstream);
}

std::size_t ConnectionPool::idle_count(UpstreamId upstream) const {
    const auto found = pools_.find(upstream);
    return found == pools_.end() ? 0 : found->second.idle.size();
}

ConnectionPool::Stats ConnectionPool::take_stats() { return std::exchange(stats_, {}); }

}  // namespace flaxdoor::net
