#include "net/connection_pool.h"

#include <algorithm>
#include <utility>

namespace flaxdoor::net {

namespace {

// A duplicate response may arrive some milliseconds after the first one. Responses carry no request id: on a
// connection that has been reused by then, the duplicate would be taken for the response to the next request.
constexpr Micros rest = std::chrono::milliseconds(10);

}  // namespace

Reuse ConnectionPool::reuse_of(const UpstreamPool& pool, const Kept& kept, Time now) {
    if (now < pool.single_use_until) return Reuse::single_use;
    return kept.since > now - rest ? Reuse::resting : Reuse::ready;
}

bool ConnectionPool::acquire_slot(Time now) {
    if (open_ >= limits_.connections && !close_oldest(now)) return false;
    ++open_;
    return true;
}

bool ConnectionPool::close_oldest(Time now) {
    UpstreamPool* oldest = nullptr;
    for (auto& [upstream, pool] : pools_) {
        if (pool.kept.empty()) continue;
        if (!oldest || pool.kept.front().since < oldest->kept.front().since) oldest = &pool;
    }
    if (!oldest) return false;
    const Kept taken = std::move(oldest->kept.front());
    oldest->kept.erase(oldest->kept.begin());
    close(taken, now);
    return true;
}

// Guards against an idle connection whose end has not been noticed yet: a request written to it would end in
// a reset and might have run.
ConnectionPool::ConnectionPtr ConnectionPool::take(UpstreamId upstream, Time now) {
    UpstreamPool& pool = pools_[upstream];
    for (;;) {
        auto at = std::ranges::find_if(
            pool.kept, [&](const Kept& kept) { return reuse_of(pool, kept, now) != Reuse::ready; });
        if (at == pool.kept.begin()) break;
        --at;  // the most recently used of those that are ready
        const Kept kept = std::move(*at);
        pool.kept.erase(at);
        if (kept.connection->is_quiet()) return kept.connection;
        ++figures_.stale;
        close(kept, now);
    }
    count_none_ready(pool, now);
    return nullptr;
}

void ConnectionPool::count_none_ready(const UpstreamPool& pool, Time now) {
    if (now < pool.single_use_until) {
        ++figures_.single_use;
    } else if (pool.kept.empty()) {
        ++figures_.none_kept;
    } else {
        ++figures_.resting;
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

void ConnectionPool::discard(const ConnectionPtr& connection, Time now) {
    auto& kept = pools_[connection->upstream()].kept;
    const auto found = std::ranges::find(kept, connection, &Kept::connection);
    if (found == kept.end()) return;
    const Kept taken = std::move(*found);
    kept.erase(found);
    close(taken, now);
}

// Guards against duplicate responses that arrive after the reuse delay: one that arrives earlier shows that
// the upstream sends duplicates.
void ConnectionPool::close(const Kept& kept, Time now) {
    const bool second_answer = kept.connection->has_second_answer();
    kept.connection->close();
    if (second_answer) on_second_answer(kept.connection->upstream(), now, now - kept.since);
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

// An upstream that has sent a duplicate response may send another one, with a longer delay.
void ConnectionPool::on_second_answer(UpstreamId upstream, Time now, Micros late_by) {
    figures_.second_answers.count(late_by);
    pools_[upstream].single_use_until = now + limits_.single_use;
    close_kept(upstream);
}

std::size_t ConnectionPool::kept(UpstreamId upstream) const {
    const auto found = pools_.find(upstream);
    return found == pools_.end() ? 0 : found->second.kept.size();
}

ConnectionPool::Figures ConnectionPool::take_figures() { return std::exchange(figures_, {}); }

}  // namespace flaxdoor::net
