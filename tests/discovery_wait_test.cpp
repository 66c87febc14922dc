// How long a call to discovery may wait for its first word: many calls side by side on one loop, each before
// a discovery of its own. Checks are the connections that carry nothing.
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

// A listener that takes so many connections; its queue of further ones is full from then on, so that they
// don't come up, as where a machine is cut off. What has come up stays open.
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
    // Makes room for one connection without a turn of the loop.
    void take_filler() { filler_end_ = acceptor_.accept(); }

    std::size_t checks() const {
        return static_cast<std::size_t>(std::count_if(wires.begin(), wires.end(), [](const auto& wire) {
            return wire->received.empty() && wire->peer_closed;
        }));
    }

    std::vector<std::shared_ptr<PeerConnection>> wires;  // in the order in which they came

private:
    void accept() {
        if (takes_ && wires.size() == *takes_) return fill();
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            wires.push_back(std::make_shared<PeerConnection>(std::move(socket)));
            wires.back()->start();
            accept();
        });
    }
    void fill() {
        filler_.async_connect(address(), [this](boost::system::error_code error) {
            if (!error) asio::write(filler_, asio::buffer("x", 1), error);  // tells it from a check
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket filler_;
    std::optional<tcp::socket> filler_end_;
    std::optional<std::size_t> takes_;
};

// What a client reported: a list where there is no failure.
struct Report {
    milliseconds at;  // since its call
    std::optional<ListFailure> failure;
};

struct Expected {
    std::vector<Report> reports;
    std::size_t checks = 0;
};

constexpr std::optional<std::size_t> always = std::nullopt;  // a machine that is never cut off

// One client before one discovery, and what is to happen there.
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
        after(delay, [this, text = std::move(text)] { machine.wires[0]->send(text); });
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
constexpr milliseconds in_check = gap + milliseconds(500);  // the first one is under way
constexpr int checks_for_9s = 6;

static_assert(gap + net::check_time == silence);
static_assert(in_check < silence);

void add_long_waits(Scenes& scenes) {
    Scene& watch = scenes.add("a watch, answered after 4 s", always);
    watch.call();
    watch.say_after(milliseconds(4000), empty_line);
    watch.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + silence)}, 1});

    Scene& list = scenes.add("a call for the list, answered after 4 s", always);
    list.call(Scene::Call::list);
    list.say_after(milliseconds(4000), ok_response(whole_list));
    list.expect({{list_at(milliseconds(4000))}, 1});

    Scene& longer = scenes.add("a watch with more checks, answered after 9 s", always, checks_for_9s);
    longer.call();
    longer.say_after(milliseconds(9000), empty_line);
    longer.expect({{list_at(milliseconds(9000))}, checks_for_9s});
}

void add_cuts(Scenes& scenes) {
    Scene& watch = scenes.add("a watch, cut off", 1);
    watch.call();
    watch.expect({{silent_at(silence)}, 0});

    Scene& list = scenes.add("a call for the list, cut off", 1);
    list.call(Scene::Call::list);
    list.expect({{failed_at(silence)}, 0});

    Scene& later = scenes.add("cut off after a check", 2, checks_for_9s);
    later.call();
    later.expect({{silent_at(gap + silence)}, 1});

    Scene& back = scenes.add("cut off and back during a check", 1);
    back.call();
    back.after(gap + milliseconds(500), [&back] { back.machine.come_back(); });
    back.say_after(milliseconds(4000), empty_line);
    back.expect({{list_at(milliseconds(4000)), silent_at(milliseconds(4000) + silence)}, 1});

    Scene& refused_check = scenes.add("the port is closed", always);
    refused_check.call();
    refused_check.after(gap / 2, [&refused_check] { refused_check.machine.refuse(); });
    refused_check.expect({{silent_at(gap)}, 0});
}

void add_hung_processes(Scenes& scenes) {
    Scene& watch = scenes.add("a watch, the process hangs", always);
    watch.call();
    watch.expect({{silent_at(gap * net::checks_most + silence)}, net::checks_most});

    Scene& list = scenes.add("a call for the list, the process hangs", always);
    list.call(Scene::Call::list);
    list.expect({{failed_at(gap * net::checks_most + silence)}, net::checks_most});

    Scene& three = scenes.add("three checks, the process hangs", always, 3);
    three.call();
    three.expect({{silent_at(gap * 3 + silence)}, 3});

    Scene& none = scenes.add("no checks, the process hangs", always, 0);
    none.call();
    none.expect({{silent_at(silence)}, 0});
}

