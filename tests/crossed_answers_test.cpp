// Answers that could reach another than the one they are meant for: on connections to upstreams, of probes
// and of clients, on those to discovery, and on those of clients.
#include <gtest/gtest.h>

#include <thread>

#include "discovery_peers.h"
#include "net/http.h"
#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

// ------------------------------------------------------------------------- connections to upstreams, by hand

// Far longer than a connection rests after an answer.
constexpr auto longer_than_rest = std::chrono::milliseconds(200);

enum class Asker { client, probe };

const std::vector<std::string> report_fields = {"active", "avg_ms"};
const std::string report_body = "active=1,avg_ms=2";
const std::string other_report_body = "active=8,avg_ms=9";

// What came of clients' attempts and of probes, in order.
struct Results : net::UpstreamEvents {
    std::vector<net::AttemptResult> attempts;
    std::vector<ProbeResult> probes;

    void on_attempt_result(net::AttemptResult result) override { attempts.push_back(std::move(result)); }
    void on_connection(net::AttemptKey) override {}
    void on_probe_result(ProbeResult result) override { probes.push_back(std::move(result)); }
    std::size_t count() const { return attempts.size() + probes.size(); }
};

// Connections to upstreams without a host round them.
struct Connections {
    static constexpr UpstreamId id = 1;

    Connections() { upstreams.set_address(id, stage.upstreams[0]->address()); }

    void send(Asker asker) {
        const Time expires = clock.now() + std::chrono::seconds(15);
        if (asker == Asker::probe) {
            upstreams.probe(id, "/status/load", expires);
        } else {
            net::HttpRequest request(boost::beast::http::verb::get, "/api", 11);
            upstreams.send({++requests, 0}, id, std::move(request), expires, expires);
        }
    }
    // The answer to the request that is out.
    void answer(PeerConnection& wire, const std::string& bytes) {
        const std::size_t known = results.count();
        wire.send(bytes);
        stage.run_until([&] { return results.count() > known; });
    }
    // One whole exchange, and the connection that it went over.
    std::shared_ptr<PeerConnection> exchange(Asker asker) {
        send(asker);
        const auto wire = stage.await_request().first;
        answer(*wire, ok_response(report_body));
        return wire;
    }
    void pass(std::chrono::milliseconds span) {
        const auto over = std::chrono::steady_clock::now() + span;
        stage.run_until([&] { return std::chrono::steady_clock::now() >= over; });
    }
    // The last result of this kind is that of an answer with this body.
    void expect_answered(Asker asker, const std::string& body) const {
        if (asker == Asker::probe) {
            EXPECT_EQ(results.probes.back().outcome, Outcome::ok);
            EXPECT_EQ(results.probes.back().report, net::parse_report(body, report_fields));
        } else {
            EXPECT_EQ(results.attempts.back().outcome, Outcome::ok);
            EXPECT_EQ(results.attempts.back().answer.body(), body);
        }
    }

    HostHarness stage{2};
    const net::Clock clock;
    Results results;
    net::Upstreams upstreams{stage.loop, clock, {std::chrono::seconds(5), {}, 8}, report_fields, results};
    RequestId requests = 0;
};

struct Pair {
    Asker first, next;
};

constexpr Pair mixed_pairs[] = {{Asker::probe, Asker::client}, {Asker::client, Asker::probe}};

// A second answer, be it a refusal, that has come before the next request goes out, read or unread.
TEST(CrossedProbes, ASecondAnswerThatHasComeReachesNeitherAClientNorAProbe) {
    for (const auto& [first, next] : mixed_pairs) {
        for (const std::string& second_answer : {ok_response(other_report_body), turned_away}) {
            for (const bool read : {true, false}) {
                Connections c;
                const auto wire = c.exchange(first);
                wire->send(second_answer);
                if (read) c.stage.run_until([&] { return wire->peer_closed; });
                c.send(next);
                const auto other = c.stage.await_request().first;
                EXPECT_TRUE(other != wire);
                c.answer(*other, ok_response(report_body));
                c.expect_answered(next, report_body);
            }
        }
    }
}

