#include "modelled_discovery.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace flaxdoor::test {

// ------------------------------------------------------------------------------------------------- clock

void SimulatedClock::at(Time due, Action action) {
    events_.push_back({std::max(due, now_), ++last_serial_, std::move(action)});
    std::push_heap(events_.begin(), events_.end(), Later());
}

void SimulatedClock::run_until(Time end) {
    while (!events_.empty() && events_.front().due <= end) {
        std::pop_heap(events_.begin(), events_.end(), Later());
        const Event event = std::move(events_.back());
        events_.pop_back();
        now_ = event.due;
        event.action();
    }
    now_ = std::max(now_, end);
}

// ------------------------------------------------------------------------------- notification of changes

void NotificationRecord::list_delivered(Time now, std::uint64_t version) {
    deliveries_.push_back({now, version});
}

void NotificationRecord::watch_began(Time now) {
    if (!unwatched_periods_.empty() && !unwatched_periods_.back().ended)
        unwatched_periods_.back().ended = now;
}

void NotificationRecord::watch_lost(Time now, Cause cause) {
    watch_began(now);  // a period without a watch that has not ended yet ends where the next one begins
    unwatched_periods_.push_back({cause, now, {}, {}});
}

void NotificationRecord::call_failed(Time now) {
    if (unwatched_periods_.empty() || unwatched_periods_.back().ended) return;
    if (!unwatched_periods_.back().first_failed_call) unwatched_periods_.back().first_failed_call = now;
}

std::optional<Time> NotificationRecord::delivered_at(std::uint64_t version) const {
    for (const Delivery& delivery : deliveries_) {
        if (delivery.version >= version) return delivery.at;
    }
    return {};
}

std::optional<Time> NotificationRecord::notified_in(const UnwatchedPeriod& period, Time made_at,
                                                    const NotificationDelays& delays) {
    Time notified{};
    switch (period.cause) {
        case Cause::never_watched:
        case Cause::discovery_down: return {};
        case Cause::ended: notified = std::max(made_at, period.began + delays.after_watch_ended); break;
        case Cause::fell_silent: notified = std::max(made_at, period.began + delays.after_silence); break;
        case Cause::moved: notified = std::max(made_at, period.began + delays.after_move); break;
    }
    const bool postponed =
        period.cause == Cause::ended && period.first_failed_call && *period.first_failed_call <= notified;
    const bool ended_before = period.ended && *period.ended <= notified;
    if (postponed || ended_before) return {};
    return notified;
}

Time NotificationRecord::notified_at(const DrainChange& change, const NotificationDelays& delays) const {
    Time notified = change.reachable_at + delays.at_most;
    if (const auto delivered = delivered_at(change.version)) notified = std::min(notified, *delivered);
    for (const UnwatchedPeriod& period : unwatched_periods_) {
        if (period.ended && *period.ended <= change.made_at) continue;
        if (const auto notified_in_period = notified_in(period, change.made_at, delays))
            notified = std::min(notified, *notified_in_period);
    }
    return notified;
}

// --------------------------------------------------------------------------------------------- discovery

ModelledDiscovery::ModelledDiscovery(SimulatedClock& clock, const DiscoverySettings& settings,
                                     std::vector<UpstreamEntry> upstreams)
    : clock_(clock), settings_(settings), upstreams_(std::move(upstreams)) {}

int ModelledDiscovery::add_client(DiscoveryClient& client) {
    sessions_.push_back({&client, State::idle, 0, {}, {}, NotificationRecord(clock_.now())});
    return static_cast<int>(sessions_.size()) - 1;
}

Micros ModelledDiscovery::service_time() const {
    return Micros(static_cast<Micros::rep>(1e6 / settings_.calls_per_s));
}

// Schedules an event for the client's present call or watch. The event is ignored once that one has ended.
void ModelledDiscovery::schedule(int client, Time due, void (ModelledDiscovery::*event)(int)) {
    const std::uint64_t serial = session(client).serial;
    clock_.at(due, [this, client, serial, event] {
        if (session(client).serial == serial) (this->*event)(client);
    });
}

