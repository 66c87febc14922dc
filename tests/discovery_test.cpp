// The discovery client against a scripted discovery on loopback: which lists are taken, and when it calls.
#include "net/discovery.h"

#include <gtest/gtest.h>

#include "discovery_peers.h"

namespace flaxdoor::test {

namespace {

// The policy asks for its first timers while it is made: the host's queue must be there by then.
TEST(Discovery, WatchesFromTheKnownVersion) {
    HostHarness s;
    s.start();
    s.run_until([&] {
        return !s.discovery.connections.empty() && contains(s.discovery.connections[0]->received, "\r\n\r\n");
    });
    EXPECT_TRUE(
        contains(s.discovery.connections[0]->received, "GET /v1/endpoints?stream=1&index=7 HTTP/1.1\r\n"));
}

// Whatever way a watch ends, the next one resumes after the last version heard.
// Guards against a log filled by a discovery that is down for long.
TEST(Discovery, AFailureIsLoggedOnceUntilItAnswersAgain) {
    HostHarness s;
    testing::internal::CaptureStderr();
    s.start();
    auto& calls = s.discovery.connections;
    for (std::size_t n = 1; n <= 4; ++n) {
        s.run_until([&] { return calls.size() >= n && contains(calls[n - 1]->received, "\r\n\r\n"); });
        if (n < 4) calls[n - 1]->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    calls[3]->send(watch_head + chunk(s.list_json(9, false).dump() + "\n"));
    calls[3]->close();
    s.run_until([&] { return calls.size() >= 5; });
    const std::string log = testing::internal::GetCapturedStderr();
    const auto count = [&](const std::string& what) {
        std::size_t found = 0;
        for (auto at = log.find(what); at != std::string::npos; at = log.find(what, at + 1)) ++found;
        return found;
    };
    EXPECT_EQ(count("watch failed"), 2u) << log;  // before it answered and after
    EXPECT_EQ(count("answers again"), 1u) << log;
}

TEST(Discovery, ResumesAWatchThatFailed) {
    for (const std::string end : {"cut", "503", "nonsense", "bad line", "unfinished line", "unknown state"}) {
        HostHarness s;
        s.start();
        auto& calls = s.discovery.connections;
        const auto asked = [&](std::size_t n) {
            return calls.size() >= n && contains(calls[n - 1]->received, "\r\n\r\n");
        };
        s.run_until([&] { return asked(1); });
        json news = s.list_json(9, false);
        calls[0]->send(watch_head + chunk(news.dump().substr(0, 20)) + chunk(news.dump().substr(20) + "\n"));
        calls[0]->send(chunk("\n"));
        std::size_t failed = 1;
        if (end == "503" || end == "nonsense") {
            calls[0]->close();
            s.run_until([&] { return asked(2); });
            calls[1]->send(end == "503" ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                        : "nonsense\r\n\r\n");
            failed = 2;
        } else if (end == "cut") {
            calls[0]->close();
        } else if (end == "bad line") {
            calls[0]->send(chunk("{\"seq\":11,}\n"));
        } else if (end == "unfinished line") {
            calls[0]->send(chunk("{\"seq\":11,\n") + chunk("\n"));
        } else {
            news["seq"] = 11;
            news["hosts"][0]["health"] = "nowhere";
            calls[0]->send(chunk(news.dump() + "\n"));
        }
        s.run_until([&] { return asked(failed + 1); });
        EXPECT_TRUE(contains(calls[failed]->received, "index=9 ")) << end;
    }
}

// A watch falls silent after its first words, or the call for it before any answer. The list has to be asked
// for anew before what it misses counts as told, 6 s after its last word, also where the policy's own gap
// after a failed call is long.
TEST(Discovery, ASilentWatchIsBegunAnewBeforeItsNewsCountAsTold) {
    for (const auto& [mode, spoke] :
         {std::pair{"ask", true}, {"ask", false}, {"push", true}, {"push", false}}) {
        HostHarness s;
        s.config["settings"]["registry_mode"] = mode;
        s.config["settings"]["invariants"]["ask_within"] = 10000.0;
        s.start();
        const auto calls = [&] { return calls_at(s.discovery); };
        s.run_until([&] { return asked(s.discovery, 1); });
        if (spoke) calls()[0]->send(watch_head + chunk(s.list_json(9, false).dump() + "\n"));
        asio::steady_timer told(s.loop, std::chrono::seconds(6));
        bool late = false;
        told.async_wait([&](auto) { late = true; });
        s.run_until(
            [&] { return late || (calls().size() >= 2 && contains(calls()[1]->received, "\r\n\r\n")); });
        EXPECT_FALSE(late) << mode << spoke;
        EXPECT_TRUE(calls()[0]->peer_closed) << mode << spoke;
        EXPECT_TRUE(contains(calls().back()->received, spoke ? "index=9 " : "index=7 ")) << mode;
        s.host.reset();
    }
}

// Far more upstreams than today's, and as many balancers, told by the file, as a whole list and on a watch
// that indents: none is left out, and memory is taken by need.
TEST(Discovery, ElevenHundredUpstreamsAndBalancersAreServed) {
    HostHarness s;
    s.config["settings"]["siblings"] = 1100;
    s.config["settings"]["rank"] = 1099;
    s.start();
    s.run_until([&] {
        return !s.discovery.connections.empty() && contains(s.discovery.connections[0]->received, "\r\n\r\n");
    });
    json news = s.list_json(9, true);
    for (auto& host : news["hosts"]) host["health"] = "leaving";
    for (int i = 2; i < 1100; ++i) {
        news["hosts"].push_back(s.upstream_json(1));
        news["hosts"].back()["host"] = "a-name-as-long-as-they-get-" + std::to_string(i);
    }
    s.discovery.connections[0]->send(watch_head + chunk(news.dump(8) + "\n"));
    news = s.list_json(10, false);
    news["hosts"] = {s.upstream_json(0, "left")};
    s.discovery.connections[0]->send(chunk(news.dump() + "\n"));
    const auto client = s.connect_client();
    client->send(idempotent_request());
    s.await_request().first->send(ok_response());
    EXPECT_EQ(status_code(s.await_response(*client)), 200);
    s.discovery.connections[0]->close();
    s.run_until([&] {
        return s.discovery.connections.size() == 2 &&
               contains(s.discovery.connections[1]->received, "\r\n\r\n");
    });
    EXPECT_TRUE(contains(s.discovery.connections[1]->received, "index=10 "));  // all of it has been taken
}

// However many calls were refused or broken, and though the next one is given up: a change that discovery has
// from then on is asked for before it counts as told.
TEST(Discovery, CallsThatFailedDoNotDelayTheNextBeyondWhatCountsAsTold) {
    HostHarness s;
    s.config["settings"]["invariants"]["ask_within"] = 10000.0;
    s.start();
    const auto calls = [&] { return calls_at(s.discovery); };
    const auto called = [&](std::size_t n) {
        return calls().size() >= n && contains(calls()[n - 1]->received, "\r\n\r\n");
    };
    for (std::size_t n = 1; n <= 3; ++n) {
        s.run_until([&] { return called(n); });
        if (n == 2) {
            calls()[n - 1]->reset();
        } else {
            calls()[n - 1]->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    }
    s.run_until([&] { return called(4); });  // it is not answered
    asio::steady_timer told(s.loop, std::chrono::seconds(6));
    bool late = false;
    told.async_wait([&](auto) { late = true; });
    s.run_until([&] { return late || called(5); });
    EXPECT_FALSE(late);
}

// An object may be indented over many lines, whatever pieces it comes in, with brackets in its names.
TEST(Discovery, ListsThatSpanLinesAreTaken) {
    for (const int indent : {0, 2}) {
        HostHarness s;
        s.start();
        auto& calls = s.discovery.connections;
        s.run_until([&] { return !calls.empty() && contains(calls[0]->received, "\r\n\r\n"); });
        json news = s.list_json(9, false);
        news["hosts"] = {s.upstream_json(0, "leaving")};
        news["hosts"][0]["note"] = "}]\\\"{";
        const std::string text = news.dump(indent) + "\r\n";
        calls[0]->send(watch_head + chunk(text.substr(0, 30)) + chunk(text.substr(30, 60)) +
                       chunk(text.substr(90)));
        calls[0]->send(chunk("\n") + chunk("\r\n"));
        const auto client = s.connect_client();
        client->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.await_response(*client);
        for (int i = 0; i < 6; ++i) {
            client->send(idempotent_request());
            s.await_request().first->send(ok_response());
            EXPECT_EQ(status_code(s.await_response(*client)), 200);
        }
        EXPECT_TRUE(s.upstreams[0]->connections.empty()) << indent;
        EXPECT_FALSE(calls[0]->peer_closed);
        s.host.reset();
    }
}

// Discovery that has moved is asked at its new address at once, from the version last heard, whether the old
// watch still stood or had failed; to the policy it is the same watch.
TEST(Discovery, IsFollowedToAnotherAddress) {
    for (const bool stood : {true, false}) {
        HostHarness s;
        s.config["settings"]["invariants"]["ask_within"] = 100000.0;  // no call of the policy's own meanwhile
        s.start();
        s.host->reconfigure(net::parse_config(s.config.dump()));  // nothing has changed
        auto& calls = s.discovery.connections;
        s.run_until([&] { return !calls.empty() && contains(calls[0]->received, "\r\n\r\n"); });
        calls[0]->send(watch_head + chunk(s.list_json(9, false).dump() + "\n"));
        if (!stood) calls[0]->close();
        const auto client =
            s.connect_client();  // served: the list and the end of the call have been seen by then
        client->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
        EXPECT_EQ(calls.size(), 1U);
        Listener moved(s.loop);
        s.config["discovery"] = endpoint_text(moved.address());
        s.host->reconfigure(net::parse_config(s.config.dump()));
        s.run_until([&] {
            return !moved.connections.empty() && contains(moved.connections[0]->received, "\r\n\r\n");
        });
        EXPECT_TRUE(
            contains(moved.connections[0]->received, "GET /v1/endpoints?stream=1&index=9 HTTP/1.1\r\n"))
            << stood;
        if (stood) s.run_until([&] { return calls[0]->peer_closed; });
        s.host.reset();
    }
}

// What a watch says of an upstream holds from then on: one that leaves gets nothing new.
TEST(Discovery, ListsArePassedOn) {
    HostHarness s;
    s.start();
    auto& calls = s.discovery.connections;
    s.run_until([&] { return !calls.empty() && contains(calls[0]->received, "\r\n\r\n"); });
    json news = s.list_json(9, false);
    news["hosts"] = {s.upstream_json(0, "leaving")};
    calls[0]->send(watch_head + chunk(news.dump() + "\n") + chunk("\n"));
    const auto client = s.connect_client();
    client->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    s.await_response(*client);
    for (int i = 0; i < 6; ++i) {
        client->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200);
    }
    EXPECT_TRUE(s.upstreams[0]->connections.empty());
}

// All balancers must give an upstream the same id: the policy's order of upstreams rests on it.
TEST(Discovery, IdsComeFromNamesAlone) {
    EXPECT_EQ(net::id_of("s-5be2a07c"), net::id_of("s-5be2a07c"));
    EXPECT_NE(net::id_of("s-5be2a07c"), net::id_of("s-5be2a07d"));
    EXPECT_EQ(net::id_of("a"), 0xaf63dc4c8601ec8cULL);
}

// ------------------------------------------------------------------------------- the client without its host

// Nobody listens, or the queue of connections is full, so that one never comes up.
TEST(DiscoveryClient, ACallWithoutAConnectionIsUnreachable) {
    for (const bool silent : {false, true}) {
        HostHarness s;
        tcp::acceptor acceptor(s.loop);
        acceptor.open(tcp::v4());
        acceptor.bind(loopback());
        const auto address = acceptor.local_endpoint();
        std::vector<tcp::socket> in_line;
        if (silent) {
            acceptor.listen(0);
            for (int i = 0; i < 4; ++i) {
                in_line.emplace_back(s.loop);
                in_line.back().async_connect(address, [](auto) {});
            }
        }
        Reports reports;
        net::Discovery client(s.loop, address, {}, reports);
        client.watch();
        s.run_until([&] { return !reports.failures.empty(); });
        EXPECT_EQ(reports.failures, std::vector{net::ListFailure::unreachable}) << silent;
    }
}

TEST(DiscoveryClient, SilenceOnAWatchThatStoodIsSilent) {
    HostHarness s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    s.run_until([&] { return !reports.failures.empty(); });
    EXPECT_EQ(reports.failures, std::vector{net::ListFailure::silent});
}

TEST(DiscoveryClient, OtherFailuresAreFailed) {
    for (const std::string how : {"refused", "reset", "not HTTP", "not a list", "silent, not a watch"}) {
        HostHarness s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        const bool watching = how != "silent, not a watch";
        watching ? client.watch() : client.fetch();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.connections[0];
        if (how == "refused") wire->send(refused);
        if (how == "reset") wire->reset();
        if (how == "not HTTP") wire->send("nonsense\r\n\r\n");
        if (how == "not a list") wire->send(watch_head + chunk("{}\n"));
        s.run_until([&] { return !reports.failures.empty(); });
        EXPECT_EQ(reports.failures, std::vector{net::ListFailure::failed}) << how;
    }
}

// A process that dies resets its connections: a watch that is closed instead was closed by a discovery that
// is up. One that was never answered has told nothing of the kind.
TEST(DiscoveryClient, AWatchThatIsClosedInOrderTellsThatDiscoveryIsUp) {
    struct End {
        std::string name;
        std::string said;
        bool reset;
        net::ListFailure reported;
    };
    const std::string empty_line = watch_head + chunk("\n");
    for (const End& each : {End{"closed", empty_line, false, net::ListFailure::closed},
                            End{"finished", empty_line + "0\r\n\r\n", false, net::ListFailure::closed},
                            End{"reset", empty_line, true, net::ListFailure::failed},
                            End{"unanswered", "", false, net::ListFailure::failed}}) {
        HostHarness s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        client.watch();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.connections[0];
        if (!each.said.empty()) {
            wire->send(each.said);
            s.run_until([&] { return !reports.lists.empty(); });
        }
        each.reset ? wire->reset() : wire->close();
        s.run_until([&] { return !reports.failures.empty(); });
        EXPECT_EQ(reports.failures, std::vector{each.reported}) << each.name;
    }
}

// What happens: a call that waits its turn for longer than 3 s is given up, and so is the next. Why: the time
// for which a standing watch may be silent bounds the wait for the first word too; no page bounds that.
TEST(DiscoveryClient, ACallMayWaitForLongerThanAWatchMayBeSilent) {
    HostHarness s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    s.run_until([&] { return asked(s.discovery, 1); });
    asio::steady_timer turn(s.loop, watch_idle_timeout + std::chrono::seconds(1));
    turn.async_wait([&](auto) { s.discovery.connections[0]->send(watch_head + chunk("\n")); });
    s.run_until([&] { return !reports.failures.empty() || !reports.lists.empty(); });
    EXPECT_TRUE(reports.failures.empty());
    EXPECT_EQ(reports.lists.size(), 1U);
}

// Whoever asked calls anew; a move to the same address leaves the call under way alone.
TEST(DiscoveryClient, AMoveDropsWhatIsUnderWay) {
    HostHarness s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    client.fetch();
    s.run_until([&] { return asked(s.discovery, 1) && asked(s.discovery, 2); });
    EXPECT_FALSE(client.move_to(s.discovery.address()));
    Listener moved(s.loop);
    EXPECT_TRUE(client.move_to(moved.address()));
    s.run_until(
        [&] { return s.discovery.connections[0]->peer_closed && s.discovery.connections[1]->peer_closed; });
    EXPECT_TRUE(moved.connections.empty());
    EXPECT_TRUE(reports.failures.empty());
    client.watch();
    s.run_until([&] { return asked(moved, 1); });
    EXPECT_EQ(s.discovery.connections.size(), 2U);
}

// The one who asked has to learn that no list will come.
TEST(DiscoveryClient, ACallForTheListThatIsCutIsAFailure) {
    for (const std::string told : {"", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":"}) {
        HostHarness s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        client.fetch();
        s.run_until([&] { return asked(s.discovery, 1); });
        s.discovery.connections[0]->send(told);
        s.discovery.connections[0]->close();
        s.run_until([&] { return !reports.failures.empty() || !reports.lists.empty(); });
        EXPECT_EQ(reports.failures, std::vector{net::ListFailure::failed}) << told;
    }
}

// --------------------------------------------------------------------------------- versions, and bad answers

// Has every event that is on its way by now been handled? Each answer needs turns of the loop of its own.
void settle(HostHarness& s) {
    for (int i = 0; i < 3; ++i) {
        const auto client = s.connect_client();
        client->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.await_response(*client);
    }
}

// Six requests one after another are all served, none of them by the first upstream.
void expect_none_to_first(HostHarness& s, const std::string& what) {
    const auto client = s.connect_client();
    for (int i = 0; i < 6; ++i) {
        client->send(idempotent_request());
        s.await_request().first->send(ok_response());
        EXPECT_EQ(status_code(s.await_response(*client)), 200) << what;
    }
    EXPECT_TRUE(s.upstreams[0]->connections.empty()) << what;
}

std::string list_of(HostHarness& s, int version, bool whole, const json& hosts) {
    json list = s.list_json(version, whole);
    list["hosts"] = hosts;
    return list.dump() + "\n";
}

bool resumes_at(const PeerConnection& wire, int version) {
    return contains(wire.received,
                    "GET /v1/endpoints?stream=1&index=" + std::to_string(version) + " HTTP/1.1\r\n");
}

// An upstream drains, its watch ends, and the next one answers first with a whole list that does not name it,
// whatever its version: a lower one tells that discovery's versions have begun anew.
TEST(Versions, AWholeListThatAnswersFirstHoldsWhateverItsVersion) {
    for (const int version : {12, 11, 3}) {
        const std::string what = std::to_string(version);
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        auto wire = s.discovery.connections[0];
        wire->send(watch_head + chunk(list_of(s, 11, false, json::array({s.upstream_json(0, "leaving")}))));
        wire->close();
        s.run_until([&] { return asked(s.discovery, 2); });
        wire = s.discovery.connections[1];
        EXPECT_TRUE(resumes_at(*wire, 11)) << what;
        wire->send(watch_head + chunk("\n") +
                   chunk(list_of(s, version, true, json::array({s.upstream_json(1)}))));
        settle(s);
        expect_none_to_first(s, what);
        wire->close();
        s.run_until([&] { return asked(s.discovery, 3); });
        EXPECT_TRUE(resumes_at(*s.discovery.connections[2], version)) << what;
        s.host.reset();
    }
}

// The same without a drain told before: only the whole list tells that the first upstream has gone.
TEST(Versions, AnUpstreamThatOnlyAWholeListLeavesOutGetsNothing) {
    for (const int version : {8, 7, 3}) {
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto list = list_of(s, version, true, json::array({s.upstream_json(1)}));
        s.discovery.connections[0]->send(watch_head + chunk(list));
        settle(s);
        expect_none_to_first(s, std::to_string(version));
        s.host.reset();
    }
}

// What has begun anew goes on in the new numbers; and only the first answer may go back.
TEST(Versions, LaterObjectsThatGoBackBringNothing) {
    for (const bool whole : {false, true}) {
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        s.discovery.connections[0]->send(
            watch_head + chunk(list_of(s, 3, true, json::array({s.upstream_json(0), s.upstream_json(1)}))) +
            chunk(list_of(s, 4, false, json::array({s.upstream_json(0, "leaving")}))) +
            chunk(list_of(s, 2, whole, json::array({s.upstream_json(0)}))));
        settle(s);
        expect_none_to_first(s, whole ? "whole" : "changes");
        EXPECT_FALSE(s.discovery.connections[0]->peer_closed);
        s.host.reset();
    }
}

// Changes to a list that was never heard can't be applied: the whole one is asked for.
TEST(Versions, ChangesThatAnswerFirstWithAnOlderVersionAreNotTaken) {
    HostHarness s;
    s.start();
    s.run_until([&] { return asked(s.discovery, 1); });
    s.discovery.connections[0]->send(
        watch_head + chunk(list_of(s, 3, false, json::array({s.upstream_json(1, "leaving")}))));
    s.run_until([&] { return asked(s.discovery, 2); });
    EXPECT_TRUE(s.discovery.connections[0]->peer_closed);
    EXPECT_TRUE(resumes_at(*s.discovery.connections[1], 0));
    s.discovery.connections[1]->send(watch_head +
                                     chunk(list_of(s, 3, true, json::array({s.upstream_json(1)}))));
    settle(s);
    expect_none_to_first(s, "the whole list");
}

// A call for the whole list, begun with the watch, has told of a drain by the time that the watch's first
// answer comes, which is older but not older than what the watch resumed after.
TEST(Versions, AFirstAnswerThatACallHasOvertakenBringsNothing) {
    HostHarness s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.start_from(7);
    client.watch();
    s.run_until([&] { return asked(s.discovery, 1); });
    client.fetch();
    s.run_until([&] { return asked(s.discovery, 2); });
    s.discovery.connections[1]->send(
        ok_response(list_of(s, 11, true, json::array({s.upstream_json(0, "leaving")}))));
    s.run_until([&] { return reports.lists.size() == 1; });
    s.discovery.connections[0]->send(watch_head +
                                     chunk(list_of(s, 10, true, json::array({s.upstream_json(0)}))));
    s.run_until([&] { return reports.lists.size() == 2; });
    EXPECT_EQ(reports.lists[1].version, 11U);
    EXPECT_TRUE(reports.lists[1].upstreams.empty());
    EXPECT_FALSE(reports.lists[1].whole);
}

// Told only at the new address, right after the configuration was read anew, in higher numbers or in ones
// that have begun anew.
TEST(Versions, ADrainToldAtANewAddressHolds) {
    for (const char* const mode : {"ask", "push"}) {
        for (const int version : {9, 2}) {
            const std::string what = mode + std::to_string(version);
            HostHarness s;
            s.config["settings"]["registry_mode"] = mode;
            s.start();
            s.run_until([&] { return asked(s.discovery, 1); });
            s.discovery.connections[0]->send(watch_head +
                                             chunk(list_of(s, 8, false, json::array({s.upstream_json(0)}))));
            settle(s);
            Listener moved(s.loop);
            s.config["discovery"] = endpoint_text(moved.address());
            s.host->reconfigure(net::parse_config(s.config.dump()));
            s.run_until([&] { return asked(moved, 1); });
            EXPECT_TRUE(resumes_at(*moved.connections[0], 8)) << what;
            const json hosts = {s.upstream_json(0, "leaving"), s.upstream_json(1)};
            moved.connections[0]->send(watch_head + chunk(list_of(s, version, true, hosts)));
            settle(s);
            expect_none_to_first(s, what);
            s.host.reset();
        }
    }
}

// After several objects, or in the middle of one. The first line of the log tells how long it was silent.
TEST(Discovery, AWatchThatFallsSilentLateIsCalledAnew) {
    for (const bool half : {false, true}) {
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.connections[0];
        wire->send(watch_head);
        for (int version = 8; version < 12; ++version) {
            wire->send(chunk(list_of(s, version, false, json::array({s.upstream_json(0, "leaving")}))));
            settle(s);
        }
        if (half) wire->send(chunk(list_of(s, 12, false, json::array({s.upstream_json(0)})).substr(0, 40)));
        settle(s);
        asio::steady_timer limit(s.loop, watch_idle_timeout + std::chrono::seconds(1));
        bool late = false;
        limit.async_wait([&](auto) { late = true; });
        s.run_until([&] { return late || asked(s.discovery, 2); });
        EXPECT_FALSE(late) << half;
        EXPECT_TRUE(wire->peer_closed) << half;
        EXPECT_TRUE(resumes_at(*s.discovery.connections.back(), 11)) << half;
        expect_none_to_first(s, half ? "half an object" : "silence");
        s.host.reset();
    }
}

// Whatever discovery answers, what it last said whole holds and requests are served.
TEST(Discovery, BadAnswersLeaveTheLastGoodList) {
    for (const std::string how : {"not HTTP", "not JSON", "no fields", "cut off", "refused"}) {
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto drain = list_of(s, 8, false, json::array({s.upstream_json(0, "leaving")}));
        s.discovery.connections[0]->send(watch_head + chunk(drain));
        s.discovery.connections[0]->close();
        for (std::size_t call = 2; call <= 4; ++call) {
            s.run_until([&] { return asked(s.discovery, call); });
            const auto wire = s.discovery.connections[call - 1];
            EXPECT_TRUE(resumes_at(*wire, 8)) << how;
            const auto back = list_of(s, 9, true, json::array({s.upstream_json(0), s.upstream_json(1)}));
            if (how == "not HTTP") wire->send("nonsense\r\n\r\n");
            if (how == "not JSON") wire->send(watch_head + chunk("{\"seq\":9,\"whole\":true,]\n"));
            if (how == "no fields") wire->send(watch_head + chunk("{\"seq\":9}\n"));
            if (how == "cut off") wire->send(watch_head + chunk(back.substr(0, back.size() / 2)));
            if (how == "refused") wire->send(refused);
            wire->close();
        }
        s.run_until([&] { return asked(s.discovery, 5); });
        expect_none_to_first(s, how);
        s.host.reset();
    }
}

TEST(Discovery, ListsInPiecesOfAFewBytesAreTaken) {
    for (const std::size_t size : {1, 3, 7}) {
        HostHarness s;
        s.start();
        s.run_until([&] { return asked(s.discovery, 1); });
        const auto drain = list_of(s, 8, false, json::array({s.upstream_json(0, "leaving")}));
        const auto text =
            watch_head + chunk(drain) + chunk("\n") + chunk(list_of(s, 9, false, json::array({})));
        for (std::size_t at = 0; at < text.size(); at += size) {
            s.discovery.connections[0]->send(text.substr(at, size));
            s.loop.poll();
        }
        settle(s);
        expect_none_to_first(s, std::to_string(size));
        s.discovery.connections[0]->close();
        s.run_until([&] { return asked(s.discovery, 2); });
        EXPECT_TRUE(resumes_at(*s.discovery.connections[1], 9)) << size;
        s.host.reset();
    }
}

}  // namespace
}  // namespace flaxdoor::test