// A second answer to the first one's request comes when the next one's is out, and before its own answer.
void expect_not_crossed_by_a_late_second_answer(Pair askers) {
    Connections c;
    const auto wire = c.exchange(askers.first);
    c.pass(longer_than_rest);
    c.send(askers.next);
    const auto next = c.stage.await_request().first;
    wire->send(ok_response(other_report_body));
    c.answer(*next, ok_response(report_body));
    c.expect_answered(askers.next, report_body);
}

// Guards against a client that gets the second answer to a probe as its own: where probes go over the
// connections of clients' requests, one that comes later than the rest can't be told from the one waited for.
TEST(CrossedProbes, AProbesLateSecondAnswerIsNeverGivenToAClient) {
    expect_not_crossed_by_a_late_second_answer({Asker::probe, Asker::client});
}

// Guards against a client's second answer that counts as the upstream's load report.
TEST(CrossedProbes, AClientsLateSecondAnswerIsNeverTakenForALoadReport) {
    expect_not_crossed_by_a_late_second_answer({Asker::client, Asker::probe});
}

// Guards against a request that goes to the address its upstream has left: what is out while the address
// changes must not bring its connection back into the pool.
TEST(CrossedConnections, OneToAFormerAddressCarriesNoFurtherRequest) {
    Connections c;
    c.send(Asker::client);
    const auto wire = c.stage.await_request().first;
    c.upstreams.set_address(Connections::id, c.stage.upstreams[1]->address());
    c.answer(*wire, ok_response("from the former"));
    c.expect_answered(Asker::client, "from the former");
    c.pass(longer_than_rest);
    c.send(Asker::client);
    const auto next = c.stage.await_request().first;
    EXPECT_TRUE(next != wire);
    EXPECT_EQ(c.stage.upstreams[1]->connections.size(), 1U);
}

// --------------------------------------------------------------------------------- refusals, before a host

// A refusal on a connection that has carried another request may be a second answer to that one: a keyed
// request that it meets may run, so that its client is not told that nothing has happened.
TEST(CrossedRefusals, AKeyedRequestThatMayRunIsNotAnsweredAsRefused) {
    HostHarness s(1);
    s.config["settings"]["limits"]["max_attempts"] = 1;
    s.start();
    const auto client = s.connect_client();
    client->send(deduplicated_request());
    const auto wire = s.await_request().first;
    wire->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    const auto rested = std::chrono::steady_clock::now() + longer_than_rest;
    s.run_until([&] { return std::chrono::steady_clock::now() >= rested; });
    client->send(deduplicated_request());
    const auto next = s.await_request().first;
    ASSERT_TRUE(next == wire) << "the connection was not kept";
    next->send(turned_away);
    EXPECT_EQ(status_code(s.await_response(*client)), 502);
}

// ----------------------------------------------------------------------------------------------- discovery

// Behind the answer to a call stands a second one, in the same piece or in one that comes later: the next
// call gets its own answer.
TEST(CrossedDiscovery, ASecondAnswerToACallIsNeverTaken) {
    const net::ListNames names{{"here", "there"}, {"full node"}};
    for (const bool in_one_piece : {true, false}) {
        HostHarness s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), names, reports);
        client.fetch();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.connections[0];
        const std::string first = ok_response(s.list_json(8, true).dump()),
                          second = ok_response(s.list_json(9, true).dump());
        wire->send(in_one_piece ? first + second : first);
        s.run_until([&] { return !reports.lists.empty(); });
        client.fetch();
        s.run_until([&] { return asked(s.discovery, 2); });
        if (!in_one_piece) wire->send(second);
        s.discovery.connections[1]->send(ok_response(s.list_json(10, true).dump()));
        s.run_until([&] { return reports.lists.size() >= 2; });
        EXPECT_EQ(reports.versions(), (std::vector<std::uint64_t>{8, 10})) << in_one_piece;
        EXPECT_TRUE(reports.failures.empty()) << in_one_piece;
    }
}

