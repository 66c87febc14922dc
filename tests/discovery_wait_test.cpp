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

const std::string empty_line = watch_head + chunk("\n");
const char* const whole_list = R"({"seq":1,"whole":true,"hosts":[]})";

// A listener that accepts `takes` connections, or any number without one. After that its backlog is full, so
// that further connections aren't established, as with an unreachable machine. Established connections stay
// open.
class Machine {
public:
    Machine(asio::io_context& loop, std::optional<std::size_t> takes)
        : acceptor_(loop), filler_(loop), takes_(takes) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        takes ? acceptor_.listen(0) : acceptor_.listen();
        accept();
    }
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void refuse() { acceptor_.close(); }
    void come_back() {
        takes_.reset();
        accept();
    }
    // Frees one place in the backlog without a turn of the loop.
    void take_filler() { filler_end_ = acceptor_.accept(); }

    std::size_t checks() const {
        return static_cast<std::size_t>(std::count_if(
            wires.begin(), wires.end(), [](const auto& wire) { return wire->in.empty() && wire->ended; }));
    }

    std::vector<std::shared_ptr<Wire>> wires;  // in the order of their accept

private:
    void accept() {
        if (takes_ && wires.size() == *takes_) return fill();
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            wires.push_back(std::make_shared<Wire>(std::move(socket)));
            wires.back()->start();
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
    std::optional<tcp::socket> filler_end_;
    std::optional<std::size_t> takes_;
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

constexpr std::optional<std::size_t> always = std::nullopt;  // a machine that is always reachable

// One client, the discovery that it calls, the scripted steps and the expected events.
class Scene final : private net::DiscoveryEvents {
public:
    enum class Call { watch, list };

    Machine machine;
    std::unique_ptr<net::Discovery> client;

    Scene(asio::io_context& loop, std::string name, std::optional<std::size_t> machine_takes,
          int checks = net::checks_most)
        : machine(loop, machine_takes), name_(std::move(name)), loop_(loop) {
        net::DiscoveryEvents& events = *this;
        client = std::make_unique<net::Discovery>(loop, machine.address(), net::ListNames{}, events, checks);
    }

    void call(Call kind = Call::watch) {
        called_at_ = Clock::now();
        kind == Call::watch ? client->watch() : client->fetch();
    }
    void after(milliseconds delay, std::function<void()> step) {
        auto timer = std::make_shared<asio::steady_timer>(loop_, called_at_ + delay);
        timer->async_wait([timer, step = std::move(step)](boost::system::error_code) { step(); });
    }
    void say_after(milliseconds delay, std::string text) {
        after(delay, [this, text = std::move(text)] { machine.wires[0]->say(text); });
    }
    void expect(Expected expected) { expected_ = std::move(expected); }

    void judge() const {
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
    void on_list(net::List) override { note({}); }
    void on_list_failed(ListFailure failure) override { note(failure); }
    void note(std::optional<ListFailure> failure) {
        reports_.push_back({std::chrono::duration_cast<milliseconds>(Clock::now() - called_at_), failure});
    }

    const std::string name_;
    asio::io_context& loop_;
    Clock::time_point called_at_;
    std::vector<Report> reports_;
    Expected expected_;
};

class Scenes {
public:
    explicit Scenes(asio::io_context& loop) : loop_(loop) {}

    Scene& add(const std::string& name, std::optional<std::size_t> machine_takes,
               int checks = net::checks_most) {
        return *scenes_.emplace_back(std::make_unique<Scene>(loop_, name, machine_takes, checks));
    }
    void judge() const {
        for (const auto& scene : scenes_) scene->judge();
    }

private:
    asio::io_context& loop_;
    std::vector<std::unique_ptr<Scene>> scenes_;
};

constexpr Report list_at(milliseconds at) { return {at, std::nullopt}; }
constexpr Report silent_at(milliseconds at) { return {at, ListFailure::silent}; }
constexpr Report failed_at(milliseconds at) { return {at, ListFailure::failed}; }

constexpr auto silence = std::chrono::duration_cast<milliseconds>(watch_idle_timeout);
constexpr auto gap = std::chrono::duration_cast<milliseconds>(net::check_gap);
constexpr milliseconds in_check = gap + milliseconds(500);  // during the first check
constexpr int checks_for_9s = 6;

static_assert(gap + net::check_time == silence);
static_assert(in_check < silence);

void add_long_waits(Scenes& scenes) {
    Scene& watch = scenes.add("watch with a response after 4 s", always);
    watch.call();
    watch.say_after(milliseconds(4000), empty_line);
    watch.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + silence)}, 1});

    Scene& list = scenes.add("fetch with a response after 4 s", always);
    list.call(Scene::Call::list);
    list.say_after(milliseconds(4000), ok(whole_list));
    list.expect({{list_at(milliseconds(4000))}, 1});

    Scene& longer = scenes.add("watch with more checks and a response after 9 s", always, checks_for_9s);
    longer.call();
    longer.say_after(milliseconds(9000), empty_line);
    longer.expect({{list_at(milliseconds(9000))}, checks_for_9s});
}

