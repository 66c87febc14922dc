// What a cold upstream gets: from one balancer and from many together, on a restart and on a return.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "rig.h"

namespace flaxdoor::test {
namespace {

TEST(Cold, ARestartedUpstreamGetsLittleAtFirst) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 400; ++i) rig.served();
    rig.list(ListKind::delta, {Rig::entry(1, 0, UpstreamState::ready, rig.now)});
    const auto before = rig.sink.sends_to(1);
    const auto warm_before = rig.sink.sends_to(2);
    for (int i = 0; i < 200; ++i) rig.served();  // two seconds: one fall span
    const auto cold = rig.sink.sends_to(1) - before;
    const auto warm = rig.sink.sends_to(2) - warm_before;
    EXPECT_GE(cold, 1u);
    EXPECT_LT(cold, warm / 2 + 1);
    rig.now += std::chrono::seconds(8);
    for (int i = 0; i < 100; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(1) - before - cold, 10u);  // warm again
}

// 200 balancers with a request every `gap` each: what a restarted upstream and a warm one get in the next
// ones.
void expect_little_for_the_cold_one(Micros gap, int requests, std::size_t share) {
    Settings s = plain_settings();
    s.balancers = 200;
    std::size_t cold = 0, warm = 0;
    for (s.rank = 0; s.rank < s.balancers; ++s.rank) {
        Rig rig(s, static_cast<std::uint64_t>(s.rank) + 1);
        rig.fleet(4);
        const auto traffic = [&](int count) {
            for (int i = 0; i < count; ++i) {
                rig.served();
                rig.now += gap;
            }
        };
        traffic(40);
        rig.list(ListKind::delta, {Rig::entry(1, 0, UpstreamState::ready, rig.now)});
        const auto before = rig.sink.sends_to(1), warm_before = rig.sink.sends_to(2);
        traffic(requests);
        cold += rig.sink.sends_to(1) - before;
        warm += rig.sink.sends_to(2) - warm_before;
    }
    EXPECT_GE(cold, 1u);
    EXPECT_LT(share * cold,
              warm);  // it can do a quarter of what a warm one can, and falls at three times that
}

TEST(Cold, ManyBalancersTogetherSendItNoMoreThanItsPart) {
    expect_little_for_the_cold_one(ms(490), 4, 2);  // no request for each at once, in one fall span
}

TEST(Cold, BalancersThatSendLittleSendItStillLess) {
    expect_little_for_the_cold_one(ms(3990), 2, 4);  // no floor above their own part of the work
}

// Many balancers in simulated time, with uneven shares of the traffic, of which every request is answered in
// 20 ms. One of ten upstreams restarts; they are told of it one after another, and some are new themselves.
// What the told ones send it together in any fall span may exceed its budget by no more than chance.
struct ColdFleet {
    explicit ColdFleet(int balancers) : random(static_cast<std::uint32_t>(balancers)) {
        s.zones = 1;
        s.balancers = balancers;
        s.cold_share = 0.15;
        s.ramp_time = std::chrono::seconds(24);
        std::vector<double> shares;
        for (int rank = 0; rank < balancers; ++rank) {
            rigs.push_back(begin(rank));
            rigs.back()->fleet(10);
            seen.push_back(0);
            told_at.push_back(rigs.back()->now + std::chrono::hours(1));
            shares.push_back(rank % 5 == 0 ? 4 : 1);
        }
        now = rigs[0]->now;
        share = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    }

    std::unique_ptr<Rig> begin(int rank) {
        s.rank = rank;
        return std::make_unique<Rig>(s, random());
    }

    void tell(std::size_t i, ListKind kind) {
        std::vector<UpstreamEntry> entries{Rig::entry(1, 0, UpstreamState::ready, restarted)};
        for (UpstreamId id = 2; kind == ListKind::cached && id <= 10; ++id) entries.push_back(Rig::entry(id));
        rigs[i]->list(kind, entries);
        told_at[i] = now;
    }

