// Case 1: a peer sends a request whose trailer has a field of 70 kB. With VARIANT=answer, an upstream sends
// one such answer instead. Rule broken: the balancer ends with an error, and with it everything that it has
// taken.
#include "standins.h"

using namespace standins;

namespace {

const std::string trailer = "0\r\nX-Sum: " + std::string(70'000, 'x') + "\r\n\r\n";

void send_bad_request(int port) {
    const auto connection = connect_to(port);
    if (!connection) return;
    const double began_at = now_ms();
    record("bad peer: sends a chunked request with a trailer of %zu bytes", trailer.size());
    connection->send(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: bad-1\r\nX-Call-Class: freigabe\r\n"
        "X-Caller: tafel-wien\r\nX-Budget-Ms: 800\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk("book") + trailer);
    while (!connection->ended() && connection->input.empty() && now_ms() < began_at + 3000)
        connection->receive(began_at + 3000);
    record("bad peer: after %.0f ms: %s", now_ms() - began_at,
           !connection->input.empty() ? connection->input.substr(0, 12).c_str()
           : connection->ended()      ? "the connection has ended"
                                      : "neither an error nor a close");
}

}  // namespace

int main() {
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(100);
    const bool spoil_answer = setting("VARIANT") == "answer";
    Upstream a("s-a", 20), b("s-b", 20), c("s-c", 20);
    std::atomic<int> spoilt_left{0};
    for (Upstream* upstream : {&a, &b, &c}) {
        upstream->special = [&, upstream](Connection& connection, const Arrival& arrival) {
            if (arrival.service != "freigabe" || spoilt_left.fetch_sub(1) <= 0) return false;
            record("%s: spoilt answer to %s, with a trailer of %zu bytes", upstream->name().c_str(),
                   arrival.id.c_str(), trailer.size());
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            chunk(Upstream::body_for(arrival.id)) + trailer);
            return true;  // and closes the connection
        };
    }
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
    if (with_trouble() && spoil_answer) spoilt_left = 1;
    if (with_trouble() && !spoil_answer) peer = std::thread(send_bad_request, balancer.port());
    for (const double end = now_ms() + 4000; now_ms() < end && !balancer.has_ended();) sleep_ms(20);
    for (const auto& client : clients) client->stop();
    if (peer.joinable()) peer.join();

    const bool ended = balancer.has_ended();
    if (tally.served == 0) cannot_run("nothing was served");
    if (ended) record("last line of the balancer's log: %s", balancer.last_log_line().c_str());
    char text[300];
    std::snprintf(text, sizeof text,
                  "the balancer %s; %d served, %d refused, %d failed, %d lost, %d foreign, %d not taken",
                  ended ? "has ended" : "runs", tally.served.load(), tally.refused.load(),
                  tally.failed.load(), tally.lost.load(), tally.foreign.load(), tally.not_taken.load());
    finish(ended || tally.lost > 0 || tally.foreign > 0, text);
}
