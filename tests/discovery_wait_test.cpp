// Tests of how long a discovery call waits for the first byte of its response: many calls run at the same
// time on one loop, each against a discovery of its own. A connection that carries no bytes is a reachability
// check.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "discovery_peers.h"

namespace flaxdoor::test {

namespace {

using Clock = std::chrono::steady_clock;
using net::ListFailure;
using std::chrono::milliseconds;

const std::string empty_line = watch_response_head + chunk("\n");
const char* const full_list = R"({"seq":1,"whole":true,"hosts":[]})";

// A listener that accepts `max_accepts` connections, or any number without one. After that its backlog is
// full, so that further connections aren't established, as with an unreachable machine. Established
// connections stay open.
class LimitedListener {
public:
    LimitedListener(asio::io_context& loop, std::optional<std::size_t> max_accepts)
        : acceptor_(loop), filler_(loop), max_accepts_(max_accepts) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        max_accepts ? acceptor_.listen(0) : acceptor_.listen();
        accept();
    }
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void refuse() { acceptor_.close(); }
    void restore() {
        max_accepts_.reset();
        accept();
    }
    // Frees one place in the backlog without a turn of the loop.
    void free_backlog_slot() { accepted_filler_ = acceptor_.accept(); }

    std::size_t checks() const {
        return static_cast<std::size_t>(std::count_if(
            connections.begin(), connections.end(),
            [](const auto& connection) { return connection->received.empty() && connection->peer_closed; }));
    }

