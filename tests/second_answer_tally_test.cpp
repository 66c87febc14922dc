// The log summary of duplicate responses.
#include "net/second_answer_tally.h"

#include <gtest/gtest.h>

#include <chrono>

namespace flaxdoor::net {
namespace {

using std::chrono::milliseconds;

TEST(SecondAnswerTally, SaysNothingWhereThereWereNone) { EXPECT_EQ(SecondAnswerTally().take_text(), ""); }

TEST(SecondAnswerTally, TellsHowLateTheyCameAndTheLatest) {
    SecondAnswerTally tally;
    tally.count(Micros{0});
    tally.count(Micros{1});
    tally.count(milliseconds(1));
    tally.count(Micros{1001});
    tally.count(milliseconds(5));
    tally.count(milliseconds(10));
    tally.count(milliseconds(99));
    tally.count(milliseconds(250));
    EXPECT_EQ(
        tally.take_text(),
        "duplicate responses 8 (immediate 1, within 1 ms 2, 2 ms 1, 5 ms 1, 10 ms 1, 100 ms 1, later 1, "
        "max 250.0 ms)");
}

TEST(SecondAnswerTally, BeginsAnewOnceItWasTaken) {
    SecondAnswerTally tally;
    tally.count(milliseconds(3));
    tally.take_text();
    EXPECT_EQ(tally.take_text(), "");
    tally.count(milliseconds(1));
    EXPECT_EQ(
        tally.take_text(),
        "duplicate responses 1 (immediate 0, within 1 ms 1, 2 ms 0, 5 ms 0, 10 ms 0, 100 ms 0, later 0, "
        "max 1.0 ms)");
}

}  // namespace
}  // namespace flaxdoor::net
