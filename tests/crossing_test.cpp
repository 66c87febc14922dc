// Where two events can cross, over loopback sockets: the peer brings the bad order about every time, by what
// it has seen, never by waiting for time to pass.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <optional>
#include <set>

#include "discovery_peers.h"
#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

// ------------------------------------------------------------------------------------------------- lists

// Six requests one after another: none of them may reach the first upstream.
void expect_none_to_first(HostHarness& s) {
    const auto client = s.connect_client();
    for (int i = 0; i < 6; ++i) {
        client->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
    }
    EXPECT_TRUE(s.upstreams[0]->connections.empty());
}

// An older version, as changes or as a whole, in the middle of a watch or first on a new one, takes back
// nothing.
TEST(Lists, AVersionThatGoesBackTakesBackNothing) {
    for (const bool whole : {false, true}) {
        for (const bool anew : {false, true}) {
            HostHarness s;
            s.start();
            s.run_until([&] { return asked(s.discovery, 1); });
            auto wire = s.discovery.connections[0];
            json news = s.list_json(11, false);
            news["hosts"] = {s.upstream_json(0, "leaving")};
            wire->send(watch_head + chunk(news.dump() + "\n"));
            if (anew) {
                wire->close();
                s.run_until([&] { return asked(s.discovery, 2); });
                wire = s.discovery.connections[1];
                wire->send(watch_head);
            }
            wire->send(chunk(s.list_json(10, whole).dump() + "\n"));
            settle(s);
            expect_none_to_first(s);
            s.host.reset();
        }
    }
}

// Where lists are pushed, what the agent has counts as told while no watch stands: after a watch that was cut
// the next one is there before half of a short grace is over.
TEST(Lists, APushedWatchIsBackWithinTheGrace) {
    for (const bool reset : {false, true}) {
        HostHarness s;
        s.config["settings"]["registry_mode"] = "push";
        s.config["settings"]["invariants"]["drain_grace"] = 400.0;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        s.discovery.connections[0]->send(watch_head + chunk("\n"));
        settle(s);
        asio::steady_timer grace(s.loop, std::chrono::milliseconds(400));
        bool over = false;
        if (reset) {
            s.discovery.connections[0]->reset();
        } else {
            s.discovery.connections[0]->close();
        }
        grace.async_wait([&](auto) { over = true; });
        s.run_until([&] { return over || asked(s.discovery, 2); });
        EXPECT_FALSE(over);
        s.host.reset();
    }
}

// -------------------------------------------------------------------------------------- idle connections
//
// on a kept connection   | what crosses
// bytes, nothing asked   | Kept.DropsAConnectionThatSpeaksUnasked
// a second answer, late  | Idle.ASecondAnswerIsNeverGivenToTheNextRequest; later than the rest:
//                        | Idle.ASecondAnswerLaterThanTheRestIsNeverGivenToTheNextRequest, and
//                        | Idle.AfterASecondAnswerNoLaterOneReachesAnotherRequest
// a refusal              | Idle.ARefusalThatMayBelongToAnotherProvesNothing and what follows it
// the upstream's end     | Kept.NoticesAnEndBeforeReuse, Idle.AnEndBehindARequestIsAReset
// our own idle close     | Kept.ClosesBeforeTheToldIdleLimit

