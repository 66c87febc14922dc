// Responses that could reach a request other than their own: on connections to upstreams, of probes and of
// client requests, on connections to discovery, and on connections of clients.
#include <gtest/gtest.h>

#include <thread>

#include "discovery_peers.h"
#include "net/http.h"
#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

// ------------------------------------------------------------------ connections to upstreams, without a host

// Far longer than the reuse delay.
constexpr auto longer_than_rest = std::chrono::milliseconds(200);

enum class Asker { client, probe };

const std::vector<std::string> report_fields = {"active", "avg_ms"};
const std::string report_body = "active=1,avg_ms=2";
const std::string other_report_body = "active=8,avg_ms=9";

// Collects the results of attempts and probes, in order.
struct Results : net::UpstreamEvents {
    std::vector<net::AttemptResult> attempts;
    std::vector<ProbeResult> probes;

    void on_attempt_result(net::AttemptResult result) override { attempts.push_back(std::move(result)); }
    void on_connected(net::AttemptKey) override {}
    void on_probe_result(ProbeResult result) override { probes.push_back(std::move(result)); }
    std::size_t count() const { return attempts.size() + probes.size(); }
};

// Sends requests to upstreams through net::Upstreams, without a host.
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
    // Responds to the request in flight and waits for its result.
    void answer(Wire& wire, const std::string& bytes) {
        const std::size_t known = results.count();
        wire.say(bytes);
        stage.until([&] { return results.count() > known; });
    }
    // Runs one whole exchange and returns its connection.
    std::shared_ptr<Wire> exchange(Asker asker) {
        send(asker);
        const auto wire = stage.request().first;
        answer(*wire, ok(report_body));
        return wire;
    }
    void pass(std::chrono::milliseconds span) {
        const auto over = std::chrono::steady_clock::now() + span;
        stage.until([&] { return std::chrono::steady_clock::now() >= over; });
    }
    // Expects that the last result of this kind is that of a response with this body.
    void expect_answered(Asker asker, const std::string& body) const {
        if (asker == Asker::probe) {
            EXPECT_EQ(results.probes.back().outcome, Outcome::ok);
            EXPECT_EQ(results.probes.back().report, net::parse_report(body, report_fields));
        } else {
            EXPECT_EQ(results.attempts.back().outcome, Outcome::ok);
            EXPECT_EQ(results.attempts.back().response.body(), body);
        }
    }

    Stage stage{2};
    const net::Clock clock;
    Results results;
    net::Upstreams upstreams{stage.loop, clock, {std::chrono::seconds(5), {}, 8}, report_fields, results};
    RequestId requests = 0;
};

struct Pair {
    Asker first, next;
};

constexpr Pair mixed_pairs[] = {{Asker::probe, Asker::client}, {Asker::client, Asker::probe}};

// A duplicate response, possibly a rejection, has arrived before the next request is sent, and may have been
// read.
TEST(CrossedProbes, ASecondAnswerThatHasComeReachesNeitherAClientNorAProbe) {
    for (const auto& [first, next] : mixed_pairs) {
        for (const std::string& second_answer : {ok(other_report_body), turned_away}) {
            for (const bool read : {true, false}) {
                Connections c;
                const auto wire = c.exchange(first);
                wire->say(second_answer);
                if (read) c.stage.until([&] { return wire->ended; });
                c.send(next);
                const auto other = c.stage.request().first;
                EXPECT_TRUE(other != wire);
                c.answer(*other, ok(report_body));
                c.expect_answered(next, report_body);
            }
        }
    }
}

// A duplicate response to the first request arrives while the next one is in flight, before its own response.
void expect_not_crossed_by_a_late_second_answer(Pair askers) {
    Connections c;
    const auto wire = c.exchange(askers.first);
    c.pass(longer_than_rest);
    c.send(askers.next);
    const auto next = c.stage.request().first;
    wire->say(ok(other_report_body));
    c.answer(*next, ok(report_body));
    c.expect_answered(askers.next, report_body);
}

