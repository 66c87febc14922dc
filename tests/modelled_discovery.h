// A modelled discovery service and a fleet of Policy instances before it, in simulated time: no sockets, no
// threads, no real clock. The same settings and seeds always give the same run.
//
//   SimulatedClock      the event queue; everything below schedules on it
//   ModelledDiscovery   answers watch calls in turn, tells changes, fails in the ways that it is told to
//   ToldRecord          when a change counts as told to one client, by the operators' terms
//   ModelledFleet       many Policy instances, each with its timers and a steady trickle of requests
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::test {

// ------------------------------------------------------------------------------------------------- clock

// Simulated time and the events that are due in it. Events of one time run in the order of scheduling.
class SimulatedClock {
public:
    using Action = std::function<void()>;

    // The time before the first event is not zero: zero stands for "long ago" in the list.
    Time now() const { return now_; }
    void at(Time due, Action action);  // a time that has passed counts as now
    void after(Micros delay, Action action) { at(now_ + delay, std::move(action)); }
    // Runs all events due up to and including `end`, then stands at `end`.
    void run_until(Time end);
    void run_for(Micros span) { run_until(now_ + span); }

private:
    struct Event {
        Time due;
        std::uint64_t serial;
        Action action;
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const {
            return a.due != b.due ? a.due > b.due : a.serial > b.serial;
        }
    };

    Time now_ = std::chrono::hours(1);
    std::uint64_t last_serial_ = 0;
    std::vector<Event> events_;  // a heap, the next one first
};

// ------------------------------------------------------------------------------------------ told changes

// An upstream that began to drain.
struct DrainChange {
    std::uint64_t version = 0;  // of the first list that has it
    Time made_at{};
    Time reachable_at{};  // from when on discovery had it and could be reached
    UpstreamId upstream = 0;
};

// The spans after which a change counts as told to a client that has not heard of it.
struct ToldTerms {
    Micros after_watch_ended =
        std::chrono::seconds(2);                     // while discovery was up and no call has failed since
    Micros after_silence = std::chrono::seconds(6);  // from the moment in which the watch fell silent
    Micros after_move = std::chrono::seconds(4);
    Micros at_most = std::chrono::seconds(6);  // from when on discovery had it and could be reached
};

// What one client was told, and how it went without a watch: from this follows when a change counts as told.
class ToldRecord {
public:
    // Why a client has no watch that could tell it anything.
    enum class Cause { never_watched, ended, discovery_down, fell_silent, moved };

    explicit ToldRecord(Time start) { gaps_.push_back({Cause::never_watched, start, {}, {}}); }

    void list_delivered(Time now, std::uint64_t version);
    void watch_began(Time now);
    void watch_lost(Time now, Cause cause);
    void call_failed(Time now);

    // When the change was delivered, if it has been.
    std::optional<Time> delivered_at(std::uint64_t version) const;
    // When it counts as told, delivered or not.
    Time told_at(const DrainChange& change, const ToldTerms& terms) const;

private:
    // A span without a watch.
    struct Gap {
        Cause cause;
        Time began;
        std::optional<Time> first_failed_call;
        std::optional<Time> ended;
    };
    struct Delivery {
        Time at;
        std::uint64_t version;
    };

    static std::optional<Time> told_in(const Gap& gap, Time made_at, const ToldTerms& terms);

    std::vector<Gap> gaps_;
    std::vector<Delivery> deliveries_;
};

// --------------------------------------------------------------------------------------------- discovery

// What discovery does with a call that would wait longer than the time-out.
enum class Overload {
    refuse_at_once,  // it is refused after `refusal_delay` and costs no capacity
    work_off         // it is queued, fails after the time-out and still takes its turn later
};

// What becomes of a call while discovery is down: it ends with 503 in either case.
enum class CallWhileDown { hangs, is_refused_at_once };

struct DiscoverySettings {
    double calls_per_s = 1000;
    Micros call_timeout = std::chrono::seconds(2);
    Micros refusal_delay = std::chrono::milliseconds(5);
    Micros word_gap = std::chrono::seconds(2);  // a standing watch hears at least an empty line so often
    Overload overload = Overload::refuse_at_once;
    CallWhileDown while_down = CallWhileDown::hangs;
    bool ends_instead_of_telling = false;  // a change ends the standing watches, unheard
    ToldTerms terms;
};

// One balancer as discovery sees it. Called from inside events of the clock.
class DiscoveryClient {
public:
    virtual ~DiscoveryClient() = default;
    virtual void on_list(ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t version) = 0;
};

// One discovery service for all clients. It is up at first.
class ModelledDiscovery {
public:
    ModelledDiscovery(SimulatedClock& clock, const DiscoverySettings& settings,
                      std::vector<UpstreamEntry> upstreams);

    // Clients are numbered from 0 in the order of adding; they must outlive the run.
    int add_client(DiscoveryClient& client);
    // Nothing happens while a call or a watch of the client is open.
    void call(int client);
    void hang_up(int client);

    void set_calls_per_s(double calls_per_s) { settings_.calls_per_s = calls_per_s; }
    void go_down();
    void come_back();
    void drain(const std::vector<UpstreamId>& upstreams);
    // All standing watches say nothing from now on; their hosts notice it `watch_idle_timeout` after the last
    // word.
    void silence_watches();
    // Moves to a new address: the clients hear of it one after another, evenly over `span`. Until then their
    // watches stand; what they have open then is dropped.
    void move(Micros span);

    const std::vector<UpstreamEntry>& upstreams() const { return upstreams_; }
    const std::vector<DrainChange>& drains() const { return drains_; }
    const ToldRecord& record(int client) const { return links_[static_cast<std::size_t>(client)].record; }
    Time told_at(int client, const DrainChange& drain) const {
        return record(client).told_at(drain, settings_.terms);
    }
    bool all_watching() const;
    // The latest time at which a client first heard the newest list; none if some have not.
    std::optional<Time> newest_heard_by_all_at() const;
    std::uint64_t calls_made() const { return calls_made_; }
    std::uint64_t calls_failed() const { return calls_failed_; }

private:
    enum class State { idle, calling, watching, silent };

    // What a client has open. A new serial makes the events scheduled for the old one void.
    struct Link {
        DiscoveryClient* client = nullptr;
        State state = State::idle;
        std::uint64_t serial = 0;
        Time called_at{};
        Time spoke_at{};  // last object on the watch
        ToldRecord record;
    };

    Link& link(int client) { return links_[static_cast<std::size_t>(client)]; }
    Micros service_time() const;
    void schedule(int client, Time due, void (ModelledDiscovery::*event)(int));
    void answer(int client);
    void fail_call(int client);
    void lose_watch(int client, ToldRecord::Cause cause, ListKind kind);
    void report_silence(int client);
    void tell(int client, const std::vector<UpstreamEntry>& changed);
    void reach_at_new_address(int client);
    std::vector<UpstreamEntry> ready_upstreams() const;

    SimulatedClock& clock_;
    DiscoverySettings settings_;
    std::vector<UpstreamEntry> upstreams_;
    std::vector<Link> links_;
    std::vector<DrainChange> drains_;
    std::uint64_t version_ = 1;
    bool up_ = true;
    Time free_at_{};  // when the calls queued so far will have been worked off
    std::uint64_t calls_made_ = 0;
    std::uint64_t calls_failed_ = 0;
};

// ------------------------------------------------------------------------------------------------- fleet

struct FleetSettings {
    int instances = 12;
    int zones = 2;
    Micros drain_grace = std::chrono::milliseconds(500);
    Micros ask_within = std::chrono::seconds(10);
    Micros request_gap = std::chrono::milliseconds(50);
    Micros answer_after = std::chrono::milliseconds(10);
    std::uint64_t seed = 1;
};

// Upstreams of two zones, enough that the trickle of requests alone never fills them.
std::vector<UpstreamEntry> upstreams_for(int instances);

// The settings of one Policy of the fleet.
Settings instance_settings(const FleetSettings& fleet, int rank);

// One Policy with its host: keeps its timers, answers its attempts, and writes down what it sends.
class ModelledInstance : public Actions, public DiscoveryClient {
public:
    struct Submit {
        Time at;
        UpstreamId upstream;
        Time send_by;
    };

    // `known`: the list that it starts with.
    ModelledInstance(SimulatedClock& clock, ModelledDiscovery& discovery, const FleetSettings& settings,
                     int rank, const std::vector<UpstreamEntry>& known);

    // What discovery let it hear, and when.
    struct Heard {
        Time at;
        ListKind kind;
        bool operator==(const Heard&) const = default;
    };

    const std::vector<Submit>& submits() const { return submits_; }
    const std::vector<Heard>& heard() const { return heard_; }
    const std::vector<Time>& turned_away() const { return turned_away_; }  // refused or failed requests
    // The longest span without a submit from `from` on, up to now.
    Micros longest_pause(Time from) const;

    void on_list(ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t version) override;

    void submit(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) override;
    void refuse(RequestId request, Micros retry_after) override;
    void fail(RequestId request) override;
    void cancel(RequestId request, int attempt) override;
    void probe(UpstreamId upstream) override;
    void set_timer(Time at, std::uint64_t token) override;
    void watch() override;
    void unwatch() override;
    void fetch() override;
    void close_idle(UpstreamId) override {}
    void send_message(std::optional<int>, std::string_view) override {}
    void log(std::string_view) override {}

private:
    void send_request();
    void end_attempt(RequestId request, int attempt, UpstreamId upstream, Time sent_at);
    void turn_away(RequestId request);

    SimulatedClock& clock_;
    ModelledDiscovery& discovery_;
    const FleetSettings settings_;
    const int client_;  // its number at discovery
    std::unique_ptr<Policy> policy_;
    RequestId last_request_ = 0;
    std::unordered_map<RequestId, int> attempts_;  // made so far, of the open requests
    std::map<std::pair<RequestId, int>, bool> cancelled_;
    std::vector<Submit> submits_;
    std::vector<Heard> heard_;
    std::vector<Time> turned_away_;
};

// A submit that breaks the rule on drains.
struct DrainBreach {
    // What came too late: the submit itself, or only the time up to which it may still go out.
    enum class Kind { submit, send_by };
    Kind kind;
    int instance;
    UpstreamId upstream;
    Time at;
    Micros late_by;  // after the change counted as told and the grace was over
};

// Instances spread over the zones in turn. They start together, with one list as cached.
class ModelledFleet {
public:
    // Those of all ranks, with the list as it is.
    ModelledFleet(SimulatedClock& clock, ModelledDiscovery& discovery, const FleetSettings& settings);
    // Those of some ranks, with a list that may be older.
    ModelledFleet(SimulatedClock& clock, ModelledDiscovery& discovery, const FleetSettings& settings,
                  const std::vector<int>& ranks, const std::vector<UpstreamEntry>& known);

    const std::vector<std::unique_ptr<ModelledInstance>>& instances() const { return instances_; }
    // Submits that come, or may go out, later than the grace and `slack` after the drain counts as told.
    std::vector<DrainBreach> drain_breaches(Micros slack) const;
    std::size_t turned_away() const;
    std::size_t submits() const;
    Micros longest_pause(Time from) const;  // of any one instance

private:
    ModelledDiscovery& discovery_;
    const FleetSettings settings_;
    std::vector<std::unique_ptr<ModelledInstance>> instances_;
};

}  // namespace flaxdoor::test
