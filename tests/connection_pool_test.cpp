// Which idle connection may be reused, at exact times, and the limit on open connections.
#include "net/connection_pool.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

namespace flaxdoor::net {
namespace {

using std::chrono::milliseconds;

constexpr Micros rest = milliseconds(10);
constexpr Time start = std::chrono::hours(1);

// A connection without a socket; releases its slot when it is closed.
class FakeConnection final : public PooledConnection {
public:
    FakeConnection(ConnectionPool& pool, UpstreamId upstream) : pool_(pool), upstream_(upstream) {}

    UpstreamId upstream() const override { return upstream_; }
    bool is_quiet() override { return !ended && !second_answer; }
    bool has_second_answer() override { return second_answer; }
    void close() override {
        if (!closed) pool_.release_slot();
        closed = true;
    }

    bool ended = false;
    bool second_answer = false;
    bool closed = false;

private:
    ConnectionPool& pool_;
    const UpstreamId upstream_;
};

std::shared_ptr<FakeConnection> keep_one(ConnectionPool& pool, UpstreamId upstream, Time now) {
    EXPECT_TRUE(pool.acquire_slot(now));
    auto connection = std::make_shared<FakeConnection>(pool, upstream);
    pool.keep(connection, now);
    return connection;
}

TEST(ConnectionPool, GivesNoneOutBeforeItsRestIsOverHoweverManyRest) {
    for (const int resting : {1, 3, 4, 5, 16}) {
        ConnectionPool pool({64});
        for (int i = 0; i < resting; ++i) keep_one(pool, 1, start);
        EXPECT_FALSE(pool.take(1, start + rest - Micros{1})) << resting;
        EXPECT_TRUE(pool.take(1, start + rest)) << resting;
    }
}

TEST(ConnectionPool, GivesOutTheOneUsedLastOfThoseThatAreReady) {
    ConnectionPool pool({64});
    keep_one(pool, 1, start);
    const auto ready = keep_one(pool, 1, start + milliseconds(1));
    keep_one(pool, 1, start + milliseconds(2));
    EXPECT_EQ(pool.take(1, start + milliseconds(11)), ready);
}

TEST(ConnectionPool, GivesOutNoneThatHasEndedAndCountsIt) {
    ConnectionPool pool({64});
    const auto stands = keep_one(pool, 1, start);
    const auto ended = keep_one(pool, 1, start);
    ended->ended = true;
    EXPECT_EQ(pool.take(1, start + rest), stands);
    EXPECT_TRUE(ended->closed);
    EXPECT_EQ(pool.open(), 1U);
    EXPECT_EQ(pool.take_figures().stale, 1U);
}

TEST(ConnectionPool, CountsWhyNoneWasReady) {
    ConnectionPool pool({64});
    EXPECT_FALSE(pool.take(1, start));
    keep_one(pool, 1, start);
    EXPECT_FALSE(pool.take(1, start));
    EXPECT_FALSE(pool.take(1, start + rest - Micros{1}));
    pool.on_second_answer(1, start, Micros{0});
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(pool.take(1, start + rest));
    const ConnectionPool::Figures figures = pool.take_figures();
    EXPECT_EQ(figures.none_kept, 1U);
    EXPECT_EQ(figures.resting, 2U);
    EXPECT_EQ(figures.single_use, 3U);
    EXPECT_EQ(pool.take_figures().resting, 0U);
}

TEST(ConnectionPool, KeepsNoneOfAnUpstreamThatHasAnsweredTwiceLately) {
    const ConnectionPoolLimits limits{64};
    ConnectionPool pool(limits);
    const auto other_upstream = keep_one(pool, 2, start);
    const auto quiet = keep_one(pool, 1, start);
    keep_one(pool, 1, start)->second_answer = true;
    const Time seen = start + rest;
    EXPECT_FALSE(pool.take(1, seen));
    EXPECT_TRUE(quiet->closed);
    EXPECT_FALSE(other_upstream->closed);
    EXPECT_FALSE(pool.keeps(1, seen + limits.single_use - Micros{1}));
    EXPECT_TRUE(pool.keeps(1, seen + limits.single_use));
    EXPECT_TRUE(pool.keeps(2, seen));
    EXPECT_EQ(
        pool.take_figures().second_answers.take_text(),
        "duplicate responses 1 (immediate 0, within 1 ms 0, 2 ms 0, 5 ms 0, 10 ms 1, 100 ms 0, later 0, "
        "max 10.0 ms)");
}

TEST(ConnectionPool, ClosesTheOneKeptLongestAtTheLimitAndNoneThatIsInUse) {
    ConnectionPool pool({2});
    const auto younger = keep_one(pool, 1, start + milliseconds(1));
    const auto oldest = keep_one(pool, 2, start);
    EXPECT_TRUE(pool.acquire_slot(start + rest));
    EXPECT_TRUE(oldest->closed);
    EXPECT_FALSE(younger->closed);
    EXPECT_EQ(pool.take(1, start + milliseconds(11)), younger);
    EXPECT_FALSE(pool.acquire_slot(start + rest));
    EXPECT_EQ(pool.open(), 2U);
}

// Guards against a duplicate response that goes unnoticed on a connection closed to free its slot.
TEST(ConnectionPool, NoticesASecondAnswerOnTheOneThatMakesRoom) {
    ConnectionPool pool({1});
    keep_one(pool, 1, start)->second_answer = true;
    EXPECT_TRUE(pool.acquire_slot(start + milliseconds(2)));
    EXPECT_FALSE(pool.keeps(1, start + milliseconds(2)));
}

}  // namespace
}  // namespace flaxdoor::net
