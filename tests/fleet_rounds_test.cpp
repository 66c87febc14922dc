// Tests how many rounds of calls a fleet needs until all instances have the newest list, if discovery
// processes calls that have timed out and a round (one call of each instance) takes longer than a call's
// time-out.
//
// No response reveals how long a round takes, so the fleet calls in rounds at fixed times, which suit rounds
// of 1 to 20 s. docs/CAPACITY.md derives the bounds from these times.
#include <gtest/gtest.h>

#include <vector>

#include "fleet_fixture.h"

namespace flaxdoor::test {
namespace {

// Applies if all instances lose their watches at about the same time and call in the order of their ranks.
constexpr int rounds_after_lost_watches = 6;
// Instances detect silence up to 2 s apart, so a small fleet may need one round more.
constexpr int rounds_after_silence = 7;

// Applies if instances start while discovery is down. They cannot distinguish the overload after its recovery
// from the outage, and their back-off grows to a quarter of the time that has passed.
int rounds_after_start(Micros round_duration) {
    if (round_duration <= seconds(3)) return 2;  // each calls once in 4.35 s, which is no overload
    if (round_duration <= seconds(8)) return 10;
    return round_duration <= seconds(13) ? 16 : 20;
}

class FleetInRoundsOfCalls : public FleetBeforeDiscovery {
protected:
    Micros newest_list_bound() const override {
        return max_rounds * GetParam().round_duration + DiscoverySettings{}.call_timeout + backoff_allowance;
    }

    int max_rounds = rounds_after_lost_watches;
};

TEST_P(FleetInRoundsOfCalls, DownAtTheStartThenUpstreamsDrain) {
    max_rounds = rounds_after_start(GetParam().round_duration);
    run_down_at_the_start();
}

TEST_P(FleetInRoundsOfCalls, WatchesEndTwiceInsteadOfTelling) { run_watches_end_twice(); }

TEST_P(FleetInRoundsOfCalls, MoveThenUpstreamsDrain) { run_move(); }

TEST_P(FleetInRoundsOfCalls, WatchesFallSilentThenUpstreamsDrain) {
    max_rounds = rounds_after_silence;
    run_watches_fall_silent();
}

// Returns the cases. Those of 350 instances have one grace only, because they are slow to run; those of 12
// have several seeds, because there one call takes nearly as long as its time-out.
std::vector<FleetCase> round_cases() {
    constexpr std::uint64_t small_fleet_seeds = 5;
    std::vector<FleetCase> all;
    for (const Micros round_duration : {seconds(3), seconds(8), seconds(13), seconds(20)}) {
        for (const Micros drain_grace : {milliseconds(500), milliseconds(2000)}) {
            for (std::uint64_t seed = 1; seed <= small_fleet_seeds; ++seed) {
                all.push_back({12, drain_grace, round_duration, OverloadHandling::process_timed_out, seed});
            }
            all.push_back({30, drain_grace, round_duration, OverloadHandling::process_timed_out, 1});
            all.push_back({60, drain_grace, round_duration, OverloadHandling::process_timed_out, 1});
        }
        all.push_back({350, milliseconds(500), round_duration, OverloadHandling::process_timed_out, 1});
    }
    return all;
}

constexpr FleetCase largest{900, milliseconds(500), seconds(8), OverloadHandling::process_timed_out, 1};

INSTANTIATE_TEST_SUITE_P(Rounds, FleetInRoundsOfCalls, testing::ValuesIn(round_cases()), param_name);
INSTANTIATE_TEST_SUITE_P(LargestFleet, FleetInRoundsOfCalls, testing::Values(largest), param_name);

}  // namespace
}  // namespace flaxdoor::test