// Guards against a client that gets a duplicate response to a probe: if probes shared the connections of
// client requests, a duplicate later than the reuse delay could not be told from the awaited response.
TEST(CrossedProbes, AProbesLateSecondAnswerIsNeverGivenToAClient) {
    expect_not_crossed_by_a_late_second_answer({Asker::probe, Asker::client});
}

// Guards against a duplicate response to a client request that counts as the upstream's load report.
TEST(CrossedProbes, AClientsLateSecondAnswerIsNeverTakenForALoadReport) {
    expect_not_crossed_by_a_late_second_answer({Asker::client, Asker::probe});
}

// Guards against a request sent to the former address of its upstream: a connection in use while the address
// changes must not return to the pool.
TEST(CrossedConnections, OneToAFormerAddressCarriesNoFurtherRequest) {
    Connections c;
    c.send(Asker::client);
    const auto wire = c.stage.request().first;
    c.upstreams.set_address(Connections::id, c.stage.upstreams[1]->address());
    c.answer(*wire, ok("from the former"));
    c.expect_answered(Asker::client, "from the former");
    c.pass(longer_than_rest);
    c.send(Asker::client);
    const auto next = c.stage.request().first;
    EXPECT_TRUE(next != wire);
    EXPECT_EQ(c.stage.upstreams[1]->wires.size(), 1U);
}

// --------------------------------------------------------------------------------- rejections, with a host

// A rejection on a connection that has carried another request may be a duplicate response to that one. A
// keyed request in flight may still run, so its client must not be told that nothing has happened.
TEST(CrossedRefusals, AKeyedRequestThatMayRunIsNotAnsweredAsRefused) {
    Stage s(1);
    s.config["settings"]["limits"]["max_attempts"] = 1;
    s.start();
    const auto client = s.client();
    client->say(book());
    const auto wire = s.request().first;
    wire->say(ok());
    EXPECT_EQ(status(s.answer(*client)), 200);
    const auto rested = std::chrono::steady_clock::now() + longer_than_rest;
    s.until([&] { return std::chrono::steady_clock::now() >= rested; });
    client->say(book());
    const auto next = s.request().first;
    ASSERT_TRUE(next == wire) << "the connection was not reused";
    next->say(turned_away);
    EXPECT_EQ(status(s.answer(*client)), 502);
}

// ----------------------------------------------------------------------------------------------- discovery

// A duplicate response to a discovery call follows the first one, in the same segment or in a later one: the
// next call gets its own response.
TEST(CrossedDiscovery, ASecondAnswerToACallIsNeverTaken) {
    const net::ZoneAndKindNames names{{"here", "there"}, {"full node"}};
    for (const bool in_one_piece : {true, false}) {
        Stage s;
        DiscoveryEventRecorder reports;
        net::Discovery client(s.loop, s.discovery.address(), names, reports);
        client.fetch();
        s.until([&] { return received_request(s.discovery, 1); });
        const auto wire = s.discovery.wires[0];
        const std::string first = ok(s.list(8, true).dump()), second = ok(s.list(9, true).dump());
        wire->say(in_one_piece ? first + second : first);
        s.until([&] { return !reports.lists.empty(); });
        client.fetch();
        s.until([&] { return received_request(s.discovery, 2); });
        if (!in_one_piece) wire->say(second);
        s.discovery.wires[1]->say(ok(s.list(10, true).dump()));
        s.until([&] { return reports.lists.size() >= 2; });
        EXPECT_EQ(reports.versions(), (std::vector<std::uint64_t>{8, 10})) << in_one_piece;
        EXPECT_TRUE(reports.failures.empty()) << in_one_piece;
    }
}

