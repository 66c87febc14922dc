// Behaviour at the limit of client connections: which idle connection is closed for a new client, what
// happens to new clients while none may be closed, and that descriptors stay reserved for upstreams and
// discovery.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <sstream>
#include <thread>

#include "peers.h"

namespace flaxdoor::test {
namespace {

using std::chrono::seconds;
using Steady = std::chrono::steady_clock;

// The balancer reserves 32 descriptors; clients and upstreams get half of the others each.
constexpr std::size_t sockets = 44;
constexpr std::size_t client_connections = 6;
// A connection that has been idle for less time must not be closed.
constexpr auto min_idle = seconds(2);
// A peer that sends no request must get a response or a close within this time.
constexpr auto peer_deadline = seconds(3);

using Wires = std::vector<std::shared_ptr<PeerConnection>>;

// Returns clients that have had one response each and keep their connections open.
Wires idle_clients(HostHarness& s, std::size_t count) {
    Wires clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(s.connect_client());
        clients.back()->send(ready_request());
        EXPECT_EQ(status_code(s.await_response(*clients.back())), 200);
    }
    return clients;
}

Wires silent_clients(HostHarness& s, std::size_t count) {
    Wires clients;
    for (std::size_t i = 0; i < count; ++i) clients.push_back(s.connect_client());
    return clients;
}

bool all_ended(const Wires& wires) {
    return std::all_of(wires.begin(), wires.end(), [](const auto& wire) { return wire->peer_closed; });
}

bool none_ended(const Wires& wires) {
    return std::none_of(wires.begin(), wires.end(), [](const auto& wire) { return wire->peer_closed; });
}

void expect_served(HostHarness& s, const Wires& clients) {
    for (const auto& client : clients) {
        client->send(ready_request());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
    }
}

std::size_t open_descriptors() {
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

// Lowers the descriptor limit of the process for the lifetime of this object.
class LoweredDescriptorLimit {
public:
    explicit LoweredDescriptorLimit(rlim_t limit) {
        EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &before_), 0);
        rlimit lowered = before_;
        lowered.rlim_cur = limit;
        EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    }
    ~LoweredDescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    LoweredDescriptorLimit(const LoweredDescriptorLimit&) = delete;
    LoweredDescriptorLimit& operator=(const LoweredDescriptorLimit&) = delete;

private:
    rlimit before_{};
};

// Of two idle connections only the one that has been idle for 2 s is closed for a new client. The other one
// is closed for the next client, after its own 2 s.
TEST(ClientLimits, OnlyAConnectionIdleForTwoSecondsMakesRoom) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = 36;  // two of them for clients
    s.start();
    const auto older = s.connect_client(), younger = s.connect_client();
    const auto older_not_before = Steady::now();
    older->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*older)), 200);
    const std::string halves[] = {ready_request().substr(0, 10), ready_request().substr(10)};
    younger->send(halves[0]);

    const auto shut = s.connect_client();
    s.run_until([&] { return shut->peer_closed || older->peer_closed; });
    EXPECT_FALSE(older->peer_closed);

    const auto younger_not_before = Steady::now();
    younger->send(halves[1]);
    EXPECT_EQ(status_code(s.await_response(*younger)), 200);
    const auto newcomer = s.send_with_reconnects(ready_request());
    EXPECT_EQ(status_code(newcomer.second), 200);
    s.run_until([&] { return older->peer_closed; });
    EXPECT_GE(older->peer_closed_at - older_not_before, min_idle);
    EXPECT_FALSE(younger->peer_closed);

    const auto another = s.send_with_reconnects(ready_request());
    EXPECT_EQ(status_code(another.second), 200);
    s.run_until([&] { return younger->peer_closed; });
    EXPECT_GE(younger->peer_closed_at - younger_not_before, min_idle);
    EXPECT_FALSE(newcomer.first->peer_closed);
}

// A client that connects when another has been idle for long enough is served on its first connection.
TEST(ClientLimits, AConnectionIdleForLongerMakesRoomAtOnce) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = sockets;
    s.start();
    const auto idle = idle_clients(s, client_connections);
    const auto idle_since = Steady::now();
    s.run_until([&] { return Steady::now() - idle_since > min_idle + std::chrono::milliseconds(200); });
    EXPECT_TRUE(none_ended(idle));
    const auto newcomer = s.connect_client();
    newcomer->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*newcomer)), 200);
    s.run_until([&] { return idle.front()->peer_closed; });
    expect_served(s, Wires(idle.begin() + 1, idle.end()));
}

// One new client replaces only one connection, even where several have been idle for long enough by the time
// at which it is accepted.
TEST(ClientLimits, ANewClientThatWaitsClosesOneConnection) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = sockets;
    s.start();
    Wires idle = silent_clients(s, client_connections);
    expect_served(s, idle);
    EXPECT_EQ(status_code(s.send_with_reconnects(ready_request()).second), 200);
    s.run_until([&] { return !none_ended(idle); });
    std::erase_if(idle, [](const auto& client) { return client->peer_closed; });
    EXPECT_EQ(idle.size(), client_connections - 1);
    expect_served(s, idle);
}