// Behind the last chunk of a watch stands another answer: neither it nor what comes later on that connection
// reaches the next watch.
TEST(CrossedDiscovery, AnAnswerBehindTheEndOfAWatchIsNeverTaken) {
    const net::ListNames names{{"here", "there"}, {"full node"}};
    HostHarness s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), names, reports);
    client.watch();
    s.run_until([&] { return asked(s.discovery, 1); });
    const auto wire = s.discovery.connections[0];
    const std::string behind = watch_head + chunk(s.list_json(9, true).dump() + "\n");
    wire->send(watch_head + chunk(s.list_json(8, true).dump() + "\n") + last_chunk + behind);
    s.run_until([&] { return !reports.failures.empty(); });
    client.watch();
    s.run_until([&] { return asked(s.discovery, 2); });
    EXPECT_TRUE(contains(s.discovery.connections[1]->received, "index=8 "));
    wire->send(behind);
    s.discovery.connections[1]->send(watch_head + chunk(s.list_json(10, true).dump() + "\n"));
    s.run_until([&] { return reports.lists.size() >= 2; });
    EXPECT_EQ(reports.versions(), (std::vector<std::uint64_t>{8, 10}));
    EXPECT_EQ(reports.failures, std::vector{net::ListFailure::closed});
}

// ------------------------------------------------------------------------------------------------- clients