void add_cuts(Scenes& scenes) {
    Scene& watch = scenes.add("watch, machine becomes unreachable", 1);
    watch.call();
    watch.expect({{silent_at(silence)}, 0});

    Scene& list = scenes.add("fetch, machine becomes unreachable", 1);
    list.call(Scene::Call::list);
    list.expect({{failed_at(silence)}, 0});

    Scene& later = scenes.add("machine becomes unreachable after a check", 2, checks_for_9s);
    later.call();
    later.expect({{silent_at(gap + silence)}, 1});

    Scene& back = scenes.add("machine becomes reachable again during a check", 1);
    back.call();
    back.after(gap + milliseconds(500), [&back] { back.machine.come_back(); });
    back.say_after(milliseconds(4000), empty_line);
    back.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + silence)}, 1});

    Scene& refused_check = scenes.add("port is closed", always);
    refused_check.call();
    refused_check.after(gap / 2, [&refused_check] { refused_check.machine.refuse(); });
    refused_check.expect({{silent_at(gap)}, 0});
}

void add_hung_processes(Scenes& scenes) {
    Scene& watch = scenes.add("watch, process hangs", always);
    watch.call();
    watch.expect({{silent_at(gap * net::checks_most + silence)}, net::checks_most});

    Scene& list = scenes.add("fetch, process hangs", always);
    list.call(Scene::Call::list);
    list.expect({{failed_at(gap * net::checks_most + silence)}, net::checks_most});

    Scene& three = scenes.add("three checks, process hangs", always, 3);
    three.call();
    three.expect({{silent_at(gap * 3 + silence)}, 3});

    Scene& none = scenes.add("no checks, process hangs", always, 0);
    none.call();
    none.expect({{silent_at(silence)}, 0});
}

void add_watches_that_have_spoken(Scenes& scenes) {
    Scene& spoke = scenes.add("watch that has received a line", always);
    spoke.call();
    spoke.say_after(milliseconds(500), empty_line);
    spoke.expect({{list_at(milliseconds(500)), silent_at(milliseconds(500) + silence)}, 0});

    Scene& head = scenes.add("watch that has received only the response head", always);
    head.call();
    head.say_after(milliseconds(500), watch_head);
    head.expect({{silent_at(milliseconds(500) + silence)}, 0});

    Scene& answered = scenes.add("watch that receives a line during a check", 1);
    answered.call();
    answered.say_after(in_check, empty_line);
    answered.expect({{list_at(in_check), silent_at(in_check + silence)}, 0});

    Scene& port_closed = scenes.add("watch that receives a line during a check, which is then refused", 1);
    port_closed.call();
    port_closed.say_after(in_check, empty_line);
    port_closed.after(in_check + milliseconds(100), [&port_closed] { port_closed.machine.refuse(); });
    port_closed.expect({{list_at(in_check), silent_at(in_check + silence)}, 0});
}

void add_ends_during_a_check(Scenes& scenes) {
    Scene& reset = scenes.add("reset during a check", 1);
    reset.call();
    reset.after(in_check, [&reset] { reset.machine.wires[0]->reset(); });
    reset.expect({{failed_at(in_check)}, 0});

    Scene& closed = scenes.add("closed during a check", 1);
    closed.call();
    closed.after(in_check, [&closed] { closed.machine.wires[0]->close(); });
    closed.expect({{failed_at(in_check)}, 0});

    Scene& stopped = scenes.add("stopped during a check", 1);
    stopped.call();
    stopped.after(in_check, [&stopped] { stopped.client->stop(); });
    stopped.expect({});

    Scene& destroyed = scenes.add("destroyed during a check", 1);
    destroyed.call();
    destroyed.after(in_check, [&destroyed] { destroyed.client.reset(); });
    destroyed.expect({});

    Scene& anew = scenes.add("restarted during a check", 1);
    anew.call();
    anew.after(in_check, [&anew] {
        anew.client->unwatch();
        anew.client->watch();
    });
    anew.expect({{{in_check + silence, ListFailure::unreachable}}, 0});
}

