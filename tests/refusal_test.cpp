// Tests of refusals: which requests may use the concurrency limit, and how congestion is detected, reduced
// and recovered from.
#include <gtest/gtest.h>

#include "rig.h"

namespace flaxdoor::test {
namespace {

TEST(Refusal, PartOfTheLimitIsKeptForTheClassWithMostWorthPerWork) {
    Settings s = plain_settings();
    s.classes[at_most_once].worth = 10;
    Rig rig(s);
    rig.fleet(2);
    for (int round = 0; round < 20; ++round) {  // responses to both classes, several at once
        const auto a = rig.burst(idempotent, 4), b = rig.burst(at_most_once, 4);
        rig.now += ms(10);
        rig.complete(a, ms(10));
        rig.complete(b, ms(10));
    }
    const auto low_worth = rig.burst(idempotent, 40);
    const auto high_worth = rig.burst(at_most_once, 40);
    EXPECT_GT(low_worth.size(), 0u);
    EXPECT_LT(low_worth.size(), 40u);
    EXPECT_GT(high_worth.size(), 0u);
}

// Guards against requests that are refused in favour of a class that has never had a request: long ones, each
// of which would be in time.
TEST(Refusal, NothingIsReservedForAClassWithoutRequests) {
    for (const auto long_latency : {milliseconds(600), milliseconds(900)}) {
        Settings s = plain_settings();
        for (auto& c : s.classes) c.latency_target = milliseconds(150);
        s.classes[idempotent].latency_target = milliseconds(1500);
        s.classes[idempotent].deadline = milliseconds(5000);
        Rig rig(s);
        rig.fleet(1);
        for (int i = 0; i < 3; ++i) {
            const auto id = rig.request(idempotent, milliseconds(5000));
            ASSERT_EQ(rig.sink.sends(id), 1u) << i;
            rig.now += long_latency;
            rig.end(id, 0, Outcome::ok, long_latency);
        }
    }
}

// Guards against the refusal of nearly all requests of a class because another class has a shorter latency
// target, although each request would be alone at its upstream and in time. The operators require that at
// least half of the requests that could be served are served in each class.
TEST(Refusal, LongRequestsAreServedBesideShortOnes) {
    constexpr int rounds = 100;
    constexpr int short_class = at_most_once, long_class = idempotent;
    Settings s = plain_settings();
    for (auto& c : s.classes) c.latency_target = milliseconds(150);
    s.classes[long_class].latency_target = milliseconds(1500);
    s.classes[long_class].deadline = milliseconds(5000);
    Rig rig(s);
    rig.fleet(4);
    std::size_t sent[] = {0, 0};
    for (int i = 0; i < rounds; ++i) {
        for (const bool is_long : {true, false}) {
            const Micros latency = milliseconds(is_long ? 300 : 20);
            const auto id = rig.request(is_long ? long_class : short_class);
            sent[is_long] += rig.sink.sends(id);
            rig.now += latency;
            if (rig.sink.sends(id) == 1) rig.end(id, 0, Outcome::ok, latency);
        }
    }
    EXPECT_GE(sent[true], rounds / 2u);
    EXPECT_GE(sent[false], rounds / 2u);
}

// Guards against a tenant whose load leaves nothing to the others.
TEST(Refusal, RequestsBeyondATenantsShareAreShedFirst) {
    Settings s = plain_settings();
    s.tenants = {{"first", 10}, {"second", 10}};
    s.over_share_worth = 0.1;
    Rig rig(s);
    rig.fleet(4);
    for (int round = 0; round < 40; ++round) {  // the first tenant far exceeds its share, the second does not
        const auto first_tenant = rig.burst(at_most_once, 8, 0),
                   second_tenant = rig.burst(at_most_once, 1, 1);
        rig.now += ms(100);
        rig.complete(first_tenant, ms(10));
        rig.complete(second_tenant, ms(10));
    }
    const auto first_tenant = rig.burst(at_most_once, 60, 0).size();
    EXPECT_GT(first_tenant, 0u);
    EXPECT_GT(rig.burst(at_most_once, 4, 1).size(), 0u);  // the second is served where the first is not
    EXPECT_EQ(rig.burst(at_most_once, 4, 0).size(), 0u);
}

// Guards against upstreams whose throughput falls as their requests in flight grow.
TEST(Refusal, AnOverloadedUpstreamGetsALowerInFlightLimit) {
    Rig rig;
    rig.fleet(1);
    const auto burst = [&](Micros latency) {
        const auto sent = rig.serve_burst(at_most_once, 30, latency);
        rig.now += std::chrono::seconds(2);
        return sent;
    };
    EXPECT_EQ(burst(ms(4)), 2u);  // the initial limit
    for (int i = 0; i < 80; ++i) burst(ms(4));
    const auto before = burst(ms(4));
    EXPECT_GT(before, 2u);
    for (int i = 0; i < 60; ++i) burst(ms(20));
    EXPECT_LT(burst(ms(20)), before);
}

// Guards against a concurrency limit that falls too slowly while no responses come.
TEST(Refusal, TimeoutsDecreaseTheLimitLikeRejections) {
    const auto sent_after = [](Outcome outcome) {
        Settings s = plain_settings();
        s.balancers = 10;
        Rig rig(s);
        rig.fleet(40);
        for (int i = 0; i < 100; ++i) rig.serve_burst(at_most_once, 20, ms(10));
        for (int round = 0; round < 3; ++round) {
            const auto sent = rig.burst(at_most_once, 20);
            rig.now += ms(20);
            for (const auto id : sent) rig.end(id, 0, outcome, ms(20));
        }
        return rig.burst(at_most_once, 60).size();
    };
    EXPECT_LT(sent_after(Outcome::timeout), sent_after(Outcome::error));
}

// Guards against many balancers that each have few attempts in flight at every upstream and together overload
// all.
TEST(Refusal, UnderCongestionABalancerHoldsLessThanOneAttemptPerUpstream) {
    Settings s = plain_settings();
    s.balancers = 20;
    Rig rig(s);
    rig.fleet(20, 20);
    const auto burst = [&](Micros latency) { return rig.serve_burst(at_most_once, 60, latency); };
    for (int i = 0; i < 100; ++i) burst(ms(4));
    EXPECT_GE(burst(ms(4)), 20u);
    for (int i = 0; i < 30; ++i) burst(ms(30));  // few own attempts at each upstream, and still all are slow
    const auto congested = burst(ms(30));
    EXPECT_LT(congested, 20u);
    EXPECT_GE(congested, 1u);
    for (int i = 0; i < 300; ++i) burst(ms(4));
    EXPECT_GE(burst(ms(4)), 20u);  // the limit recovers
}

// Guards against a balancer that detects overload too late: with one or two responses a second, it would use
// the initial guess of the base latency, a third of the latency target, for far too long.
TEST(Refusal, OverloadIsDetectedAfterAFewResponses) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 12; ++i) rig.serve(idempotent, ms(8));
    std::size_t sent = 0;
    for (int i = 0; i < 30; ++i)
        sent = rig.serve_burst(idempotent, 16, ms(24));  // overloaded, but within the guess
    EXPECT_LT(sent, 12u);
}

