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
void expect_none_to_first(Stage& s) {
    const auto client = s.client();
    for (int i = 0; i < 6; ++i) {
        client->say(look());
        s.request().first->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
    }
    EXPECT_TRUE(s.upstreams[0]->wires.empty());
}

// An older version, as changes or as a whole, in the middle of a watch or first on a new one, takes back
// nothing.
TEST(Lists, AVersionThatGoesBackTakesBackNothing) {
    for (const bool whole : {false, true}) {
        for (const bool anew : {false, true}) {
            Stage s;
            s.start();
            s.until([&] { return asked(s.discovery, 1); });
            auto wire = s.discovery.wires[0];
            json news = s.list(11, false);
            news["hosts"] = {s.upstream(0, "leaving")};
            wire->say(watch_head + chunk(news.dump() + "\n"));
            if (anew) {
                wire->close();
                s.until([&] { return asked(s.discovery, 2); });
                wire = s.discovery.wires[1];
                wire->say(watch_head);
            }
            wire->say(chunk(s.list(10, whole).dump() + "\n"));
            process_pending_events(s);
            expect_none_to_first(s);
            s.host.reset();
        }
    }
}

// Where lists are pushed, what the agent has counts as told while no watch stands: after a watch that was cut
// the next one is there before half of a short grace is over.
TEST(Lists, APushedWatchIsBackWithinTheGrace) {
    for (const bool reset : {false, true}) {
        Stage s;
        s.config["settings"]["registry_mode"] = "push";
        s.config["settings"]["invariants"]["drain_grace"] = 400.0;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        s.discovery.wires[0]->say(watch_head + chunk("\n"));
        process_pending_events(s);
        asio::steady_timer grace(s.loop, std::chrono::milliseconds(400));
        bool over = false;
        if (reset) {
            s.discovery.wires[0]->reset();
        } else {
            s.discovery.wires[0]->close();
        }
        grace.async_wait([&](auto) { over = true; });
        s.until([&] { return over || asked(s.discovery, 2); });
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
    Stage s(1);
    s.start();
    const auto client = s.client();
    client->say(look(5000, "first"));
    const auto wire = s.request().first;
    wire->say(ok("to the first"));
    EXPECT_TRUE(has(s.answer(*client), "to the first"));
    client->say(look(5000, "second"));
    const auto next = s.request().first;
    wire->say(ok("to the first, again"));
    process_pending_events(s);
    next->say(ok("to the second"));
    EXPECT_TRUE(has(s.answer(*client), "to the second"));
}

// Far more than go out while a connection rests: a program that keeps connections uses one twice by then.
constexpr int most_requests_before_reuse = 500;

// Sends the same request until one goes out on a connection that has carried another, which is returned with
// its client; none when each has a connection of its own. All others are served.
std::optional<std::pair<std::shared_ptr<Wire>, std::shared_ptr<Wire>>> one_on_a_kept_connection(
    Stage& s, const std::string& request) {
    std::set<std::shared_ptr<Wire>> used;
    for (int i = 0; i < most_requests_before_reuse; ++i) {
        const auto client = s.client();
        client->say(request);
        const auto wire = s.request().first;
        if (!used.insert(wire).second) return std::pair{client, wire};
        wire->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
        client->close();
    }
    return std::nullopt;
}

// What happens: an upstream answers a request twice, the second time after its connection has been put to use
// again; the next request gets the answer of the one before. Why: a kept connection rests for 10 ms, and what
// comes later can't be told from the answer that is waited for, as answers name no request.
TEST(Idle, ASecondAnswerLaterThanTheRestIsNeverGivenToTheNextRequest) {
    Stage s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, look());
    if (!kept) {  // then a second answer may have no connection left on which to come
        s.until([&] { return s.all_ended(); });
        return;
    }
    const auto& [client, wire] = *kept;
    wire->say(ok("to the one before, again"));
    EXPECT_FALSE(has(s.answer(*client), "to the one before"));
}

