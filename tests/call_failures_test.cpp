// What the log says of failed calls: times are passed in, so that nothing waits.
#include "net/call_failures.h"

#include <gtest/gtest.h>

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CallFailures::TimePoint at(milliseconds time) { return CallFailures::TimePoint(seconds(1000) + time); }

CallFailure after(milliseconds wait, CallError error) { return {error, wait}; }

TEST(CallFailures, AnAnswerWithoutAFailureIsNotLogged) {
    CallFailures failures;
    EXPECT_EQ(failures.answered(at(milliseconds(0))), std::nullopt);
}

TEST(CallFailures, TheFirstIsLoggedAtOnceWithItsWait) {
    CallFailures failures;
    const auto line =
        failures.failed(at(milliseconds(0)), "watch", after(milliseconds(2001), CallError::turned_away));
    EXPECT_EQ(line, "discovery: watch failed: turned away after 2.001 s");
}

TEST(CallFailures, TheFirstTellsTheDetailWhereThereIsOne) {
    CallFailures failures;
    const auto line =
        failures.failed(at(milliseconds(0)), "call",
                        CallFailure{CallError::malformed_list, milliseconds(4), "unknown health: nowhere"});
    EXPECT_EQ(line, "discovery: call failed: malformed list after 0.004 s: unknown health: nowhere");
}

TEST(CallFailures, TheEndTellsEachCauseWithItsCountAndWaits) {
    CallFailures failures;
    failures.failed(at(milliseconds(0)), "watch", after(milliseconds(2001), CallError::turned_away));
    const auto unlogged = {after(milliseconds(4), CallError::turned_away),
                           after(milliseconds(500), CallError::turned_away),
                           after(milliseconds(3000), CallError::silence)};
    auto time = milliseconds(0);
    for (const auto& failure : unlogged) {
        EXPECT_EQ(failures.failed(at(time += milliseconds(1000)), "watch", failure), std::nullopt);
    }
    EXPECT_EQ(failures.answered(at(milliseconds(7203))),
              "discovery: answers again after 4 failed calls in 7.203 s: "
              "turned away 3 (0.004 to 2.001 s), silence 1 (3.000 s)");
}

TEST(CallFailures, ASpellThatHasEndedCountsNoMore) {
    CallFailures failures;
    failures.failed(at(milliseconds(0)), "watch", after(milliseconds(3000), CallError::silence));
    failures.answered(at(milliseconds(10)));
    EXPECT_EQ(failures.answered(at(milliseconds(20))), std::nullopt);
    EXPECT_EQ(
        failures.failed(at(milliseconds(30)), "watch", after(milliseconds(1), CallError::no_connection)),
        "discovery: watch failed: no connection after 0.001 s");
    EXPECT_EQ(failures.answered(at(milliseconds(50))),
              "discovery: answers again after 1 failed call in 0.020 s: no connection 1 (0.001 s)");
}

// A discovery that is down for an hour, called ten times a second: one line every 5 s, and no memory that
// grows with the calls.
TEST(CallFailures, ALongSpellIsSummedUpEveryFiveSeconds) {
    CallFailures failures;
    std::size_t lines = 0;
    for (auto time = milliseconds(0); time < std::chrono::hours(1); time += milliseconds(100)) {
        const auto line =
            failures.failed(at(time), "watch", after(milliseconds(1), CallError::no_connection));
        lines += line.has_value();
    }
    EXPECT_EQ(lines, 720U);  // the first and a summary every 5 s after it
}

TEST(CallFailures, ASummaryTellsTheSingleWaitsOfTheFirstEight) {
    CallFailures failures;
    for (int i = 0; i < 10; ++i) {
        const auto line = failures.failed(at(milliseconds(100 * i)), "watch",
                                          after(milliseconds(10 * i + 1), CallError::unanswered));
        EXPECT_EQ(line.has_value(), i == 0);
    }
    EXPECT_EQ(failures.failed(at(milliseconds(5000)), "watch",
                              after(milliseconds(3000), CallError::connect_timeout)),
              "discovery: no answer yet after 11 failed calls in 5.000 s: "
              "ended unanswered 10 (0.001 to 0.091 s), no connection in time 1 (3.000 s); "
              "the first waited 0.001, 0.011, 0.021, 0.031, 0.041, 0.051, 0.061, 0.071 s");
}

}  // namespace
}  // namespace flaxdoor::net
