// The discovery client against a scripted discovery on loopback: which lists are taken, and when it calls.
#include "net/discovery.h"

#include <gtest/gtest.h>

#include "discovery_peers.h"

namespace flaxdoor::test {

namespace {

// The policy asks for its first timers while it is made: the host's queue must be there by then.
TEST(Discovery, WatchesFromTheKnownVersion) {
    Stage s;
    s.start();
    s.until([&] { return !s.discovery.wires.empty() && has(s.discovery.wires[0]->in, "\r\n\r\n"); });
    EXPECT_TRUE(has(s.discovery.wires[0]->in, "GET /v1/endpoints?stream=1&index=7 HTTP/1.1\r\n"));
}

// Whatever way a watch ends, the next one resumes after the last version heard.
// Guards against a log filled by a discovery that is down for long.
TEST(Discovery, AFailureIsLoggedOnceUntilItAnswersAgain) {
    Stage s;
    testing::internal::CaptureStderr();
    s.start();
    auto& calls = s.discovery.wires;
    for (std::size_t n = 1; n <= 4; ++n) {
        s.until([&] { return calls.size() >= n && has(calls[n - 1]->in, "\r\n\r\n"); });
        if (n < 4) calls[n - 1]->say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    calls[3]->say(watch_head + chunk(s.list(9, false).dump() + "\n"));
    calls[3]->close();
    s.until([&] { return calls.size() >= 5; });
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
        Stage s;
        s.start();
        auto& calls = s.discovery.wires;
        const auto asked = [&](std::size_t n) {
            return calls.size() >= n && has(calls[n - 1]->in, "\r\n\r\n");
        };
        s.until([&] { return asked(1); });
        json news = s.list(9, false);
        calls[0]->say(watch_head + chunk(news.dump().substr(0, 20)) + chunk(news.dump().substr(20) + "\n"));
        calls[0]->say(chunk("\n"));
        std::size_t failed = 1;
        if (end == "503" || end == "nonsense") {
            calls[0]->close();
            s.until([&] { return asked(2); });
            calls[1]->say(end == "503" ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                       : "nonsense\r\n\r\n");
            failed = 2;
        } else if (end == "cut") {
            calls[0]->close();
        } else if (end == "bad line") {
            calls[0]->say(chunk("{\"seq\":11,}\n"));
        } else if (end == "unfinished line") {
            calls[0]->say(chunk("{\"seq\":11,\n") + chunk("\n"));
        } else {
            news["seq"] = 11;
            news["hosts"][0]["health"] = "nowhere";
            calls[0]->say(chunk(news.dump() + "\n"));
        }
        s.until([&] { return asked(failed + 1); });
        EXPECT_TRUE(has(calls[failed]->in, "index=9 ")) << end;
    }
}

// A watch falls silent after its first words, or the call for it before any answer. The list has to be asked
// for anew before what it misses counts as told, 6 s after its last word, also where the policy's own gap
// after a failed call is long.
TEST(Discovery, ASilentWatchIsBegunAnewBeforeItsNewsCountAsTold) {
    for (const auto& [mode, spoke] :
         {std::pair{"ask", true}, {"ask", false}, {"push", true}, {"push", false}}) {
        Stage s;
        s.config["settings"]["registry_mode"] = mode;
        s.config["settings"]["invariants"]["ask_within"] = 10000.0;
        s.start();
        const auto calls = [&] { return calls_at(s.discovery); };
        s.until([&] { return asked(s.discovery, 1); });
        if (spoke) calls()[0]->say(watch_head + chunk(s.list(9, false).dump() + "\n"));
        asio::steady_timer told(s.loop, std::chrono::seconds(6));
        bool late = false;
        told.async_wait([&](auto) { late = true; });
        s.until([&] { return late || (calls().size() >= 2 && has(calls()[1]->in, "\r\n\r\n")); });
        EXPECT_FALSE(late) << mode << spoke;
        EXPECT_TRUE(calls()[0]->ended) << mode << spoke;
        EXPECT_TRUE(has(calls().back()->in, spoke ? "index=9 " : "index=7 ")) << mode;
        s.host.reset();
    }
}

// Far more upstreams than today's, and as many balancers, told by the file, as a whole list and on a watch
// that indents: none is left out, and memory is taken by need.
TEST(Discovery, ElevenHundredUpstreamsAndBalancersAreServed) {
    Stage s;
    s.config["settings"]["siblings"] = 1100;
    s.config["settings"]["rank"] = 1099;
    s.start();
    s.until([&] { return !s.discovery.wires.empty() && has(s.discovery.wires[0]->in, "\r\n\r\n"); });
    json news = s.list(9, true);
    for (auto& host : news["hosts"]) host["health"] = "leaving";
    for (int i = 2; i < 1100; ++i) {
        news["hosts"].push_back(s.upstream(1));
        news["hosts"].back()["host"] = "a-name-as-long-as-they-get-" + std::to_string(i);
    }
    s.discovery.wires[0]->say(watch_head + chunk(news.dump(8) + "\n"));
    news = s.list(10, false);
    news["hosts"] = {s.upstream(0, "left")};
    s.discovery.wires[0]->say(chunk(news.dump() + "\n"));
    const auto client = s.client();
    client->say(look());
    s.request().first->say(ok());
    EXPECT_EQ(status(s.answer(*client)), 200);
    s.discovery.wires[0]->close();
    s.until([&] { return s.discovery.wires.size() == 2 && has(s.discovery.wires[1]->in, "\r\n\r\n"); });
    EXPECT_TRUE(has(s.discovery.wires[1]->in, "index=10 "));  // all of it has been taken
}

// However many calls were refused or broken, and though the next one is given up: a change that discovery has
// from then on is asked for before it counts as told.
TEST(Discovery, CallsThatFailedDoNotDelayTheNextBeyondWhatCountsAsTold) {
    Stage s;
    s.config["settings"]["invariants"]["ask_within"] = 10000.0;
    s.start();
    const auto calls = [&] { return calls_at(s.discovery); };
    const auto called = [&](std::size_t n) {
        return calls().size() >= n && has(calls()[n - 1]->in, "\r\n\r\n");
    };
    for (std::size_t n = 1; n <= 3; ++n) {
        s.until([&] { return called(n); });
        if (n == 2) {
            calls()[n - 1]->reset();
        } else {
            calls()[n - 1]->say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    }
    s.until([&] { return called(4); });  // it is not answered
    asio::steady_timer told(s.loop, std::chrono::seconds(6));
    bool late = false;
    told.async_wait([&](auto) { late = true; });
    s.until([&] { return late || called(5); });
    EXPECT_FALSE(late);
}

// An object may be indented over many lines, whatever pieces it comes in, with brackets in its names.
TEST(Discovery, ListsThatSpanLinesAreTaken) {
    for (const int indent : {0, 2}) {
        Stage s;
        s.start();
        auto& calls = s.discovery.wires;
        s.until([&] { return !calls.empty() && has(calls[0]->in, "\r\n\r\n"); });
        json news = s.list(9, false);
        news["hosts"] = {s.upstream(0, "leaving")};
        news["hosts"][0]["note"] = "}]\\\"{";
        const std::string text = news.dump(indent) + "\r\n";
        calls[0]->say(watch_head + chunk(text.substr(0, 30)) + chunk(text.substr(30, 60)) +
                      chunk(text.substr(90)));
        calls[0]->say(chunk("\n") + chunk("\r\n"));
        const auto client = s.client();
        client->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.answer(*client);
        for (int i = 0; i < 6; ++i) {
            client->say(look());
            s.request().first->say(ok());
            EXPECT_EQ(status(s.answer(*client)), 200);
        }
        EXPECT_TRUE(s.upstreams[0]->wires.empty()) << indent;
        EXPECT_FALSE(calls[0]->ended);
        s.host.reset();
    }
}

// Discovery that has moved is asked at its new address at once, from the version last heard, whether the old
// watch still stood or had failed; to the policy it is the same watch.
TEST(Discovery, IsFollowedToAnotherAddress) {
    for (const bool stood : {true, false}) {
        Stage s;
        s.config["settings"]["invariants"]["ask_within"] = 100000.0;  // no call of the policy's own meanwhile
        s.start();
        s.host->reconfigure(net::parse_config(s.config.dump()));  // nothing has changed
        auto& calls = s.discovery.wires;
        s.until([&] { return !calls.empty() && has(calls[0]->in, "\r\n\r\n"); });
        calls[0]->say(watch_head + chunk(s.list(9, false).dump() + "\n"));
        if (!stood) calls[0]->close();
        const auto client = s.client();  // served: the list and the end of the call have been seen by then
        client->say(look());
        s.request().first->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
        EXPECT_EQ(calls.size(), 1U);
        Listener moved(s.loop);
        s.config["discovery"] = text_of(moved.address());
        s.host->reconfigure(net::parse_config(s.config.dump()));
        s.until([&] { return !moved.wires.empty() && has(moved.wires[0]->in, "\r\n\r\n"); });
        EXPECT_TRUE(has(moved.wires[0]->in, "GET /v1/endpoints?stream=1&index=9 HTTP/1.1\r\n")) << stood;
        if (stood) s.until([&] { return calls[0]->ended; });
        s.host.reset();
    }
}

// What a watch says of an upstream holds from then on: one that leaves gets nothing new.
TEST(Discovery, ListsArePassedOn) {
    Stage s;
    s.start();
    auto& calls = s.discovery.wires;
    s.until([&] { return !calls.empty() && has(calls[0]->in, "\r\n\r\n"); });
    json news = s.list(9, false);
    news["hosts"] = {s.upstream(0, "leaving")};
    calls[0]->say(watch_head + chunk(news.dump() + "\n") + chunk("\n"));
    const auto client = s.client();
    client->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    s.answer(*client);
    for (int i = 0; i < 6; ++i) {
        client->say(look());
        s.request().first->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200);
    }
    EXPECT_TRUE(s.upstreams[0]->wires.empty());
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
        Stage s;
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
        s.until([&] { return !reports.failures.empty(); });
        EXPECT_EQ(reports.failures, std::vector{net::ListFailure::unreachable}) << silent;
    }
}

TEST(DiscoveryClient, SilenceOnAWatchThatStoodIsSilent) {
    Stage s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    s.until([&] { return !reports.failures.empty(); });
    EXPECT_EQ(reports.failures, std::vector{net::ListFailure::silent});
}

TEST(DiscoveryClient, OtherFailuresAreFailed) {
    for (const std::string how : {"refused", "reset", "not HTTP", "not a list", "silent, not a watch"}) {
        Stage s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        const bool watching = how != "silent, not a watch";
        watching ? client.watch() : client.fetch();
        s.until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.wires[0];
        if (how == "refused") wire->say(refused);
        if (how == "reset") wire->reset();
        if (how == "not HTTP") wire->say("nonsense\r\n\r\n");
        if (how == "not a list") wire->say(watch_head + chunk("{}\n"));
        s.until([&] { return !reports.failures.empty(); });
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
        Stage s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        client.watch();
        s.until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.wires[0];
        if (!each.said.empty()) {
            wire->say(each.said);
            s.until([&] { return !reports.lists.empty(); });
        }
        each.reset ? wire->reset() : wire->close();
        s.until([&] { return !reports.failures.empty(); });
        EXPECT_EQ(reports.failures, std::vector{each.reported}) << each.name;
    }
}

// What happens: a call that waits its turn for longer than 3 s is given up, and so is the next. Why: the time
// for which a standing watch may be silent bounds the wait for the first word too; no page bounds that.
TEST(DiscoveryClient, ACallMayWaitForLongerThanAWatchMayBeSilent) {
    Stage s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    s.until([&] { return asked(s.discovery, 1); });
    asio::steady_timer turn(s.loop, watch_idle_timeout + std::chrono::seconds(1));
    turn.async_wait([&](auto) { s.discovery.wires[0]->say(watch_head + chunk("\n")); });
    s.until([&] { return !reports.failures.empty() || !reports.lists.empty(); });
    EXPECT_TRUE(reports.failures.empty());
    EXPECT_EQ(reports.lists.size(), 1U);
}

// Whoever asked calls anew; a move to the same address leaves the call under way alone.
TEST(DiscoveryClient, AMoveDropsWhatIsUnderWay) {
    Stage s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.watch();
    client.fetch();
    s.until([&] { return asked(s.discovery, 1) && asked(s.discovery, 2); });
    EXPECT_FALSE(client.move_to(s.discovery.address()));
    Listener moved(s.loop);
    EXPECT_TRUE(client.move_to(moved.address()));
    s.until([&] { return s.discovery.wires[0]->ended && s.discovery.wires[1]->ended; });
    EXPECT_TRUE(moved.wires.empty());
    EXPECT_TRUE(reports.failures.empty());
    client.watch();
    s.until([&] { return asked(moved, 1); });
    EXPECT_EQ(s.discovery.wires.size(), 2U);
}

// The one who asked has to learn that no list will come.
TEST(DiscoveryClient, ACallForTheListThatIsCutIsAFailure) {
    for (const std::string told : {"", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":"}) {
        Stage s;
        Reports reports;
        net::Discovery client(s.loop, s.discovery.address(), {}, reports);
        client.fetch();
        s.until([&] { return asked(s.discovery, 1); });
        s.discovery.wires[0]->say(told);
        s.discovery.wires[0]->close();
        s.until([&] { return !reports.failures.empty() || !reports.lists.empty(); });
        EXPECT_EQ(reports.failures, std::vector{net::ListFailure::failed}) << told;
    }
}

// --------------------------------------------------------------------------------- versions, and bad answers

// Has every event that is on its way by now been handled? Each answer needs turns of the loop of its own.
void settle(Stage& s) {
    for (int i = 0; i < 3; ++i) {
        const auto client = s.client();
        client->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.answer(*client);
    }
}

// Six requests one after another are all served, none of them by the first upstream.
void expect_none_to_first(Stage& s, const std::string& what) {
    const auto client = s.client();
    for (int i = 0; i < 6; ++i) {
        client->say(look());
        s.request().first->say(ok());
        EXPECT_EQ(status(s.answer(*client)), 200) << what;
    }
    EXPECT_TRUE(s.upstreams[0]->wires.empty()) << what;
}

std::string list_of(Stage& s, int version, bool whole, const json& hosts) {
    json list = s.list(version, whole);
    list["hosts"] = hosts;
    return list.dump() + "\n";
}

bool resumes_at(const Wire& wire, int version) {
    return has(wire.in, "GET /v1/endpoints?stream=1&index=" + std::to_string(version) + " HTTP/1.1\r\n");
}

// An upstream drains, its watch ends, and the next one answers first with a whole list that does not name it,
// whatever its version: a lower one tells that discovery's versions have begun anew.
TEST(Versions, AWholeListThatAnswersFirstHoldsWhateverItsVersion) {
    for (const int version : {12, 11, 3}) {
        const std::string what = std::to_string(version);
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        auto wire = s.discovery.wires[0];
        wire->say(watch_head + chunk(list_of(s, 11, false, json::array({s.upstream(0, "leaving")}))));
        wire->close();
        s.until([&] { return asked(s.discovery, 2); });
        wire = s.discovery.wires[1];
        EXPECT_TRUE(resumes_at(*wire, 11)) << what;
        wire->say(watch_head + chunk("\n") + chunk(list_of(s, version, true, json::array({s.upstream(1)}))));
        settle(s);
        expect_none_to_first(s, what);
        wire->close();
        s.until([&] { return asked(s.discovery, 3); });
        EXPECT_TRUE(resumes_at(*s.discovery.wires[2], version)) << what;
        s.host.reset();
    }
}

// The same without a drain told before: only the whole list tells that the first upstream has gone.
TEST(Versions, AnUpstreamThatOnlyAWholeListLeavesOutGetsNothing) {
    for (const int version : {8, 7, 3}) {
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        const auto list = list_of(s, version, true, json::array({s.upstream(1)}));
        s.discovery.wires[0]->say(watch_head + chunk(list));
        settle(s);
        expect_none_to_first(s, std::to_string(version));
        s.host.reset();
    }
}

// What has begun anew goes on in the new numbers; and only the first answer may go back.
TEST(Versions, LaterObjectsThatGoBackBringNothing) {
    for (const bool whole : {false, true}) {
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        s.discovery.wires[0]->say(watch_head +
                                  chunk(list_of(s, 3, true, json::array({s.upstream(0), s.upstream(1)}))) +
                                  chunk(list_of(s, 4, false, json::array({s.upstream(0, "leaving")}))) +
                                  chunk(list_of(s, 2, whole, json::array({s.upstream(0)}))));
        settle(s);
        expect_none_to_first(s, whole ? "whole" : "changes");
        EXPECT_FALSE(s.discovery.wires[0]->ended);
        s.host.reset();
    }
}

// Changes to a list that was never heard can't be applied: the whole one is asked for.
TEST(Versions, ChangesThatAnswerFirstWithAnOlderVersionAreNotTaken) {
    Stage s;
    s.start();
    s.until([&] { return asked(s.discovery, 1); });
    s.discovery.wires[0]->say(watch_head +
                              chunk(list_of(s, 3, false, json::array({s.upstream(1, "leaving")}))));
    s.until([&] { return asked(s.discovery, 2); });
    EXPECT_TRUE(s.discovery.wires[0]->ended);
    EXPECT_TRUE(resumes_at(*s.discovery.wires[1], 0));
    s.discovery.wires[1]->say(watch_head + chunk(list_of(s, 3, true, json::array({s.upstream(1)}))));
    settle(s);
    expect_none_to_first(s, "the whole list");
}

// A call for the whole list, begun with the watch, has told of a drain by the time that the watch's first
// answer comes, which is older but not older than what the watch resumed after.
TEST(Versions, AFirstAnswerThatACallHasOvertakenBringsNothing) {
    Stage s;
    Reports reports;
    net::Discovery client(s.loop, s.discovery.address(), {}, reports);
    client.start_from(7);
    client.watch();
    s.until([&] { return asked(s.discovery, 1); });
    client.fetch();
    s.until([&] { return asked(s.discovery, 2); });
    s.discovery.wires[1]->say(ok(list_of(s, 11, true, json::array({s.upstream(0, "leaving")}))));
    s.until([&] { return reports.lists.size() == 1; });
    s.discovery.wires[0]->say(watch_head + chunk(list_of(s, 10, true, json::array({s.upstream(0)}))));
    s.until([&] { return reports.lists.size() == 2; });
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
            Stage s;
            s.config["settings"]["registry_mode"] = mode;
            s.start();
            s.until([&] { return asked(s.discovery, 1); });
            s.discovery.wires[0]->say(watch_head + chunk(list_of(s, 8, false, json::array({s.upstream(0)}))));
            settle(s);
            Listener moved(s.loop);
            s.config["discovery"] = text_of(moved.address());
            s.host->reconfigure(net::parse_config(s.config.dump()));
            s.until([&] { return asked(moved, 1); });
            EXPECT_TRUE(resumes_at(*moved.wires[0], 8)) << what;
            const json hosts = {s.upstream(0, "leaving"), s.upstream(1)};
            moved.wires[0]->say(watch_head + chunk(list_of(s, version, true, hosts)));
            settle(s);
            expect_none_to_first(s, what);
            s.host.reset();
        }
    }
}