// Guards against wrong answers from an upstream that has answered twice before: its connections carry one
// request each from then on, so that a second answer, however late, reaches none.
TEST(Idle, AfterASecondAnswerNoLaterOneReachesAnotherRequest) {
    for (const bool behind_the_first : {true, false}) {
        Stage s(1);
        s.start();
        const auto client = s.client();
        client->say(look());
        auto wire = s.request().first;
        wire->say(behind_the_first ? ok() + ok() : ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
        if (!behind_the_first) wire->say(ok());
        s.until([&] { return wire->ended; });
        std::set<std::shared_ptr<Wire>> used{wire};
        for (int i = 0; i < 12; ++i) {
            client->say(look());
            wire = s.request().first;
            // On a connection that has carried another request, this could be its second answer.
            wire->say(used.insert(wire).second ? ok("to this") : ok("to another"));
            EXPECT_TRUE(has(s.answer(*client), "to this"));
        }
        s.host.reset();
    }
}

// Writes down the outcomes of attempts.
struct Outcomes : net::UpstreamEvents {
    std::vector<Outcome> all;
    void on_attempt_result(net::AttemptResult result) override { all.push_back(result.outcome); }
    void on_connected(net::AttemptKey) override {}
    void on_probe_result(ProbeResult) override {}
};

// Guards against an upstream that costs a connection for each request for good.
TEST(Idle, AnUpstreamThatHasLongAnsweredOnceKeepsItsConnectionsAgain) {
    Stage s(1);
    Outcomes outcomes;
    const net::Clock clock;
    net::UpstreamLimits limits{std::chrono::seconds(5), {}, 8};
    limits.single_use_period = std::chrono::milliseconds(300);
    net::Upstreams upstreams(s.loop, clock, limits, {}, outcomes);
    upstreams.set_address(1, s.upstreams[0]->address());
    int sent = 0;
    const auto exchange = [&](const std::string& answer) {
        net::HttpRequest request(boost::beast::http::verb::get, "/api", 11);
        const Time expires = clock.now() + std::chrono::seconds(15);
        upstreams.send({1, sent++}, 1, std::move(request), expires, expires);
        s.request().first->say(answer);
        s.until([&] { return outcomes.all.size() == static_cast<std::size_t>(sent); });
        EXPECT_EQ(outcomes.all.back(), Outcome::ok);
    };
    exchange(ok() + ok());
    const Time over = clock.now() + limits.single_use_period;
    exchange(ok());
    EXPECT_EQ(upstreams.idle_count(1), 0U);
    s.until([&] { return clock.now() >= over; });
    exchange(ok());
    EXPECT_EQ(upstreams.idle_count(1), 1U);
}

// A second answer may be a refusal, and come at any time: on a connection that has carried others before, a
// refusal doesn't prove that a request of which the effect counts never ran.
TEST(Idle, ARefusalThatMayBelongToAnotherProvesNothing) {
    Stage s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, once());
    ASSERT_TRUE(kept) << "no connection was used twice";
    const auto& [client, wire] = *kept;
    wire->say(rejection_response);
    EXPECT_EQ(status(s.answer(*client)), 502);
    EXPECT_TRUE(s.nothing_sent());
}

// What is harmless twice goes elsewhere at once, as before.
TEST(Idle, ARefusalOnAKeptConnectionSendsAHarmlessRequestOn) {
    Stage s;
    s.start();
    const auto kept = one_on_a_kept_connection(s, look());
    ASSERT_TRUE(kept) << "no connection was used twice";
    const auto& [client, wire] = *kept;
    wire->say(rejection_response);
    s.request().first->say(ok());
    EXPECT_EQ(status(s.answer(*client)), 200);
}

// The first answer on a connection belongs to its request.
TEST(Idle, ARefusalOnANewConnectionIsProof) {
    Stage s;
    s.start();
    const auto client = s.client();
    client->say(once());
    s.request().first->say(rejection_response);
    s.request().first->say(ok());
    EXPECT_EQ(status(s.answer(*client)), 200);
}

