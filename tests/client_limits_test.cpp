// Behaviour at the limit of client connections: which idle connection is closed for a new client, what
// happens to new clients while none may be closed, and that descriptors stay reserved for upstreams and
// discovery.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <sstream>
#include <thread>

#include "lowered_descriptor_limit.h"
#include "peers.h"

namespace flaxdoor::test {
namespace {

using std::chrono::seconds;
using Steady = std::chrono::steady_clock;

// The balancer reserves 32 descriptors; clients and upstreams get half of the others each.
constexpr std::size_t max_sockets = 44;
constexpr std::size_t max_client_connections = 6;
// A connection that has been idle for less time must not be closed.
constexpr auto min_idle_time = seconds(2);
// A peer that sends no request must get a response or a close within this time.
constexpr auto peer_response_time = seconds(3);

using Connections = std::vector<std::shared_ptr<PeerConnection>>;

// Returns clients that have had one response each and keep their connections open.
Connections idle_clients(HostHarness& s, std::size_t count) {
    Connections clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(s.connect_client());
        clients.back()->send(ready_request());
        EXPECT_EQ(status_code(s.await_response(*clients.back())), 200);
    }
    return clients;
}

Connections silent_clients(HostHarness& s, std::size_t count) {
    Connections clients;
    for (std::size_t i = 0; i < count; ++i) clients.push_back(s.connect_client());
    return clients;
}

bool all_closed(const Connections& connections) {
    return std::all_of(connections.begin(), connections.end(),
                       [](const auto& connection) { return connection->peer_closed; });
}

bool none_closed(const Connections& connections) {
    return std::none_of(connections.begin(), connections.end(),
                        [](const auto& connection) { return connection->peer_closed; });
}

void expect_served(HostHarness& s, const Connections& clients) {
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

// Of two idle connections only the one that has been idle for 2 s is closed for a new client. The other one
// is closed for the next client, after its own 2 s.
TEST(ClientLimits, OnlyAConnectionIdleForTwoSecondsIsReplaced) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = 36;  // two of them for clients
    s.start();
    const auto older = s.connect_client(), younger = s.connect_client();
    const auto older_idle_since = Steady::now();
    older->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*older)), 200);
    const std::string halves[] = {ready_request().substr(0, 10), ready_request().substr(10)};
    younger->send(halves[0]);

    const auto rejected = s.connect_client();
    s.run_until([&] { return rejected->peer_closed || older->peer_closed; });
    EXPECT_FALSE(older->peer_closed);

    const auto younger_idle_since = Steady::now();
    younger->send(halves[1]);
    EXPECT_EQ(status_code(s.await_response(*younger)), 200);
    const auto newcomer = s.send_with_reconnects(ready_request());
    EXPECT_EQ(status_code(newcomer.second), 200);
    s.run_until([&] { return older->peer_closed; });
    EXPECT_GE(older->peer_closed_at - older_idle_since, min_idle_time);
    EXPECT_FALSE(younger->peer_closed);

    const auto another = s.send_with_reconnects(ready_request());
    EXPECT_EQ(status_code(another.second), 200);
    s.run_until([&] { return younger->peer_closed; });
    EXPECT_GE(younger->peer_closed_at - younger_idle_since, min_idle_time);
    EXPECT_FALSE(newcomer.first->peer_closed);
}

// A client that connects when another has been idle for long enough is served on its first connection.
TEST(ClientLimits, AConnectionIdleForLongerIsReplacedAtOnce) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = max_sockets;
    s.start();
    const auto idle = idle_clients(s, max_client_connections);
    const auto idle_since = Steady::now();
    s.run_until([&] { return Steady::now() - idle_since > min_idle_time + std::chrono::milliseconds(200); });
    EXPECT_TRUE(none_closed(idle));
    const auto newcomer = s.connect_client();
    newcomer->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*newcomer)), 200);
    s.run_until([&] { return idle.front()->peer_closed; });
    expect_served(s, Connections(idle.begin() + 1, idle.end()));
}

