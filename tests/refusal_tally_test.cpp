// What the log says of attempts that were turned away as full.
#include "net/refusal_tally.h"

#include <gtest/gtest.h>

#include <chrono>

namespace flaxdoor::net {
namespace {

using std::chrono::milliseconds;

TEST(RefusalTally, SaysNothingWhereThereWereNone) { EXPECT_EQ(RefusalTally().take_text(), ""); }

TEST(RefusalTally, TellsOneUpstreamFromManyAndHowLittleTimeWasLeft) {
    RefusalTally tally;
    for (int i = 0; i < 3; ++i) tally.count(0xab, milliseconds(400));
    tally.count(0xcd, milliseconds(12));
    EXPECT_EQ(tally.take_text(), "turned away as full 4 (at 2 upstreams, 3 at ab, least left 12 ms)");
}

TEST(RefusalTally, BeginsAnewOnceItWasTaken) {
    RefusalTally tally;
    tally.count(1, milliseconds(5));
    tally.take_text();
    EXPECT_EQ(tally.take_text(), "");
    tally.count(2, milliseconds(9));
    EXPECT_EQ(tally.take_text(), "turned away as full 1 (at 1 upstreams, 1 at 2, least left 9 ms)");
}

TEST(RefusalTally, NamesTheSameUpstreamWhereSeveralHaveTheMost) {
    RefusalTally tally;
    for (const UpstreamId upstream : {7, 9, 8}) tally.count(upstream, milliseconds(1));
    EXPECT_EQ(tally.take_text(), "turned away as full 3 (at 3 upstreams, 1 at 9, least left 1 ms)");
}

}  // namespace
}  // namespace flaxdoor::net
