// The log summary of attempts rejected by upstreams.
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
    EXPECT_EQ(tally.take_text(), "rejected 4 (by 2 upstreams, most 3 by ab, least time left 12 ms)");
}

TEST(RefusalTally, BeginsAnewOnceItWasTaken) {
    RefusalTally tally;
    tally.count(1, milliseconds(5));
    tally.take_text();
    EXPECT_EQ(tally.take_text(), "");
    tally.count(2, milliseconds(9));
    EXPECT_EQ(tally.take_text(), "rejected 1 (by 1 upstreams, most 1 by 2, least time left 9 ms)");
}

TEST(RefusalTally, NamesTheSameUpstreamWhereSeveralHaveTheMost) {
    RefusalTally tally;
    for (const UpstreamId upstream : {7, 9, 8}) tally.count(upstream, milliseconds(1));
    EXPECT_EQ(tally.take_text(), "rejected 3 (by 3 upstreams, most 1 by 9, least time left 1 ms)");
}

}  // namespace
}  // namespace flaxdoor::net
