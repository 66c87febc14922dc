// Case 1: a peer sends a request whose trailer has a field of 70 kB.
// Rule broken: the balancer ends with an error, and with it everything that it has taken.
#include "standins.h"

using namespace standins;

int main() {
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(100);
    constexpr std::size_t field_bytes = 70'000;
    Upstream a("s-a", 20), b("s-b", 20), c("s-c", 20);
    Discovery discovery({&a, &b, &c});
    Balancer balancer({.known = discovery.list(), .discovery = discovery.address()});
    balancer.await_ready();

    Tally tally;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), balancer.port(),
                                                   i % 4 == 3 ? "freigabe" : "eingang", 40, tally));
        clients.back()->start();
    }
    sleep_until_ms(2000);
    std::thread peer;
    if (with_trouble()) {
        peer = std::thread([&] {
            const auto connection = connect_to(balancer.port());
            if (!connection) return;
            const double began_at = now_ms();
            record("bad peer: sends a chunked request whose trailer has a field of %zu bytes", field_bytes);
            connection->send(
                "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: bad-1\r\nX-Call-Class: freigabe\r\n"
                "X-Caller: tafel-wien\r\nX-Budget-Ms: 800\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\nbook\r\n0\r\nX-Sum: " +
                std::string(field_bytes, 'x') + "\r\n\r\n");
            while (!connection->ended() && connection->input.empty() && now_ms() < began_at + 3000)
                connection->receive(began_at + 3000);
            record("bad peer: after %.0f ms: %s", now_ms() - began_at,
                   !connection->input.empty() ? connection->input.substr(0, 12).c_str()
                   : connection->ended()      ? "the connection has ended"
                                              : "neither an error nor a close");
        });
    }
    for (const double end = now_ms() + 4000; now_ms() < end && !balancer.has_ended();) sleep_ms(20);
    for (const auto& client : clients) client->stop();
    if (peer.joinable()) peer.join();
    judge_crash(balancer, tally);
}