    std::vector<std::shared_ptr<PeerConnection>> connections;  // in the order of their accept

private:
    void accept() {
        if (max_accepts_ && connections.size() == *max_accepts_) return fill();
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            connections.push_back(std::make_shared<PeerConnection>(std::move(socket)));
            connections.back()->start();
            accept();
        });
    }
    void fill() {
        filler_.async_connect(address(), [this](boost::system::error_code error) {
            if (!error) asio::write(filler_, asio::buffer("x", 1), error);  // distinguishes it from a check
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket filler_;
    std::optional<tcp::socket> accepted_filler_;
    std::optional<std::size_t> max_accepts_;
};

// An event of a client: a failure, or a list if `failure` is empty.
struct Report {
    milliseconds at;  // since the call was started
    std::optional<ListFailure> failure;
};

struct Expected {
    std::vector<Report> reports;
    std::size_t checks = 0;
};

constexpr std::optional<std::size_t> unlimited = std::nullopt;  // the machine is always reachable

// One client, the discovery that it calls, the scripted steps and the expected events.
class Scenario final : private net::DiscoveryEvents {
public:
    enum class Call { watch, fetch };

    LimitedListener machine;
    std::unique_ptr<net::Discovery> client;

    Scenario(asio::io_context& loop, std::string name, std::optional<std::size_t> max_accepts,
             int checks = net::max_reachability_checks)
        : machine(loop, max_accepts), name_(std::move(name)), loop_(loop) {
        net::DiscoveryEvents& events = *this;
        client = std::make_unique<net::Discovery>(loop, machine.address(), net::ZoneAndKindNames{}, events,
                                                  checks);
    }

    void start_call(Call kind = Call::watch) {
        call_started_at_ = Clock::now();
        kind == Call::watch ? client->watch() : client->fetch();
    }
    void after(milliseconds delay, std::function<void()> step) {
        auto timer = std::make_shared<asio::steady_timer>(loop_, call_started_at_ + delay);
        timer->async_wait([timer, step = std::move(step)](boost::system::error_code) { step(); });
    }
    void send_after(milliseconds delay, std::string text) {
        after(delay, [this, text = std::move(text)] { machine.connections[0]->send(text); });
    }
    void expect(Expected expected) { expected_ = std::move(expected); }

    void verify() const {
        SCOPED_TRACE(name_);
        EXPECT_EQ(machine.checks(), expected_.checks);
        ASSERT_EQ(reports_.size(), expected_.reports.size());
        for (std::size_t i = 0; i < reports_.size(); ++i) {
            EXPECT_EQ(reports_[i].failure, expected_.reports[i].failure) << i;
            EXPECT_GE(reports_[i].at, expected_.reports[i].at - milliseconds(20)) << i;
            EXPECT_LE(reports_[i].at, expected_.reports[i].at + milliseconds(400)) << i;
        }
    }

private:
    void on_list(net::UpstreamList) override { record({}); }
    void on_list_failed(ListFailure failure) override { record(failure); }
    void record(std::optional<ListFailure> failure) {
        reports_.push_back(
            {std::chrono::duration_cast<milliseconds>(Clock::now() - call_started_at_), failure});
    }

    const std::string name_;
    asio::io_context& loop_;
    Clock::time_point call_started_at_;
    std::vector<Report> reports_;
    Expected expected_;
};

class Scenarios {
public:
    explicit Scenarios(asio::io_context& loop) : loop_(loop) {}

    Scenario& add(const std::string& name, std::optional<std::size_t> max_accepts,
                  int checks = net::max_reachability_checks) {
        return *scenarios_.emplace_back(std::make_unique<Scenario>(loop_, name, max_accepts, checks));
    }
    void verify() const {
        for (const auto& scenario : scenarios_) scenario->verify();
    }

private:
    asio::io_context& loop_;
    std::vector<std::unique_ptr<Scenario>> scenarios_;
};

constexpr Report list_at(milliseconds at) { return {at, std::nullopt}; }
constexpr Report silent_at(milliseconds at) { return {at, ListFailure::silent}; }
constexpr Report failed_at(milliseconds at) { return {at, ListFailure::failed}; }

constexpr auto idle_timeout = std::chrono::duration_cast<milliseconds>(watch_idle_timeout);
constexpr auto check_interval = std::chrono::duration_cast<milliseconds>(net::reachability_check_interval);
constexpr milliseconds during_check = check_interval + milliseconds(500);  // during the first check
constexpr int checks_in_9s = 6;

static_assert(check_interval + net::reachability_check_timeout == idle_timeout);
static_assert(during_check < idle_timeout);

void add_long_waits(Scenarios& scenarios) {
    Scenario& watch = scenarios.add("watch with a response after 4 s", unlimited);
    watch.start_call();
    watch.send_after(milliseconds(4000), empty_line);
    watch.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + idle_timeout)}, 1});

    Scenario& list = scenarios.add("fetch with a response after 4 s", unlimited);
    list.start_call(Scenario::Call::fetch);
    list.send_after(milliseconds(4000), ok_response(full_list));
    list.expect({{list_at(milliseconds(4000))}, 1});

    Scenario& longer =
        scenarios.add("watch with more checks and a response after 9 s", unlimited, checks_in_9s);
    longer.start_call();
    longer.send_after(milliseconds(9000), empty_line);
    longer.expect({{list_at(milliseconds(9000))}, checks_in_9s});
}

void add_unreachable_machines(Scenarios& scenarios) {
    Scenario& watch = scenarios.add("watch, machine becomes unreachable", 1);
    watch.start_call();
    watch.expect({{silent_at(idle_timeout)}, 0});

    Scenario& list = scenarios.add("fetch, machine becomes unreachable", 1);
    list.start_call(Scenario::Call::fetch);
    list.expect({{failed_at(idle_timeout)}, 0});

    Scenario& later = scenarios.add("machine becomes unreachable after a check", 2, checks_in_9s);
    later.start_call();
    later.expect({{silent_at(check_interval + idle_timeout)}, 1});

    Scenario& restored = scenarios.add("machine becomes reachable again during a check", 1);
    restored.start_call();
    restored.after(check_interval + milliseconds(500), [&restored] { restored.machine.restore(); });
    restored.send_after(milliseconds(4000), empty_line);
    restored.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + idle_timeout)}, 1});

    Scenario& refused_check = scenarios.add("port is closed", unlimited);
    refused_check.start_call();
    refused_check.after(check_interval / 2, [&refused_check] { refused_check.machine.refuse(); });
    refused_check.expect({{silent_at(check_interval)}, 0});
}