// Another response follows the last chunk of a watch: neither it nor what arrives later on that connection
// reaches the next watch.
TEST(CrossedDiscovery, AnAnswerBehindTheEndOfAWatchIsNeverTaken) {
    const net::ZoneAndKindNames names{{"here", "there"}, {"full node"}};
    Stage s;
    DiscoveryEventRecorder reports;
    net::Discovery client(s.loop, s.discovery.address(), names, reports);
    client.watch();
    s.until([&] { return received_request(s.discovery, 1); });
    const auto wire = s.discovery.wires[0];
    const std::string behind = watch_response_head + chunk(s.list(9, true).dump() + "\n");
    wire->say(watch_response_head + chunk(s.list(8, true).dump() + "\n") + last_chunk + behind);
    s.until([&] { return !reports.failures.empty(); });
    client.watch();
    s.until([&] { return received_request(s.discovery, 2); });
    EXPECT_TRUE(has(s.discovery.wires[1]->in, "index=8 "));
    wire->say(behind);
    s.discovery.wires[1]->say(watch_response_head + chunk(s.list(10, true).dump() + "\n"));
    s.until([&] { return reports.lists.size() >= 2; });
    EXPECT_EQ(reports.versions(), (std::vector<std::uint64_t>{8, 10}));
    EXPECT_EQ(reports.failures, std::vector{net::ListFailure::closed});
}

// ------------------------------------------------------------------------------------------------- clients

// Requests that the balancer responds to itself follow one that waits for an upstream: the responses go out
// in the order of the requests.
TEST(CrossedClients, WhatIsAnsweredHereDoesNotOvertakeAnAnswer) {
    Stage s;
    s.start();
    const auto client = s.client();
    const std::string unknown = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
    client->say(look(5000, "first"));
    const auto wire = s.request().first;
    client->say(unknown + ready() + look(5000, "second"));
    settle(s);
    EXPECT_TRUE(client->in.empty());
    wire->say(ok("to the first"));
    EXPECT_TRUE(has(s.answer(*client), "to the first"));
    EXPECT_EQ(status(s.answer(*client)), 404);
    EXPECT_EQ(status(s.answer(*client)), 200);
    const auto [next, request] = s.request();
    EXPECT_TRUE(has(request, "second"));
    next->say(ok("to the second"));
    EXPECT_TRUE(has(s.answer(*client), "to the second"));
}

// Two clients use the same call id, and the responses arrive in reverse order.
TEST(CrossedClients, RequestsOfOneNameGetTheirOwnAnswers) {
    Stage s;
    s.start();
    const auto first = s.client(), second = s.client();
    first->say(look());
    const auto to_first = s.request().first;
    second->say(look());
    const auto to_second = s.request().first;
    to_second->say(ok("to the second"));
    EXPECT_TRUE(has(s.answer(*second), "to the second"));
    to_first->say(ok("to the first"));
    EXPECT_TRUE(has(s.answer(*first), "to the first"));
}

// The first `length` bytes of a request follow another one that is in flight; the remainder comes after its
// response.
void expect_taken_whole(const std::string& request, std::size_t length, const std::string& end) {
    Stage s;
    s.start();
    const auto client = s.client();
    client->say(look() + request.substr(0, length));
    s.request().first->say(ok("to the first"));
    EXPECT_TRUE(has(s.answer(*client), "to the first"));
    settle(s);
    EXPECT_TRUE(s.nothing_sent());
    client->say(request.substr(length));
    const auto [wire, forwarded] = s.request();
    ASSERT_TRUE(wire);
    EXPECT_TRUE(has(forwarded, "X-Call-Class: once\r\n")) << forwarded;
    EXPECT_TRUE(forwarded.ends_with(end)) << forwarded;
    wire->say(ok("to the second"));
    EXPECT_TRUE(has(s.answer(*client), "to the second"));
}

TEST(CrossedClients, ARequestCutInItsHeadBehindAnotherIsTakenWhole) {
    const std::string request = once(5000, "for the second");
    expect_taken_whole(request, request.find("X-Call-Class"), "\r\n\r\nfor the second");
}

