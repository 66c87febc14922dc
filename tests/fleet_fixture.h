// The fleet before a modelled discovery that the tests of whole fleets share: its cases, the events that have
// all instances call, and what every run is held to.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "modelled_discovery.h"

namespace flaxdoor::test {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Micros slack = milliseconds(50);
// Instances call one after another at the start, over 5 s at most; by then all of them watch.
inline constexpr Micros settling = seconds(6);
inline constexpr double settling_calls_per_s = 100'000;
// Beyond one call for each instance and its time-out: gaps between calls.
inline constexpr Micros call_gaps = seconds(2);

struct Case {
    int instances;
    Micros drain_grace;
    Micros serve_all;  // time in which discovery answers one call of each instance
    Overload overload;
    std::uint64_t seed;
};

inline std::string name_of(const Case& c) {
    const bool refuses = c.overload == Overload::refuse_at_once;
    return std::to_string(c.instances) + "_instances_grace_" +
           std::to_string(c.drain_grace / milliseconds(1)) + "_ms_served_in_" +
           std::to_string(c.serve_all / seconds(1)) + "_s_" + (refuses ? "refusing" : "working_off") +
           "_seed_" + std::to_string(c.seed);
}
inline void PrintTo(const Case& c, std::ostream* out) { *out << name_of(c); }

class FleetBeforeDiscovery : public testing::TestWithParam<Case> {
protected:
    void start(bool ends_instead_of_telling, bool up = true) {
        const Case& c = GetParam();
        DiscoverySettings settings;
        settings.overload = c.overload;
        settings.ends_instead_of_telling = ends_instead_of_telling;
        settings.while_down = while_down;
        settings.calls_per_s = up ? settling_calls_per_s : calls_per_s();
        discovery = std::make_unique<ModelledDiscovery>(clock, settings, upstreams_for(c.instances));
        if (!up) discovery->go_down();
        FleetSettings fleet_settings;
        fleet_settings.instances = c.instances;
        fleet_settings.drain_grace = c.drain_grace;
        fleet_settings.seed = c.seed;
        fleet = std::make_unique<ModelledFleet>(clock, *discovery, fleet_settings);
        began = clock.now();
    }

    // Has all instances watch before discovery gets the capacity of the case.
    void settle() {
        clock.run_for(settling);
        ASSERT_TRUE(discovery->all_watching());
        discovery->set_calls_per_s(calls_per_s());
    }

    double calls_per_s() const {
        return GetParam().instances / duration_cast<duration<double>>(GetParam().serve_all).count();
    }

    // A sixth of the upstreams, other ones each time, of both zones.
    void drain_some() {
        const std::size_t count = discovery->upstreams().size() / 6;
        std::vector<UpstreamId> ids;
        for (std::size_t i = 0; i < count; ++i) ids.push_back(++last_drained);
        discovery->drain(ids);
    }

    // Small shifts of the times of events, one for each seed.
    Micros shift() const { return milliseconds(130) * static_cast<Micros::rep>(GetParam().seed); }

    // From the last event that has instances call, to the newest list at all of them. Where calls that have
    // timed out are worked off all the same, one round of calls may be worked off in vain.
    virtual Micros news_bound() const {
        const int rounds = GetParam().overload == Overload::work_off ? 2 : 1;
        return rounds * slowed * GetParam().serve_all + DiscoverySettings{}.call_timeout + call_gaps;
    }

    // From the return of discovery to an answer for every instance: a round of calls, and the gap before it.
    Micros service_bound() const { return GetParam().serve_all + call_gaps; }

    // Discovery is down as the instances start; upstreams drain soon after its return.
    void down_at_the_start() {
        start(true, false);
        clock.run_until(began + seconds(6));
        discovery->come_back();
        for (const Micros after_return : {milliseconds(700), milliseconds(1900), milliseconds(3200)}) {
            clock.run_until(began + seconds(6) + after_return + shift());
            drain_some();
        }
        judge(clock.now());
    }