void add_hung_processes(Scenarios& scenarios) {
    Scenario& watch = scenarios.add("watch, process hangs", unlimited);
    watch.start_call();
    watch.expect({{silent_at(check_interval * net::max_reachability_checks + idle_timeout)},
                  net::max_reachability_checks});

    Scenario& list = scenarios.add("fetch, process hangs", unlimited);
    list.start_call(Scenario::Call::fetch);
    list.expect({{failed_at(check_interval * net::max_reachability_checks + idle_timeout)},
                 net::max_reachability_checks});

    Scenario& three = scenarios.add("three checks, process hangs", unlimited, 3);
    three.start_call();
    three.expect({{silent_at(check_interval * 3 + idle_timeout)}, 3});

    Scenario& none = scenarios.add("no checks, process hangs", unlimited, 0);
    none.start_call();
    none.expect({{silent_at(idle_timeout)}, 0});
}

void add_watches_with_activity(Scenarios& scenarios) {
    Scenario& responded = scenarios.add("watch that has received a line", unlimited);
    responded.start_call();
    responded.send_after(milliseconds(500), empty_line);
    responded.expect({{list_at(milliseconds(500)), silent_at(milliseconds(500) + idle_timeout)}, 0});

    Scenario& head = scenarios.add("watch that has received only the response head", unlimited);
    head.start_call();
    head.send_after(milliseconds(500), watch_response_head);
    head.expect({{silent_at(milliseconds(500) + idle_timeout)}, 0});

    Scenario& response_in_check = scenarios.add("watch that receives a line during a check", 1);
    response_in_check.start_call();
    response_in_check.send_after(during_check, empty_line);
    response_in_check.expect({{list_at(during_check), silent_at(during_check + idle_timeout)}, 0});

    Scenario& port_closed =
        scenarios.add("watch that receives a line during a check, which is then refused", 1);
    port_closed.start_call();
    port_closed.send_after(during_check, empty_line);
    port_closed.after(during_check + milliseconds(100), [&port_closed] { port_closed.machine.refuse(); });
    port_closed.expect({{list_at(during_check), silent_at(during_check + idle_timeout)}, 0});
}

void add_ends_during_a_check(Scenarios& scenarios) {
    Scenario& reset = scenarios.add("reset during a check", 1);
    reset.start_call();
    reset.after(during_check, [&reset] { reset.machine.connections[0]->reset(); });
    reset.expect({{failed_at(during_check)}, 0});

    Scenario& closed = scenarios.add("closed during a check", 1);
    closed.start_call();
    closed.after(during_check, [&closed] { closed.machine.connections[0]->close(); });
    closed.expect({{failed_at(during_check)}, 0});

    Scenario& stopped = scenarios.add("stopped during a check", 1);
    stopped.start_call();
    stopped.after(during_check, [&stopped] { stopped.client->stop(); });
    stopped.expect({});

    Scenario& destroyed = scenarios.add("destroyed during a check", 1);
    destroyed.start_call();
    destroyed.after(during_check, [&destroyed] { destroyed.client.reset(); });
    destroyed.expect({});

    Scenario& restarted = scenarios.add("restarted during a check", 1);
    restarted.start_call();
    restarted.after(during_check, [&restarted] {
        restarted.client->unwatch();
        restarted.client->watch();
    });
    restarted.expect({{{during_check + idle_timeout, ListFailure::unreachable}}, 0});
}

void add_address_change_during_a_check(Scenarios& scenarios, LimitedListener& target) {
    Scenario& moved = scenarios.add("address changed during a check", 1);
    moved.start_call();
    moved.after(during_check, [&moved, &target] {
        EXPECT_TRUE(moved.client->change_address(target.address()));
        moved.client->watch();
    });
    const milliseconds response_at = during_check + milliseconds(500);
    moved.after(response_at, [&target] { target.connections.at(0)->send(empty_line); });
    moved.expect({{list_at(response_at), silent_at(response_at + idle_timeout)}, 0});
}

void run_for(asio::io_context& loop, milliseconds span) {
    loop.restart();
    loop.run_for(span);
}