// Guards against a body whose first part follows a request in flight and whose remainder is replaced by older
// bytes of the same connection: a read that is in progress while received bytes are consumed writes to the
// wrong place.
TEST(CrossedClients, ARequestCutInItsBodyBehindAnotherIsTakenWhole) {
    const std::string request = once(5000, "for the second");
    expect_taken_whole(request, request.size() - 4, "\r\n\r\nfor the second");
}

// Guards, for the same reason, against running the second of two requests sent at once twice, and a third one
// never.
TEST(CrossedClients, ARequestAfterTwoThatCameTogetherIsTakenForNoOther) {
    Stage s;
    s.start();
    const auto client = s.client();
    const auto expect_served = [&](const std::string& body) {
        const auto [wire, request] = s.request();
        EXPECT_TRUE(request.ends_with("\r\n\r\n" + body)) << request;
        wire->say(ok("served " + body));
        EXPECT_TRUE(has(s.answer(*client), "served " + body));
    };
    client->say(once(5000, "one") + once(5000, "two"));
    expect_served("one");
    expect_served("two");
    client->say(once(5000, "new"));
    expect_served("new");
}

// A request to the balancer itself, of that many bytes in total.
std::string ready_of_size(std::size_t bytes) {
    const std::string head = "GET /ready HTTP/1.1\r\nHost: x\r\nX-Filler: ", end = "\r\n\r\n";
    return head + std::string(bytes - head.size() - end.size(), 'x') + end;
}

// Guards against a connection that is considered idle and closed during shutdown while a request on it has
// been read but not handled. The loop is blocked, so that the shutdown's check and the client's bytes come in
// one turn; the first request ends exactly at the end of a read.
TEST(CrossedClients, ARequestBehindOneThatFillsAReadIsAnsweredInAShutdown) {
    constexpr auto past_first_look = std::chrono::milliseconds(600);
    Stage s(1);
    s.start();
    const auto client = s.client();
    client->say(ready());
    EXPECT_EQ(status(s.answer(*client)), 200);
    s.host->drain();
    client->say(ready_of_size(net::read_most) + look());
    std::this_thread::sleep_for(past_first_look);
    EXPECT_EQ(status(s.answer(*client)), 200);
    const auto wire = s.request().first;
    ASSERT_TRUE(wire);
    wire->say(ok("to the request behind"));
    EXPECT_TRUE(has(s.answer(*client), "to the request behind"));
}

// Long enough after SIGTERM for the host to have begun closing its connections.
constexpr auto past_still_coming = std::chrono::milliseconds(600);

// Begins the shutdown and runs the loop until the host closes its connections.
void drain_until_it_winds_down(Stage& s) {
    s.host->drain();
    const auto winds_down = std::chrono::steady_clock::now() + past_still_coming;
    s.until([&] { return std::chrono::steady_clock::now() >= winds_down; });
}

// Guards against a request dropped during shutdown because it arrives at the moment of the response before it
// and is still unread in its socket. The response and the request are both there before the host looks at
// either.
TEST(CrossedClients, ARequestThatComesWithTheAnswerBeforeItIsAnsweredInAShutdown) {
    Stage s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto client = s.client();
    client->say(look(5000, "one"));
    const auto wire = s.request().first;
    drain_until_it_winds_down(s);
    wire->say(ok("to one"));
    client->say(look(5000, "two"));
    EXPECT_TRUE(has(s.answer(*client), "to one"));
    const auto next = s.request().first;
    ASSERT_TRUE(next);
    next->say(ok("to two"));
    const std::string answer = s.answer(*client);
    EXPECT_TRUE(has(answer, "to two"));
    EXPECT_TRUE(has(answer, "Connection: close")) << "no further request has arrived";
    s.until([&] { return client->ended; });
    client->close();
    s.until([&] { return s.host->drained(); });
}