// One new client replaces only one connection, even where several have been idle for long enough by the time
// at which it is accepted.
TEST(ClientLimits, AWaitingClientReplacesOnlyOneConnection) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = max_sockets;
    s.start();
    Connections idle = silent_clients(s, max_client_connections);
    expect_served(s, idle);
    EXPECT_EQ(status_code(s.send_with_reconnects(ready_request()).second), 200);
    s.run_until([&] { return !none_closed(idle); });
    std::erase_if(idle, [](const auto& client) { return client->peer_closed; });
    EXPECT_EQ(idle.size(), max_client_connections - 1);
    expect_served(s, idle);
}

// While no idle connection may be closed, new connections are closed in time, without a busy loop.
TEST(ClientLimits, NewClientsAreClosedInTimeWithoutABusyLoop) {
    constexpr std::size_t max_handlers = 200;
    HostHarness s(1);
    s.config["limits"]["sockets"] = max_sockets;
    s.start();
    const auto idle = idle_clients(s, max_client_connections);
    const auto connected_at = Steady::now();
    const auto newcomers = silent_clients(s, 3);
    std::size_t handlers = 0;
    s.run_until([&] {
        handlers += s.loop.poll_one();
        return all_closed(newcomers);
    });
    for (const auto& newcomer : newcomers)
        EXPECT_LT(newcomer->peer_closed_at - connected_at, peer_response_time);
    EXPECT_LT(handlers, max_handlers);
    EXPECT_TRUE(none_closed(idle));
}

// Idle clients hold all client connections, and more clients connect, while discovery refuses connections.
// Clients with an open connection are still served, and lists arrive once discovery is back.
TEST(ClientLimits, IdleClientsLeaveDescriptorsForUpstreamsAndDiscovery) {
    constexpr std::size_t extra_client_count = 40;
    HostHarness s(2);
    Listener discovery(s.loop, Listener::InitialState::reserved);
    s.config["discovery"] = endpoint_text(discovery.address());
    s.config["limits"]["sockets"] = max_sockets;
    const auto descriptors_before = open_descriptors();
    s.start();
    const auto idle = idle_clients(s, max_client_connections);
    const auto extra_clients_connected_at = Steady::now();
    const auto extra_clients = silent_clients(s, extra_client_count);
    s.run_until([&] { return all_closed(extra_clients); });
    for (const auto& connection : extra_clients)
        EXPECT_LT(connection->peer_closed_at - extra_clients_connected_at, peer_response_time);

    const auto client = idle.front();
    client->send(idempotent_request());
    const auto serving_connection = s.await_request().first;
    ASSERT_TRUE(serving_connection);
    const auto peer_descriptors = idle.size() + extra_clients.size() + s.upstream_connection_count();
    EXPECT_LE(open_descriptors() - descriptors_before - peer_descriptors, max_sockets);
    serving_connection->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    EXPECT_TRUE(discovery.connections.empty());

    // The balancer closes its idle connection to an upstream that discovery lists as left.
    const std::size_t left = s.upstreams[0]->connections.empty() ? 1 : 0;
    json update = s.list_json(9, false);
    update["hosts"] = {s.upstream_json(left, "left")};
    discovery.listen();
    s.run_until([&] {
        return !discovery.connections.empty() && contains(discovery.connections[0]->received, "\r\n\r\n");
    });
    discovery.connections[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                   chunk(update.dump() + "\n"));
    s.run_until([&] { return serving_connection->peer_closed; });
    client->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    EXPECT_EQ(s.upstreams[left]->connections.size(), 1U);
    EXPECT_EQ(s.upstreams[1 - left]->connections.size(), 1U);
}

