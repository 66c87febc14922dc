#include "net/host.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <random>

namespace flaxdoor::net {

namespace {

using std::chrono::milliseconds;

// A client measures from sending its request to receiving the response. This process sees neither the way of
// the request to it nor the way of the response back, so this much is taken off the client's budget.
constexpr Micros unseen = milliseconds(4);
// The part of it that is kept for the way back when the host itself answers a request at its deadline.
constexpr Micros way_back = milliseconds(2);
// New connections keep arriving for up to 0.4 s after SIGTERM.
constexpr auto still_coming = milliseconds(450);
constexpr auto drain_poll = milliseconds(10);
// SIGKILL follows SIGTERM no sooner than after the longest deadline of a class, but at most this long, plus
// the delay below.
constexpr Micros kill_longest = std::chrono::seconds(3);
constexpr Micros kill_after = milliseconds(700);
// Times before SIGKILL: by the first all requests have their response, by the second the program has ended.
constexpr Micros last_answer = milliseconds(150), last_moment = milliseconds(50);
constexpr auto figures_gap = std::chrono::seconds(2);
// Bounds of the delay before a failed watch on a pushed list is started again, before jitter.
constexpr Micros rewatch_least = milliseconds(20), rewatch_most = milliseconds(500);
// Descriptors reserved for everything but client and upstream connections.
constexpr std::size_t spare_sockets = 32;

std::size_t sockets_of(const Config& config) {
    std::size_t sockets = config.sockets;
    rlimit told{};
    if (::getrlimit(RLIMIT_NOFILE, &told) == 0) sockets = std::min<std::size_t>(sockets, told.rlim_cur);
    return std::max<std::size_t>(sockets, spare_sockets + 4) - spare_sockets;
}

// Returns how often a silent discovery call may be checked before it is given up. Where lists are pushed the
// agent answers at once, so a silent call is given up and repeated early: the policy goes on using a pushed
// list until it has a newer one.
int checks_of(const Settings& settings) { return settings.must_request_list ? max_reachability_checks : 0; }

HttpResponse refusal(Micros retry_after) {
    HttpResponse response(http::status::service_unavailable, 11);
    if (retry_after > Micros{0}) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after.count()) / 1e6);
        response.set(http::field::retry_after, seconds);
    }
    return response;
}

ListKind kind_of(ListFailure failure) {
    switch (failure) {
        case ListFailure::closed: return ListKind::closed;
        case ListFailure::unreachable: return ListKind::unreachable;
        case ListFailure::silent: return ListKind::silent;
        case ListFailure::failed: break;
    }
    return ListKind::failed;
}

HttpResponse failure(http::status status) { return {status, 11}; }

}  // namespace

Host::Host(asio::io_context& loop, Config config)
    : loop_(loop),
      config_(std::move(config)),
      clients_(loop, clock_, config_.settings, sockets_of(config_) / 2, *this),
      upstreams_(loop, clock_,
                 {config_.settings.connect_timeout, config_.settings.connection_idle_timeout,
                  sockets_of(config_) / 2},
                 config_.report_fields, *this),
      discovery_(loop, config_.discovery, config_.names, *this, checks_of(config_.settings)),
      timer_(loop),
      rewatch_(loop),
      drain_(loop),
      figures_(loop),
      policy_(config_.settings, config_.seed, clock_.now(), *this) {
    discovery_.resume_from(config_.known.version);
    handle([this](Time now) { tell_policy(now, ListKind::cached, config_.known); });
    if (!config_.settings.must_request_list) discovery_.watch();
    clients_.listen(config_.listen);
    log_figures();
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
    actions_.push_back([=, this] { send(request, upstream, timeout, send_by); });
}

void Host::send(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) {
    const auto found = open_.find(request);
    if (found == open_.end()) return;
    Open& open = found->second;
    const AttemptKey attempt{request, open.attempts++};
    ++open.in_flight;
    // Sends nothing for a request that is completed or whose client has disconnected, nor more attempts than
    // are allowed.
    clients_.notice_end(request);
    if (open.answered || attempt.number >= config_.settings.max_attempts) {
        AttemptResult moot;
        moot.attempt = attempt;
        moot.upstream = upstream;
        moot.outcome = Outcome::not_sent;
        on_attempt_result(std::move(moot));
        return;
    }
    const Time expires = timeout == Micros{0} ? open.deadline : std::min(open.deadline, now_ + timeout);
    upstreams_.send(attempt, upstream, open.message, expires, send_by);
}