void ModelledDiscovery::call(int client) {
    Session& caller = session(client);
    if (caller.state != State::idle) return;
    const Time now = clock_.now();
    caller.state = State::calling;
    caller.called_at = now;
    ++caller.serial;
    ++calls_made_;
    const Time times_out_at = now + settings_.call_timeout;
    if (!up_) {
        const bool times_out = settings_.while_down == CallWhileDown::times_out;
        schedule(client, times_out ? times_out_at : now + settings_.rejection_delay,
                 &ModelledDiscovery::fail_call);
        return;
    }
    const Time responds_at = std::max(queue_empty_at_, now) + service_time();
    const bool responds_in_time = responds_at <= times_out_at;
    if (responds_in_time || settings_.overload == OverloadHandling::process_timed_out)
        queue_empty_at_ = responds_at;
    if (responds_in_time) {
        schedule(client, responds_at, &ModelledDiscovery::respond);
    } else if (settings_.overload == OverloadHandling::reject_immediately) {
        schedule(client, now + settings_.rejection_delay, &ModelledDiscovery::fail_call);
    } else {
        schedule(client, times_out_at, &ModelledDiscovery::fail_call);
    }
}

void ModelledDiscovery::disconnect(int client) {
    Session& caller = session(client);
    if (caller.state == State::idle) return;
    if (caller.state != State::calling)
        caller.record.watch_lost(clock_.now(), NotificationRecord::Cause::ended);
    caller.state = State::idle;
    ++caller.serial;
}

void ModelledDiscovery::respond(int client) {
    Session& caller = session(client);
    caller.state = State::watching;
    caller.last_sent_at = clock_.now();
    caller.record.list_delivered(clock_.now(), version_);
    caller.record.watch_began(clock_.now());
    caller.client->on_list(ListKind::full, ready_upstreams(), version_);
}

void ModelledDiscovery::fail_call(int client) {
    Session& caller = session(client);
    caller.state = State::idle;
    ++caller.serial;
    ++calls_failed_;
    caller.record.call_failed(clock_.now());
    caller.client->on_list(ListKind::failed, {}, 0);
}

void ModelledDiscovery::end_watch(int client, NotificationRecord::Cause cause, ListKind kind) {
    Session& watcher = session(client);
    watcher.state = State::idle;
    ++watcher.serial;
    watcher.record.watch_lost(clock_.now(), cause);
    watcher.client->on_list(kind, {}, 0);
}

void ModelledDiscovery::go_down() {
    up_ = false;
    queue_empty_at_ = {};
    for (int client = 0; client < static_cast<int>(sessions_.size()); ++client) {
        Session& each = session(client);
        if (each.state == State::calling) {
            // The call stays unanswered until its time-out.
            ++each.serial;
            schedule(client, each.called_at + settings_.call_timeout, &ModelledDiscovery::fail_call);
        } else if (each.state != State::idle) {
            end_watch(client, NotificationRecord::Cause::discovery_down, ListKind::failed);
            continue;
        }
        each.record.watch_lost(clock_.now(), NotificationRecord::Cause::discovery_down);
    }
}

void ModelledDiscovery::recover() {
    up_ = true;
    for (DrainChange& each : drains_) {
        if (each.reachable_at == Time::max()) each.reachable_at = clock_.now();
    }
}

void ModelledDiscovery::drain(const std::vector<UpstreamId>& upstreams) {
    ++version_;
    const Time now = clock_.now();
    std::vector<UpstreamEntry> changed;
    for (UpstreamEntry& each : upstreams_) {
        if (std::find(upstreams.begin(), upstreams.end(), each.id) == upstreams.end()) continue;
        each.state = UpstreamState::draining;
        changed.push_back(each);
        drains_.push_back({version_, now, up_ ? now : Time::max(), each.id});
    }
    for (int client = 0; client < static_cast<int>(sessions_.size()); ++client) {
        if (session(client).state != State::watching) continue;
        if (settings_.ends_watches_on_change) {
            end_watch(client, NotificationRecord::Cause::ended, ListKind::closed);
        } else {
            send_change(client, changed);
        }
    }
}

void ModelledDiscovery::send_change(int client, const std::vector<UpstreamEntry>& changed) {
    Session& watcher = session(client);
    watcher.last_sent_at = clock_.now();
    watcher.record.list_delivered(clock_.now(), version_);
    watcher.client->on_list(ListKind::delta, changed, version_);
}

void ModelledDiscovery::silence_watches() {
    const Time now = clock_.now();
    for (int client = 0; client < static_cast<int>(sessions_.size()); ++client) {
        Session& watcher = session(client);
        if (watcher.state != State::watching) continue;
        watcher.state = State::silent;
        watcher.record.watch_lost(now, NotificationRecord::Cause::fell_silent);
        const auto message_count = (now - watcher.last_sent_at) / settings_.keep_alive_interval;
        const Time last_message_at = watcher.last_sent_at + message_count * settings_.keep_alive_interval;
        schedule(client, last_message_at + watch_idle_timeout, &ModelledDiscovery::report_silence);
    }
}