// The second answer comes once the next request is there.
TEST(Idle, ASecondAnswerIsNeverGivenToTheNextRequest) {
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    client->send(idempotent_request(5000, "first"));
    const auto wire = s.await_request().first;
    wire->send(ok_response("to the first"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the first"));
    client->send(idempotent_request(5000, "second"));
    const auto next = s.await_request().first;
    wire->send(ok_response("to the first, again"));
    settle(s);
    next->send(ok_response("to the second"));
    EXPECT_TRUE(contains(s.await_response(*client), "to the second"));
}

// Far more than go out while a connection rests: a program that keeps connections uses one twice by then.
constexpr int most_requests_before_reuse = 500;

// Sends the same request until one goes out on a connection that has carried another, which is returned with
// its client; none when each has a connection of its own. All others are served.
std::optional<std::pair<std::shared_ptr<PeerConnection>, std::shared_ptr<PeerConnection>>>
one_on_a_kept_connection(HostHarness& s, const std::string& request) {
    std::set<std::shared_ptr<PeerConnection>> used;
    for (int i = 0; i < most_requests_before_reuse; ++i) {
        const auto client = s.connect_client();
        client->send(request);
        const auto wire = s.await_request().first;
        if (!used.insert(wire).second) return std::pair{client, wire};
        wire->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
        client->close();
    }
    return std::nullopt;
}

// What happens: an upstream answers a request twice, the second time after its connection has been put to use
// again; the next request gets the answer of the one before. Why: a kept connection rests for 10 ms, and what
// comes later can't be told from the answer that is waited for, as answers name no request.
TEST(Idle, ASecondAnswerLaterThanTheRestIsNeverGivenToTheNextRequest) {
    HostHarness s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, idempotent_request());
    if (!kept) {  // then a second answer may have no connection left on which to come
        s.run_until([&] { return s.all_upstream_connections_closed(); });
        return;
    }
    const auto& [client, wire] = *kept;
    wire->send(ok_response("to the one before, again"));
    EXPECT_FALSE(contains(s.await_response(*client), "to the one before"));
}

// Guards against wrong answers from an upstream that has answered twice before: its connections carry one
// request each from then on, so that a second answer, however late, reaches none.
TEST(Idle, AfterASecondAnswerNoLaterOneReachesAnotherRequest) {
    for (const bool behind_the_first : {true, false}) {
        HostHarness s(1);
        s.start();
        const auto client = s.connect_client();
        client->send(idempotent_request());
        auto wire = s.await_request().first;
        wire->send(behind_the_first ? ok_response() + ok_response() : ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
        if (!behind_the_first) wire->send(ok_response());
        s.run_until([&] { return wire->peer_closed; });
        std::set<std::shared_ptr<PeerConnection>> used{wire};
        for (int i = 0; i < 12; ++i) {
            client->send(idempotent_request());
            wire = s.await_request().first;
            // On a connection that has carried another request, this could be its second answer.
            wire->send(used.insert(wire).second ? ok_response("to this") : ok_response("to another"));
            EXPECT_TRUE(contains(s.await_response(*client), "to this"));
        }
        s.host.reset();
    }
}

// Writes down the outcomes of attempts.
struct Outcomes : net::UpstreamEvents {
    std::vector<Outcome> all;
    void on_attempt_result(net::AttemptResult result) override { all.push_back(result.outcome); }
    void on_connection(net::AttemptKey) override {}
    void on_probe_result(ProbeResult) override {}
};

// Guards against an upstream that costs a connection for each request for good.
TEST(Idle, AnUpstreamThatHasLongAnsweredOnceKeepsItsConnectionsAgain) {
    HostHarness s(1);
    Outcomes outcomes;
    const net::Clock clock;
    net::UpstreamLimits limits{std::chrono::seconds(5), {}, 8};
    limits.single_use = std::chrono::milliseconds(300);
    net::Upstreams upstreams(s.loop, clock, limits, {}, outcomes);
    upstreams.set_address(1, s.upstreams[0]->address());
    int sent = 0;
    const auto exchange = [&](const std::string& answer) {
        net::HttpRequest request(boost::beast::http::verb::get, "/api", 11);
        const Time expires = clock.now() + std::chrono::seconds(15);
        upstreams.send({1, sent++}, 1, std::move(request), expires, expires);
        s.await_request().first->send(answer);
        s.run_until([&] { return outcomes.all.size() == static_cast<std::size_t>(sent); });
        EXPECT_EQ(outcomes.all.back(), Outcome::ok);
    };
    exchange(ok_response() + ok_response());
    const Time over = clock.now() + limits.single_use;
    exchange(ok_response());
    EXPECT_EQ(upstreams.idle(1), 0U);
    s.run_until([&] { return clock.now() >= over; });
    exchange(ok_response());
    EXPECT_EQ(upstreams.idle(1), 1U);
}

// A second answer may be a refusal, and come at any time: on a connection that has carried others before, a
// refusal doesn't prove that a request of which the effect counts never ran.
TEST(Idle, ARefusalThatMayBelongToAnotherProvesNothing) {
    HostHarness s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, at_most_once_request());
    ASSERT_TRUE(kept) << "no connection was used twice";
    const auto& [client, wire] = *kept;
    wire->send(turned_away);
    EXPECT_EQ(status_code(s.await_response(*client)), 502);
    EXPECT_TRUE(s.no_unread_requests());
}

// What is harmless twice goes elsewhere at once, as before.
TEST(Idle, ARefusalOnAKeptConnectionSendsAHarmlessRequestOn) {
    HostHarness s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, idempotent_request());
    ASSERT_TRUE(kept) << "no connection was used twice";
    const auto& [client, wire] = *kept;
    wire->send(turned_away);
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
}