void Host::refuse(RequestId request, Micros retry_after) {
    actions_.push_back([=, this] { answer(request, refusal(retry_after)); });
}

void Host::fail(RequestId request) {
    actions_.push_back([=, this] { answer(request, failure(http::status::bad_gateway)); });
}

void Host::answer(RequestId request, HttpResponse response) {
    const auto found = open_.find(request);
    if (found == open_.end() || found->second.answered) return;
    found->second.answered = true;
    clients_.answer(request, std::move(response));
    forget_if_over(request);
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
    if (draining_) request.budget = std::clamp(answer_by_ - received, Micros{1}, request.budget);
    const Micros unseen_here = std::min(unseen, request.budget / 2);
    request.facts.deadline = received + request.budget - unseen_here;
    const RequestId id = request.facts.id;
    Open& open = open_[id];
    open.message = std::move(request.message);
    strip_hop_by_hop(open.message);
    open.message.version(11);
    open.message.prepare_payload();
    open.deadline = request.facts.deadline;
    const Time guard = received + request.budget - std::min(way_back, request.budget / 4);
    add_timer({guard, 0, true, id});
    handle([this, facts = request.facts](Time now) { policy_.on_request(now, facts); });
}

void Host::on_client_left(RequestId request) {
    const auto found = open_.find(request);
    if (found == open_.end() || found->second.answered) return;
    found->second.answered = true;
    // Prevents an attempt from being sent on a connection that is established after the client has
    // disconnected, where sent attempts may not be cancelled.
    upstreams_.withdraw_unsent([=](AttemptKey attempt, UpstreamId) { return attempt.request == request; });
    handle([=, this](Time now) { policy_.on_client_gone(now, request); });
    forget_if_over(request);
}

// Forwards the first successful response to the client before the policy is notified of it.
void Host::on_attempt_result(AttemptResult result) {
    const RequestId request = result.attempt.request;
    const auto found = open_.find(request);
    if (found == open_.end()) return;
    --found->second.in_flight;
    if (result.outcome == Outcome::ok && !found->second.answered) {
        found->second.answered = true;
        strip_hop_by_hop(result.response);
        result.response.erase("X-Load-Report");
        clients_.answer(request, std::move(result.response));
    }
    AttemptEnd end;
    end.request = request;
    end.attempt = result.attempt.number;
    end.outcome = result.outcome;
    end.request_done = found->second.answered;
    end.possible_duplicate = result.possible_duplicate;
    end.latency = result.latency;
    end.upstream = result.upstream;
    end.report = std::move(result.report);
    forget_if_over(request);
    handle([this, end](Time now) { policy_.on_attempt_end(now, end); });
}

// The client may have disconnected while the connection was being established, with the event still queued in
// the loop: the attempt is then withdrawn before its first byte is sent.
void Host::on_connected(AttemptKey attempt) { clients_.notice_end(attempt.request); }

void Host::on_probe_result(ProbeResult result) {
    handle([this, result = std::move(result)](Time now) { policy_.on_probe_result(now, result); });
}

void Host::forget_if_over(RequestId request) {
    const auto found = open_.find(request);
    if (found != open_.end() && found->second.answered && found->second.in_flight == 0) open_.erase(found);
}

void Host::on_list(UpstreamList list) {
    handle([this, list = std::move(list)](Time now) {
        tell_policy(now, list.full ? ListKind::full : ListKind::delta, list);
    });
}

void Host::tell_policy(Time now, ListKind kind, const UpstreamList& list) {
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
    handle([this, kind = kind_of(failure)](Time now) { policy_.on_list(now, kind, {}); });
    if (failure == ListFailure::silent) return watch_again(Micros{0});
    // The drain grace of an upstream starts when the agent has the list that says so, whether or not a watch
    // is open. The delay is therefore kept well below the grace.
    const Micros gap = std::clamp<Micros>(config_.settings.drain_grace / 8, rewatch_least, rewatch_most);
    watch_again(gap + gap * (std::random_device{}() % 1000) / 1000);
}