// Behind a refusal comes more: it can't be told which of the two is the answer.
TEST(Idle, ARefusalWithBytesBehindItProvesNothing) {
    Stage s;
    s.start();
    const auto client = s.client();
    client->say(once());
    s.request().first->say(rejection_response + ok());
    EXPECT_EQ(status(s.answer(*client)), 502);
    EXPECT_TRUE(s.nothing_sent());
}

// An upstream that ends with the request just read: it may have run, and an unsafe one is not sent again.
TEST(Idle, AnEndBehindARequestIsAReset) {
    Stage s;
    s.start();
    const auto client = s.client();
    client->say(once());
    s.request().first->close();
    EXPECT_EQ(status(s.answer(*client)), 502);
    EXPECT_TRUE(s.nothing_sent());
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
        Stage s;
        s.config["settings"]["services"][0]["aim"] = 1000.0;
        s.start();
        const auto client = s.client(), other = s.client();
        client->say(look(5000, "leaves"));
        s.request().first->reset();
        process_pending_events(s);
        client->say(std::string(behind, 'x'));
        process_pending_events(s);
        client->close();
        other->say(look(5000, "stays"));
        s.request().first->reset();
        const auto [wire, request] = s.request();
        EXPECT_TRUE(has(request, "stays")) << behind;
        wire->say(ok());
        EXPECT_EQ(status(s.answer(*other)), 200);
        s.host.reset();
    }
}

// The client's end stands in its socket, also behind more bytes than one turn reads, when the outcome is read
// that sends its request on.
TEST(HandOver, ALeavingThatIsNotYetReadIsNoticed) {
    for (const std::size_t behind : {0, 20000}) {
        Stage s;
        s.start();
        const auto client = s.client();
        client->say(look());
        const auto wire = s.request().first;
        wire->say(rejection_response);
        client->say(std::string(behind, 'x'));
        client->close();
        process_pending_events(s);
        EXPECT_TRUE(s.nothing_sent()) << behind;
        EXPECT_EQ(s.connections(), 1U) << behind;
        s.host.reset();
    }
}

// Sends requests until one waits for a connection to the slow upstream, and returns its client.
std::shared_ptr<Wire> one_that_waits(Stage& s) {
    for (;;) {
        const auto client = s.client();
        client->say(look());
        process_pending_events(s);
        std::shared_ptr<Wire> served;
        for (const auto& wire : s.upstreams[1]->wires) {
            if (!wire->take().empty()) served = wire;
        }
        if (!served) return client;
        served->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
    }
}

TEST(HandOver, NothingIsSentOnOverAConnectionThatComesUp) {
    for (const bool may_cancel : {true, false}) {
        Stage s;
        extend_time_limits(s);
        s.config["settings"]["limits"]["cancel"] = may_cancel;
        DelayedAcceptUpstream slow(s);
        s.start();
        const auto client = one_that_waits(s);
        client->close();
        process_pending_events(s);
        slow.accept_all(s);
        for (const auto& wire : slow.connections) EXPECT_FALSE(has(wire->in, "GET")) << may_cancel;
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
        void on_connected(net::AttemptKey) override {
            upstreams->withdraw_unsent([](net::AttemptKey, UpstreamId) { return true; });
        }
        void on_probe_result(ProbeResult) override {}
    };
    Stage s(1);
    Sink sink;
    const net::Clock clock;
    net::Upstreams upstreams(s.loop, clock, {std::chrono::seconds(5), {}, 8}, {}, sink);
    sink.upstreams = &upstreams;
    upstreams.set_address(1, s.upstreams[0]->address());
    net::HttpRequest request(boost::beast::http::verb::get, "/api", 11);
    const Time expires = clock.now() + std::chrono::seconds(15);
    upstreams.send({1, 0}, 1, std::move(request), expires, expires);
    s.until([&] { return sink.outcome && s.connections() == 1 && s.upstreams[0]->wires[0]->ended; });
    EXPECT_EQ(sink.outcome, Outcome::not_sent);
    EXPECT_TRUE(s.nothing_sent());
}

