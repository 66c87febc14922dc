#include "net/host.h"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "net/process_memory.h"

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;

// A client's budget runs from sending the request to receiving the response. It includes network time that
// this process can't measure, the trip of the request here and of the response back, so this much is
// subtracted.
constexpr Micros network_round_trip = milliseconds(4);
// The part of it that is reserved for the trip back when the host itself answers a request at its deadline.
constexpr Micros network_return_trip = milliseconds(2);
// New connections keep arriving for up to 0.4 s after SIGTERM.
constexpr auto drain_accept_time = milliseconds(450);
constexpr auto drain_poll_interval = milliseconds(10);
// The earliest SIGKILL after SIGTERM: the longest deadline of a class, capped at the first of these, plus the
// second.
constexpr Micros max_deadline_before_kill = std::chrono::seconds(3);
constexpr Micros kill_delay = milliseconds(700);
// Times before SIGKILL: by the first all requests have their response, by the second the program has ended.
constexpr Micros respond_before_kill = milliseconds(150), exit_before_kill = milliseconds(50);
constexpr auto statistics_interval = std::chrono::seconds(2);
// Bounds of the delay before a failed watch on a pushed list is started again, before jitter.
constexpr Micros min_watch_delay = milliseconds(20), max_watch_delay = milliseconds(500);
// Memory that must have been freed since its peak for the allocator to return it to the system.
constexpr std::size_t min_freed_bytes = 1024 * 1024;
// Descriptors reserved for everything but client and upstream connections.
constexpr std::size_t reserved_sockets = 32;

std::size_t usable_sockets(const Config& config) {
    std::size_t sockets = config.max_sockets;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
    return std::max<std::size_t>(sockets, reserved_sockets + 4) - reserved_sockets;
}

// Returns how often a silent discovery call may be checked before it is given up. Where lists are pushed the
// agent answers at once, so a silent call is given up and repeated early: the policy goes on using a pushed
// list until it has a newer one.
int max_checks(const Settings& settings) { return settings.must_request_list ? max_reachability_checks : 0; }

HttpResponse refusal_response(Micros retry_after) {
    HttpResponse response(http::status::service_unavailable, 11);
    if (retry_after > Micros{0}) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after.count()) / 1e6);
        response.set(http::field::retry_after, seconds);
    }
    return response;
}

ListKind list_kind(ListFailure failure) {
    switch (failure) {
        case ListFailure::closed: return ListKind::closed;
        case ListFailure::unreachable: return ListKind::unreachable;
        case ListFailure::silent: return ListKind::silent;
        case ListFailure::failed: break;
    }
    return ListKind::failed;
}

HttpResponse failure_response(http::status status) { return {status, 11}; }

}  // namespace

Host::Host(asio::io_context& loop, Config config)
    : loop_(loop),
      config_(std::move(config)),
      memory_(message_memory_limits(config_.memory_bytes)),
      clients_(loop, clock_, config_.settings, usable_sockets(config_) / 2, memory_, event_log_, *this),
      upstreams_(loop, clock_,
                 {config_.settings.connect_timeout, config_.settings.connection_idle_timeout,
                  usable_sockets(config_) / 2},
                 config_.report_fields, memory_, *this),
      discovery_(loop, config_.discovery_address, config_.list_names, *this, max_checks(config_.settings)),
      next_timer_(loop),
      watch_timer_(loop),
      watch_jitter_(config_.seed),
      drain_timer_(loop),
      statistics_timer_(loop),
      policy_(config_.settings, config_.seed, clock_.now(), *this) {
    discovery_.resume_from(config_.known_list);
    handle([this](Time now) { deliver_list(now, ListKind::cached, config_.known_list); });
    if (!config_.settings.must_request_list) discovery_.watch();
    clients_.listen(config_.listen_address);
    log_statistics();
    net::log("listening");
}

