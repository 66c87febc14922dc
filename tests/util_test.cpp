// Tests of the utilities that the decision module uses.
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

TEST(Random, MatchesSplitMix64) {
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

TEST(Decay, AnAverageDecaysExponentiallyAndMovesTowardsItsSamples) {
    DecayingAverage average;
    average.add_sample(1, 1, seconds(10), 1e6);
    EXPECT_DOUBLE_EQ(average.value_at(seconds(10), 1e6), 1);
    EXPECT_NEAR(average.value_at(seconds(11), 1e6), 0.3679, 1e-4);
    average.add_sample(1, 0.5, seconds(11), 1e6);
    EXPECT_NEAR(average.value_at(seconds(11), 1e6), 0.6839, 1e-4);
}

TEST(Decay, ASumDecaysExponentiallyAndAddsAmountsInFull) {
    DecayingSum sum;
    sum.add(2, seconds(10), 1e6);
    sum.add(1, seconds(11), 1e6);
    EXPECT_NEAR(sum.value_at(seconds(11), 1e6), 1.7358, 1e-4);
}

TEST(SlotTable, SlotsAreReusedWithTheirRecords) {
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

TEST(TimerToken, UnpacksWhatWasPacked) {
    const auto [kind, slot, serial] = TimerToken::unpack(TimerToken{3, 0x0ffffff1, 0xfffffff2U}.pack());
    EXPECT_EQ(kind, 3U);
    EXPECT_EQ(slot, 0x0ffffff1U);
    EXPECT_EQ(serial, 0xfffffff2U);
}

TEST(Decay, DurationsConvertToMicrosecondsAndBackWithRounding) {
    EXPECT_DOUBLE_EQ(us(seconds(2)), 2e6);
    EXPECT_EQ(micros(1.6), Micros(2));
}

TEST(RunningAverage, WeighsSamplesEquallyAtFirstAndExponentiallyLater) {
    RunningAverage average;
    for (const double sample : {4.0, 8.0}) average.add_sample(sample, 0.25);
    EXPECT_DOUBLE_EQ(average.value, 6);
    for (int i = 0; i < 100; ++i) average.add_sample(2, 0.25);
    EXPECT_NEAR(average.value, 2, 1e-9);
    average.add_sample(6, 0.25);
    EXPECT_NEAR(average.value, 3, 1e-9);
}

TEST(RunningDeviation, StartsAtHalfTheFirstSampleAndIsUpdatedBeforeTheMean) {
    RunningDeviation latency;
    latency.add_sample(8, 0.25);
    EXPECT_DOUBLE_EQ(latency.mean.value, 8);
    EXPECT_DOUBLE_EQ(latency.deviation, 4);
    latency.add_sample(2, 0.25);
    EXPECT_DOUBLE_EQ(latency.mean.value, 5);
    EXPECT_DOUBLE_EQ(latency.deviation, 5);  // 4, then half of the way to 8 - 2
}

TEST(TokenBucket, FillsUpToItsCapacity) {
    TokenBucket bucket;
    EXPECT_FALSE(bucket.fill(0.5, 3, seconds(1)));
    EXPECT_TRUE(bucket.fill(0.5, 3, seconds(2)));
    EXPECT_TRUE(bucket.fill(100, 3, seconds(3)));
    EXPECT_DOUBLE_EQ(bucket.tokens, 3);
    EXPECT_EQ(bucket.filled_at, seconds(3));
}

}  // namespace
}  // namespace flaxdoor::util