// The list takes an upstream away while a connection there comes up: the request goes to another at once.
TEST(HandOver, AnUpstreamThatIsTakenAwayGetsNoRequestOverAConnectionThatComesUp) {
    for (const std::string how : {"leaving", "left", "not named"}) {
        Stage s;
        extend_time_limits(s);
        DelayedAcceptUpstream slow(s);
        s.start();
        const auto client = one_that_waits(s);
        json news = s.list(9, how == "not named");
        news["hosts"] = {how == "not named" ? s.upstream(1) : s.upstream(0, how.c_str())};
        news["hosts"][0]["dial"] =
            how == "not named" ? news["hosts"][0]["dial"] : s.config["known"]["hosts"][0]["dial"];
        s.until([&] { return asked(s.discovery, 1); });
        s.discovery.wires[0]->say(watch_head + chunk(news.dump() + "\n"));
        process_pending_events(s);
        slow.accept_all(s);
        for (const auto& wire : slow.connections) EXPECT_FALSE(has(wire->in, "GET")) << how;
        s.request().first->say(ok("from the other"));
        EXPECT_TRUE(has(s.answer(*client), "from the other")) << how;
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
    Stage s;
    extend_time_limits(s);
    s.config["settings"]["services"][1]["aim"] = 200.0;
    s.config["settings"]["services"][1]["window"] = 600.0;
    s.config["settings"]["limits"]["max_attempts"] = 2;  // so that the repeat waits without a time-out
    DelayedAcceptUpstream slow(s);
    s.start();
    std::shared_ptr<Wire> client, first;
    while (!first) {  // until one goes to the other upstream first
        client = s.client();
        client->say(book());
        process_pending_events(s);
        for (const auto& wire : s.upstreams[1]->wires) {
            if (!wire->take().empty()) first = wire;
        }
        if (!first) client->close();
    }
    asio::steady_timer forgets(s.loop, window);
    bool forgotten = false;
    forgets.async_wait([&](auto) { forgotten = true; });
    first->reset();
    s.until([&] { return forgotten; });
    slow.accept_all(s);
    for (const auto& wire : slow.connections) EXPECT_FALSE(has(wire->in, "POST"));
    EXPECT_EQ(status(s.answer(*client)), 502);
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

bool ended(Stage& s) { return s.host->drained(); }

// The longest deadline counts as 3 s at most: a request with more must have its answer before the kill,
// whether it came before SIGTERM or after, and though its upstream hangs.
TEST(Shutdown, ADeadlineBeyondTheKillIsCutShort) {
    Stage s;
    s.start();
    const auto before = s.client();
    before->say(once(5000));
    const auto hangs = s.request().first;
    asio::steady_timer kill(s.loop, std::chrono::milliseconds(3700));
    bool killed = false;
    s.host->drain();
    kill.async_wait([&](auto) { killed = true; });
    const auto after = s.client();
    after->say(once(5000));
    s.request();
    s.until([&] { return killed || (has(before->in, "\r\n\r\n") && has(after->in, "\r\n\r\n")); });
    EXPECT_FALSE(killed);
    EXPECT_EQ(status(s.answer(*before)), 504);
    EXPECT_EQ(status(s.answer(*after)), 502);
    s.until([&] { return before->ended && after->ended && hangs->ended; });
    before->close();
    after->close();
    s.until([&] { return killed || ended(s); });
    EXPECT_FALSE(killed);
}

// Connections that the system has accepted and the loop has not, more than one turn takes, at the very moment
// when the last one that holds the program goes.
TEST(Shutdown, ConnectionsNotYetAcceptedAreServed) {
    Stage s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;
    s.start();
    const auto idle = s.client(), last = s.client();
    last->say(look());
    const auto wire = s.request().first;
    s.host->drain();
    s.until([&] { return idle->ended; });  // it winds down
    wire->say(ok());
    s.until([&] { return last->ended; });
    last->close();
    std::vector<std::shared_ptr<Wire>> late;
    for (int i = 0; i < 20; ++i) {
        late.push_back(s.client());
        late.back()->say(look());
    }
    std::size_t answered = 0;
    s.until([&] {
        for (const auto& wire : s.upstreams[0]->wires) {
            if (!wire->take().empty()) wire->say(ok());
        }
        answered = 0;
        for (const auto& wire : late) answered += status(wire->in) == 200 || status(wire->in) == 503;
        return answered == late.size() || ended(s);
    });
    EXPECT_EQ(answered, late.size());
    for (const auto& wire : late) wire->close();
    s.until([&] { return ended(s); });
}

// A connection that came just before idle ones are closed: its first request is on its way.
TEST(Shutdown, AFreshConnectionGetsToSendItsRequest) {
    Stage s(1);
    s.start();
    const auto idle = s.client();
    idle->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(status(s.answer(*idle)), 200);
    std::shared_ptr<Wire> fresh;
    asio::steady_timer shortly(s.loop, std::chrono::milliseconds(400));
    shortly.async_wait([&](auto) { fresh = s.client(); });
    s.host->drain();
    s.until([&] { return fresh && idle->ended; });
    process_pending_events(s);
    EXPECT_FALSE(fresh->ended);
    fresh->say(look());
    s.request().first->say(ok());
    EXPECT_EQ(status(s.answer(*fresh)), 200);
    fresh->close();
    s.until([&] { return ended(s); });
}

TEST(Shutdown, ARequestThatWaitsIsAnswered) {
    Stage s;
    s.config["settings"]["services"][0]["aim"] = 2000.0;
    s.start();
    const auto client = s.client();
    client->say(look());
    s.request().first->reset();  // its gap is waited out
    process_pending_events(s);
    s.host->drain();
    s.host->drain();  // SIGTERM may come twice
    s.request().first->say(ok());
    EXPECT_EQ(status(s.answer(*client)), 200);
    s.until([&] { return client->ended; });
    client->close();
    s.until([&] { return ended(s); });
}

// The answer is larger than what the connection takes at once, and its client reads on only after SIGTERM.
TEST(Shutdown, AnAnswerHalfWrittenIsFinished) {
    Stage s(1);
    s.start();
    tcp::socket slow(s.loop);
    slow.open(tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(2048));
    slow.connect(s.host->address());
    asio::write(slow, asio::buffer(look()));
    const std::string body(60000, 'x');
    s.request().first->say(ok(body));
    process_pending_events(s);
    s.host->drain();
    const auto client = std::make_shared<Wire>(std::move(slow));
    client->start();
    EXPECT_TRUE(has(s.answer(*client), body));
    s.until([&] { return client->ended; });
    client->close();
    s.until([&] { return ended(s); });
}

// A client sends its next request on a kept connection the moment it has an answer, all the while. None is
// lost but one that the close crosses unread, which the client sends once more elsewhere.
TEST(Shutdown, RequestsThatCrossTheCloseAreAnswered) {
    Stage s(1);
    s.start();
    const auto client = s.client();
    int sent = 1, answered = 0;
    client->say(look());
    s.host->drain();
    s.until([&] {
        for (const auto& wire : s.upstreams[0]->wires) {
            if (!wire->take().empty()) wire->say(ok());
        }
        if (const auto answer = client->take(); !answer.empty()) {
            answered += status(answer) == 200;
            if (!has(answer, "Connection: close")) {
                client->say(look());
                ++sent;
            }
        }
        return client->ended;
    });
    EXPECT_LE(sent, answered + 1);
    client->close();
    s.until([&] { return ended(s); });
}

}  // namespace
}  // namespace flaxdoor::test
