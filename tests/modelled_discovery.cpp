// The model of discovery and of a fleet before it; see the header.
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

// ------------------------------------------------------------------------------------------ told changes

void ToldRecord::list_delivered(Time now, std::uint64_t version) { deliveries_.push_back({now, version}); }

void ToldRecord::watch_began(Time now) {
    if (!gaps_.empty() && !gaps_.back().ended) gaps_.back().ended = now;
}

void ToldRecord::watch_lost(Time now, Cause cause) {
    watch_began(now);  // a gap that is still open ends where the next one begins
    gaps_.push_back({cause, now, {}, {}});
}

void ToldRecord::call_failed(Time now) {
    if (gaps_.empty() || gaps_.back().ended) return;
    if (!gaps_.back().first_failed_call) gaps_.back().first_failed_call = now;
}

std::optional<Time> ToldRecord::delivered_at(std::uint64_t version) const {
    for (const Delivery& delivery : deliveries_) {
        if (delivery.version >= version) return delivery.at;
    }
    return {};
}

std::optional<Time> ToldRecord::told_in(const Gap& gap, Time made_at, const ToldTerms& terms) {
    Time told{};
    switch (gap.cause) {
        case Cause::never_watched:
        case Cause::discovery_down: return {};
        case Cause::ended: told = std::max(made_at, gap.began + terms.after_watch_ended); break;
        case Cause::fell_silent: told = std::max(made_at, gap.began + terms.after_silence); break;
        case Cause::moved: told = std::max(made_at, gap.began + terms.after_move); break;
    }
    const bool excused = gap.cause == Cause::ended && gap.first_failed_call && *gap.first_failed_call <= told;
    const bool over = gap.ended && *gap.ended <= told;
    if (excused || over) return {};
    return told;
}

Time ToldRecord::told_at(const DrainChange& change, const ToldTerms& terms) const {
    Time told = change.reachable_at + terms.at_most;
    if (const auto delivered = delivered_at(change.version)) told = std::min(told, *delivered);
    for (const Gap& gap : gaps_) {
        if (gap.ended && *gap.ended <= change.made_at) continue;
        if (const auto in_gap = told_in(gap, change.made_at, terms)) told = std::min(told, *in_gap);
    }
    return told;
}

// --------------------------------------------------------------------------------------------- discovery

ModelledDiscovery::ModelledDiscovery(SimulatedClock& clock, const DiscoverySettings& settings,
                                     std::vector<UpstreamEntry> upstreams)
    : clock_(clock), settings_(settings), upstreams_(std::move(upstreams)) {}

int ModelledDiscovery::add_client(DiscoveryClient& client) {
    links_.push_back({&client, State::idle, 0, {}, {}, ToldRecord(clock_.now())});
    return static_cast<int>(links_.size()) - 1;
}

Micros ModelledDiscovery::service_time() const {
    return Micros(static_cast<Micros::rep>(1e6 / settings_.calls_per_s));
}

// An event of what the client has open now; void once it has something else.
void ModelledDiscovery::schedule(int client, Time due, void (ModelledDiscovery::*event)(int)) {
    const std::uint64_t serial = link(client).serial;
    clock_.at(due, [this, client, serial, event] {
        if (link(client).serial == serial) (this->*event)(client);
    });
}

void ModelledDiscovery::call(int client) {
    Link& caller = link(client);
    if (caller.state != State::idle) return;
    const Time now = clock_.now();
    caller.state = State::calling;
    caller.called_at = now;
    ++caller.serial;
    ++calls_made_;
    const Time timed_out = now + settings_.call_timeout;
    if (!up_) {
        const bool hangs = settings_.while_down == CallWhileDown::hangs;
        schedule(client, hangs ? timed_out : now + settings_.refusal_delay, &ModelledDiscovery::fail_call);
        return;
    }
    const Time answered = std::max(free_at_, now) + service_time();
    const bool in_time = answered <= timed_out;
    if (in_time || settings_.overload == Overload::work_off) free_at_ = answered;
    if (in_time) {
        schedule(client, answered, &ModelledDiscovery::answer);
    } else if (settings_.overload == Overload::refuse_at_once) {
        schedule(client, now + settings_.refusal_delay, &ModelledDiscovery::fail_call);
    } else {
        schedule(client, timed_out, &ModelledDiscovery::fail_call);
    }
}

