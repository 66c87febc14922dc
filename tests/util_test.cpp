// The helpers that the decision module counts with.
#include <gtest/gtest.h>

#include "util/decay.h"
#include "util/random.h"
#include "util/running_average.h"
#include "util/slot_table.h"
#include "util/timer_token.h"
#include "util/token_bucket.h"

namespace flaxdoor::util {
namespace {

using std::chrono::seconds;

TEST(Random, GivesTheNumbersOfSplitMix64) {
    Random random(0);
    EXPECT_EQ(random.next(), 0xe220a8397b1dcdafULL);  // the reference values for seed 0
    EXPECT_EQ(random.next(), 0x6e789e6aa1b965f4ULL);
}

TEST(Random, StaysWithinItsBounds) {
    Random random(7);
    std::size_t seen[5] = {};
    for (int i = 0; i < 5000; ++i) {
        const std::size_t number = random.below(5);
        ASSERT_LT(number, 5U);
        ++seen[number];
        const double unit = random.unit();
        ASSERT_GE(unit, 0.0);
        ASSERT_LT(unit, 1.0);
    }
    for (const std::size_t count : seen) EXPECT_NEAR(static_cast<double>(count), 1000, 150);
}

TEST(Decay, AnAverageFadesToAThirdInItsSpanAndMovesToItsSamples) {
    FadingAverage average;
    average.learn(1, 1, seconds(10), 1e6);
    EXPECT_DOUBLE_EQ(average.now(seconds(10), 1e6), 1);
    EXPECT_NEAR(average.now(seconds(11), 1e6), 0.3679, 1e-4);
    average.learn(1, 0.5, seconds(11), 1e6);
    EXPECT_NEAR(average.now(seconds(11), 1e6), 0.6839, 1e-4);
}

TEST(Decay, ASumFadesToAThirdInItsSpanAndTakesAmountsWhole) {
    FadingSum sum;
    sum.add(2, seconds(10), 1e6);
    sum.add(1, seconds(11), 1e6);
    EXPECT_NEAR(sum.now(seconds(11), 1e6), 1.7358, 1e-4);
}

TEST(SlotTable, SlotsAreUsedAgainAndRecordsStayAsTheyWereLeft) {
    SlotTable<int> table;
    const std::size_t first = table.insert(70);
    table[first] = 5;
    EXPECT_EQ(table.find(70), first);
    EXPECT_EQ(table.find(71), SlotTable<int>::none);
    table.erase(70);
    table.erase(70);
    EXPECT_EQ(table.find(70), SlotTable<int>::none);
    EXPECT_EQ(table.insert(71), first);
    EXPECT_EQ(table[first], 5);
    EXPECT_NE(table.insert(72), first);
    EXPECT_EQ(table.size(), 2U);
}

TEST(TimerToken, UnpacksToWhatWasPacked) {
    const auto [kind, slot, serial] = TimerToken::unpack(TimerToken{3, 0x0ffffff1, 0xfffffff2U}.pack());
    EXPECT_EQ(kind, 3U);
    EXPECT_EQ(slot, 0x0ffffff1U);
    EXPECT_EQ(serial, 0xfffffff2U);
}

TEST(Decay, SpansBecomeNumbersAndAreRoundedBack) {
    EXPECT_DOUBLE_EQ(us(seconds(2)), 2e6);
    EXPECT_EQ(micros(1.6), Micros(2));
}

TEST(RunningAverage, CountsAllSamplesAlikeAtFirstAndForgetsOldOnesLater) {
    RunningAverage average;
    for (const double sample : {4.0, 8.0}) average.learn(sample, 0.25);
    EXPECT_DOUBLE_EQ(average.value, 6);
    for (int i = 0; i < 100; ++i) average.learn(2, 0.25);
    EXPECT_NEAR(average.value, 2, 1e-9);
    average.learn(6, 0.25);
    EXPECT_NEAR(average.value, 3, 1e-9);
}

TEST(RunningDeviation, StartsAtHalfTheFirstSampleAndTakesEachBeforeTheMeanMoves) {
    RunningDeviation latency;
    latency.learn(8, 0.25);
    EXPECT_DOUBLE_EQ(latency.mean.value, 8);
    EXPECT_DOUBLE_EQ(latency.deviation, 4);
    latency.learn(2, 0.25);
    EXPECT_DOUBLE_EQ(latency.mean.value, 5);
    EXPECT_DOUBLE_EQ(latency.deviation, 5);  // 4, then half of the way to 8 - 2
}

TEST(TokenBucket, FillsToItsMost) {
    TokenBucket bucket;
    EXPECT_FALSE(bucket.fill(0.5, 3, seconds(1)));
    EXPECT_TRUE(bucket.fill(0.5, 3, seconds(2)));
    EXPECT_TRUE(bucket.fill(100, 3, seconds(3)));
    EXPECT_DOUBLE_EQ(bucket.tokens, 3);
    EXPECT_EQ(bucket.filled_at, seconds(3));
}

}  // namespace
}  // namespace flaxdoor::util