// Guards against a start that overloads the fleet, so that the latencies under overload are learned as normal
// ones.
TEST(Refusal, InitialLimitsOfAllBalancersSuitTheFleet) {
    Settings s = plain_settings();
    s.balancers = 10;
    Rig rig(s);
    rig.fleet(10);
    const auto sent = rig.burst(at_most_once, 20);
    EXPECT_GE(sent.size(), 3u);
    EXPECT_LE(sent.size(), 9u);
    rig.complete(sent, ms(4));
    for (int i = 0; i < 100; ++i) rig.serve_burst(at_most_once, 20, ms(4));
    EXPECT_EQ(rig.serve_burst(at_most_once, 20, ms(4)), 20u);
}

// Guards against balancers that keep slow upstreams slow: with two attempts of all balancers together at each
// upstream, it would never be idle and recover.
TEST(Refusal, LastingCongestionLeavesUpstreamsMostlyIdle) {
    Settings s = plain_settings();
    s.balancers = 20;
    Rig rig(s);
    rig.fleet(20, 20);  // the own part of them is two upstreams
    for (int i = 0; i < 100; ++i) rig.serve_burst(at_most_once, 60, ms(4));
    std::size_t sent = 0;
    for (int i = 0; i < 300; ++i) {
        const auto burst = rig.serve_burst(at_most_once, 60, ms(40));
        if (i >= 200) sent += burst;
    }
    EXPECT_LT(sent, 200u);  // over 100 bursts, less than one attempt at each of the two
    for (int i = 0; i < 600; ++i) rig.serve_burst(at_most_once, 60, ms(4));
    EXPECT_GE(rig.serve_burst(at_most_once, 60, ms(4)), 20u);  // the limit recovers
}

