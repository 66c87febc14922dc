// Property tests: random valid events from fixed seeds, for all combinations of class effects and settings.
// Rules 1, 2, 3 and 5 always hold, no request is left open, and the same events give the same actions.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "rig.h"

namespace flaxdoor::test {
namespace {

struct SentAttempt {
    UpstreamEntry to;
    Time at{};
    bool in_flight = true;
    bool may_have_run = true;
};

struct HostRequest {
    Request request;
    std::vector<SentAttempt> attempts;
    bool done = false;
};

// A host that checks each action against the rules.
class Checker : public Actions {
public:
    Checker(const Settings& settings, std::uint32_t seed)
        : settings(settings), random(seed), policy(settings, seed, now, *this) {}

    void submit(RequestId id, UpstreamId upstream, Micros timeout, Time send_by) override {
        HostRequest& host_request = requests.at(id);
        const UpstreamEntry& to = listed.at(upstream);
        record("submit", id * 1000 + upstream);
        EXPECT_FALSE(host_request.done) << "sent after the final response to request " << id;
        EXPECT_LE(now + timeout, host_request.request.deadline);
        EXPECT_LE(send_by, host_request.request.deadline);
        EXPECT_LT(host_request.attempts.size(), static_cast<std::size_t>(settings.max_attempts));
        EXPECT_EQ(to.state, UpstreamState::ready) << "sent to a draining or removed upstream";
        const ClassSettings& c = settings.classes[static_cast<std::size_t>(host_request.request.class_index)];
        for (const SentAttempt& attempt : host_request.attempts) {
            EXPECT_FALSE(attempt.in_flight) << "two attempts at once";
            if (!attempt.may_have_run || c.effect == Effect::idempotent) continue;
            EXPECT_EQ(c.effect, Effect::deduplicated) << "a second execution of an at-most-once request";
            EXPECT_LT(now, attempt.at + c.dedup_window);
            EXPECT_LT(send_by, attempt.at + c.dedup_window);
            if (c.group == Group::zone) {
                EXPECT_EQ(attempt.to.zone, to.zone);
            }
            if (c.group == Group::cell) {
                EXPECT_EQ(attempt.to.cell, to.cell);
            }
        }
        host_request.attempts.push_back({to, now});
        last_event_at[upstream] = now;
        if (idle_connections[upstream] > 0) --idle_connections[upstream];
    }
    void refuse(RequestId id, Micros) override {
        const HostRequest& host_request = requests.at(id);
        const ClassSettings& c = settings.classes[static_cast<std::size_t>(host_request.request.class_index)];
        const bool harmless =
            c.effect == Effect::idempotent || (c.effect == Effect::deduplicated && c.group == Group::all);
        for (const SentAttempt& attempt : host_request.attempts)
            EXPECT_TRUE(harmless || !attempt.may_have_run) << "refused although it may have run";
        end(id, "refuse");
    }
    void fail(RequestId id) override { end(id, "fail"); }
    void cancel(RequestId id, int attempt) override {
        EXPECT_TRUE(settings.may_cancel);
        EXPECT_LT(static_cast<std::size_t>(attempt), requests.at(id).attempts.size());
    }
    void probe(UpstreamId upstream) override {
        EXPECT_TRUE(settings.may_probe);
        record("probe", upstream);
    }
    void set_timer(Time at, std::uint64_t token) override { timers.emplace(at, token); }
    void watch() override { record("watch", 0); }
    void unwatch() override { record("unwatch", 0); }
    void fetch() override { record("fetch", 0); }
    void close_idle(UpstreamId upstream) override { idle_connections[upstream] = 0; }
    void send_message(std::optional<int>, std::string_view payload) override {
        EXPECT_TRUE(settings.may_message_peers);
        EXPECT_LE(payload.size(), 256u);
    }
    void log(std::string_view) override {}

    std::uint32_t below(std::uint32_t n) { return random() % n; }