// Does not call watch_lost() again: the period without a watch began when the watch fell silent.
void ModelledDiscovery::report_silence(int client) {
    Session& watcher = session(client);
    watcher.state = State::idle;
    ++watcher.serial;
    watcher.client->on_list(ListKind::silent, {}, 0);
}

void ModelledDiscovery::move(Micros span) {
    const auto count = static_cast<Micros::rep>(sessions_.size());
    for (int client = 0; client < static_cast<int>(sessions_.size()); ++client) {
        clock_.after(span * client / count, [this, client] { end_watch_on_move(client); });
    }
}

void ModelledDiscovery::end_watch_on_move(int client) {
    end_watch(client, NotificationRecord::Cause::moved, ListKind::moved);
}

std::vector<UpstreamEntry> ModelledDiscovery::ready_upstreams() const {
    std::vector<UpstreamEntry> ready;
    for (const UpstreamEntry& each : upstreams_) {
        if (each.state == UpstreamState::ready) ready.push_back(each);
    }
    return ready;
}

bool ModelledDiscovery::all_watching() const {
    return std::all_of(sessions_.begin(), sessions_.end(),
                       [](const Session& each) { return each.state == State::watching; });
}

std::optional<Time> ModelledDiscovery::newest_list_delivered_to_all_at() const {
    Time last{};
    for (const Session& each : sessions_) {
        const auto delivered_at = each.record.delivered_at(version_);
        if (!delivered_at) return {};
        last = std::max(last, *delivered_at);
    }
    return last;
}

// ------------------------------------------------------------------------------------------------- fleet

namespace {

std::uint64_t instance_seed(const FleetSettings& fleet, int rank) {
    constexpr std::uint64_t max_instances = 100'000;
    return fleet.seed * max_instances + static_cast<std::uint64_t>(rank) + 1;
}

std::vector<int> all_ranks(int instances) {
    std::vector<int> ranks(static_cast<std::size_t>(instances));
    std::iota(ranks.begin(), ranks.end(), 0);
    return ranks;
}

}  // namespace

std::vector<UpstreamEntry> upstreams_for(int instances) {
    constexpr int min_count = 12;
    const int count = std::max(min_count, instances / 8);
    std::vector<UpstreamEntry> upstreams(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        UpstreamEntry& each = upstreams[static_cast<std::size_t>(i)];
        each.id = static_cast<UpstreamId>(i) + 1;
        each.zone = i % 2;
    }
    return upstreams;
}

Settings instance_settings(const FleetSettings& fleet, int rank) {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    Settings settings;
    settings.rank = rank;
    settings.balancers = fleet.instances;
    settings.zones = fleet.zones;
    settings.zone = rank % fleet.zones;
    ClassSettings plain;
    plain.name = "plain";
    plain.latency_target = milliseconds(400);
    plain.deadline = milliseconds(1000);
    plain.late_worth = 0.5;
    plain.effect = Effect::idempotent;
    settings.classes = {plain};
    settings.max_attempts = 4;
    settings.may_cancel = true;
    settings.cold_share = 0.25;
    settings.ramp_time = seconds(8);
    settings.fall_multiple = 3;
    settings.fall_span = seconds(2);
    settings.must_request_list = true;
    settings.ask_within = fleet.ask_within;
    settings.drain_grace = fleet.drain_grace;
    return settings;
}

ModelledInstance::ModelledInstance(SimulatedClock& clock, ModelledDiscovery& discovery,
                                   const FleetSettings& settings, int rank,
                                   const std::vector<UpstreamEntry>& initial_list)
    : clock_(clock), discovery_(discovery), settings_(settings), client_(discovery.add_client(*this)) {
    policy_ = std::make_unique<Policy>(instance_settings(settings, rank), instance_seed(settings, rank),
                                       clock.now(), *this);
    policy_->on_list(clock.now(), ListKind::cached, initial_list);
    // The instances send their requests at different times, as real ones do.
    clock_.after(settings.request_interval * rank / settings.instances, [this] { send_request(); });
}

void ModelledInstance::send_request() {
    clock_.after(settings_.request_interval, [this] { send_request(); });
    Request request;
    request.id = ++last_request_;
    request.deadline = clock_.now() + std::chrono::seconds(1);
    attempts_[request.id] = 0;
    policy_->on_request(clock_.now(), request);
}

void ModelledInstance::submit(RequestId request, UpstreamId upstream, Micros, Time send_by) {
    const Time now = clock_.now();
    submits_.push_back({now, upstream, send_by});
    const int attempt = attempts_[request]++;
    clock_.after(settings_.response_delay,
                 [this, request, attempt, upstream, now] { end_attempt(request, attempt, upstream, now); });
}