// Each client connection that closes frees one for a new client.
TEST(ClientLimits, NewClientsAreServedOnceOthersClose) {
    HostHarness s(1);
    s.config["limits"]["sockets"] = max_sockets;
    s.start();
    const auto idle = idle_clients(s, max_client_connections);
    const auto rejected = s.connect_client();
    s.run_until([&] { return rejected->peer_closed; });
    EXPECT_TRUE(none_closed(idle));
    constexpr std::size_t closing_count = 3;
    for (std::size_t i = 0; i < closing_count; ++i) idle[i]->close();
    for (std::size_t i = 0; i < closing_count; ++i) {
        const auto newcomer = s.connect_client();
        newcomer->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*newcomer)), 200);
    }
    expect_served(s, Connections(idle.begin() + closing_count, idle.end()));
}

// The descriptor limit of the process applies where it is below the configured one.
TEST(ClientLimits, TheDescriptorLimitOfTheProcessApplies) {
    HostHarness s(1);
    {
        const LoweredDescriptorLimit lowered(max_sockets);
        s.start();
    }
    const auto idle = idle_clients(s, max_client_connections);
    const auto newcomer = s.connect_client();
    s.run_until([&] { return newcomer->peer_closed; });
    EXPECT_TRUE(none_closed(idle));
}

// Guards against a client that holds a used connection by stopping in the middle of a further request: it is
// owed an error or a close as early as one that stops in its first request.
TEST(ClientLimits, AClientThatStopsInAFurtherRequestIsClosedInTime) {
    HostHarness s(1);
    s.start();
    const std::string request = at_most_once_request();
    const std::string parts[] = {request.substr(0, 1), request.substr(0, request.find("\r\n\r\n") + 2),
                                 request.substr(0, request.size() - 1)};
    const Connections stopped = idle_clients(s, std::size(parts) + 1);
    for (std::size_t i = 0; i < std::size(parts); ++i) stopped[i]->send(parts[i]);
    // The last one has sent the part behind a whole request, before the response to that.
    const auto pipelining = stopped.back();
    pipelining->send(idempotent_request() + parts[1]);
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*pipelining)), 200);
    const auto stopped_at = Steady::now();
    s.run_until([&] { return all_closed(stopped); });
    for (const auto& client : stopped) EXPECT_LT(client->peer_closed_at - stopped_at, peer_response_time);
    EXPECT_TRUE(s.no_unread_requests());
}

// A client that writes slowly has not stopped, whatever the time that a whole request takes it.
TEST(ClientLimits, AClientThatWritesAFurtherRequestSlowlyIsServed) {
    constexpr int parts = 5;
    HostHarness s(1);
    s.start();
    const auto client = idle_clients(s, 1).front();
    const std::string request = at_most_once_request();
    const auto began = Steady::now();
    asio::steady_timer next_part(s.loop);
    for (std::size_t i = 0; i < parts; ++i) {
        const std::size_t begin = i * request.size() / parts, end = (i + 1) * request.size() / parts;
        client->send(std::string_view(request).substr(begin, end - begin));
        bool due = false;
        next_part.expires_after(std::chrono::seconds(1));
        next_part.async_wait([&](auto) { due = true; });
        s.run_until([&] { return due; });
    }
    EXPECT_GT(Steady::now() - began, peer_response_time);
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
}

// Guards against losing a request that arrives on a connection idle for longer than the request timeout: the
// sweep for overdue connections runs after the request has arrived and before it is read. The loop is blocked
// for longer than the sweep interval, so that the sweep and the request fall into one run of the loop, in
// either order of their timers.
TEST(ClientLimits, ARequestThatArrivesDuringASweepIsAnswered) {
    constexpr auto longer_than_request_timeout = std::chrono::milliseconds(11000);
    constexpr auto longer_than_sweep_interval = std::chrono::milliseconds(300);
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    client->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    const auto idle_until = Steady::now() + longer_than_request_timeout;
    s.run_until([&] { return Steady::now() >= idle_until; });
    asio::steady_timer send_timer(s.loop, std::chrono::milliseconds(1));
    send_timer.async_wait([&](auto) {
        client->send(ready_request());
        while (client->undelivered_bytes() > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    std::this_thread::sleep_for(longer_than_sweep_interval);
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
}

}  // namespace
}  // namespace flaxdoor::test