    void pass(Micros span, int requests_in_10_ms) {
        for (const Time end = now + span; now < end;) {
            now += ms(10);
            for (std::size_t i = 0; i < rigs.size(); ++i) {
                rigs[i]->run(now);
                if (now >= news.at(i)) {
                    news[i] = Time::max();
                    if (reborn(i)) {
                        rigs[i] = begin(static_cast<int>(i));
                        rigs[i]->now = now;
                        seen[i] = 0;
                    }
                    tell(i, reborn(i) ? ListKind::cached : ListKind::delta);
                }
            }
            while (!out.empty() && out.front().at + ms(20) <= now) {
                const Out o = out.front();
                out.pop_front();
                if (o.at >= told_at[o.rig] || !reborn(o.rig)) rigs[o.rig]->end(o.id, 0, Outcome::ok, ms(20));
            }
            for (int n = 0; n < requests_in_10_ms; ++n) rigs[share(random)]->request();
            for (std::size_t i = 0; i < rigs.size(); ++i) {
                auto& submits = rigs[i]->sink.submits;
                for (; seen[i] < submits.size(); ++seen[i]) {
                    out.push_back({now, i, submits[seen[i]].request});
                    if (submits[seen[i]].upstream == 1 && now >= told_at[i]) sent.push_back(now);
                }
            }
        }
    }

    bool reborn(std::size_t i) const { return i % 10 < reborn_in_ten; }

    void restart(std::size_t reborn_of_ten) {
        restarted = now;
        reborn_in_ten = reborn_of_ten;
        for (auto& at : news) at = now + ms(static_cast<long>(random() % 500));
    }

    void expect_no_more_than_chance(double capacity_per_s) const {
        ASSERT_FALSE(sent.empty());
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[first] + s.fall_span < sent[last]) ++first;
            const double age = std::chrono::duration<double>(sent[first] - restarted) / s.ramp_time;
            const double warmth = std::min(1.0, s.cold_share + (1 - s.cold_share) * age);
            const double budget = s.fall_multiple * warmth * capacity_per_s *
                                  std::chrono::duration<double>(s.fall_span).count();
            EXPECT_LE(static_cast<double>(last - first + 1), budget + 2 * std::sqrt(budget) + 2)
                << s.balancers << " balancers, age " << age;
        }
    }

    struct Out {
        Time at;
        std::size_t rig;
        RequestId id;
    };
    Settings s = plain_settings();
    std::mt19937 random;
    std::vector<std::unique_ptr<Rig>> rigs;
    std::vector<std::size_t> seen;
    std::vector<Time> told_at;
    std::vector<Time> news = std::vector<Time>(1024, Time::max());
    std::discrete_distribution<std::size_t> share;
    std::deque<Out> out;
    std::vector<Time> sent;  // by told ones to the cold upstream
    Time now{}, restarted{};
    std::size_t reborn_in_ten = 0;
};

TEST(Cold, TheSumOverAllBalancersKeepsItsBudget) {
    for (const int balancers : {20, 30, 300}) {
        for (const std::size_t reborn : {0, 7}) {
            for (const bool lull : {false, true}) {
                ColdFleet fleet(balancers);
                fleet.pass(std::chrono::seconds(12), 4);  // 40 a second each, of the 50 that they can do
                fleet.restart(reborn);
                fleet.pass(std::chrono::seconds(3), lull ? 0 : 4);  // in a lull budgets are saved up
                fleet.pass(std::chrono::seconds(5), lull ? 5 : 4);
                fleet.expect_no_more_than_chance(50);
            }
        }
    }
}

// Guards against budgets that are each measured by the few upstreams that one of many balancers uses.
TEST(Cold, OneOfManyBalancersThatUsesAFewMeasuresItsPartByAll) {
    Settings s = plain_settings();
    s.balancers = 40;
    Rig rig(s);
    rig.fleet(40);
    for (int i = 0; i < 400; ++i) rig.served(safe, ms(20));
    std::set<UpstreamId> used;
    for (const auto& sent : rig.sink.submits) used.insert(sent.upstream);
    ASSERT_LT(used.size(), 20u);
    std::vector<UpstreamEntry> cold;
    for (UpstreamId id = 41; id <= 80; ++id) cold.push_back(Rig::entry(id, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::delta, cold);
    const auto before = rig.sink.submits.size();
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(20));
    std::map<UpstreamId, std::size_t> sends;
    for (auto i = before; i < rig.sink.submits.size(); ++i) ++sends[rig.sink.submits[i].upstream];
    std::size_t most = 0;
    for (const auto& entry : cold) most = std::max(most, sends[entry.id]);
    // Its part of a warm upstream's work is 50 requests a second over 40; a quarter of that for two seconds.
    EXPECT_LE(most, 3u);
}