// Prevents re-entrant calls of the policy and of its actions: events that arise meanwhile are queued.
void Host::handle(std::function<void(Time)> event) {
    events_.push_back(std::move(event));
    if (handling_) return;
    handling_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        now_ = std::max(now_, clock_.now());
        next(now_);
        while (!actions_.empty()) {
            const auto action = std::move(actions_.front());
            actions_.pop_front();
            action();
        }
    }
    handling_ = false;
}

// ------------------------------------------------------------------------------------------------ actions

void Host::submit(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) {
    actions_.push_back([=, this] { send_attempt(request, upstream, timeout, send_by); });
}

void Host::send_attempt(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) {
    const auto found = open_requests_.find(request);
    if (found == open_requests_.end()) return;
    OpenRequest& open = found->second;
    const AttemptKey attempt{request, open.attempt_count++};
    ++open.in_flight_count;
    // Sends nothing for a request that is completed or whose client has disconnected, nor more attempts than
    // are allowed.
    clients_.detect_disconnect(request);
    if (open.completed || attempt.number >= config_.settings.max_attempts) {
        AttemptResult result;
        result.attempt = attempt;
        result.upstream = upstream;
        result.outcome = Outcome::not_sent;
        on_attempt_result(std::move(result));
        return;
    }
    request_stats_.retries += attempt.number > 0;
    const Time expires = timeout == Micros{0} ? open.deadline : std::min(open.deadline, now_ + timeout);
    upstreams_.send(attempt, upstream, open.header, expires, send_by, open.body);
}

void Host::refuse(RequestId request, Micros retry_after) {
    actions_.push_back([=, this] {
        ++request_stats_.refused;
        if (const auto found = open_requests_.find(request); found != open_requests_.end())
            log_request(request, found->second, "refused");
        respond(request, refusal_response(retry_after));
    });
}

void Host::fail(RequestId request) {
    actions_.push_back([=, this] {
        ++request_stats_.failed;
        if (const auto found = open_requests_.find(request); found != open_requests_.end())
            log_request(request, found->second, "failed");
        respond(request, failure_response(http::status::bad_gateway));
    });
}

void Host::respond(RequestId request, HttpResponse response) {
    const auto found = open_requests_.find(request);
    if (found == open_requests_.end() || found->second.completed) return;
    complete(found->second);
    clients_.respond(request, std::move(response));
    erase_if_finished(request);
}

// A timer that stayed until the deadline would make a client that sends many requests fill the memory.
void Host::complete(OpenRequest& open) {
    open.completed = true;
    timers_.erase(open.deadline_timer);
}

void Host::cancel(RequestId request, int attempt) {
    actions_.push_back([=, this] { upstreams_.cancel({request, attempt}); });
}

void Host::set_timer(Time at, std::uint64_t token) { add_timer({at, 0, false, token}); }

void Host::watch() {
    actions_.push_back([this] { discovery_.watch(); });
}

void Host::unwatch() {
    actions_.push_back([this] { discovery_.unwatch(); });
}

void Host::fetch() {
    actions_.push_back([this] { discovery_.fetch(); });
}

void Host::close_idle(UpstreamId upstream) {
    actions_.push_back([=, this] { upstreams_.close_idle(upstream); });
}

// The policy sets no time limit for a probe. One that takes longer than the longest aim of a class shows that
// the upstream can serve no class in time.
void Host::probe(UpstreamId upstream) {
    actions_.push_back([=, this] {
        Micros longest{};
        for (const auto& c : config_.settings.classes) longest = std::max(longest, c.latency_target);
        const bool reported = config_.settings.report_source == ReportSource::probes;
        upstreams_.probe(upstream, reported ? "/status/load" : "/health", clock_.now() + longest);
    });
}

// Messages to other balancers are not allowed where this program runs.
void Host::send_message(std::optional<int>, std::string_view) {
    net::log("error: the policy sent a message to its peers, which is not allowed; message dropped");
}

void Host::log(std::string_view line) { net::log(line); }

// ------------------------------------------------------------------------------------------------- events