void ModelledDiscovery::hang_up(int client) {
    Link& caller = link(client);
    if (caller.state == State::idle) return;
    if (caller.state != State::calling) caller.record.watch_lost(clock_.now(), ToldRecord::Cause::ended);
    caller.state = State::idle;
    ++caller.serial;
}

void ModelledDiscovery::answer(int client) {
    Link& caller = link(client);
    caller.state = State::watching;
    caller.spoke_at = clock_.now();
    caller.record.list_delivered(clock_.now(), version_);
    caller.record.watch_began(clock_.now());
    caller.client->on_list(ListKind::full, ready_upstreams(), version_);
}

void ModelledDiscovery::fail_call(int client) {
    Link& caller = link(client);
    caller.state = State::idle;
    ++caller.serial;
    ++calls_failed_;
    caller.record.call_failed(clock_.now());
    caller.client->on_list(ListKind::failed, {}, 0);
}

void ModelledDiscovery::lose_watch(int client, ToldRecord::Cause cause, ListKind kind) {
    Link& watcher = link(client);
    watcher.state = State::idle;
    ++watcher.serial;
    watcher.record.watch_lost(clock_.now(), cause);
    watcher.client->on_list(kind, {}, 0);
}

void ModelledDiscovery::go_down() {
    up_ = false;
    free_at_ = {};
    for (int client = 0; client < static_cast<int>(links_.size()); ++client) {
        Link& each = link(client);
        if (each.state == State::calling) {
            // It hangs for as long as a call may.
            ++each.serial;
            schedule(client, each.called_at + settings_.call_timeout, &ModelledDiscovery::fail_call);
        } else if (each.state != State::idle) {
            lose_watch(client, ToldRecord::Cause::discovery_down, ListKind::failed);
            continue;
        }
        each.record.watch_lost(clock_.now(), ToldRecord::Cause::discovery_down);
    }
}

void ModelledDiscovery::come_back() {
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
    for (int client = 0; client < static_cast<int>(links_.size()); ++client) {
        if (link(client).state != State::watching) continue;
        if (settings_.ends_instead_of_telling) {
            lose_watch(client, ToldRecord::Cause::ended, ListKind::closed);
        } else {
            tell(client, changed);
        }
    }
}

void ModelledDiscovery::tell(int client, const std::vector<UpstreamEntry>& changed) {
    Link& watcher = link(client);
    watcher.spoke_at = clock_.now();
    watcher.record.list_delivered(clock_.now(), version_);
    watcher.client->on_list(ListKind::delta, changed, version_);
}

void ModelledDiscovery::silence_watches() {
    const Time now = clock_.now();
    for (int client = 0; client < static_cast<int>(links_.size()); ++client) {
        Link& watcher = link(client);
        if (watcher.state != State::watching) continue;
        watcher.state = State::silent;
        watcher.record.watch_lost(now, ToldRecord::Cause::fell_silent);
        const auto words = (now - watcher.spoke_at) / settings_.word_gap;
        const Time last_word = watcher.spoke_at + words * settings_.word_gap;
        schedule(client, last_word + watch_idle_timeout, &ModelledDiscovery::report_silence);
    }
}

// The gap in the record goes on: it began when the watch fell silent.
void ModelledDiscovery::report_silence(int client) {
    Link& watcher = link(client);
    watcher.state = State::idle;
    ++watcher.serial;
    watcher.client->on_list(ListKind::silent, {}, 0);
}

void ModelledDiscovery::move(Micros span) {
    const auto count = static_cast<Micros::rep>(links_.size());
    for (int client = 0; client < static_cast<int>(links_.size()); ++client) {
        clock_.after(span * client / count, [this, client] { reach_at_new_address(client); });
    }
}

void ModelledDiscovery::reach_at_new_address(int client) {
    lose_watch(client, ToldRecord::Cause::moved, ListKind::moved);
}

std::vector<UpstreamEntry> ModelledDiscovery::ready_upstreams() const {
    std::vector<UpstreamEntry> ready;
    for (const UpstreamEntry& each : upstreams_) {
        if (each.state == UpstreamState::ready) ready.push_back(each);
    }
    return ready;
}

bool ModelledDiscovery::all_watching() const {
    return std::all_of(links_.begin(), links_.end(),
                       [](const Link& each) { return each.state == State::watching; });
}

