// Which idle connection may be reused, at exact times, and the limit on open connections.
#include "net/connection_pool.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

namespace flaxdoor::net {
namespace {

using std::chrono::milliseconds;

constexpr Micros reuse_delay = milliseconds(10);
constexpr Time start = std::chrono::hours(1);

// A connection without a socket; releases its slot when it is closed.
class FakeConnection final : public PooledConnection {
public:
    FakeConnection(ConnectionPool& pool, UpstreamId upstream) : pool_(pool), upstream_(upstream) {}

    UpstreamId upstream() const override { return upstream_; }
    bool has_no_pending_input() override { return !peer_closed && !duplicate_response; }
    bool has_duplicate_response() override { return duplicate_response; }
    void close() override {
        if (!closed) pool_.release_slot();
        closed = true;
    }

    bool peer_closed = false;
    bool duplicate_response = false;
    bool closed = false;

private:
    ConnectionPool& pool_;
    const UpstreamId upstream_;
};

std::shared_ptr<FakeConnection> add_idle_connection(ConnectionPool& pool, UpstreamId upstream, Time now) {
    EXPECT_TRUE(pool.acquire_slot(now));
    auto connection = std::make_shared<FakeConnection>(pool, upstream);
    pool.add_idle(connection, now);
    return connection;
}

TEST(ConnectionPool, ReusesNoneWithinItsReuseDelayHoweverManyAreIdle) {
    for (const int idle_count : {1, 3, 4, 5, 16}) {
        ConnectionPool pool({64});
        for (int i = 0; i < idle_count; ++i) add_idle_connection(pool, 1, start);
        EXPECT_FALSE(pool.take_ready(1, start + reuse_delay - Micros{1})) << idle_count;
        EXPECT_TRUE(pool.take_ready(1, start + reuse_delay)) << idle_count;
    }
}

TEST(ConnectionPool, ReusesTheMostRecentlyUsedOfThoseThatAreReady) {
    ConnectionPool pool({64});
    add_idle_connection(pool, 1, start);
    const auto ready = add_idle_connection(pool, 1, start + milliseconds(1));
    add_idle_connection(pool, 1, start + milliseconds(2));
    EXPECT_EQ(pool.take_ready(1, start + milliseconds(11)), ready);
}

TEST(ConnectionPool, ClosesAndCountsStaleConnections) {
    ConnectionPool pool({64});
    const auto still_open = add_idle_connection(pool, 1, start);
    const auto stale = add_idle_connection(pool, 1, start);
    stale->peer_closed = true;
    EXPECT_EQ(pool.take_ready(1, start + reuse_delay), still_open);
    EXPECT_TRUE(stale->closed);
    EXPECT_EQ(pool.open_count(), 1U);
    EXPECT_EQ(pool.take_stats().stale, 1U);
}

TEST(ConnectionPool, CountsWhyNoneWasReady) {
    ConnectionPool pool({64});
    EXPECT_FALSE(pool.take_ready(1, start));
    add_idle_connection(pool, 1, start);
    EXPECT_FALSE(pool.take_ready(1, start));
    EXPECT_FALSE(pool.take_ready(1, start + reuse_delay - Micros{1}));
    pool.on_duplicate_response(1, start, Micros{0});
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(pool.take_ready(1, start + reuse_delay));
    const ConnectionPool::Stats stats = pool.take_stats();
    EXPECT_EQ(stats.none_idle, 1U);
    EXPECT_EQ(stats.reuse_delayed, 2U);
    EXPECT_EQ(stats.single_use, 3U);
    EXPECT_EQ(pool.take_stats().reuse_delayed, 0U);
}

TEST(ConnectionPool, KeepsNoneForAWhileAfterADuplicateResponse) {
    const ConnectionPoolLimits limits{64};
    ConnectionPool pool(limits);
    const auto other_upstream = add_idle_connection(pool, 2, start);
    const auto without_input = add_idle_connection(pool, 1, start);
    add_idle_connection(pool, 1, start)->duplicate_response = true;
    const Time noticed_at = start + reuse_delay;
    EXPECT_FALSE(pool.take_ready(1, noticed_at));
    EXPECT_TRUE(without_input->closed);
    EXPECT_FALSE(other_upstream->closed);
    EXPECT_FALSE(pool.may_keep(1, noticed_at + limits.single_use_period - Micros{1}));
    EXPECT_TRUE(pool.may_keep(1, noticed_at + limits.single_use_period));
    EXPECT_TRUE(pool.may_keep(2, noticed_at));
    EXPECT_EQ(
        pool.take_stats().duplicate_responses.take_summary(),
        "duplicate responses 1 (immediate 0, within 1 ms 0, 2 ms 0, 5 ms 0, 10 ms 1, 100 ms 0, later 0, "
        "max 10.0 ms)");
}

TEST(ConnectionPool, ClosesTheLongestIdleAtTheLimitAndNoneInUse) {
    ConnectionPool pool({2});
    const auto younger = add_idle_connection(pool, 1, start + milliseconds(1));
    const auto longest_idle = add_idle_connection(pool, 2, start);
    EXPECT_TRUE(pool.acquire_slot(start + reuse_delay));
    EXPECT_TRUE(longest_idle->closed);
    EXPECT_FALSE(younger->closed);
    EXPECT_EQ(pool.take_ready(1, start + milliseconds(11)), younger);
    EXPECT_FALSE(pool.acquire_slot(start + reuse_delay));
    EXPECT_EQ(pool.open_count(), 2U);
}

// Guards against a duplicate response that goes unnoticed on a connection closed to free its slot.
TEST(ConnectionPool, NoticesADuplicateResponseOnTheOneClosedAtTheLimit) {
    ConnectionPool pool({1});
    add_idle_connection(pool, 1, start)->duplicate_response = true;
    EXPECT_TRUE(pool.acquire_slot(start + milliseconds(2)));
    EXPECT_FALSE(pool.may_keep(1, start + milliseconds(2)));
}

}  // namespace
}  // namespace flaxdoor::net