void Host::on_client_request(ClientRequest request) {
    const Time received = clock_.now();
    if (draining_) request.budget = std::clamp(respond_by_ - received, Micros{1}, request.budget);
    const Micros round_trip = std::min(network_round_trip, request.budget / 2);
    request.policy_request.deadline = received + request.budget - round_trip;
    const RequestId id = request.policy_request.id;
    ++request_stats_.received;
    OpenRequest& open = add_open_request(id, std::move(request.message), received);
    open.deadline = request.policy_request.deadline;
    const Time respond_at = received + request.budget - std::min(network_return_trip, request.budget / 4);
    open.deadline_timer = add_timer({respond_at, 0, true, id});
    handle([this, policy_request = request.policy_request](Time now) {
        policy_.on_request(now, policy_request);
    });
}

Host::OpenRequest& Host::add_open_request(RequestId id, HttpRequest message, Time received) {
    const auto id_text = message["X-Call-Id"];
    OpenRequest open(memory_);
    open.call_id = printable({id_text.data(), id_text.size()});  // before the client's headers are removed
    open.received_at = received;
    strip_hop_by_hop(message);
    message.version(11);
    message.prepare_payload();
    open.body = std::make_shared<const std::string>(std::exchange(message.body(), {}));
    open.header = std::move(message);
    open.charge.set(memory_of(open.header) + open.body->capacity());
    return open_requests_.try_emplace(id, std::move(open)).first->second;
}

void Host::on_client_disconnected(RequestId request) {
    const auto found = open_requests_.find(request);
    if (found == open_requests_.end() || found->second.completed) return;
    complete(found->second);
    ++request_stats_.disconnected;
    if (found->second.in_flight_count > 0) {
        ++request_stats_.disconnected_in_flight;
        log_request(request, found->second, "client disconnected");
    }
    // Prevents an attempt from being sent on a connection that is established after the client has
    // disconnected, where sent attempts may not be cancelled.
    upstreams_.withdraw_unsent([=](AttemptKey attempt, UpstreamId) { return attempt.request == request; });
    handle([=, this](Time now) { policy_.on_client_gone(now, request); });
    erase_if_finished(request);
}

// Forwards the first successful response to the client before the policy is notified of it.
void Host::on_attempt_result(AttemptResult result) {
    const RequestId request = result.attempt.request;
    const auto found = open_requests_.find(request);
    if (found == open_requests_.end()) return;
    --found->second.in_flight_count;
    if (result.outcome == Outcome::ok && !found->second.completed) {
        ++request_stats_.served;
        complete(found->second);
        strip_hop_by_hop(result.response);
        result.response.erase("X-Load-Report");
        clients_.respond(request, std::move(result.response));
    }
    AttemptEnd end;
    end.request = request;
    end.attempt = result.attempt.number;
    end.outcome = result.outcome;
    end.request_done = found->second.completed;
    end.possible_duplicate = result.possible_duplicate;
    end.latency = result.latency;
    end.upstream = result.upstream;
    end.report = std::move(result.report);
    erase_if_finished(request);
    handle([this, end](Time now) { policy_.on_attempt_end(now, end); });
}

// The client may have disconnected while the connection was being established, with the event still queued in
// the loop: the attempt is then withdrawn before its first byte is sent.
void Host::on_connected(AttemptKey attempt) { clients_.detect_disconnect(attempt.request); }

void Host::on_probe_result(ProbeResult result) {
    handle([this, result = std::move(result)](Time now) { policy_.on_probe_result(now, result); });
}

void Host::erase_if_finished(RequestId request) {
    const auto found = open_requests_.find(request);
    if (found != open_requests_.end() && found->second.completed && found->second.in_flight_count == 0)
        open_requests_.erase(found);
}

void Host::on_list(UpstreamList list) {
    handle([this, list = std::move(list)](Time now) {
        deliver_list(now, list.full ? ListKind::full : ListKind::delta, list);
    });
}

