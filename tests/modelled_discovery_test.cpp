// The model of discovery itself: its clock, when a change counts as told, and how it answers and fails.
#include "modelled_discovery.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace flaxdoor::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SimulatedClock, RunsEventsInOrderOfTimeThenOfScheduling) {
    SimulatedClock clock;
    const Time start = clock.now();
    std::string order;
    clock.after(milliseconds(2), [&] { order += 'c'; });
    clock.after(milliseconds(1), [&] {
        order += 'a';
        clock.after(milliseconds(1), [&] { order += 'd'; });
    });
    clock.after(milliseconds(1), [&] { order += 'b'; });
    clock.after(milliseconds(9), [&] { order += 'x'; });
    clock.run_for(milliseconds(5));
    EXPECT_EQ(order, "abcd");
    EXPECT_EQ(clock.now(), start + milliseconds(5));
}

TEST(ToldRecord, CountsAChangeAsToldByWhatTheClientHeardAndHowItLostItsWatch) {
    using Cause = ToldRecord::Cause;
    const Time start = seconds(100), lost = seconds(110), made = lost + milliseconds(500);
    const ToldTerms terms;
    const DrainChange change{2, made, made, 1};
    const auto watched_until_lost = [&](Cause cause) {
        ToldRecord record(start);
        record.list_delivered(start, 1);
        record.watch_began(start);
        record.watch_lost(lost, cause);
        return record;
    };
    EXPECT_EQ(ToldRecord(start).told_at(change, terms), made + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::discovery_down).told_at(change, terms), made + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::ended).told_at(change, terms), lost + seconds(2));
    EXPECT_EQ(watched_until_lost(Cause::fell_silent).told_at(change, terms), lost + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::moved).told_at(change, terms), lost + seconds(4));

    ToldRecord excused = watched_until_lost(Cause::ended);
    excused.call_failed(lost + seconds(1));
    EXPECT_EQ(excused.told_at(change, terms), made + seconds(6));
    ToldRecord excused_too_late = watched_until_lost(Cause::ended);
    excused_too_late.call_failed(lost + seconds(3));
    EXPECT_EQ(excused_too_late.told_at(change, terms), lost + seconds(2));

    ToldRecord answered = watched_until_lost(Cause::ended);
    answered.list_delivered(lost + seconds(1), 2);
    answered.watch_began(lost + seconds(1));
    EXPECT_EQ(answered.told_at(change, terms), lost + seconds(1));
    const DrainChange made_while_down{2, made, made + seconds(9), 1};
    EXPECT_EQ(ToldRecord(start).told_at(made_while_down, terms), made + seconds(15));
}

// Calls at once and writes down what it hears.
class RecordingClient : public DiscoveryClient {
public:
    explicit RecordingClient(SimulatedClock& clock) : clock_(clock) {}
    void on_list(ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t) override {
        heard.push_back({kind, clock_.now(), entries.size()});
    }

    struct Heard {
        ListKind kind;
        Time at;
        std::size_t entries;
    };
    std::vector<Heard> heard;

private:
    SimulatedClock& clock_;
};

// Four calls at once, at one call a second and a time-out of 2 s; a fifth 2.5 s later.
std::vector<RecordingClient::Heard> heard_under(Overload overload) {
    SimulatedClock clock;
    DiscoverySettings settings;
    settings.calls_per_s = 1;
    settings.overload = overload;
    ModelledDiscovery discovery(clock, settings, upstreams_for(1));
    std::vector<RecordingClient> clients(5, RecordingClient(clock));
    for (RecordingClient& each : clients) discovery.add_client(each);
    const Time start = clock.now();
    for (int client = 0; client < 4; ++client) discovery.call(client);
    clock.run_for(milliseconds(2500));
    discovery.call(4);
    clock.run_for(seconds(10));
    std::vector<RecordingClient::Heard> heard;
    for (const RecordingClient& each : clients) {
        EXPECT_EQ(each.heard.size(), 1u);
        if (each.heard.empty()) return {};
        heard.push_back(each.heard[0]);
        heard.back().at -= start;
    }
    return heard;
}