// After several objects, or in the middle of one. The first line of the log tells how long it was silent.
TEST(Discovery, AWatchThatFallsSilentLateIsCalledAnew) {
    for (const bool half : {false, true}) {
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        const auto wire = s.discovery.wires[0];
        wire->say(watch_head);
        for (int version = 8; version < 12; ++version) {
            wire->say(chunk(list_of(s, version, false, json::array({s.upstream(0, "leaving")}))));
            settle(s);
        }
        if (half) wire->say(chunk(list_of(s, 12, false, json::array({s.upstream(0)})).substr(0, 40)));
        settle(s);
        asio::steady_timer limit(s.loop, watch_idle_timeout + std::chrono::seconds(1));
        bool late = false;
        limit.async_wait([&](auto) { late = true; });
        s.until([&] { return late || asked(s.discovery, 2); });
        EXPECT_FALSE(late) << half;
        EXPECT_TRUE(wire->ended) << half;
        EXPECT_TRUE(resumes_at(*s.discovery.wires.back(), 11)) << half;
        expect_none_to_first(s, half ? "half an object" : "silence");
        s.host.reset();
    }
}

// Whatever discovery answers, what it last said whole holds and requests are served.
TEST(Discovery, BadAnswersLeaveTheLastGoodList) {
    for (const std::string how : {"not HTTP", "not JSON", "no fields", "cut off", "refused"}) {
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        const auto drain = list_of(s, 8, false, json::array({s.upstream(0, "leaving")}));
        s.discovery.wires[0]->say(watch_head + chunk(drain));
        s.discovery.wires[0]->close();
        for (std::size_t call = 2; call <= 4; ++call) {
            s.until([&] { return asked(s.discovery, call); });
            const auto wire = s.discovery.wires[call - 1];
            EXPECT_TRUE(resumes_at(*wire, 8)) << how;
            const auto back = list_of(s, 9, true, json::array({s.upstream(0), s.upstream(1)}));
            if (how == "not HTTP") wire->say("nonsense\r\n\r\n");
            if (how == "not JSON") wire->say(watch_head + chunk("{\"seq\":9,\"whole\":true,]\n"));
            if (how == "no fields") wire->say(watch_head + chunk("{\"seq\":9}\n"));
            if (how == "cut off") wire->say(watch_head + chunk(back.substr(0, back.size() / 2)));
            if (how == "refused") wire->say(refused);
            wire->close();
        }
        s.until([&] { return asked(s.discovery, 5); });
        expect_none_to_first(s, how);
        s.host.reset();
    }
}

TEST(Discovery, ListsInPiecesOfAFewBytesAreTaken) {
    for (const std::size_t size : {1, 3, 7}) {
        Stage s;
        s.start();
        s.until([&] { return asked(s.discovery, 1); });
        const auto drain = list_of(s, 8, false, json::array({s.upstream(0, "leaving")}));
        const auto text =
            watch_head + chunk(drain) + chunk("\n") + chunk(list_of(s, 9, false, json::array({})));
        for (std::size_t at = 0; at < text.size(); at += size) {
            s.discovery.wires[0]->say(text.substr(at, size));
            s.loop.poll();
        }
        settle(s);
        expect_none_to_first(s, std::to_string(size));
        s.discovery.wires[0]->close();
        s.until([&] { return asked(s.discovery, 2); });
        EXPECT_TRUE(resumes_at(*s.discovery.wires[1], 9)) << size;
        s.host.reset();
    }
}

}  // namespace
}  // namespace flaxdoor::test
