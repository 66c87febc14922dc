#include "net/connection_pool.h"

#include <algorithm>
#include <utility>

namespace flaxdoor::net {

namespace {

// A second answer may come some milliseconds behind the first. Answers name no request: on a connection that
// is used again by then it would be taken for the answer to the next request.
constexpr Micros rest = std::chrono::milliseconds(10);

}  // namespace

Reuse ConnectionPool::reuse_of(const UpstreamPool& pool, const Kept& kept, Time now) {
    if (now < pool.single_use_until) return Reuse::single_use;
    return kept.since > now - rest ? Reuse::resting : Reuse::ready;
}

bool ConnectionPool::acquire_slot() {
    if (open_ >= limits_.connections) {
        const Kept* oldest = nullptr;
        for (const auto& [upstream, pool] : pools_) {
            if (pool.kept.empty()) continue;
            if (!oldest || pool.kept.front().since < oldest->since) oldest = &pool.kept.front();
        }
        if (!oldest) return false;
        discard(oldest->connection);
    }
    ++open_;
    return true;
}

// Guards against a kept connection that has ended unnoticed so far: what is written to it would be a reset,
// and may have run.
ConnectionPool::ConnectionPtr ConnectionPool::take(UpstreamId upstream, Time now) {
    UpstreamPool& pool = pools_[upstream];
    for (;;) {
        auto at = std::ranges::find_if(
            pool.kept, [&](const Kept& kept) { return reuse_of(pool, kept, now) != Reuse::ready; });
        if (at == pool.kept.begin()) return nullptr;
        --at;  // the one used last of those that are ready
        const ConnectionPtr connection = std::move(at->connection);
        pool.kept.erase(at);
        if (connection->is_quiet()) return connection;
        ++figures_.stale;
        const bool second_answer = connection->has_second_answer();
        connection->close();
        if (second_answer) on_second_answer(upstream, now);
    }
}

bool ConnectionPool::keeps(UpstreamId upstream, Time now) const {
    const auto found = pools_.find(upstream);
    return found == pools_.end() || now >= found->second.single_use_until;
}

void ConnectionPool::keep(ConnectionPtr connection, Time now) {
    const UpstreamId upstream = connection->upstream();
    pools_[upstream].kept.push_back({std::move(connection), now});
}

void ConnectionPool::discard(const ConnectionPtr& connection) {
    const ConnectionPtr held = connection;
    std::erase_if(pools_[held->upstream()].kept, [&](const Kept& kept) { return kept.connection == held; });
    held->close();
}

void ConnectionPool::close_kept(UpstreamId upstream) {
    const auto found = pools_.find(upstream);
    if (found == pools_.end()) return;
    for (const Kept& kept : found->second.kept) kept.connection->close();
    found->second.kept.clear();
}

void ConnectionPool::close_all() {
    for (const auto& [upstream, pool] : pools_) close_kept(upstream);
}

// Guards against a second answer that comes after a connection has rested. An upstream that has answered
// twice may do so again.
void ConnectionPool::on_second_answer(UpstreamId upstream, Time now) {
    ++figures_.second_answers;
    pools_[upstream].single_use_until = now + limits_.single_use;
    close_kept(upstream);
}

std::size_t ConnectionPool::kept(UpstreamId upstream) const {
    const auto found = pools_.find(upstream);
    return found == pools_.end() ? 0 : found->second.kept.size();
}

ConnectionPool::Figures ConnectionPool::take_figures() { return std::exchange(figures_, {}); }

}  // namespace flaxdoor::net