TEST(ModelledDiscovery, RefusesAtOnceWhatWouldWaitTooLong) {
    const auto heard = heard_under(Overload::refuse_at_once);
    ASSERT_EQ(heard.size(), 5u);
    EXPECT_EQ(heard[0].at, seconds(1));
    EXPECT_EQ(heard[1].at, seconds(2));
    EXPECT_EQ(heard[1].kind, ListKind::full);
    for (const int late : {2, 3}) {
        EXPECT_EQ(heard[static_cast<std::size_t>(late)].kind, ListKind::failed);
        EXPECT_EQ(heard[static_cast<std::size_t>(late)].at, milliseconds(5));
    }
    EXPECT_EQ(heard[4].kind, ListKind::full);  // nothing is before it
    EXPECT_EQ(heard[4].at, milliseconds(3500));
}

TEST(ModelledDiscovery, WorksOffWhatHasTimedOut) {
    const auto heard = heard_under(Overload::work_off);
    ASSERT_EQ(heard.size(), 5u);
    EXPECT_EQ(heard[1].at, seconds(2));
    EXPECT_EQ(heard[1].kind, ListKind::full);
    for (const int late : {2, 3}) {
        EXPECT_EQ(heard[static_cast<std::size_t>(late)].kind, ListKind::failed);
        EXPECT_EQ(heard[static_cast<std::size_t>(late)].at, seconds(2));
    }
    EXPECT_EQ(heard[4].kind, ListKind::failed);  // the two that failed are before it
    EXPECT_EQ(heard[4].at, milliseconds(4500));
}

TEST(ModelledDiscovery, TellsDrainsAndLeavesThemOutOfWholeLists) {
    SimulatedClock clock;
    ModelledDiscovery discovery(clock, {}, upstreams_for(1));
    RecordingClient watching(clock), calling_later(clock);
    discovery.add_client(watching);
    discovery.add_client(calling_later);
    discovery.call(0);
    clock.run_for(seconds(1));
    discovery.drain({1, 2});
    discovery.call(1);
    clock.run_for(seconds(1));
    ASSERT_EQ(watching.heard.size(), 2u);
    EXPECT_EQ(watching.heard[0].entries, 12u);
    EXPECT_EQ(watching.heard[1].kind, ListKind::delta);
    EXPECT_EQ(watching.heard[1].entries, 2u);
    ASSERT_EQ(calling_later.heard.size(), 1u);
    EXPECT_EQ(calling_later.heard[0].entries, 10u);
}

TEST(ModelledDiscovery, EndsWatchesAndLetsCallsHangWhileItIsDown) {
    SimulatedClock clock;
    ModelledDiscovery discovery(clock, {}, upstreams_for(1));
    RecordingClient client(clock);
    discovery.add_client(client);
    discovery.call(0);
    clock.run_for(seconds(1));
    const Time down = clock.now();
    discovery.go_down();
    discovery.call(0);
    clock.run_for(milliseconds(500));
    discovery.come_back();
    clock.run_for(seconds(5));
    ASSERT_EQ(client.heard.size(), 3u);
    EXPECT_EQ(client.heard[1].kind, ListKind::failed);
    EXPECT_EQ(client.heard[1].at, down);
    EXPECT_EQ(client.heard[2].kind, ListKind::failed);
    EXPECT_EQ(client.heard[2].at, down + seconds(2));
}

TEST(ModelledDiscovery, ReportsASilentWatchAfterItsLastWord) {
    SimulatedClock clock;
    ModelledDiscovery discovery(clock, {}, upstreams_for(1));
    RecordingClient client(clock);
    discovery.add_client(client);
    discovery.call(0);
    clock.run_for(milliseconds(5000));  // the last word came a second ago
    ASSERT_EQ(client.heard.size(), 1u);
    discovery.silence_watches();
    discovery.drain({1});
    clock.run_for(seconds(10));
    ASSERT_EQ(client.heard.size(), 2u);
    EXPECT_EQ(client.heard[1].kind, ListKind::silent);
    EXPECT_EQ(client.heard[1].at, client.heard[0].at + seconds(4) + watch_idle_timeout);
}

}  // namespace
}  // namespace flaxdoor::test