// Guards against a request that a shutdown cuts in half: its first half follows another request.
TEST(CrossedClients, ARequestCutBehindAnotherIsTakenWholeInAShutdown) {
    const std::string request = look(5000, "second");
    Stage s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto client = s.client();
    client->say(look(5000, "first") + request.substr(0, request.size() / 2));
    const auto wire = s.request().first;
    drain_until_it_winds_down(s);
    wire->say(ok("to the first"));
    EXPECT_TRUE(has(s.answer(*client), "to the first"));
    settle(s);
    EXPECT_FALSE(client->ended);
    client->say(request.substr(request.size() / 2));
    const auto [next, forwarded] = s.request();
    ASSERT_TRUE(next);
    EXPECT_TRUE(has(forwarded, "X-Call-Id: second\r\n")) << forwarded;
    next->say(ok("to the second"));
    EXPECT_TRUE(has(s.answer(*client), "to the second"));
}

// Guards against requests that have been read but get no response before SIGKILL: several came at once, and
// the upstream of the first one hangs throughout the shutdown.
TEST(CrossedClients, AllThatCameTogetherAreAnsweredBeforeTheKill) {
    constexpr auto earliest_kill = std::chrono::milliseconds(3700);
    constexpr int requests = 8;
    Stage s(1);
    s.start();
    const auto client = s.client();
    std::string at_once;
    for (int i = 0; i < requests; ++i) at_once += once();
    client->say(at_once);
    s.request();
    asio::steady_timer kill(s.loop, earliest_kill);
    bool killed = false;
    s.host->drain();
    kill.async_wait([&](auto) { killed = true; });
    int answered = 0;
    s.until([&] {
        answered += !client->take().empty();
        return killed || answered == requests;
    });
    EXPECT_EQ(answered, requests);
    EXPECT_FALSE(killed);
}

// Guards against a request that is read and dropped during shutdown: it arrived whole with the one before it.
TEST(CrossedClients, TheSecondOfTwoThatCameTogetherIsAnsweredInAShutdown) {
    constexpr auto until_it_winds_down = std::chrono::milliseconds(600);
    Stage s(1);
    s.config["settings"]["services"][0]["aim"] = 1500.0;
    s.start();
    const auto client = s.client(), idle = s.client();
    idle->say(ready());
    EXPECT_EQ(status(s.answer(*idle)), 200);
    client->say(look(5000, "one") + look(5000, "two"));
    const auto wire = s.request().first;
    s.host->drain();
    const auto winds_down = std::chrono::steady_clock::now() + until_it_winds_down;
    s.until([&] { return std::chrono::steady_clock::now() >= winds_down; });
    wire->say(ok("to one"));
    EXPECT_TRUE(has(s.answer(*client), "to one"));
    const auto next = s.request().first;
    ASSERT_TRUE(next);
    next->say(ok("to two"));
    EXPECT_TRUE(has(s.answer(*client), "to two"));
}

// A client sends a request and half or all of another one, and disconnects before or after the response to
// the first: nothing of the other one reaches an upstream.
TEST(CrossedClients, NothingIsSentOfWhatStandsBehindAClientThatGoes) {
    struct Case {
        bool whole, answered;
    };
    for (const auto& [whole, answered] : {Case{false, false}, Case{false, true}, Case{true, false}}) {
        Stage s;
        s.start();
        const auto client = s.client();
        const std::string next = once();
        client->say(look() + next.substr(0, next.size() - (whole ? 0 : 2)));
        const auto wire = s.request().first;
        if (answered) {
            wire->say(ok());
            EXPECT_EQ(status(s.answer(*client)), 200);
        }
        settle(s);
        client->close();
        if (!answered) s.until([&] { return wire->ended; });
        settle(s);
        EXPECT_TRUE(s.nothing_sent()) << whole << answered;
        EXPECT_EQ(s.connections(), 1U) << whole << answered;
        s.host.reset();
    }
}

}  // namespace
}  // namespace flaxdoor::test