void add_move_during_a_check(Scenes& scenes, Machine& target) {
    Scene& moved = scenes.add("address changed during a check", 1);
    moved.call();
    moved.after(in_check, [&moved, &target] {
        EXPECT_TRUE(moved.client->move_to(target.address()));
        moved.client->watch();
    });
    const milliseconds answered = in_check + milliseconds(500);
    moved.after(answered, [&target] { target.wires.at(0)->say(empty_line); });
    moved.expect({{list_at(answered), silent_at(answered + silence)}, 0});
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
        Machine target(loop, always);
        Scenes scenes(loop);
        add_long_waits(scenes);
        add_cuts(scenes);
        add_hung_processes(scenes);
        add_watches_that_have_spoken(scenes);
        add_ends_during_a_check(scenes);
        add_move_during_a_check(scenes, target);
        run_for(loop, milliseconds(9300));
        scenes.judge();
    }
    run_for(loop, milliseconds(1000));
    EXPECT_TRUE(loop.stopped()) << "an operation is still pending";
}

// Produces so many events that a delayed loop handles only these in its next turn, and others in a later one.
class Crowd {
public:
    explicit Crowd(asio::io_context& loop) {
        for (int i = 0; i < 200; ++i) {
            auto& [here, there] = pairs_.emplace_back(loop, loop);
            asio::local::connect_pair(here, there);
            here.async_receive(asio::buffer(byte_), [](auto, auto) {});
        }
    }
    void wake() {
        for (auto& [here, there] : pairs_) there.send(asio::buffer("x", 1));
    }

private:
    using Socket = asio::local::datagram_protocol::socket;
    std::list<std::pair<Socket, Socket>> pairs_;
    std::array<char, 1> byte_{};
};

// The loop is blocked from `in_check` on. In this time the system retransmits the lost SYN of the check,
// which it does a second after the first one.
constexpr milliseconds repeated = gap + milliseconds(1000) - in_check + milliseconds(300);
constexpr milliseconds held_up(1950);
constexpr milliseconds answered = in_check + held_up + milliseconds(200);
// Start of a call whose check is due just after the block begins and whose time limit expires before it ends.
constexpr milliseconds due_called = in_check - gap + milliseconds(100);

static_assert(due_called + silence < in_check + held_up);

// In whatever order a delayed loop handles its events, it abandons no call that has received data in the
// meantime, whose check has succeeded, or whose check could not yet start.
TEST(DiscoveryWait, ADelayedLoopAbandonsNoCall) {
    asio::io_context loop{1};
    Crowd crowd(loop);
    Scenes scenes(loop);
    Scene& up = scenes.add("check succeeds", 1);
    up.call();
    up.say_after(answered, empty_line);
    up.expect({{list_at(answered)}, 0});

    Scene& spoke = scenes.add("response comes, check does not connect", 1);
    spoke.call();
    spoke.expect({{list_at(in_check + held_up)}, 0});

    Scene& ended = scenes.add("response comes, check is refused", 1);
    ended.call();
    ended.expect({{list_at(in_check + held_up)}, 0});

    Scene& due = scenes.add("check is due", always);
    up.after(due_called, [&due] {
        due.call();
        due.say_after(answered - due_called, empty_line);
        due.expect({{list_at(answered - due_called)}, 1});
    });

    up.after(in_check, [&] {
        crowd.wake();
        up.machine.take_filler();
        ended.machine.refuse();
        std::this_thread::sleep_for(repeated);
        spoke.machine.wires[0]->say(empty_line);
        ended.machine.wires[0]->say(empty_line);
        std::this_thread::sleep_for(held_up - repeated);
    });
    run_for(loop, in_check + held_up + milliseconds(500));
    scenes.judge();
}

// The agent that pushes lists doesn't queue calls, and the policy uses a pushed list until it receives
// another.
TEST(DiscoveryWait, ACallForPushedListsGetsNoReachabilityCheck) {
    Stage s;
    s.config["settings"]["registry_mode"] = "push";
    s.start();
    s.until([&] { return asked(s.discovery, 1); });
    run_for(s.loop, gap + milliseconds(200));
    EXPECT_EQ(s.discovery.wires.size(), 1U);
}

}  // namespace
}  // namespace flaxdoor::test