// Guards against a detection of congestion that takes a number of responses rather than a time: a balancer of
// many gets few responses.
TEST(Refusal, FewResponsesShowCongestionWithinASecond) {
    Settings s = plain_settings();
    s.balancers = 40;
    Rig rig(s);
    rig.fleet(20);
    const auto sent_in_a_second = [&](Micros latency) {
        std::size_t sent = 0;
        for (int i = 0; i < 10; ++i) {
            sent += rig.serve_burst(at_most_once, 1, latency);
            rig.now += ms(100) - latency;
        }
        return sent;
    };
    for (int i = 0; i < 4; ++i) EXPECT_EQ(sent_in_a_second(ms(10)), 10u);
    EXPECT_LT(sent_in_a_second(ms(90)), 9u);
    for (int i = 0; i < 4; ++i) sent_in_a_second(ms(10));
    EXPECT_EQ(sent_in_a_second(ms(10)), 10u);  // the limit recovers
}

// Guards against a balancer with few responses that takes one unusually long request for congestion.
TEST(Refusal, OneTimeoutAloneDoesNotDecreaseTheLimit) {
    Settings s = plain_settings();
    s.balancers = 40;
    Rig rig(s);
    rig.fleet(20);
    const auto round = [&] {
        const auto sent = rig.serve_burst(at_most_once, 4, ms(10));
        rig.now += ms(90);
        return sent;
    };
    for (int i = 0; i < 40; ++i) round();
    EXPECT_EQ(round(), 4u);
    const auto id = rig.request(at_most_once);
    ASSERT_EQ(rig.sink.sends(id), 1u);
    rig.now += ms(100);
    rig.end(id, 0, Outcome::timeout, ms(100));
    EXPECT_EQ(round(), 4u);
}

// Guards against congestion by balancers that each have just one attempt in flight: the limit may be below
// one.
TEST(Refusal, ALimitBelowOneAttemptIsKeptByPauses) {
    Settings s = plain_settings();
    s.balancers = 200;
    Rig rig(s);
    rig.fleet(20);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {  // one at a time, all late from the start
        const auto id = rig.request(at_most_once);
        const bool was_sent = rig.sink.sends(id) == 1;
        rig.now += ms(90);
        if (was_sent) rig.end(id, 0, Outcome::ok, ms(90));
        if (i >= 50) sent += was_sent;
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 40);
}

// Guards against repeated decreases for attempts sent before the last decrease: the limit would oscillate.
TEST(Refusal, OneOverloadedBurstDecreasesTheLimitOnce) {
    Settings s = plain_settings();
    s.balancers = 20;
    Rig rig(s);
    rig.fleet(40);
    const auto burst = [&](Micros latency) { return rig.serve_burst(at_most_once, 60, latency); };
    for (int i = 0; i < 150; ++i) burst(ms(4));
    const auto sent_before = burst(ms(4));
    EXPECT_EQ(sent_before, 60u);
    burst(ms(30));
    const auto sent_after = burst(ms(4));
    EXPECT_LT(sent_after, 55u);
    EXPECT_GT(sent_after, 25u);
}

}  // namespace
}  // namespace flaxdoor::test