// The first answer on a connection belongs to its request.
TEST(Idle, ARefusalOnANewConnectionIsProof) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    client->send(at_most_once_request());
    s.await_request().first->send(turned_away);
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
}

// Behind a refusal comes more: it can't be told which of the two is the answer.
TEST(Idle, ARefusalWithBytesBehindItProvesNothing) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    client->send(at_most_once_request());
    s.await_request().first->send(turned_away + ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 502);
    EXPECT_TRUE(s.no_unread_requests());
}

// An upstream that ends with the request just read: it may have run, and an unsafe one is not sent again.
TEST(Idle, AnEndBehindARequestIsAReset) {
    HostHarness s;
    s.start();
    const auto client = s.connect_client();
    client->send(at_most_once_request());
    s.await_request().first->close();
    EXPECT_EQ(status_code(s.await_response(*client)), 502);
    EXPECT_TRUE(s.no_unread_requests());
}

// -------------------------------------------------------------------------------------------- hand-overs
//
// the request waits for  | its client leaves
// a gap                  | HandOver.NothingIsSentOnAfterAGap, also with more bytes behind it than are read
// a connection           | HandOver.NothingIsSentOnOverAConnectionThatComesUp, whether it may be cancelled or
// not its turn in the loop   | HandOver.ALeavingThatIsNotYetReadIsNoticed its answer             |
// Serving.ClientThatLeavesEndsItsAttempt

// Another client's request waits out the same gap and began later: when it is sent on, this one's gap is
// over.
TEST(HandOver, NothingIsSentOnAfterAGap) {
    for (const std::size_t behind : {0, 400000}) {
        HostHarness s;
        s.config["settings"]["services"][0]["aim"] = 1000.0;
        s.start();
        const auto client = s.connect_client(), other = s.connect_client();
        client->send(idempotent_request(5000, "leaves"));
        s.await_request().first->reset();
        settle(s);
        client->send(std::string(behind, 'x'));
        settle(s);
        client->close();
        other->send(idempotent_request(5000, "stays"));
        s.await_request().first->reset();
        const auto [wire, request] = s.await_request();
        EXPECT_TRUE(contains(request, "stays")) << behind;
        wire->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*other)), 200);
        s.host.reset();
    }
}

// The client's end stands in its socket, also behind more bytes than one turn reads, when the outcome is read
// that sends its request on.
TEST(HandOver, ALeavingThatIsNotYetReadIsNoticed) {
    for (const std::size_t behind : {0, 20000}) {
        HostHarness s;
        s.start();
        const auto client = s.connect_client();
        client->send(idempotent_request());
        const auto wire = s.await_request().first;
        wire->send(turned_away);
        client->send(std::string(behind, 'x'));
        client->close();
        settle(s);
        EXPECT_TRUE(s.no_unread_requests()) << behind;
        EXPECT_EQ(s.upstream_connection_count(), 1U) << behind;
        s.host.reset();
    }
}