// Guards against abandoning a call that is queued at discovery as early as a watch that has fallen silent,
// after which the next call joins the end of the queue. That happens when `watch_idle_timeout` limits both. A
// call to an unreachable machine receives nothing either and must still be abandoned after that time.
TEST(DiscoveryWait, ACallStaysOpenWhileItsMachineIsReachable) {
    asio::io_context loop{1};
    {
        LimitedListener target(loop, unlimited);
        Scenarios scenarios(loop);
        add_long_waits(scenarios);
        add_unreachable_machines(scenarios);
        add_hung_processes(scenarios);
        add_watches_with_activity(scenarios);
        add_ends_during_a_check(scenarios);
        add_address_change_during_a_check(scenarios, target);
        run_for(loop, milliseconds(9300));
        scenarios.verify();
    }
    run_for(loop, milliseconds(1000));
    EXPECT_TRUE(loop.stopped()) << "an operation is still pending";
}

// Produces so many events that a delayed loop handles only these in its next turn, and others in a later one.
class EventFlood {
public:
    explicit EventFlood(asio::io_context& loop) {
        for (int i = 0; i < 200; ++i) {
            auto& [here, there] = pairs_.emplace_back(loop, loop);
            asio::local::connect_pair(here, there);
            here.async_receive(asio::buffer(byte_), [](auto, auto) {});
        }
    }
    void trigger() {
        for (auto& [here, there] : pairs_) there.send(asio::buffer("x", 1));
    }

private:
    using Socket = asio::local::datagram_protocol::socket;
    std::list<std::pair<Socket, Socket>> pairs_;
    std::array<char, 1> byte_{};
};

// Time from `during_check`, when the loop is blocked, until the system has retransmitted the lost SYN of the
// check, which it does 1 s after the first one.
constexpr milliseconds until_syn_retransmit =
    check_interval + milliseconds(1000) - during_check + milliseconds(300);
constexpr milliseconds blocked_for(1950);
constexpr milliseconds response_at = during_check + blocked_for + milliseconds(200);
// Start of a call whose check is due just after the block begins and whose time limit expires before it ends.
constexpr milliseconds due_call_start = during_check - check_interval + milliseconds(100);

static_assert(due_call_start + idle_timeout < during_check + blocked_for);

// In whatever order a delayed loop handles its events, it abandons no call that has received data in the
// meantime, whose check has succeeded, or whose check could not yet start.
TEST(DiscoveryWait, ADelayedLoopAbandonsNoCall) {
    asio::io_context loop{1};
    EventFlood event_flood(loop);
    Scenarios scenarios(loop);
    Scenario& check_succeeds = scenarios.add("check succeeds", 1);
    check_succeeds.start_call();
    check_succeeds.send_after(response_at, empty_line);
    check_succeeds.expect({{list_at(response_at)}, 0});

    Scenario& responded = scenarios.add("response comes, check does not connect", 1);
    responded.start_call();
    responded.expect({{list_at(during_check + blocked_for)}, 0});

    Scenario& check_refused = scenarios.add("response comes, check is refused", 1);
    check_refused.start_call();
    check_refused.expect({{list_at(during_check + blocked_for)}, 0});

    Scenario& due = scenarios.add("check is due", unlimited);
    check_succeeds.after(due_call_start, [&due] {
        due.start_call();
        due.send_after(response_at - due_call_start, empty_line);
        due.expect({{list_at(response_at - due_call_start)}, 1});
    });

    check_succeeds.after(during_check, [&] {
        event_flood.trigger();
        check_succeeds.machine.free_backlog_slot();
        check_refused.machine.refuse();
        std::this_thread::sleep_for(until_syn_retransmit);
        responded.machine.connections[0]->send(empty_line);
        check_refused.machine.connections[0]->send(empty_line);
        std::this_thread::sleep_for(blocked_for - until_syn_retransmit);
    });
    run_for(loop, during_check + blocked_for + milliseconds(500));
    scenarios.verify();
}

// The agent that pushes lists doesn't queue calls, and the policy uses a pushed list until it receives
// another.
TEST(DiscoveryWait, ACallForPushedListsGetsNoReachabilityCheck) {
    HostHarness s;
    s.config["settings"]["registry_mode"] = "push";
    s.start();
    s.run_until([&] { return received_request(s.discovery, 1); });
    run_for(s.loop, check_interval + milliseconds(200));
    EXPECT_EQ(s.discovery.connections.size(), 1U);
}

}  // namespace
}  // namespace flaxdoor::test