// Restarts the watch where lists are pushed: the policy doesn't ask for them there, and asking the agent on
// this machine costs nothing. Elsewhere the policy decides when to ask.
void Host::watch_again(Micros gap) {
    if (config_.settings.must_request_list) return;
    rewatch_.expires_after(gap);
    rewatch_.async_wait([this](error_code error) {
        if (!error) discovery_.watch();
    });
}

// ------------------------------------------------------------------------------------------------- timers

void Host::add_timer(Timer timer) {
    timer.order = ++timer_order_;
    const bool first = timers_.empty() || timer.at < timers_.top().at;
    timers_.push(timer);
    if (first) arm();
}

void Host::arm() {
    timer_.expires_at(clock_.steady(timers_.top().at));
    timer_.async_wait([this](error_code error) {
        if (!error) run_timers();
    });
}

// Runs the timers that are due by now. Timers that are set meanwhile run later, even those that are due at
// once.
void Host::run_timers() {
    std::vector<Timer> due;
    for (const Time now = clock_.now(); !timers_.empty() && timers_.top().at <= now; timers_.pop()) {
        due.push_back(timers_.top());
    }
    for (const Timer& timer : due) {
        if (timer.guard) {
            handle([this, id = timer.value](Time now) { answer_overdue(id, now); });
        } else {
            handle([this, token = timer.value](Time now) { policy_.on_timer(now, token); });
        }
    }
    if (!timers_.empty()) arm();
}

// The last safeguard: every client gets a response by its deadline, whatever went wrong before.
void Host::answer_overdue(RequestId request, Time now) {
    const auto found = open_.find(request);
    if (found == open_.end() || found->second.answered) return;
    net::log("error: request " + std::to_string(request) + " had no response by its deadline; sending 504");
    give_up(request, now);
}

void Host::give_up(RequestId request, Time now) {
    answer(request, failure(http::status::gateway_timeout));
    policy_.on_client_gone(now, request);
}

void Host::reconfigure(const Config& config) {
    if (drained_) return;
    net::log("configuration reloaded");
    if (!discovery_.change_address(config.discovery)) return;
    // Prevents changes from being missed while the back-off after a failed call to the old address lasts.
    handle([this](Time now) { policy_.on_list(now, ListKind::moved, {}); });
    watch_again(Micros{0});
}

// Logs statistics of attempts and connections for the analysis of incidents: one line per interval in which
// there was any traffic.
void Host::log_figures() {
    if (const auto line = upstreams_.take_summary(); !line.empty()) net::log(line);
    figures_.expires_after(figures_gap);
    figures_.async_wait([this](error_code error) {
        if (!error) log_figures();
    });
}

// -------------------------------------------------------------------------------------------------- drain

void Host::drain() {
    if (draining_) return;
    draining_ = true;
    net::log("draining");
    Micros longest{};
    for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
    const Time kill = clock_.now() + std::min(longest, kill_longest) + kill_after;
    answer_by_ = kill - last_answer;
    drain_end_ = kill - last_moment;
    drain_.expires_after(still_coming);
    drain_.async_wait([this](error_code error) {
        if (!error) wind_down();
    });
}

// Ends the program without losing a request: one that is only partly received, or not yet read, is still
// served, and one whose deadline lies beyond the end is answered while that is possible. A client that never
// closes its connection is not waited for.
void Host::wind_down() {
    if (clock_.now() >= answer_by_) {
        std::vector<RequestId> waiting;
        for (const auto& [request, open] : open_) {
            if (!open.answered) waiting.push_back(request);
        }
        for (const RequestId request : waiting) {
            handle([=, this](Time now) { give_up(request, now); });
        }
    }
    if (clients_.wind_down() && clock_.now() < drain_end_) {
        drain_.expires_after(drain_poll);
        drain_.async_wait([this](error_code error) {
            if (!error) wind_down();
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