// While no idle connection may be closed, new connections are closed in time, without a busy loop.
TEST(ClientLimits, NewClientsAreShutInTimeWithoutSpinning) {
    constexpr std::size_t most_handlers = 200;
    HostHarness s(1);
    s.config["limits"]["sockets"] = sockets;
    s.start();
    const auto idle = idle_clients(s, client_connections);
    const auto connected_at = Steady::now();
    const auto newcomers = silent_clients(s, 3);
    std::size_t handlers = 0;
    s.run_until([&] {
        handlers += s.loop.poll_one();
        return all_ended(newcomers);
    });
    for (const auto& newcomer : newcomers) EXPECT_LT(newcomer->peer_closed_at - connected_at, peer_deadline);
    EXPECT_LT(handlers, most_handlers);
    EXPECT_TRUE(none_ended(idle));
}

// Idle clients hold all client connections, and more clients connect, while discovery refuses connections.
// Clients with an open connection are still served, and lists arrive once discovery is back.
TEST(ClientLimits, IdleClientsLeaveDescriptorsForUpstreamsAndDiscovery) {
    constexpr std::size_t crowd_size = 40;
    HostHarness s(2);
    Listener discovery(s.loop, Listener::InitialState::reserved);
    s.config["discovery"] = endpoint_text(discovery.address());
    s.config["limits"]["sockets"] = sockets;
    const auto descriptors_before = open_descriptors();
    s.start();
    const auto idle = idle_clients(s, client_connections);
    const auto crowd_came_at = Steady::now();
    const auto crowd = silent_clients(s, crowd_size);
    s.run_until([&] { return all_ended(crowd); });
    for (const auto& wire : crowd) EXPECT_LT(wire->peer_closed_at - crowd_came_at, peer_deadline);

    const auto client = idle.front();
    client->send(idempotent_request());
    const auto served_by = s.await_request().first;
    ASSERT_TRUE(served_by);
    const auto held_by_peers = idle.size() + crowd.size() + s.upstream_connection_count();
    EXPECT_LE(open_descriptors() - descriptors_before - held_by_peers, sockets);
    served_by->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    EXPECT_TRUE(discovery.connections.empty());

    // The balancer closes its idle connection to an upstream that discovery lists as left.
    const std::size_t left = s.upstreams[0]->connections.empty() ? 1 : 0;
    json news = s.list_json(9, false);
    news["hosts"] = {s.upstream_json(left, "left")};
    discovery.listen();
    s.run_until([&] {
        return !discovery.connections.empty() && contains(discovery.connections[0]->received, "\r\n\r\n");
    });
    discovery.connections[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                   chunk(news.dump() + "\n"));
    s.run_until([&] { return served_by->peer_closed; });
    client->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    EXPECT_EQ(s.upstreams[left]->connections.size(), 1U);
    EXPECT_EQ(s.upstreams[1 - left]->connections.size(), 1U);
}

// Each client connection that closes frees one for a new client.
TEST(ClientLimits, NewClientsAreServedOnceOthersClose) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = sockets;
    s.start();
    const auto idle = idle_clients(s, client_connections);
    const auto shut = s.connect_client();
    s.run_until([&] { return shut->peer_closed; });
    EXPECT_TRUE(none_ended(idle));
    constexpr std::size_t leaving = 3;
    for (std::size_t i = 0; i < leaving; ++i) idle[i]->close();
    for (std::size_t i = 0; i < leaving; ++i) {
        const auto newcomer = s.connect_client();
        newcomer->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*newcomer)), 200);
    }
    expect_served(s, Wires(idle.begin() + leaving, idle.end()));
}

// The descriptor limit of the process applies where it is below the configured one.
TEST(ClientLimits, TheDescriptorLimitOfTheProcessHolds) {
    HostHarness s(1);
    {
        const LoweredDescriptorLimit lowered(sockets);
        s.start();
    }
    const auto idle = idle_clients(s, client_connections);
    const auto newcomer = s.connect_client();
    s.run_until([&] { return newcomer->peer_closed; });
    EXPECT_TRUE(none_ended(idle));
}

// Guards against losing a request that arrives on a connection idle for longer than the request timeout: the
// sweep for overdue connections runs after the request has arrived and before it is read. The loop is blocked
// for longer than the sweep interval, so that the sweep and the request fall into one run of the loop, in
// either order of their timers.
TEST(ClientLimits, ARequestThatCrossesALookAtAConnectionLongAtRestIsAnswered) {
    constexpr auto longer_than_a_request = std::chrono::milliseconds(11000);
    constexpr auto longer_than_between_looks = std::chrono::milliseconds(300);
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    client->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    const auto rested = Steady::now() + longer_than_a_request;
    s.run_until([&] { return Steady::now() >= rested; });
    asio::steady_timer crosses(s.loop, std::chrono::milliseconds(1));
    crosses.async_wait([&](auto) {
        client->send(ready_request());
        while (client->undelivered_bytes() > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    std::this_thread::sleep_for(longer_than_between_looks);
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
}

}  // namespace
}  // namespace flaxdoor::test