void ModelledInstance::end_attempt(RequestId request, int attempt, UpstreamId upstream, Time sent_at) {
    const bool cancelled = cancelled_.erase({request, attempt}) > 0;
    AttemptEnd end;
    end.request = request;
    end.attempt = attempt;
    end.outcome = cancelled ? Outcome::cancelled : Outcome::ok;
    end.request_done = !cancelled;
    end.latency = clock_.now() - sent_at;
    end.upstream = upstream;
    if (end.request_done) attempts_.erase(request);
    policy_->on_attempt_end(clock_.now(), end);
}

void ModelledInstance::record_unserved(RequestId request) {
    unserved_at_.push_back(clock_.now());
    attempts_.erase(request);
}

void ModelledInstance::refuse(RequestId request, Micros) { record_unserved(request); }
void ModelledInstance::fail(RequestId request) { record_unserved(request); }
void ModelledInstance::cancel(RequestId request, int attempt) { cancelled_[{request, attempt}] = true; }

void ModelledInstance::probe(UpstreamId) { throw std::logic_error("probes are not allowed here"); }
void ModelledInstance::fetch() { throw std::logic_error("calls for one list are not modelled"); }

void ModelledInstance::set_timer(Time at, std::uint64_t token) {
    clock_.at(at, [this, token] { policy_->on_timer(clock_.now(), token); });
}

void ModelledInstance::watch() { discovery_.call(client_); }
void ModelledInstance::unwatch() { discovery_.disconnect(client_); }

void ModelledInstance::on_list(ListKind kind, const std::vector<UpstreamEntry>& entries,
                               std::uint64_t version) {
    received_.push_back({clock_.now(), kind});
    policy_->on_list(clock_.now(), kind, entries, version);
}

Micros ModelledInstance::longest_pause(Time from) const {
    Micros longest{};
    Time last = from;
    for (const Submit& each : submits_) {
        if (each.at < from) continue;
        longest = std::max(longest, each.at - last);
        last = each.at;
    }
    return std::max(longest, clock_.now() - last);
}

ModelledFleet::ModelledFleet(SimulatedClock& clock, ModelledDiscovery& discovery,
                             const FleetSettings& settings)
    : ModelledFleet(clock, discovery, settings, all_ranks(settings.instances), discovery.upstreams()) {}

ModelledFleet::ModelledFleet(SimulatedClock& clock, ModelledDiscovery& discovery,
                             const FleetSettings& settings, const std::vector<int>& ranks,
                             const std::vector<UpstreamEntry>& initial_list)
    : discovery_(discovery), settings_(settings) {
    for (const int rank : ranks) {
        instances_.push_back(
            std::make_unique<ModelledInstance>(clock, discovery, settings, rank, initial_list));
    }
}

std::vector<DrainViolation> ModelledFleet::drain_violations(Micros tolerance) const {
    std::vector<DrainViolation> violations;
    for (int instance = 0; instance < static_cast<int>(instances_.size()); ++instance) {
        std::unordered_map<UpstreamId, Time> last_allowed;
        for (const DrainChange& drain : discovery_.drains()) {
            last_allowed[drain.upstream] = discovery_.notified_at(instance, drain) + settings_.drain_grace;
        }
        for (const auto& submit : instances_[static_cast<std::size_t>(instance)]->submits()) {
            const auto found = last_allowed.find(submit.upstream);
            if (found == last_allowed.end()) continue;
            const bool sent_late = submit.at > found->second + tolerance;
            if (!sent_late && submit.send_by <= found->second + tolerance) continue;
            const auto kind = sent_late ? DrainViolation::Kind::submit : DrainViolation::Kind::send_by;
            const Time broken_at = sent_late ? submit.at : submit.send_by;
            violations.push_back({kind, instance, submit.upstream, submit.at, broken_at - found->second});
        }
    }
    return violations;
}

std::size_t ModelledFleet::unserved_count() const {
    std::size_t count = 0;
    for (const auto& instance : instances_) count += instance->unserved_at().size();
    return count;
}

std::size_t ModelledFleet::submits() const {
    std::size_t count = 0;
    for (const auto& instance : instances_) count += instance->submits().size();
    return count;
}

Micros ModelledFleet::longest_pause(Time from) const {
    Micros longest{};
    for (const auto& instance : instances_) longest = std::max(longest, instance->longest_pause(from));
    return longest;
}

}  // namespace flaxdoor::test