void Host::deliver_list(Time now, ListKind kind, const UpstreamList& list) {
    std::vector<UpstreamEntry> entries;
    for (const auto& u : list.upstreams) {
        upstreams_.set_address(u.entry.id, u.address);
        if (u.entry.state == UpstreamState::removed) upstreams_.close_idle(u.entry.id);
        entries.push_back(u.entry);
    }
    // Prevents an attempt from being sent on a connection that is established after its upstream has begun
    // to drain or left: attempts not yet written are withdrawn, so that the policy sends them elsewhere.
    upstreams_.withdraw_unsent([&](AttemptKey, UpstreamId upstream) {
        const auto found = std::find_if(entries.begin(), entries.end(),
                                        [&](const UpstreamEntry& e) { return e.id == upstream; });
        return found == entries.end() ? list.full : found->state != UpstreamState::ready;
    });
    policy_.on_list(now, kind, entries, list.version);
}

void Host::on_list_failed(ListFailure failure) {
    handle([this, kind = list_kind(failure)](Time now) { policy_.on_list(now, kind, {}); });
    if (failure == ListFailure::silent) return restart_watch(Micros{0});
    // The drain grace of an upstream starts when the agent has the list that says so, whether or not a watch
    // is open. The delay is therefore kept well below the grace.
    const Micros delay =
        std::clamp<Micros>(config_.settings.drain_grace / 8, min_watch_delay, max_watch_delay);
    restart_watch(delay + Micros(std::llround(watch_jitter_.unit() * static_cast<double>(delay.count()))));
}

// Restarts the watch where lists are pushed: the policy doesn't ask for them there, and asking the agent on
// this machine costs nothing. Elsewhere the policy decides when to ask.
void Host::restart_watch(Micros delay) {
    if (config_.settings.must_request_list) return;
    watch_timer_.expires_after(delay);
    watch_timer_.async_wait([this](error_code error) {
        if (!error) discovery_.watch();
    });
}

// ------------------------------------------------------------------------------------------------- timers

Host::Timer Host::add_timer(Timer timer) {
    timer.sequence = ++last_timer_sequence_;
    timers_.insert(timer);
    if (!(*timers_.begin() < timer)) arm_timer();
    return timer;
}

void Host::arm_timer() {
    next_timer_.expires_at(clock_.steady(timers_.begin()->at));
    next_timer_.async_wait([this](error_code error) {
        if (!error) run_due_timers();
    });
}

// Runs the timers that are due by now. Timers that are set meanwhile run later, even those that are due at
// once.
void Host::run_due_timers() {
    std::vector<Timer> due;
    const Time now = clock_.now();
    while (!timers_.empty() && timers_.begin()->at <= now) {
        due.push_back(*timers_.begin());
        timers_.erase(timers_.begin());
    }
    for (const Timer& timer : due) {
        if (timer.is_request_deadline) {
            handle([this, id = timer.value](Time now) { handle_overdue_request(id, now); });
        } else {
            handle([this, token = timer.value](Time now) { policy_.on_timer(now, token); });
        }
    }
    if (!timers_.empty()) arm_timer();
}

// The last safeguard: every client gets a response by its deadline, whatever went wrong before.
void Host::handle_overdue_request(RequestId request, Time now) {
    const auto found = open_requests_.find(request);
    if (found == open_requests_.end() || found->second.completed) return;
    net::log("error: request " + std::to_string(request) + " had no response by its deadline; sending 504");
    time_out_request(request, now);
}

void Host::time_out_request(RequestId request, Time now) {
    ++request_stats_.timed_out;
    respond(request, failure_response(http::status::gateway_timeout));
    policy_.on_client_gone(now, request);
}

void Host::reconfigure(const Config& config) {
    if (drained_) return;
    net::log("configuration reloaded");
    if (!discovery_.change_address(config.discovery_address)) return;
    // Prevents changes from being missed while the back-off after a failed call to the old address lasts.
    handle([this](Time now) { policy_.on_list(now, ListKind::moved, {}); });
    restart_watch(Micros{0});
}