    // Watches end twice, a second apart, instead of telling that upstreams drain.
    void watches_end_twice() {
        start(true);
        ASSERT_NO_FATAL_FAILURE(settle());
        drain_some();
        clock.run_for(seconds(1) + shift());
        drain_some();
        judge(clock.now());
    }

    // Instances hear of the move one after another; upstreams drain meanwhile and after it.
    void moves() {
        constexpr Micros span = seconds(3);
        start(false);
        ASSERT_NO_FATAL_FAILURE(settle());
        discovery->move(span);
        clock.run_for(span / 2 + shift());
        drain_some();
        clock.run_until(began + settling + span + milliseconds(100));
        drain_some();
        judge(clock.now());
    }

    void watches_fall_silent() {
        start(false);
        ASSERT_NO_FATAL_FAILURE(settle());
        clock.run_for(shift());
        discovery->silence_watches();
        const Time silent = clock.now();
        clock.run_for(milliseconds(100));
        drain_some();
        clock.run_for(seconds(1));
        drain_some();
        judge(silent + watch_idle_timeout);  // hosts have noticed it by then
    }

    // Runs on till every list should be there and every grace over, and judges the whole run.
    void judge(Time last_event) {
        const Micros told_and_over = ToldTerms{}.at_most + GetParam().drain_grace + seconds(1);
        clock.run_until(std::max(clock.now() + told_and_over, last_event + news_bound()));
        judge_drains();
        judge_news(last_event);
        judge_service();
    }

    void judge_drains() {
        int late_submits = 0, late_send_bys = 0;
        Micros latest_submit{}, latest_send_by{};
        std::vector<int> instances;
        for (const DrainBreach& each : fleet->drain_breaches(slack)) {
            const bool submit = each.kind == DrainBreach::Kind::submit;
            ++(submit ? late_submits : late_send_bys);
            Micros& latest = submit ? latest_submit : latest_send_by;
            latest = std::max(latest, each.late_by);
            if (submit) instances.push_back(each.instance);
        }
        instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
        RecordProperty("late_submits", late_submits);
        RecordProperty("late_submit_instances", static_cast<int>(instances.size()));
        RecordProperty("latest_submit_ms", static_cast<int>(latest_submit / milliseconds(1)));
        RecordProperty("late_send_bys", late_send_bys);
        RecordProperty("latest_send_by_ms", static_cast<int>(latest_send_by / milliseconds(1)));
        EXPECT_EQ(late_submits, 0) << "of " << fleet->submits() << ", by " << instances.size()
                                   << " instances, up to " << latest_submit / milliseconds(1) << " ms late";
        EXPECT_EQ(late_send_bys, 0) << "up to " << latest_send_by / milliseconds(1) << " ms late";
    }

    void judge_news(Time last_event) {
        const auto heard = discovery->newest_heard_by_all_at();
        RecordProperty("news_ms", heard ? static_cast<int>((*heard - last_event) / milliseconds(1)) : -1);
        RecordProperty("calls_failed", static_cast<int>(discovery->calls_failed()));
        ASSERT_TRUE(heard) << "some have not heard it; " << discovery->calls_failed() << " of "
                           << discovery->calls_made() << " calls failed";
        EXPECT_LE((*heard - last_event) / milliseconds(1), news_bound() / milliseconds(1));
    }

    void judge_service() {
        RecordProperty("turned_away", static_cast<int>(fleet->turned_away()));
        RecordProperty("longest_pause_ms", static_cast<int>(fleet->longest_pause(began) / milliseconds(1)));
        if (slowed * GetParam().serve_all > seconds(1)) return;
        EXPECT_EQ(fleet->turned_away(), 0u)
            << "longest pause: " << fleet->longest_pause(began) / milliseconds(1) << " ms";
    }

    SimulatedClock clock;
    std::unique_ptr<ModelledDiscovery> discovery;
    std::unique_ptr<ModelledFleet> fleet;
    Time began{};
    UpstreamId last_drained = 0;
    CallWhileDown while_down = CallWhileDown::hangs;
    int slowed = 1;  // times as long as the case says, for a round of calls
};

inline std::string param_name(const testing::TestParamInfo<Case>& info) { return name_of(info.param); }

}  // namespace flaxdoor::test
