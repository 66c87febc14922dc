// Case 3: the open watches are reset, and discovery is crowded for the time that it needs for a call by
// everybody. An upstream begins to drain meanwhile and stays up. Rule broken: balancers go on sending it new
// work after the change counts as told and the grace is over.
#include "standins.h"

using namespace standins;

int main() {
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(100);
    constexpr double crowded_ms = 8000;  // site file: [discovery] all_call_s = [5, 8]
    constexpr double told_ms = 6000;     // STANDING: told at the latest 6 s after discovery had it
    constexpr double grace_ms = 2000;    // invariants.drain_grace
    constexpr double slack_ms = 50;      // PROTOCOL: on sockets each time limit is 50 ms longer
    Upstream a("s-a", 20), b("s-b", 20), c("s-c", 20), leaving("s-leaving", 20);
    Discovery discovery({&a, &b, &c, &leaving});

    constexpr int balancer_count = 4;  // lager-ost: [scale] balancers
    std::vector<std::unique_ptr<Balancer>> balancers;
    std::vector<std::unique_ptr<Client>> clients;
    Tally tally;
    for (int rank = 0; rank < balancer_count; ++rank) {
        balancers.push_back(std::make_unique<Balancer>(BalancerOptions{.rank = rank,
                                                                       .siblings = balancer_count,
                                                                       .known = discovery.list(),
                                                                       .discovery = discovery.address()}));
    }
    for (const auto& balancer : balancers) balancer->await_ready();
    for (int i = 0; i < 2 * balancer_count; ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), balancers[i / 2]->port(),
                                                   i % 2 == 0 ? "eingang" : "freigabe", 60, tally));
        clients.back()->start();
    }

    sleep_until_ms(5000);
    const double reset_at = now_ms();
    if (with_trouble()) {
        discovery.set_crowded(true);
        discovery.reset_watches();
    }
    sleep_until_ms(reset_at + 2000);  // STANDING, join+brink: "some seconds before"
    const double drain_at = now_ms();
    discovery.set_health(leaving, "leaving");
    sleep_until_ms(reset_at + crowded_ms);
    if (with_trouble()) discovery.set_crowded(false);
    sleep_until_ms(reset_at + 16000);
    for (const auto& client : clients) client->stop();

    const double last_send = drain_at + told_ms + grace_ms + slack_ms;
    int before = 0, late = 0;
    double latest = 0;
    for (const Arrival& arrival : leaving.arrivals()) {
        before += arrival.first_byte_at < drain_at;
        if (arrival.first_byte_at <= last_send) continue;
        if (late++ < 5)
            record("sent too late, %.0f ms after the drain began: %s %s", arrival.first_byte_at - drain_at,
                   arrival.service.c_str(), arrival.id.c_str());
        latest = arrival.first_byte_at;
    }
    if (before == 0) cannot_run("the upstream got no work before its drain");
    for (const auto& balancer : balancers) {
        if (balancer->has_ended()) cannot_run("a balancer has ended");
    }
    char text[300];
    std::snprintf(
        text, sizeof text,
        "%d sends to the draining upstream later than %.0f ms after its drain began, the last one after %.0f "
        "ms; %d served, %d refused, %d failed, %d lost",
        late, told_ms + grace_ms + slack_ms, late ? latest - drain_at : 0.0, tally.served.load(),
        tally.refused.load(), tally.failed.load(), tally.lost.load());
    finish(late > 0, text);
}
