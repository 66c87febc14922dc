// Tests the simulated discovery itself: its clock, when a change counts as notified, and how calls are
// answered and fail.
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

TEST(NotificationRecord, DependsOnDeliveriesAndOnHowTheWatchWasLost) {
    using Cause = NotificationRecord::Cause;
    const Time start = seconds(100), lost = seconds(110), made = lost + milliseconds(500);
    const NotificationDelays delays;
    const DrainChange change{2, made, made, 1};
    const auto watched_until_lost = [&](Cause cause) {
        NotificationRecord record(start);
        record.list_delivered(start, 1);
        record.watch_began(start);
        record.watch_lost(lost, cause);
        return record;
    };
    EXPECT_EQ(NotificationRecord(start).notified_at(change, delays), made + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::discovery_down).notified_at(change, delays), made + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::ended).notified_at(change, delays), lost + seconds(2));
    EXPECT_EQ(watched_until_lost(Cause::fell_silent).notified_at(change, delays), lost + seconds(6));
    EXPECT_EQ(watched_until_lost(Cause::moved).notified_at(change, delays), lost + seconds(4));

    NotificationRecord failed_in_time = watched_until_lost(Cause::ended);
    failed_in_time.call_failed(lost + seconds(1));
    EXPECT_EQ(failed_in_time.notified_at(change, delays), made + seconds(6));
    NotificationRecord failed_too_late = watched_until_lost(Cause::ended);
    failed_too_late.call_failed(lost + seconds(3));
    EXPECT_EQ(failed_too_late.notified_at(change, delays), lost + seconds(2));

    NotificationRecord reconnected = watched_until_lost(Cause::ended);
    reconnected.list_delivered(lost + seconds(1), 2);
    reconnected.watch_began(lost + seconds(1));
    EXPECT_EQ(reconnected.notified_at(change, delays), lost + seconds(1));
    const DrainChange made_while_down{2, made, made + seconds(9), 1};
    EXPECT_EQ(NotificationRecord(start).notified_at(made_while_down, delays), made + seconds(15));
}

// Records everything received from discovery.
class RecordingClient : public DiscoveryClient {
public:
    explicit RecordingClient(SimulatedClock& clock) : clock_(clock) {}
    void on_list(ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t) override {
        received.push_back({kind, clock_.now(), entries.size()});
    }

    struct Received {
        ListKind kind;
        Time at;
        std::size_t entries;
    };
    std::vector<Received> received;

private:
    SimulatedClock& clock_;
};

// Makes four calls at the same time to a discovery that serves one call a second with a time-out of 2 s, and
// a fifth 2.5 s later. Returns what each client received, at times counted from the first calls.
std::vector<RecordingClient::Received> received_under(OverloadHandling overload) {
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
    std::vector<RecordingClient::Received> received;
    for (const RecordingClient& each : clients) {
        EXPECT_EQ(each.received.size(), 1u);
        if (each.received.empty()) return {};
        received.push_back(each.received[0]);
        received.back().at -= start;
    }
    return received;
}

TEST(ModelledDiscovery, RejectsImmediatelyCallsThatWouldTimeOut) {
    const auto received = received_under(OverloadHandling::reject_immediately);
    ASSERT_EQ(received.size(), 5u);
    EXPECT_EQ(received[0].at, seconds(1));
    EXPECT_EQ(received[1].at, seconds(2));
    EXPECT_EQ(received[1].kind, ListKind::full);
    for (const int late : {2, 3}) {
        EXPECT_EQ(received[static_cast<std::size_t>(late)].kind, ListKind::failed);
        EXPECT_EQ(received[static_cast<std::size_t>(late)].at, milliseconds(5));
    }
    EXPECT_EQ(received[4].kind, ListKind::full);  // no call is queued before it
    EXPECT_EQ(received[4].at, milliseconds(3500));
}

TEST(ModelledDiscovery, ProcessesCallsThatHaveTimedOut) {
    const auto received = received_under(OverloadHandling::process_timed_out);
    ASSERT_EQ(received.size(), 5u);
    EXPECT_EQ(received[1].at, seconds(2));
    EXPECT_EQ(received[1].kind, ListKind::full);
    for (const int late : {2, 3}) {
        EXPECT_EQ(received[static_cast<std::size_t>(late)].kind, ListKind::failed);
        EXPECT_EQ(received[static_cast<std::size_t>(late)].at, seconds(2));
    }
    EXPECT_EQ(received[4].kind, ListKind::failed);  // the two calls that failed are queued before it
    EXPECT_EQ(received[4].at, milliseconds(4500));
}

TEST(ModelledDiscovery, SendsDrainsAndOmitsThemFromFullLists) {
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
    ASSERT_EQ(watching.received.size(), 2u);
    EXPECT_EQ(watching.received[0].entries, 12u);
    EXPECT_EQ(watching.received[1].kind, ListKind::delta);
    EXPECT_EQ(watching.received[1].entries, 2u);
    ASSERT_EQ(calling_later.received.size(), 1u);
    EXPECT_EQ(calling_later.received[0].entries, 10u);
}

TEST(ModelledDiscovery, EndsWatchesAndLetsCallsTimeOutWhileDown) {
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
    discovery.recover();
    clock.run_for(seconds(5));
    ASSERT_EQ(client.received.size(), 3u);
    EXPECT_EQ(client.received[1].kind, ListKind::failed);
    EXPECT_EQ(client.received[1].at, down);
    EXPECT_EQ(client.received[2].kind, ListKind::failed);
    EXPECT_EQ(client.received[2].at, down + seconds(2));
}

TEST(ModelledDiscovery, ReportsASilentWatchAfterItsLastMessage) {
    SimulatedClock clock;
    ModelledDiscovery discovery(clock, {}, upstreams_for(1));
    RecordingClient client(clock);
    discovery.add_client(client);
    discovery.call(0);
    clock.run_for(milliseconds(5000));  // the last message was sent a second ago
    ASSERT_EQ(client.received.size(), 1u);
    discovery.silence_watches();
    discovery.drain({1});
    clock.run_for(seconds(10));
    ASSERT_EQ(client.received.size(), 2u);
    EXPECT_EQ(client.received[1].kind, ListKind::silent);
    EXPECT_EQ(client.received[1].at, client.received[0].at + seconds(4) + watch_idle_timeout);
}

}  // namespace
}  // namespace flaxdoor::test