// Sends requests until one waits for a connection to the slow upstream, and returns its client.
std::shared_ptr<PeerConnection> one_that_waits(HostHarness& s) {
    for (;;) {
        const auto client = s.connect_client();
        client->send(idempotent_request());
        settle(s);
        std::shared_ptr<PeerConnection> served;
        for (const auto& wire : s.upstreams[1]->connections) {
            if (!wire->take_message().empty()) served = wire;
        }
        if (!served) return client;
        served->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
    }
}

TEST(HandOver, NothingIsSentOnOverAConnectionThatComesUp) {
    for (const bool may_cancel : {true, false}) {
        HostHarness s;
        allow_slow_connections(s);
        s.config["settings"]["limits"]["cancel"] = may_cancel;
        Slow slow(s);
        s.start();
        const auto client = one_that_waits(s);
        client->close();
        settle(s);
        slow.let(s);
        for (const auto& wire : slow.wires) EXPECT_FALSE(contains(wire->received, "GET")) << may_cancel;
        s.host.reset();
    }
}

// The connection comes up in the turn in which the client's end is noticed: what is withdrawn then, before
// the first byte, is not sent.
TEST(HandOver, WhatIsWithdrawnAsItsConnectionComesUpIsNotSent) {
    struct Sink : net::UpstreamEvents {
        net::Upstreams* upstreams = nullptr;
        std::optional<Outcome> outcome;
        void on_attempt_result(net::AttemptResult result) override { outcome = result.outcome; }
        void on_connection(net::AttemptKey) override {
            upstreams->withdraw([](net::AttemptKey, UpstreamId) { return true; });
        }
        void on_probe_result(ProbeResult) override {}
    };
    HostHarness s(1);
    Sink sink;
    const net::Clock clock;
    net::Upstreams upstreams(s.loop, clock, {std::chrono::seconds(5), {}, 8}, {}, sink);
    sink.upstreams = &upstreams;
    upstreams.set_address(1, s.upstreams[0]->address());
    net::HttpRequest request(boost::beast::http::verb::get, "/api", 11);
    const Time expires = clock.now() + std::chrono::seconds(15);
    upstreams.send({1, 0}, 1, std::move(request), expires, expires);
    s.run_until([&] {
        return sink.outcome && s.upstream_connection_count() == 1 &&
               s.upstreams[0]->connections[0]->peer_closed;
    });
    EXPECT_EQ(sink.outcome, Outcome::not_sent);
    EXPECT_TRUE(s.no_unread_requests());
}

// The list takes an upstream away while a connection there comes up: the request goes to another at once.
TEST(HandOver, AnUpstreamThatIsTakenAwayGetsNoRequestOverAConnectionThatComesUp) {
    for (const std::string how : {"leaving", "left", "not named"}) {
        HostHarness s;
        allow_slow_connections(s);
        Slow slow(s);
        s.start();
        const auto client = one_that_waits(s);
        json news = s.list_json(9, how == "not named");
        news["hosts"] = {how == "not named" ? s.upstream_json(1) : s.upstream_json(0, how.c_str())};
        news["hosts"][0]["dial"] =
            how == "not named" ? news["hosts"][0]["dial"] : s.config["known"]["hosts"][0]["dial"];
        s.run_until([&] { return asked(s.discovery, 1); });
        s.discovery.connections[0]->send(watch_head + chunk(news.dump() + "\n"));
        settle(s);
        slow.let(s);
        for (const auto& wire : slow.wires) EXPECT_FALSE(contains(wire->received, "GET")) << how;
        s.await_request().first->send(ok_response("from the other"));
        EXPECT_TRUE(contains(s.await_response(*client), "from the other")) << how;
        s.host.reset();
    }
}