TEST(Cold, AFleetOfColdUpstreamsIsNotFlooded) {
    Rig rig;
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 3; ++u) entries.push_back(Rig::entry(u, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::full, entries);
    for (int i = 0; i < 100; ++i) rig.request(safe);
    EXPECT_LE(rig.sink.submits.size(), 3u);
    rig.run(rig.now + ms(1000));
    for (RequestId id = 1; id <= 100; ++id) {
        const bool running = rig.sink.sends(id) > 0;
        EXPECT_TRUE(running || rig.sink.answers(id) == 1) << id;
    }
}

TEST(Cold, AnUpstreamBackFromFailedConnectionsIsCold) {
    Rig rig;
    rig.fleet(2);
    for (int i = 0; i < 200; ++i) rig.served();
    for (int i = 0; i < 20; ++i) {  // upstream 1 refuses connections until it is put out
        const auto id = rig.request();
        if (rig.sink.submits.back().upstream == 1) {
            rig.end(id, 0, Outcome::connect_failed, ms(1));
        } else {
            rig.end(id, 0, Outcome::ok, ms(10));
        }
    }
    rig.run(rig.now + std::chrono::seconds(3));
    const auto before = rig.sink.sends_to(1);
    std::vector<RequestId> at_once;
    rig.served();  // the trial
    for (int i = 0; i < 30; ++i) rig.served();
    EXPECT_GE(rig.sink.sends_to(1) - before, 1u);
    EXPECT_LT(rig.sink.sends_to(1) - before, 10u);
}

// How many of 60 requests go to upstream 1 of two after it was put out by `last`, having met `first` once
// before, and a probe that then ends as `probes` tell, one after the other.
std::size_t sent_after_return(std::optional<Outcome> first, Outcome last,
                              const std::vector<Outcome>& probes) {
    Settings s = plain_settings();
    s.may_probe = true;
    Rig rig(s);
    rig.fleet(2);
    for (int i = 0; i < 200; ++i) rig.served();
    const auto meet = [&](Outcome outcome, std::size_t times) {
        const auto before = rig.sink.sends_to(1);
        for (int i = 0; i < 1000 && rig.sink.sends_to(1) < before + times; ++i) {
            const auto id = rig.request();
            rig.now += ms(10);
            rig.end(id, 0, rig.sink.submits.back().upstream == 1 ? outcome : Outcome::ok, ms(10));
            if (rig.sink.sends(id) == 2) rig.end(id, 1, Outcome::ok, ms(10));
        }
    };
    if (first) {
        meet(*first, 1);
        meet(Outcome::ok, 1);
    }
    meet(last, last == Outcome::connect_failed ? 2 : 4);
    for (const auto outcome : probes) {
        const auto asked = rig.sink.probed.size();
        for (int i = 0; i < 1000 && rig.sink.probed.size() == asked; ++i) rig.served();
        ProbeResult result;
        result.upstream = 1;
        result.outcome = outcome;
        rig.policy->on_probe_result(rig.now, result);
    }
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 60; ++i) rig.served();
    return rig.sink.sends_to(1) - before;
}

// The network breaks connections to upstreams that live, and so do sick ones: only one that takes no
// connection may be a new process when it returns.
TEST(Cold, OnlyFailedConnectionsTellOfADeath) {
    EXPECT_LT(sent_after_return({}, Outcome::connect_failed, {Outcome::ok}), 10u);
    EXPECT_LT(sent_after_return({}, Outcome::reset, {Outcome::connect_failed, Outcome::ok}), 10u);
    EXPECT_GT(sent_after_return({}, Outcome::reset, {Outcome::ok}), 20u);
    EXPECT_GT(sent_after_return({}, Outcome::rejected, {Outcome::timeout, Outcome::ok}), 20u);
    // An answer since takes the suspicion back.
    EXPECT_GT(sent_after_return(Outcome::connect_failed, Outcome::rejected, {Outcome::ok}), 20u);
}

}  // namespace
}  // namespace flaxdoor::test