// What is answered here, without an upstream, stands behind a request that waits for one: the answers go out
// in the order of the requests.
TEST(CrossedClients, WhatIsAnsweredHereDoesNotOvertakeAnAnswer) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    const std::string unknown = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
    client->send(idempotent_request(5000, "first"));
    const auto wire = s.await_request().first;
    client->send(unknown + ready_request() + idempotent_request(5000, "second"));
    settle(s);
    EXPECT_TRUE(client->received.empty());
    wire->send(ok_response("to the first"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the first"));
    EXPECT_EQ(status_code(s.await_response(*client)), 404);
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    const auto [next, request] = s.await_request();
    EXPECT_TRUE(contains(request, "second"));
    next->send(ok_response("to the second"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the second"));
}

// Two clients name their requests alike, and are answered in the other order.
TEST(CrossedClients, RequestsOfOneNameGetTheirOwnAnswers) {
    HostHarness s;
    s.start();
    const auto first = s.connect_client(), second = s.connect_client();
    first->send(idempotent_request());
    const auto to_first = s.await_request().first;
    second->send(idempotent_request());
    const auto to_second = s.await_request().first;
    to_second->send(ok_response("to the second"));
    EXPECT_TRUE(contains(s.await_response(*second), "to the second"));
    to_first->send(ok_response("to the first"));
    EXPECT_TRUE(contains(s.await_response(*first), "to the first"));
}

// The first `length` bytes of a request stand behind another one that waits; the rest comes after its answer.
void expect_taken_whole(const std::string& request, std::size_t length, const std::string& end) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    client->send(idempotent_request() + request.substr(0, length));
    s.await_request().first->send(ok_response("to the first"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the first"));
    settle(s);
    EXPECT_TRUE(s.no_unread_requests());
    client->send(request.substr(length));
    const auto [wire, forwarded] = s.await_request();
    ASSERT_TRUE(wire);
    EXPECT_TRUE(contains(forwarded, "X-Call-Class: once\r\n")) << forwarded;
    EXPECT_TRUE(forwarded.ends_with(end)) << forwarded;
    wire->send(ok_response("to the second"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the second"));
}

TEST(CrossedClients, ARequestCutInItsHeadBehindAnotherIsTakenWhole) {
    const std::string request = at_most_once_request(5000, "for the second");
    expect_taken_whole(request, request.find("X-Call-Class"), "\r\n\r\nfor the second");
}

// Guards against the rest of a body, begun behind a request that waits, that is replaced by older bytes of
// the same connection: a read under way while the bytes that have come are consumed writes beside their
// place.
TEST(CrossedClients, ARequestCutInItsBodyBehindAnotherIsTakenWhole) {
    const std::string request = at_most_once_request(5000, "for the second");
    expect_taken_whole(request, request.size() - 4, "\r\n\r\nfor the second");
}

// Guards, for the same reason, against the second of two requests sent at once that runs twice, and a third
// that never does.
TEST(CrossedClients, ARequestAfterTwoThatCameTogetherIsTakenForNoOther) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    const auto expect_served = [&](const std::string& body) {
        const auto [wire, request] = s.await_request();
        EXPECT_TRUE(request.ends_with("\r\n\r\n" + body)) << request;
        wire->send(ok_response("served " + body));
        EXPECT_TRUE(contains(s.await_response(*client), "served " + body));
    };
    client->send(at_most_once_request(5000, "one") + at_most_once_request(5000, "two"));
    expect_served("one");
    expect_served("two");
    client->send(at_most_once_request(5000, "new"));
    expect_served("new");
}

// A request for this host itself, of so many bytes.
std::string ready_of_size(std::size_t bytes) {
    const std::string head = "GET /ready HTTP/1.1\r\nHost: x\r\nX-Filler: ", end = "\r\n\r\n";
    return head + std::string(bytes - head.size() - end.size(), 'x') + end;
}

// Guards against a connection that is taken for idle, and closed in a shutdown, while a request on it has
// been read and not been handled. The loop is held up, so that the shutdown's look and the client's bytes
// come in one turn; the first request ends with what is read at once.
TEST(CrossedClients, ARequestBehindOneThatFillsAReadIsAnsweredInAShutdown) {
    constexpr auto past_first_look = std::chrono::milliseconds(600);
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    client->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    s.host->drain();
    client->send(ready_of_size(net::max_read_bytes) + idempotent_request());
    std::this_thread::sleep_for(past_first_look);
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    const auto wire = s.await_request().first;
    ASSERT_TRUE(wire);
    wire->send(ok_response("to the request behind"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the request behind"));
}

// Long after SIGTERM: the host winds down.
constexpr auto past_still_coming = std::chrono::milliseconds(600);

// Runs the loop until the shutdown that begins now winds down.
void drain_until_it_winds_down(HostHarness& s) {
    s.host->drain();
    const auto winds_down = std::chrono::steady_clock::now() + past_still_coming;
    s.run_until([&] { return std::chrono::steady_clock::now() >= winds_down; });
}

// Guards against a request dropped in a shutdown that comes in the very moment of the answer before it: it
// stands unread in its socket then. The answer and the request are both there before the host looks at
// either.
TEST(CrossedClients, ARequestThatComesWithTheAnswerBeforeItIsAnsweredInAShutdown) {
    HostHarness s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto client = s.connect_client();
    client->send(idempotent_request(5000, "one"));
    const auto wire = s.await_request().first;
    drain_until_it_winds_down(s);
    wire->send(ok_response("to one"));
    client->send(idempotent_request(5000, "two"));
    EXPECT_TRUE(contains(s.await_response(*client), "to one"));
    const auto next = s.await_request().first;
    ASSERT_TRUE(next);
    next->send(ok_response("to two"));
    const std::string answer = s.await_response(*client);
    EXPECT_TRUE(contains(answer, "to two"));
    EXPECT_TRUE(contains(answer, "Connection: close")) << "nothing more has come";
    s.run_until([&] { return client->peer_closed; });
    client->close();
    s.run_until([&] { return s.host->drained(); });
}

// Guards against a request that a shutdown cuts off in the middle: its first half stands behind another.
TEST(CrossedClients, ARequestCutBehindAnotherIsTakenWholeInAShutdown) {
    const std::string request = idempotent_request(5000, "second");
    HostHarness s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto client = s.connect_client();
    client->send(idempotent_request(5000, "first") + request.substr(0, request.size() / 2));
    const auto wire = s.await_request().first;
    drain_until_it_winds_down(s);
    wire->send(ok_response("to the first"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the first"));
    settle(s);
    EXPECT_FALSE(client->peer_closed);
    client->send(request.substr(request.size() / 2));
    const auto [next, forwarded] = s.await_request();
    ASSERT_TRUE(next);
    EXPECT_TRUE(contains(forwarded, "X-Call-Id: second\r\n")) << forwarded;
    next->send(ok_response("to the second"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the second"));
}

// Guards against requests that have been read and get no answer before SIGKILL: several came at once, and the
// upstream of the first one hangs through the whole shutdown.
TEST(CrossedClients, AllThatCameTogetherAreAnsweredBeforeTheKill) {
    constexpr auto earliest_kill = std::chrono::milliseconds(3700);
    constexpr int requests = 8;
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    std::string at_once;
    for (int i = 0; i < requests; ++i) at_once += at_most_once_request();
    client->send(at_once);
    s.await_request();
    asio::steady_timer kill(s.loop, earliest_kill);
    bool killed = false;
    s.host->drain();
    kill.async_wait([&](auto) { killed = true; });
    int answered = 0;
    s.run_until([&] {
        answered += !client->take_message().empty();
        return killed || answered == requests;
    });
    EXPECT_EQ(answered, requests);
    EXPECT_FALSE(killed);
}

// Guards against a request that is read and dropped in a shutdown: it came whole with the one before it.
TEST(CrossedClients, TheSecondOfTwoThatCameTogetherIsAnsweredInAShutdown) {
    constexpr auto until_it_winds_down = std::chrono::milliseconds(600);
    HostHarness s(1);
    s.config["settings"]["services"][0]["aim"] = 1500.0;
    s.start();
    const auto client = s.connect_client(), idle = s.connect_client();
    idle->send(ready_request());
    EXPECT_EQ(status_code(s.await_response(*idle)), 200);
    client->send(idempotent_request(5000, "one") + idempotent_request(5000, "two"));
    const auto wire = s.await_request().first;
    s.host->drain();
    const auto winds_down = std::chrono::steady_clock::now() + until_it_winds_down;
    s.run_until([&] { return std::chrono::steady_clock::now() >= winds_down; });
    wire->send(ok_response("to one"));
    EXPECT_TRUE(contains(s.await_response(*client), "to one"));
    const auto next = s.await_request().first;
    ASSERT_TRUE(next);
    next->send(ok_response("to two"));
    EXPECT_TRUE(contains(s.await_response(*client), "to two"));
}

// A client sends a request, and half of a further one or all of it, and goes, before the answer to the first
// or behind it: nothing of the further one reaches an upstream.
TEST(CrossedClients, NothingIsSentOfWhatStandsBehindAClientThatGoes) {
    struct Case {
        bool whole, answered;
    };
    for (const auto& [whole, answered] : {Case{false, false}, Case{false, true}, Case{true, false}}) {
        HostHarness s;
        s.start();
        const auto client = s.connect_client();
        const std::string next = at_most_once_request();
        client->send(idempotent_request() + next.substr(0, next.size() - (whole ? 0 : 2)));
        const auto wire = s.await_request().first;
        if (answered) {
            wire->send(ok_response());
            EXPECT_EQ(status_code(s.await_response(*client)), 200);
        }
        settle(s);
        client->close();
        if (!answered) s.run_until([&] { return wire->peer_closed; });
        settle(s);
        EXPECT_TRUE(s.no_unread_requests()) << whole << answered;
        EXPECT_EQ(s.upstream_connection_count(), 1U) << whole << answered;
        s.host.reset();
    }
}

}  // namespace
}  // namespace flaxdoor::test