// ----------------------------------------------------------------------------------------------- repeats
//
// a request that may have run  | what crosses its repeat
// keyed                        | the window's end, a connection comes up:
// Repeats.AKeyedOneStaysWithinItsWindow

// The connection for the repeat comes up when the group has forgotten the first attempt.
TEST(Repeats, AKeyedOneStaysWithinItsWindow) {
    const std::chrono::milliseconds window(600);
    HostHarness s;
    allow_slow_connections(s);
    s.config["settings"]["services"][1]["aim"] = 200.0;
    s.config["settings"]["services"][1]["window"] = 600.0;
    s.config["settings"]["limits"]["max_attempts"] = 2;  // so that the repeat waits without a time-out
    Slow slow(s);
    s.start();
    std::shared_ptr<PeerConnection> client, first;
    while (!first) {  // until one goes to the other upstream first
        client = s.connect_client();
        client->send(deduplicated_request());
        settle(s);
        for (const auto& wire : s.upstreams[1]->connections) {
            if (!wire->take_message().empty()) first = wire;
        }
        if (!first) client->close();
    }
    asio::steady_timer forgets(s.loop, window);
    bool forgotten = false;
    forgets.async_wait([&](auto) { forgotten = true; });
    first->reset();
    s.run_until([&] { return forgotten; });
    slow.let(s);
    for (const auto& wire : slow.wires) EXPECT_FALSE(contains(wire->received, "POST"));
    EXPECT_EQ(status_code(s.await_response(*client)), 502);
}

// ---------------------------------------------------------------------------------------------- shutdown
//
// state of the request   | SIGTERM, and up to SIGKILL
// not sent yet, unread   | Shutdown.AFreshConnectionGetsToSendItsRequest, .ConnectionsNotYetAcceptedAreServed
// half read              | Drain.WaitsForARequestThatIsComing
// waits for a gap        | Shutdown.ARequestThatWaitsIsAnswered
// out at an upstream     | Drain.ServesWhatComesAndThenEnds, Shutdown.ADeadlineBeyondTheKillIsCutShort
// being answered         | Shutdown.AnAnswerHalfWrittenIsFinished
// next on a kept one     | Shutdown.RequestsThatCrossTheCloseAreAnswered

bool ended(HostHarness& s) { return s.host->drained(); }

// The longest deadline counts as 3 s at most: a request with more must have its answer before the kill,
// whether it came before SIGTERM or after, and though its upstream hangs.
TEST(Shutdown, ADeadlineBeyondTheKillIsCutShort) {
    HostHarness s;
    s.start();
    const auto before = s.connect_client();
    before->send(at_most_once_request(5000));
    const auto hangs = s.await_request().first;
    asio::steady_timer kill(s.loop, std::chrono::milliseconds(3700));
    bool killed = false;
    s.host->drain();
    kill.async_wait([&](auto) { killed = true; });
    const auto after = s.connect_client();
    after->send(at_most_once_request(5000));
    s.await_request();
    s.run_until([&] {
        return killed || (contains(before->received, "\r\n\r\n") && contains(after->received, "\r\n\r\n"));
    });
    EXPECT_FALSE(killed);
    EXPECT_EQ(status_code(s.await_response(*before)), 504);
    EXPECT_EQ(status_code(s.await_response(*after)), 502);
    s.run_until([&] { return before->peer_closed && after->peer_closed && hangs->peer_closed; });
    before->close();
    after->close();
    s.run_until([&] { return killed || ended(s); });
    EXPECT_FALSE(killed);
}