    void list() {
        std::vector<UpstreamEntry> changed;
        const bool full = below(6) == 0;
        for (UpstreamId id = 1; id <= 8; ++id) {
            UpstreamEntry& entry = listed[id];
            if (entry.id == 0)
                entry = Rig::entry(id, id > 5, UpstreamState::ready, Time{}, static_cast<int>(id % 3));
            if (below(5) == 0) {
                entry.state = static_cast<UpstreamState>(below(3));
                if (entry.state == UpstreamState::ready && below(2) == 0)
                    entry.started_at = now - ms(below(400));
                changed.push_back(entry);
                last_event_at[id] = now;
            } else if (full) {
                changed.push_back(entry);
            }
        }
        policy.on_list(now, full ? ListKind::full : ListKind::delta, changed);
    }
    void request() {
        HostRequest host_request;
        host_request.request.id = ++last_id;
        host_request.request.class_index =
            static_cast<int>(below(static_cast<std::uint32_t>(settings.classes.size())));
        host_request.request.deadline = now + ms(below(600));
        host_request.request.key = below(4);
        requests[last_id] = host_request;
        policy.on_request(now, host_request.request);
    }
    // Ends a random attempt in flight, or all whose deadline has passed.
    void end_attempts(bool overdue) {
        for (auto& [id, host_request] : requests) {
            for (std::size_t i = 0; i < host_request.attempts.size(); ++i) {
                SentAttempt& attempt = host_request.attempts[i];
                if (!attempt.in_flight || (overdue ? now < host_request.request.deadline : below(4) != 0))
                    continue;
                AttemptEnd end;
                end.request = id;
                end.attempt = static_cast<int>(i);
                end.outcome = overdue ? Outcome::timeout : static_cast<Outcome>(below(7));
                end.latency = now - attempt.at;
                end.upstream = attempt.to.id;
                attempt.in_flight = false;
                end.possible_duplicate = end.outcome == Outcome::rejected && below(3) == 0;
                attempt.may_have_run = end.possible_duplicate || (end.outcome != Outcome::rejected &&
                                                                  end.outcome != Outcome::connect_failed);
                if (end.outcome == Outcome::ok) host_request.done = true;
                end.request_done = host_request.done;
                last_event_at[attempt.to.id] = now;
                if (end.outcome != Outcome::connect_failed && end.outcome != Outcome::reset)
                    ++idle_connections[attempt.to.id];
                policy.on_attempt_end(now, end);
                if (!overdue) return;
            }
        }
    }
    void disconnect_client() {
        for (auto& [id, host_request] : requests) {
            if (host_request.done || below(8) != 0) continue;
            host_request.done = true;
            policy.on_client_gone(now, id);
            return;
        }
    }
    void advance(Micros span) {
        const Time until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            const auto [at, token] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, at);
            policy.on_timer(now, token);
        }
        now = until;
        end_attempts(true);
        for (const auto& [id, host_request] : requests) {
            EXPECT_TRUE(host_request.done || now <= host_request.request.deadline + settings.tick)
                << "request " << id << " left open";
        }
        if (settings.drain_close <= Micros{0}) return;
        for (const auto& [id, entry] : listed) {
            if (entry.state != UpstreamState::draining || now < last_event_at[id] + settings.drain_close)
                continue;
            EXPECT_EQ(idle_connections[id], 0) << "idle connections to draining upstream " << id;
        }
    }

    const Settings settings;
    std::mt19937 random;
    Time now = std::chrono::hours(1);
    std::map<RequestId, HostRequest> requests;
    std::map<UpstreamId, UpstreamEntry> listed;
    std::map<UpstreamId, Time> last_event_at;    // when the last notice, send or outcome was
    std::map<UpstreamId, int> idle_connections;  // number of idle connections
    std::multimap<Time, std::uint64_t> timers;
    std::vector<std::string> action_log;
    RequestId last_id = 0;

private:
    void record(const char* what, std::uint64_t id) { action_log.push_back(what + std::to_string(id)); }
    void end(RequestId id, const char* how) {
        EXPECT_FALSE(requests.at(id).done) << "a second final response to request " << id;
        requests.at(id).done = true;
        record(how, id);
    }

    Policy policy;
};

Settings settings_of(std::uint32_t seed) {
    Settings settings = plain_settings();
    const auto bit = [&](int n) { return (seed >> n & 1U) != 0; };
    settings.may_cancel = bit(1);
    settings.may_probe = bit(2);
    settings.drain_close = bit(3) ? ms(50) : ms(0);
    settings.must_request_list = bit(5);
    settings.ask_within = ms(500);
    settings.max_attempts = bit(6) ? 4 : 1;
    settings.balancers = bit(7) ? 40 : 1;
    for (auto& c : settings.classes) c.late_worth = bit(8) ? 0.5 : 0;
    return settings;
}

std::vector<std::string> run_random_events(std::uint32_t seed) {
    Checker host(settings_of(seed), seed);
    host.list();
    for (int step = 0; step < 400; ++step) {
        switch (host.below(8)) {
            case 0: host.list(); break;
            case 1: host.disconnect_client(); break;
            case 2:
            case 3: host.end_attempts(false); break;
            case 4: host.advance(ms(1 + host.below(60))); break;
            default: host.request();
        }
    }
    host.advance(ms(2000));
    for (const auto& [id, host_request] : host.requests) EXPECT_TRUE(host_request.done) << "request " << id;
    return host.action_log;
}

TEST(Properties, TheRulesHoldForRandomEvents) {
    std::size_t actions = 0;
    for (std::uint32_t seed = 0; seed < 512; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        actions += run_random_events(seed).size();
        if (HasFailure()) return;
    }
    EXPECT_GT(actions, 50000u);
}

TEST(Properties, TheSameEventsGiveTheSameActions) {
    for (std::uint32_t seed = 0; seed < 512; seed += 37)
        EXPECT_EQ(run_random_events(seed), run_random_events(seed));
}

}  // namespace
}  // namespace flaxdoor::test