std::optional<Time> ModelledDiscovery::newest_heard_by_all_at() const {
    Time last{};
    for (const Link& each : links_) {
        const auto heard = each.record.delivered_at(version_);
        if (!heard) return {};
        last = std::max(last, *heard);
    }
    return last;
}

// ------------------------------------------------------------------------------------------------- fleet

namespace {

std::uint64_t instance_seed(const FleetSettings& fleet, int rank) {
    constexpr std::uint64_t most_instances = 100'000;
    return fleet.seed * most_instances + static_cast<std::uint64_t>(rank) + 1;
}

std::vector<int> all_ranks(int instances) {
    std::vector<int> ranks(static_cast<std::size_t>(instances));
    std::iota(ranks.begin(), ranks.end(), 0);
    return ranks;
}

}  // namespace

std::vector<UpstreamEntry> upstreams_for(int instances) {
    constexpr int least = 12;
    const int count = std::max(least, instances / 8);
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
                                   const std::vector<UpstreamEntry>& known)
    : clock_(clock), discovery_(discovery), settings_(settings), client_(discovery.add_client(*this)) {
    policy_ = std::make_unique<Policy>(instance_settings(settings, rank), instance_seed(settings, rank),
                                       clock.now(), *this);
    policy_->on_list(clock.now(), ListKind::cached, known);
    // The trickles of the instances are out of step, as those of real ones are.
    clock_.after(settings.request_gap * rank / settings.instances, [this] { send_request(); });
}

void ModelledInstance::send_request() {
    clock_.after(settings_.request_gap, [this] { send_request(); });
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
    clock_.after(settings_.answer_after,
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

void ModelledInstance::turn_away(RequestId request) {
    turned_away_.push_back(clock_.now());
    attempts_.erase(request);
}

void ModelledInstance::refuse(RequestId request, Micros) { turn_away(request); }
void ModelledInstance::fail(RequestId request) { turn_away(request); }
void ModelledInstance::cancel(RequestId request, int attempt) { cancelled_[{request, attempt}] = true; }

void ModelledInstance::probe(UpstreamId) { throw std::logic_error("probes are not allowed here"); }
void ModelledInstance::fetch() { throw std::logic_error("calls for one list are not modelled"); }

void ModelledInstance::set_timer(Time at, std::uint64_t token) {
    clock_.at(at, [this, token] { policy_->on_timer(clock_.now(), token); });
}

void ModelledInstance::watch() { discovery_.call(client_); }
void ModelledInstance::unwatch() { discovery_.hang_up(client_); }

void ModelledInstance::on_list(ListKind kind, const std::vector<UpstreamEntry>& entries,
                               std::uint64_t version) {
    heard_.push_back({clock_.now(), kind});
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
                             const std::vector<UpstreamEntry>& known)
    : discovery_(discovery), settings_(settings) {
    for (const int rank : ranks) {
        instances_.push_back(std::make_unique<ModelledInstance>(clock, discovery, settings, rank, known));
    }
}

std::vector<DrainBreach> ModelledFleet::drain_breaches(Micros slack) const {
    std::vector<DrainBreach> breaches;
    for (int instance = 0; instance < static_cast<int>(instances_.size()); ++instance) {
        std::unordered_map<UpstreamId, Time> last_allowed;
        for (const DrainChange& drain : discovery_.drains()) {
            last_allowed[drain.upstream] = discovery_.told_at(instance, drain) + settings_.drain_grace;
        }
        for (const auto& submit : instances_[static_cast<std::size_t>(instance)]->submits()) {
            const auto found = last_allowed.find(submit.upstream);
            if (found == last_allowed.end()) continue;
            const bool sent_late = submit.at > found->second + slack;
            if (!sent_late && submit.send_by <= found->second + slack) continue;
            const auto kind = sent_late ? DrainBreach::Kind::submit : DrainBreach::Kind::send_by;
            const Time broken_at = sent_late ? submit.at : submit.send_by;
            breaches.push_back({kind, instance, submit.upstream, submit.at, broken_at - found->second});
        }
    }
    return breaches;
}

std::size_t ModelledFleet::turned_away() const {
    std::size_t count = 0;
    for (const auto& instance : instances_) count += instance->turned_away().size();
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