// Connections that the system has accepted and the loop has not, more than one turn takes, at the very moment
// when the last one that holds the program goes.
TEST(Shutdown, ConnectionsNotYetAcceptedAreServed) {
    HostHarness s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto idle = s.connect_client(), last = s.connect_client();
    last->send(idempotent_request());
    const auto wire = s.await_request().first;
    s.host->drain();
    s.run_until([&] { return idle->peer_closed; });  // it winds down
    wire->send(ok_response());
    s.run_until([&] { return last->peer_closed; });
    last->close();
    std::vector<std::shared_ptr<PeerConnection>> late;
    for (int i = 0; i < 20; ++i) {
        late.push_back(s.connect_client());
        late.back()->send(idempotent_request());
    }
    std::size_t answered = 0;
    s.run_until([&] {
        for (const auto& wire : s.upstreams[0]->connections) {
            if (!wire->take_message().empty()) wire->send(ok_response());
        }
        answered = 0;
        for (const auto& wire : late)
            answered += status_code(wire->received) == 200 || status_code(wire->received) == 503;
        return answered == late.size() || ended(s);
    });
    EXPECT_EQ(answered, late.size());
    for (const auto& wire : late) wire->close();
    s.run_until([&] { return ended(s); });
}

// A connection that came just before idle ones are closed: its first request is on its way.
TEST(Shutdown, AFreshConnectionGetsToSendItsRequest) {
    HostHarness s(1);
    s.start();
    const auto idle = s.connect_client();
    idle->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(status_code(s.await_response(*idle)), 200);
    std::shared_ptr<PeerConnection> fresh;
    asio::steady_timer shortly(s.loop, std::chrono::milliseconds(400));
    shortly.async_wait([&](auto) { fresh = s.connect_client(); });
    s.host->drain();
    s.run_until([&] { return fresh && idle->peer_closed; });
    settle(s);
    EXPECT_FALSE(fresh->peer_closed);
    fresh->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*fresh)), 200);
    fresh->close();
    s.run_until([&] { return ended(s); });
}

TEST(Shutdown, ARequestThatWaitsIsAnswered) {
    HostHarness s;
    s.config["settings"]["services"][0]["aim"] = 2000.0;
    s.start();
    const auto client = s.connect_client();
    client->send(idempotent_request());
    s.await_request().first->reset();  // its gap is waited out
    settle(s);
    s.host->drain();
    s.host->drain();  // SIGTERM may come twice
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    s.run_until([&] { return client->peer_closed; });
    client->close();
    s.run_until([&] { return ended(s); });
}

// The answer is larger than what the connection takes at once, and its client reads on only after SIGTERM.
TEST(Shutdown, AnAnswerHalfWrittenIsFinished) {
    HostHarness s(1);
    s.start();
    tcp::socket slow(s.loop);
    slow.open(tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(2048));
    slow.connect(s.host->address());
    asio::write(slow, asio::buffer(idempotent_request()));
    const std::string body(60000, 'x');
    s.await_request().first->send(ok_response(body));
    settle(s);
    s.host->drain();
    const auto client = std::make_shared<PeerConnection>(std::move(slow));
    client->start();
    EXPECT_TRUE(contains(s.await_response(*client), body));
    s.run_until([&] { return client->peer_closed; });
    client->close();
    s.run_until([&] { return ended(s); });
}

// A client sends its next request on a kept connection the moment it has an answer, all the while. None is
// lost but one that the close crosses unread, which the client sends once more elsewhere.
TEST(Shutdown, RequestsThatCrossTheCloseAreAnswered) {
    HostHarness s(1);
    s.start();
    const auto client = s.connect_client();
    int sent = 1, answered = 0;
    client->send(idempotent_request());
    s.host->drain();
    s.run_until([&] {
        for (const auto& wire : s.upstreams[0]->connections) {
            if (!wire->take_message().empty()) wire->send(ok_response());
        }
        if (const auto answer = client->take_message(); !answer.empty()) {
            answered += status_code(answer) == 200;
            if (!contains(answer, "Connection: close")) {
                client->send(idempotent_request());
                ++sent;
            }
        }
        return client->peer_closed;
    });
    EXPECT_LE(sent, answered + 1);
    client->close();
    s.run_until([&] { return ended(s); });
}

}  // namespace
}  // namespace flaxdoor::test