void add_watches_that_have_spoken(Scenes& scenes) {
    Scene& spoke = scenes.add("a watch that has spoken", always);
    spoke.call();
    spoke.say_after(milliseconds(500), empty_line);
    spoke.expect({{list_at(milliseconds(500)), silent_at(milliseconds(500) + silence)}, 0});

    Scene& head = scenes.add("a watch of which only the head has come", always);
    head.call();
    head.say_after(milliseconds(500), watch_head);
    head.expect({{silent_at(milliseconds(500) + silence)}, 0});

    Scene& answered = scenes.add("a watch that speaks during a check", 1);
    answered.call();
    answered.say_after(in_check, empty_line);
    answered.expect({{list_at(in_check), silent_at(in_check + silence)}, 0});

    Scene& port_closed = scenes.add("a watch that speaks during a check, which is refused then", 1);
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

    Scene& anew = scenes.add("begun anew during a check", 1);
    anew.call();
    anew.after(in_check, [&anew] {
        anew.client->unwatch();
        anew.client->watch();
    });
    anew.expect({{{in_check + silence, ListFailure::unreachable}}, 0});
}

void add_move_during_a_check(Scenes& scenes, Machine& target) {
    Scene& moved = scenes.add("moved during a check", 1);
    moved.call();
    moved.after(in_check, [&moved, &target] {
        EXPECT_TRUE(moved.client->move_to(target.address()));
        moved.client->watch();
    });
    const milliseconds answered = in_check + milliseconds(500);
    moved.after(answered, [&target] { target.wires.at(0)->send(empty_line); });
    moved.expect({{list_at(answered), silent_at(answered + silence)}, 0});
}

void run_for(asio::io_context& loop, milliseconds span) {
    loop.restart();
    loop.run_for(span);
}

// What happens: a call that waits for its turn is given up as early as a watch that has fallen silent, and
// joins the end of the queue. Why: both end the same way, by `watch_idle_timeout`. A call that is cut off
// from discovery's machine hears nothing either, and must not stay out for longer than before.
TEST(DiscoveryWait, ACallStaysOutWhileItsMachineCanBeReached) {
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
    EXPECT_TRUE(loop.stopped()) << "something is still waited for";
}

// So many events that a loop which is behind hears of them first, and of what else has come in a later turn.
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

// The loop is held up from `in_check` on. The system repeats a lost request for a connection a second after
// the first, in this time.
constexpr milliseconds repeated = gap + milliseconds(1000) - in_check + milliseconds(300);
constexpr milliseconds held_up(1950);
constexpr milliseconds answered = in_check + held_up + milliseconds(200);
// A call of which the check is due just after it, and that would be given up before it ends.
constexpr milliseconds due_called = in_check - gap + milliseconds(100);

static_assert(due_called + silence < in_check + held_up);

// Whatever the loop hears of first, no call is given up that has been answered meanwhile, or of which a check
// has come up or could not yet begin.
TEST(DiscoveryWait, ALoopThatIsBehindGivesNoCallUp) {
    asio::io_context loop{1};
    Crowd crowd(loop);
    Scenes scenes(loop);
    Scene& up = scenes.add("its check comes up", 1);
    up.call();
    up.say_after(answered, empty_line);
    up.expect({{list_at(answered)}, 0});

    Scene& spoke = scenes.add("it is answered, its check doesn't come up", 1);
    spoke.call();
    spoke.expect({{list_at(in_check + held_up)}, 0});

    Scene& ended = scenes.add("it is answered, its check is refused", 1);
    ended.call();
    ended.expect({{list_at(in_check + held_up)}, 0});

    Scene& due = scenes.add("its check is due", always);
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
        spoke.machine.wires[0]->send(empty_line);
        ended.machine.wires[0]->send(empty_line);
        std::this_thread::sleep_for(held_up - repeated);
    });
    run_for(loop, in_check + held_up + milliseconds(500));
    scenes.judge();
}

// The agent that pushes lists has no queue, and the policy uses a pushed list for as long as it has no other.
TEST(DiscoveryWait, ACallForPushedListsIsNotChecked) {
    HostHarness s;
    s.config["settings"]["registry_mode"] = "push";
    s.start();
    s.run_until([&] { return asked(s.discovery, 1); });
    run_for(s.loop, gap + milliseconds(200));
    EXPECT_EQ(s.discovery.connections.size(), 1U);
}

}  // namespace
}  // namespace flaxdoor::test