// Logs statistics of attempts and connections for the analysis of incidents: one line per interval in which
// there was any traffic.
void Host::log_statistics() {
    const std::size_t requests_peak = memory_.take_peak(MemoryPool::requests);
    const std::size_t responses_peak = memory_.take_peak(MemoryPool::responses);
    for (const auto& line : {upstreams_.take_summary(), clients_.take_summary(), take_request_summary(),
                             memory_summary(requests_peak, responses_peak)}) {
        if (!line.empty()) net::log(line);
    }
    const std::size_t freed = requests_peak + responses_peak - memory_.used(MemoryPool::requests) -
                              memory_.used(MemoryPool::responses);
    if (freed >= min_freed_bytes) release_free_memory();
    if (const unsigned suppressed = event_log_.start_interval())
        net::log("suppressed lines on single events: " + std::to_string(suppressed));
    statistics_timer_.expires_after(statistics_interval);
    statistics_timer_.async_wait([this](error_code error) {
        if (!error) log_statistics();
    });
}

std::string Host::take_request_summary() {
    const RequestStats stats = std::exchange(request_stats_, {});
    std::string line;
    if (stats.received + stats.disconnected > 0) {
        char counters[200];
        std::snprintf(
            counters, sizeof counters,
            "requests %u: served %u, refused %u, failed %u, timed out %u, retries %u, client disconnected "
            "%u (%u with an attempt in flight); ",
            stats.received, stats.served, stats.refused, stats.failed, stats.timed_out, stats.retries,
            stats.disconnected, stats.disconnected_in_flight);
        line = counters;
    }
    return line;
}

// Memory of requests and responses, in KiB: now, and the most at once since the last line.
std::string Host::memory_summary(std::size_t requests_peak, std::size_t responses_peak) const {
    if (requests_peak + responses_peak == 0) return {};
    const auto kib = [](std::size_t bytes) { return std::to_string(bytes / 1024); };
    return "memory in KiB: requests " + kib(memory_.used(MemoryPool::requests)) + " (peak " +
           kib(requests_peak) + "), responses " + kib(memory_.used(MemoryPool::responses)) + " (peak " +
           kib(responses_peak) + ")";
}

void Host::log_request(RequestId id, const OpenRequest& open, const char* what) {
    const auto age = std::chrono::duration_cast<milliseconds>(clock_.now() - open.received_at).count();
    event_log_.write("request " + std::to_string(id) + " (" + open.call_id + ") " + what + " after " +
                     std::to_string(age) + " ms, attempts " + std::to_string(open.attempt_count) +
                     ", in flight " + std::to_string(open.in_flight_count));
}

// -------------------------------------------------------------------------------------------------- drain

void Host::drain() {
    if (draining_) return;
    draining_ = true;
    net::log("draining");
    Micros longest{};
    for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
    const Time kill = clock_.now() + std::min(longest, max_deadline_before_kill) + kill_delay;
    respond_by_ = kill - respond_before_kill;
    drain_deadline_ = kill - exit_before_kill;
    drain_timer_.expires_after(drain_accept_time);
    drain_timer_.async_wait([this](error_code error) {
        if (!error) finish_drain();
    });
}

// Ends the program without losing a request: one that is only partly received, or not yet read, is still
// served, and one whose deadline lies beyond the end is answered while that is possible. A client that never
// closes its connection is not waited for.
void Host::finish_drain() {
    if (clock_.now() >= respond_by_) {
        std::vector<RequestId> waiting;
        for (const auto& [request, open] : open_requests_) {
            if (!open.completed) waiting.push_back(request);
        }
        for (const RequestId request : waiting) {
            handle([=, this](Time now) { time_out_request(request, now); });
        }
    }
    if (clients_.drain() && clock_.now() < drain_deadline_) {
        drain_timer_.expires_after(drain_poll_interval);
        drain_timer_.async_wait([this](error_code error) {
            if (!error) finish_drain();
        });
        return;
    }
    drained_ = true;
    net::log("drained");
    discovery_.stop();
    clients_.stop();
    upstreams_.stop();
    loop_.stop();
}

}  // namespace flaxdoor::net
