// Tests of the work that cold upstreams get, after a restart and after a readmission, from one balancer and
// from many together.
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
    for (int i = 0; i < 400; ++i) rig.serve();
    rig.list(ListKind::delta, {Rig::entry(1, 0, UpstreamState::ready, rig.now)});
    const auto before = rig.sink.sends_to(1);
    const auto warm_before = rig.sink.sends_to(2);
    for (int i = 0; i < 200; ++i) rig.serve();  // two seconds: one fall span
    const auto cold = rig.sink.sends_to(1) - before;
    const auto warm = rig.sink.sends_to(2) - warm_before;
    EXPECT_GE(cold, 1u);
    EXPECT_LT(cold, warm / 2 + 1);
    rig.now += std::chrono::seconds(8);
    for (int i = 0; i < 100; ++i) rig.serve();
    EXPECT_GT(rig.sink.sends_to(1) - before - cold, 10u);  // warm again
}

// 200 balancers send a request every `gap` each. Compares what a restarted upstream and a warm one get of the
// next `requests` of each.
void expect_little_for_cold_upstream(Micros gap, int requests, std::size_t min_ratio) {
    Settings settings = plain_settings();
    settings.balancers = 200;
    std::size_t cold = 0, warm = 0;
    for (settings.rank = 0; settings.rank < settings.balancers; ++settings.rank) {
        Rig rig(settings, static_cast<std::uint64_t>(settings.rank) + 1);
        rig.fleet(4);
        const auto traffic = [&](int count) {
            for (int i = 0; i < count; ++i) {
                rig.serve();
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
    // The cold one has a quarter of the capacity of a warm one and collapses at three times that.
    EXPECT_LT(min_ratio * cold, warm);
}

TEST(Cold, ManyBalancersTogetherStayWithinItsBudget) {
    // All within one fall span: not even one request from each balancer at once.
    expect_little_for_cold_upstream(ms(490), 4, 2);
}

TEST(Cold, BalancersWithLittleTrafficStayWithinTheirPart) {
    // The budget has no floor above a balancer's own part of the work.
    expect_little_for_cold_upstream(ms(3990), 2, 4);
}

// Many balancers in simulated time, with uneven shares of the traffic. Each request gets its response after
// 20 ms. One of ten upstreams restarts; the balancers are notified one after another, and some of them are
// new processes. What notified ones send it together within any fall span may exceed its budget only by
// chance.
struct ColdFleet {
    explicit ColdFleet(int balancers) : random(static_cast<std::uint32_t>(balancers)) {
        settings.zones = 1;
        settings.balancers = balancers;
        settings.cold_share = 0.15;
        settings.ramp_time = std::chrono::seconds(24);
        std::vector<double> shares;
        for (int rank = 0; rank < balancers; ++rank) {
            rigs.push_back(begin(rank));
            rigs.back()->fleet(10);
            seen_submits.push_back(0);
            notified_at.push_back(rigs.back()->now + std::chrono::hours(1));
            shares.push_back(rank % 5 == 0 ? 4 : 1);
        }
        now = rigs[0]->now;
        pick_balancer = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    }

    std::unique_ptr<Rig> begin(int rank) {
        settings.rank = rank;
        return std::make_unique<Rig>(settings, random());
    }

    void notify(std::size_t i, ListKind kind) {
        std::vector<UpstreamEntry> entries{Rig::entry(1, 0, UpstreamState::ready, restarted)};
        for (UpstreamId id = 2; kind == ListKind::cached && id <= 10; ++id) entries.push_back(Rig::entry(id));
        rigs[i]->list(kind, entries);
        notified_at[i] = now;
    }

    void advance(Micros span, int requests_in_10_ms) {
        for (const Time end = now + span; now < end;) {
            now += ms(10);
            for (std::size_t i = 0; i < rigs.size(); ++i) {
                rigs[i]->run(now);
                if (now >= notice_due.at(i)) {
                    notice_due[i] = Time::max();
                    if (is_restarted(i)) {
                        rigs[i] = begin(static_cast<int>(i));
                        rigs[i]->now = now;
                        seen_submits[i] = 0;
                    }
                    notify(i, is_restarted(i) ? ListKind::cached : ListKind::delta);
                }
            }
            while (!pending.empty() && pending.front().at + ms(20) <= now) {
                const PendingAttempt attempt = pending.front();
                pending.pop_front();
                if (attempt.at >= notified_at[attempt.rig] || !is_restarted(attempt.rig))
                    rigs[attempt.rig]->end(attempt.id, 0, Outcome::ok, ms(20));
            }
            for (int n = 0; n < requests_in_10_ms; ++n) rigs[pick_balancer(random)]->request();
            for (std::size_t i = 0; i < rigs.size(); ++i) {
                auto& submits = rigs[i]->sink.submits;
                for (; seen_submits[i] < submits.size(); ++seen_submits[i]) {
                    pending.push_back({now, i, submits[seen_submits[i]].request});
                    if (submits[seen_submits[i]].upstream == 1 && now >= notified_at[i]) sent.push_back(now);
                }
            }
        }
    }

    bool is_restarted(std::size_t i) const { return i % 10 < restarted_of_ten; }

    void restart(std::size_t restarted_balancers_of_ten) {
        restarted = now;
        restarted_of_ten = restarted_balancers_of_ten;
        for (auto& at : notice_due) at = now + ms(static_cast<long>(random() % 500));
    }

    void expect_no_more_than_chance(double capacity_per_s) const {
        ASSERT_FALSE(sent.empty());
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[first] + settings.fall_span < sent[last]) ++first;
            const double age = std::chrono::duration<double>(sent[first] - restarted) / settings.ramp_time;
            const double capacity_share =
                std::min(1.0, settings.cold_share + (1 - settings.cold_share) * age);
            const double budget = settings.fall_multiple * capacity_share * capacity_per_s *
                                  std::chrono::duration<double>(settings.fall_span).count();
            EXPECT_LE(static_cast<double>(last - first + 1), budget + 2 * std::sqrt(budget) + 2)
                << settings.balancers << " balancers, age " << age;
        }
    }

    struct PendingAttempt {
        Time at;
        std::size_t rig;
        RequestId id;
    };
    Settings settings = plain_settings();
    std::mt19937 random;
    std::vector<std::unique_ptr<Rig>> rigs;
    std::vector<std::size_t> seen_submits;
    std::vector<Time> notified_at;
    std::vector<Time> notice_due = std::vector<Time>(1024, Time::max());
    std::discrete_distribution<std::size_t> pick_balancer;
    std::deque<PendingAttempt> pending;
    std::vector<Time> sent;  // sends by notified balancers to the cold upstream
    Time now{}, restarted{};
    std::size_t restarted_of_ten = 0;
};

TEST(Cold, TheSumOverAllBalancersStaysWithinTheBudget) {
    for (const int balancers : {20, 30, 300}) {
        for (const std::size_t restarted_balancers : {0, 7}) {
            for (const bool pause : {false, true}) {
                ColdFleet fleet(balancers);
                // 40 requests a second at each upstream, of a capacity of 50.
                fleet.advance(std::chrono::seconds(12), 4);
                fleet.restart(restarted_balancers);
                fleet.advance(std::chrono::seconds(3), pause ? 0 : 4);  // without traffic the budgets fill up
                fleet.advance(std::chrono::seconds(5), pause ? 5 : 4);
                fleet.expect_no_more_than_chance(50);
            }
        }
    }
}

// Guards against a budget computed from the rate at the few upstreams of the subset: all balancers together
// would exceed the capacity.
TEST(Cold, TheBudgetFollowsFromUpstreamsOutsideTheSubsetToo) {
    Settings settings = plain_settings();
    settings.balancers = 40;
    Rig rig(settings);
    rig.fleet(40);
    for (int i = 0; i < 400; ++i) rig.serve(idempotent, ms(20));
    std::set<UpstreamId> used;
    for (const auto& sent : rig.sink.submits) used.insert(sent.upstream);
    ASSERT_LT(used.size(), 20u);
    std::vector<UpstreamEntry> cold;
    for (UpstreamId id = 41; id <= 80; ++id) cold.push_back(Rig::entry(id, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::delta, cold);
    const auto before = rig.sink.submits.size();
    for (int i = 0; i < 100; ++i) rig.serve(idempotent, ms(20));
    std::map<UpstreamId, std::size_t> sends;
    for (auto i = before; i < rig.sink.submits.size(); ++i) ++sends[rig.sink.submits[i].upstream];
    std::size_t most = 0;
    for (const auto& entry : cold) most = std::max(most, sends[entry.id]);
    // The balancer's part of a warm upstream's work is 50 requests a second over 40 upstreams; the budget is
    // a quarter of that for two seconds.
    EXPECT_LE(most, 3u);
}

TEST(Cold, AFleetOfColdUpstreamsIsNotOverloaded) {
    Rig rig;
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 3; ++u) entries.push_back(Rig::entry(u, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::full, entries);
    for (int i = 0; i < 100; ++i) rig.request(idempotent);
    EXPECT_LE(rig.sink.submits.size(), 3u);
    rig.run(rig.now + ms(1000));
    for (RequestId id = 1; id <= 100; ++id) {
        const bool running = rig.sink.sends(id) > 0;
        EXPECT_TRUE(running || rig.sink.final_responses(id) == 1) << id;
    }
}

TEST(Cold, AnUpstreamReadmittedAfterFailedConnectionsIsCold) {
    Rig rig;
    rig.fleet(2);
    for (int i = 0; i < 200; ++i) rig.serve();
    for (int i = 0; i < 20; ++i) {  // upstream 1 refuses connections until it is ejected
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
    rig.serve();  // the trial
    for (int i = 0; i < 30; ++i) rig.serve();
    EXPECT_GE(rig.sink.sends_to(1) - before, 1u);
    EXPECT_LT(rig.sink.sends_to(1) - before, 10u);
}

// Returns how many of 60 requests go to upstream 1 of two after outcomes `last` ejected it and probes ended
// as in `probes`. Before that, one attempt there ended with `first`, if given, and a later one well.
std::size_t sent_after_readmission(std::optional<Outcome> first, Outcome last,
                                   const std::vector<Outcome>& probes) {
    Settings settings = plain_settings();
    settings.may_probe = true;
    Rig rig(settings);
    rig.fleet(2);
    for (int i = 0; i < 200; ++i) rig.serve();
    const auto send_until = [&](Outcome outcome, std::size_t times) {
        const auto before = rig.sink.sends_to(1);
        for (int i = 0; i < 1000 && rig.sink.sends_to(1) < before + times; ++i) {
            const auto id = rig.request();
            rig.now += ms(10);
            rig.end(id, 0, rig.sink.submits.back().upstream == 1 ? outcome : Outcome::ok, ms(10));
            if (rig.sink.sends(id) == 2) rig.end(id, 1, Outcome::ok, ms(10));
        }
    };
    if (first) {
        send_until(*first, 1);
        send_until(Outcome::ok, 1);
    }
    send_until(last, last == Outcome::connect_failed ? 2 : 4);
    for (const auto outcome : probes) {
        const auto probed_before = rig.sink.probed.size();
        for (int i = 0; i < 1000 && rig.sink.probed.size() == probed_before; ++i) rig.serve();
        ProbeResult result;
        result.upstream = 1;
        result.outcome = outcome;
        rig.policy->on_probe_result(rig.now, result);
    }
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 60; ++i) rig.serve();
    return rig.sink.sends_to(1) - before;
}

// Connections break because of the network or of an overloaded process, too. Only an upstream that accepted
// no connection may be a new process when it is readmitted.
TEST(Cold, OnlyFailedConnectionsSuggestARestart) {
    EXPECT_LT(sent_after_readmission({}, Outcome::connect_failed, {Outcome::ok}), 10u);
    EXPECT_LT(sent_after_readmission({}, Outcome::reset, {Outcome::connect_failed, Outcome::ok}), 10u);
    EXPECT_GT(sent_after_readmission({}, Outcome::reset, {Outcome::ok}), 20u);
    EXPECT_GT(sent_after_readmission({}, Outcome::rejected, {Outcome::timeout, Outcome::ok}), 20u);
    // A success since then shows that the process is still the same.
    EXPECT_GT(sent_after_readmission(Outcome::connect_failed, Outcome::rejected, {Outcome::ok}), 20u);
}

}  // namespace
}  // namespace flaxdoor::test
