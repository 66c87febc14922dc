// The decisions of flaxdoor. Types, events and actions: include/flaxdoor/decide.h.
//
// The ordinary path of a request:
//   on_request      -> send_original takes two random ready upstreams of the balancer's own zone and sends to
//                      the one with fewer of its attempts in flight. Other zones are used if fewer than half
//                      of the upstreams of the own zone are ready, or if the delay of all candidates exceeds
//                      the retry time-out (T1).
//   on_attempt_end  -> after a failure and a back-off (T1, doubled with each round), send_retry takes a new
//                      pair without the upstream that failed, the better of the two first, and then the other
//                      candidates. Each admits the retry with a probability (p) that falls from 1 to 0 as the
//                      smoothed delay (q_avg) of the upstream rises from 0.2 T1 to T1.
// The letters in brackets are those of the paper that describes this admission of retries.
//
// Each rule that must never be broken is enforced in one function:
//   rules 1 and 2  may_send                limits on attempts and time; no effect twice
//   rule 2         on_request              no effect twice when the id of an earlier request comes again
//   rule 2         may_refuse              a refusal promises that a retry is harmless
//   rules 3 and 4  may_get_new_work        none for an upstream that drains or has left the list, and for a
//                                          cold one no more than it can take
//   rule 5         close_idle_if_draining  idle connections to such an upstream are closed
#include "flaxdoor/decide.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "policy/list_subscription.h"
#include "policy/list_use_log.h"
#include "policy/request_history.h"
#include "settings_check.h"
#include "util/decay.h"
#include "util/random.h"
#include "util/running_average.h"
#include "util/slot_table.h"
#include "util/timer_token.h"
#include "util/token_bucket.h"

namespace flaxdoor {

namespace {

// ------------------------------------------------------------------------------------------- constants

// Admission of retries. Delays are shares of the retry time-out of the request's class (T1).
// Least weight of a new sample of an upstream (w_q, the paper's value).
constexpr double upstream_sample_weight = 0.1;
constexpr double full_admission_delay = 0.2;  // delay up to which every retry is admitted (q_min)
constexpr double no_admission_delay = 1.0;    // delay from which no retry is admitted (q_max)
// The retry time-out is the mean latency plus a multiple of its mean deviation, as TCP's retransmission timer
// is, within these shares of the latency target.
constexpr double retry_timeout_deviations = 4;
constexpr double min_retry_timeout_share = 0.25;
constexpr double max_retry_timeout_share = 0.8;
// Least weight of a response in the mean latency of its class.
constexpr double class_latency_weight = 1.0 / 64;

// Outlier ejection.
constexpr int ejection_failure_count = 4;  // consecutive failures that eject an upstream
constexpr int connect_failure_count = 2;   // what a failed connection counts as
// An upstream is ejected for a single class if the class's failure rate there, the share of attempts that end
// in an error or a time-out, exceeds both a fixed rate and a multiple of the rate at all upstreams.
constexpr double class_failure_weight = 0.2;  // weight of a new outcome in the rate at the upstream
constexpr double class_ejection_failure_rate = 0.5;
constexpr double class_ejection_failure_ratio = 2;
constexpr double ejection_time_growth = 2;       // factor from one ejection time to the next
constexpr double max_ejection_ramp_share = 0.5;  // longest ejection time, as a share of the ramp time

// In-flight limit of an upstream, in attempts of this balancer. It is learned.
constexpr double initial_in_flight_limit = 2;  // before anything is known of the upstream
// Increase by a timely response at the limit (1 until the first decrease), and decrease by a response that
// shows overload.
constexpr double in_flight_limit_step = 1.0 / 32;

// Concurrency limit of this balancer over all upstreams, decreased only under congestion. Congestion is the
// smoothed latency as a multiple of the base latency, which is the latency without overload.
constexpr double max_congestion = 2;  // above it the limit is decreased
// Least weight of a new sample of congestion, and weight of an outcome in a class's failure rate.
constexpr double congestion_weight = 1.0 / 32;
constexpr double congestion_sample_cap = 4;          // highest sample that a response counts as
constexpr double failure_congestion_sample = 6;      // sample that a rejection or a time-out counts as
constexpr double concurrency_decrease_factor = 0.7;  // of the limit
// The next three are numbers of attempts per upstream, divided among all balancers.
constexpr double concurrency_increase_per_upstream = 0.25;  // over as many timely responses as the limit
constexpr double initial_concurrency_per_upstream = 2;
// Lowest limit after a decrease: slow upstreams recover when idle.
constexpr double min_concurrency_per_upstream = 0.5;
// Multiple of the base latency above which a response shows an overloaded upstream.
constexpr double overload_slowdown = 3;
// Responses of a class after which its base latency is known.
constexpr double base_latency_response_count = 8;
// Base latency until then, as a share of the latency target.
constexpr double base_latency_guess_share = 1.0 / 3;
constexpr double base_latency_growth = 3e-4;  // relative increase by each response

// Prediction of latency, by which a request is sent or not. A single attempt is the only one that this
// balancer has in flight at the upstream.
// Share of the time between the latency of a single attempt and the latency target that queueing may use.
constexpr double queueing_time_share = 0.5;
// Share of the latency target that a single attempt's latency may use.
constexpr double max_single_latency_share = 0.75;
// Least growth of latency with the balancer's own load, as a share of growth in proportion to it.
constexpr double min_slope_share = 0.5;
// Least share of a limit, or of a more valuable class's latency target, that is left to the class with the
// lower worth per work.
constexpr double min_priority_share = 0.5;
// While a request has had up to this many attempts, one that has not run is retried without a back-off.
constexpr std::size_t immediate_retry_attempts = 2;

// Subset of a ring of upstreams that a balancer uses.
// Responses that the balancer should get from each upstream of the subset within the decay time.
constexpr double min_responses_per_upstream = 8;
constexpr double subset_coverage = 2;  // least mean number of subsets that an upstream is in
// Distance on the ring from the subset of one rank to that of the next, as a share of the ring. The golden
// ratio spreads the subsets evenly.
constexpr double golden_ratio_conjugate = 0.6180339887498949;
// Spillover to other zones, by the smoothed delay of the own zone as a share of the latency target.
constexpr double zone_delay_weight = 1.0 / 16;  // weight of a new response in that delay
constexpr double zone_idle_delay = 0.1;         // up to this delay the zone spills nothing
constexpr double zone_overload_delay = 0.3;     // from this delay it spills all that it lacks capacity for
// Least number of upstreams in a subset, so that a pair can be drawn while some are ejected.
constexpr std::size_t min_subset_size = 4;

constexpr double connect_outcome_weight = 0.1;  // weight of an outcome in the failure rate of new connections
// Failure rate of new connections above which only open ones are used.
constexpr double max_connect_failure_rate = 0.1;

// Time constants. Those in `retry_timeouts` are multiples of the longest retry time-out of all classes.
// Time constant by which delay and other averages decay without samples.
constexpr double decay_retry_timeouts = 4;
// Time without a response after which a busy upstream counts as silent.
constexpr double silence_retry_timeouts = 2;
// Share of the latency target within which the back-off of a request without an attempt must end.
constexpr double first_attempt_wait_share = 0.5;
// Interval of the heartbeat, which detects stalls of the balancer itself.
constexpr double heartbeat_retry_timeouts = 0.25;
constexpr double max_time_left_decay = 1e-3;  // relative decrease, by each request, of the longest time left
// Time for which a tenant may save up unused share.
constexpr Micros tenant_burst_time = std::chrono::seconds(4);
constexpr Micros log_interval = std::chrono::seconds(1);  // least time between two lines
// Longest time without an attempt while all upstreams are ejected.
constexpr Micros max_time_without_attempt = std::chrono::seconds(2);

using namespace util;

// Health of an upstream for one class of requests.
struct ClassHealth {
    double failure_rate = 0;  // smoothed share of attempts that ended in an error or a time-out
    Time ejected_until{};     // the class is not sent there until then
};

// "Own" is what belongs to this balancer, as against all balancers.
struct Upstream {
    UpstreamEntry entry;
    std::vector<ClassHealth> class_health;
    std::uint64_t ring_position = 0;
    std::vector<std::size_t>* ring = nullptr;  // of the own zone or of the others; null while not on the list
    int in_flight = 0;                         // own attempts
    bool may_be_connected = false;             // own connections may be open; true in doubt, for rule 5
    bool last_connect_failed = false;          // the last attempt that ended there got no connection
    Time last_outcome_at{};

    double delay_us = 0;  // smoothed delay (q_avg), as of delay_updated_at
    Time delay_updated_at{};
    // Smoothed delay that each request adds that the upstream reports as in flight.
    double delay_per_request_us = 0;
    // Smoothed latency as a multiple of the class's base latency, so that classes compare.
    double slowdown = 0;
    double mean_in_flight_at_send = 0;  // smoothed in_flight_at_send of the attempts that gave `slowdown`
    double single_slowdown = 0;         // the slowdown of attempts whose in_flight_at_send was 1
    double in_flight_limit = initial_in_flight_limit;  // of own attempts
    bool limit_decreased = false;                      // at least once
    DecayingAverage rejection_rate;                    // share of attempts that were rejected

    int consecutive_failures = 0;
    bool ejected = false;      // gets trial requests or probes only
    bool unreachable = false;  // no connection was established since the last success: readmitted as cold
    bool probe_in_flight = false;
    Time ejected_until{};         // time of the next trial while ejected
    Micros next_ejection_time{};  // length of the next ejection
    Time last_response_at{};
    Time busy_since{};  // when in_flight last rose from zero

    std::optional<Time> cold_since;
    TokenBucket cold_budget;    // requests that may be sent now while the upstream is cold
    DecayingSum response_rate;  // own responses a second
};

struct Attempt {
    std::size_t upstream = 0;  // index
    Time sent_at{};
    int in_flight_at_send = 1;  // own attempts in flight at the upstream, including this one
    // Group of the upstream at the send: its members drop repeats, even after the upstream has moved to
    // another group.
    int group = 0;
    bool new_connection = false;  // no connection to the upstream was open
    bool in_flight = true;
    bool may_have_run = true;  // unless its outcome shows that it has not
};

struct OpenRequest {
    Request request;
    Time arrived_at{};
    std::optional<PastExecution> past;  // of an earlier request with the same call id
    std::vector<Attempt> attempts;
    int in_flight = 0;
    int backoff_count = 0;           // the next back-off takes T1 * 2^backoff_count
    std::uint32_t timer_serial = 0;  // of the current timer; older timers are ignored
    bool done = false;               // the final response has been given or the client is gone
    double worth_share = 1;          // of the class's worth: less for a request beyond its tenant's share
};

// Rate at which a warm upstream responds to this balancer.
struct WarmRate {
    double responses_per_s = 0;
    Time computed_at{};
};

struct ClassState {
    double max_time_left_us = 0;  // longest time until the deadline with which requests arrive
    double failure_rate = 0;      // smoothed share of attempts that ended in an error or a time-out
    RunningDeviation latency_with_timeouts;
    RunningAverage response_latency;  // of responses only
    double retry_timeout_us = 0;      // T1
    double lowest_latency_us = 0;     // base latency: least value of the mean latency, with slow growth
};

constexpr std::size_t none = util::SlotTable<OpenRequest>::none;
enum TimerKind : std::uint64_t { retry_timer = 1, discovery_timer = 2, heartbeat_timer = 3 };

}  // namespace

class Policy::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed, Time now, Actions& actions)
        : settings_(settings), actions_(actions), random_(seed), subscription_(settings_, random_, now) {
        check_settings(settings_);
        classes_.resize(settings_.classes.size());
        tenant_quotas_.resize(settings_.tenants.size(), TokenBucket{0, now - tenant_burst_time});
        for (std::size_t class_index = 0; class_index < classes_.size(); ++class_index)
            update_retry_timeout(class_index);
        const auto in_flight_field = std::ranges::find(settings_.report_fields, ReportField::in_flight);
        in_flight_field_index_ = static_cast<std::size_t>(in_flight_field - settings_.report_fields.begin());
        congestion_updated_at_ = now;
        heartbeat(now);
        rate_window_us_ = std::max(us(settings_.ramp_time) / 2, 1e6);
        if (settings_.must_request_list) set_discovery_timer();
    }

    // --------------------------------------------------------------------------- 1. list of upstreams

    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries) {
        if (kind >= ListKind::failed) {
            if (!settings_.must_request_list) return;
            subscription_.on_end(now, kind);
            set_discovery_timer();
            return;
        }
        if (kind == ListKind::cached) log_first_list(now);
        if (kind != ListKind::cached) subscription_.on_list_received(now);
        log_list_use(now);
        if (kind != ListKind::delta) {
            for (auto& upstream : upstreams_)
                upstream.entry.state = UpstreamState::removed;  // unless it is listed below
        }
        for (const auto& entry : entries) update_upstream(now, entry, kind);
        if (kind == ListKind::delta) return;
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {  // for those no longer listed
            update_ring(i);
            close_idle_if_draining(upstreams_[i]);
        }
    }

    // Rule 5: closes idle connections to an upstream that drains or has left the list. Called for every list
    // entry and every outcome.
    void close_idle_if_draining(Upstream& upstream) {
        if (settings_.drain_close <= Micros{0} || upstream.entry.state == UpstreamState::ready ||
            !upstream.may_be_connected)
            return;
        actions_.close_idle(upstream.entry.id);
        upstream.may_be_connected = upstream.in_flight > 0;
    }

    void update_upstream(Time now, const UpstreamEntry& entry, ListKind kind) {
        const auto [found, added] = index_.try_emplace(entry.id, upstreams_.size());
        Upstream& upstream = added ? upstreams_.emplace_back() : upstreams_[found->second];
        if (added) {
            upstream.next_ejection_time = min_ejection_time();
            upstream.class_health.resize(classes_.size());
            upstream.ring_position = Random(entry.id).next();
        }
        const bool restarted = !added && entry.started_at > upstream.entry.started_at;
        upstream.entry = entry;
        update_ring(found->second);
        close_idle_if_draining(upstream);
        if (entry.started_at > Time{} && (added || restarted)) start_cold(upstream, entry.started_at, now);
        if (restarted && kind != ListKind::cached) {
            readmit(upstream);  // a new process: the health of the old one says nothing about it
            upstream.class_health.assign(classes_.size(), {});
            upstream.delay_us = 0;
        }
    }

    void log_first_list(Time now) {
        if (settings_.must_request_list)
            actions_.log(ListUseLog::first_list_line(now, subscription_.usable_until()));
    }

    void log_list_use(Time now) {
        if (const auto line = list_use_log_.record(now, subscription_.usable_until())) actions_.log(*line);
    }

    void call_discovery(Time now) {
        if (!subscription_.try_begin_call(now)) return;
        actions_.watch();
        set_discovery_timer();
    }

    void set_discovery_timer() {
        actions_.set_timer(subscription_.next_call_at(),
                           TimerToken{discovery_timer, 0, ++discovery_serial_}.pack());
    }

    // ------------------------------------------------------------------- 2. latency, delay and limits

    // Recomputes the retry time-out of a class: well above its mean latency, below its latency target.
    void update_retry_timeout(std::size_t class_index) {
        const double target_us = us(settings_.classes[class_index].latency_target);
        ClassState& state = classes_[class_index];
        const double timeout_us = state.latency_with_timeouts.mean.value +
                                  retry_timeout_deviations * state.latency_with_timeouts.deviation;
        state.retry_timeout_us = state.latency_with_timeouts.mean.samples == 0
                                     ? max_retry_timeout_share * target_us
                                     : std::clamp(timeout_us, min_retry_timeout_share * target_us,
                                                  max_retry_timeout_share * target_us);
        longest_retry_timeout_us_ =
            std::ranges::max(classes_, {}, &ClassState::retry_timeout_us).retry_timeout_us;
    }

    // Updates the mean latency from which the retry time-out follows. Time-outs are samples too, as twice
    // their timer: without them the retry time-out would fall with each time-out.
    void add_latency_or_timeout(std::size_t class_index, double latency_us) {
        classes_[class_index].latency_with_timeouts.add_sample(latency_us, class_latency_weight);
        update_retry_timeout(class_index);
    }

    void add_response_latency(std::size_t class_index, double latency_us) {
        ClassState& state = classes_[class_index];
        state.response_latency.add_sample(latency_us, class_latency_weight);
        // Starts no higher than the initial guess, so that latencies of a start under overload are not
        // learned as the base.
        const double growth = knows_base_latency(state) ? 1 + base_latency_growth : 1;
        state.lowest_latency_us =
            std::min(base_latency_us(class_index) * growth, state.response_latency.value);
    }

    static bool knows_base_latency(const ClassState& state) {
        return state.response_latency.samples >= base_latency_response_count;
    }

    double base_latency_us(std::size_t class_index) const {
        return knows_base_latency(classes_[class_index])
                   ? classes_[class_index].lowest_latency_us
                   : base_latency_guess_share * us(settings_.classes[class_index].latency_target);
    }

    // Delay of an upstream now (q_avg): without samples it decays to zero, with a time constant of a few
    // retry time-outs.
    double current_delay_us(const Upstream& upstream, Time now) const {
        return decayed(upstream.delay_us, upstream.delay_updated_at, now, decay_time_us());
    }

    double decay_time_us() const { return decay_retry_timeouts * longest_retry_timeout_us_; }

    void add_delay_sample(Upstream& upstream, double sample_us, Time now) {
        const double elapsed_us = us(now - upstream.delay_updated_at);
        const double weight = std::max(upstream_sample_weight, 1 - std::exp(-elapsed_us / decay_time_us()));
        upstream.delay_us += weight * (sample_us - upstream.delay_us);
        upstream.delay_updated_at = now;
    }

    void update_slowdown_and_limit(Upstream& upstream, double latency_us, int in_flight_at_send,
                                   std::size_t class_index) {
        const double weight = upstream.mean_in_flight_at_send == 0 ? 1 : upstream_sample_weight;
        const double slowdown = latency_us / std::max(1.0, base_latency_us(class_index));
        upstream.slowdown += weight * (slowdown - upstream.slowdown);
        upstream.mean_in_flight_at_send += weight * (in_flight_at_send - upstream.mean_in_flight_at_send);
        if (in_flight_at_send == 1)
            upstream.single_slowdown += (upstream.single_slowdown == 0 ? 1 : upstream_sample_weight) *
                                        (slowdown - upstream.single_slowdown);
        if (slowdown > overload_slowdown) {
            upstream.in_flight_limit = std::max(
                1.0, std::min(upstream.in_flight_limit, in_flight_at_send + 1.0) - in_flight_limit_step);
            upstream.limit_decreased = true;
        } else if (in_flight_at_send + 1 > upstream.in_flight_limit) {
            upstream.in_flight_limit += upstream.limit_decreased ? in_flight_limit_step : 1;
        }
    }

    // Updates the concurrency limit over all upstreams: decreased by a factor under congestion and increased
    // additively otherwise, as a TCP congestion window is.
    void update_concurrency_limit(const AttemptEnd& end, std::size_t class_index, Time sent_at, Time now) {
        concurrency_limit_ = concurrency_limit();
        if (sent_at < limit_decreased_at_)
            return;  // sent before the last decrease: no evidence on the limit since
        double sample = failure_congestion_sample;
        if (end.outcome == Outcome::ok) {
            sample = std::min(congestion_sample_cap,
                              us(end.latency) / std::max(1.0, base_latency_us(class_index)));
        } else if (end.outcome != Outcome::rejected && end.outcome != Outcome::timeout) {
            return;
        }
        // The weight grows with the time since the last sample, but one sample alone never causes a decrease.
        const double elapsed_us = us(now - congestion_updated_at_);
        const double weight = std::clamp(1 - std::exp(-elapsed_us / longest_retry_timeout_us_),
                                         congestion_weight, (max_congestion - 1) / failure_congestion_sample);
        congestion_ += weight * (sample - congestion_);
        congestion_updated_at_ = now;
        if (congestion_ > max_congestion) {
            const double in_use = std::max(mean_in_flight_, static_cast<double>(in_flight_));
            concurrency_limit_ = std::max(own_share(min_concurrency_per_upstream),
                                          std::min(concurrency_limit_, in_use) * concurrency_decrease_factor);
            limit_decreased_at_ = now;
            congestion_ = 1;
        } else if (sample <= max_congestion && in_flight_ + 1 > concurrency_limit_ * min_priority_share) {
            concurrency_limit_ +=
                std::min(1.0, own_share(concurrency_increase_per_upstream)) / concurrency_limit_;
        }
    }

    // This balancer's part of a number of attempts at each ready upstream.
    double own_share(double per_upstream) const {
        return per_upstream * std::max(1, ready_count_) / settings_.balancers;
    }

    // The concurrency limit. Until the first response, the limits of all balancers together suit the fleet.
    double concurrency_limit() const {
        return concurrency_limit_ > 0 ? concurrency_limit_ : own_share(initial_concurrency_per_upstream);
    }

    // Returns whether a concurrency limit is reached. The limit may be below one attempt, so it is kept on
    // average: while the smoothed number in flight is below it, a burst may exceed it by its square root plus
    // one.
    bool limit_reached(double limit) const {
        if (mean_in_flight_ < limit) return in_flight_ >= limit + 1 + std::sqrt(limit);
        return in_flight_ >= limit || limit < 1;
    }

    // Updates the number of attempts in flight and its smoothed value.
    void update_in_flight(Time now) {
        mean_in_flight_ = in_flight_ + (mean_in_flight_ - in_flight_) *
                                           std::exp(-us(now - mean_in_flight_at_) / decay_time_us());
        mean_in_flight_at_ = now;
        in_flight_ = 0;
        for (const std::size_t i : busy_upstreams_) {
            if (is_healthy(upstreams_[i], now)) in_flight_ += upstreams_[i].in_flight;  // others add no load
        }
    }

    void update_rejection_rate(Upstream& upstream, bool rejected, Time now) {
        upstream.rejection_rate.add_sample(rejected, upstream_sample_weight, now, decay_time_us());
        if (!rejected) return;
        upstream.in_flight_limit =
            std::max(1.0, std::min<double>(upstream.in_flight_limit, upstream.in_flight));
        upstream.limit_decreased = true;
    }

    // Returns whether a further request of a class would have its response within `allowed_us`.
    // The predicted latency is that of a single attempt plus what each own attempt in flight adds: a line
    // through recent samples. A possible rejection adds a retry time-out.
    bool responds_in_time(const Upstream& upstream, std::size_t class_index, double allowed_us,
                          Time now) const {
        if (upstream.mean_in_flight_at_send == 0) return true;
        const double proportional_slope = upstream.slowdown / upstream.mean_in_flight_at_send;
        const double recent_single_slowdown = upstream.single_slowdown == 0
                                                  ? proportional_slope
                                                  : std::min(upstream.single_slowdown, upstream.slowdown);
        const double slope =
            upstream.mean_in_flight_at_send <= 1
                ? proportional_slope
                : (upstream.slowdown - recent_single_slowdown) / (upstream.mean_in_flight_at_send - 1);
        const double each_us = std::clamp(slope, min_slope_share * proportional_slope, proportional_slope) *
                               base_latency_us(class_index);
        const double queueing_us =
            upstream.in_flight * each_us +
            upstream.rejection_rate.value_at(now, decay_time_us()) * classes_[class_index].retry_timeout_us;
        const double single_us =
            decayed(recent_single_slowdown, upstream.last_response_at, now, decay_time_us()) *
            base_latency_us(class_index);
        return queueing_us <= queueing_time_share * (allowed_us - single_us) &&
               single_us <= max_single_latency_share * allowed_us;
    }

    // Returns whether this request would be in time at the upstream, and a request of every class with more
    // worth per work would still be within its share of its latency target.
    bool all_classes_in_time(const Upstream& upstream, const OpenRequest& open, Time now) const {
        const double own_density = worth_density(open);
        for (std::size_t other = 0; other < classes_.size(); ++other) {
            if (other != class_of(open) && worth_density(other) <= own_density) continue;
            const double share =
                worth_density(other) > own_density ? priority_share(own_density, worth_density(other)) : 1;
            if (!responds_in_time(upstream, other, share * us(settings_.classes[other].latency_target), now))
                return false;
        }
        return true;
    }

    // Updates the delay of an upstream by an outcome: reported requests in flight times the delay of each, or
    // the latency itself where no report came.
    void update_delay(Upstream& upstream, const AttemptEnd& end, std::size_t class_index, Time now) {
        const double latency_us = us(end.latency);
        const bool responded = end.outcome == Outcome::ok || end.outcome == Outcome::error;
        if (responded && in_flight_field_index_ < end.report.size()) {
            const double reported_in_flight = std::max(0.0F, end.report[in_flight_field_index_]);
            const double per_request_us = latency_us / (reported_in_flight + 1);
            upstream.delay_per_request_us +=
                (upstream.delay_per_request_us == 0 ? 1 : upstream_sample_weight) *
                (per_request_us - upstream.delay_per_request_us);
            add_delay_sample(upstream, reported_in_flight * upstream.delay_per_request_us, now);
        } else if (responded || end.outcome == Outcome::timeout) {
            add_delay_sample(upstream, latency_us, now);  // of a time-out: its timer
        } else if (end.outcome == Outcome::rejected) {
            add_delay_sample(upstream, classes_[class_index].retry_timeout_us, now);
        }
    }

    // Decides at random whether an upstream admits a retry. The probability falls linearly with its delay:
    // p = min{[(q_max - q_avg) / (q_max - q_min)]^+, 1}
    bool admits_retry(const Upstream& upstream, const OpenRequest& open, Time now) {
        const double timeout_us = classes_[class_of(open)].retry_timeout_us;
        const double probability = (no_admission_delay * timeout_us - current_delay_us(upstream, now)) /
                                   ((no_admission_delay - full_admission_delay) * timeout_us);
        return probability >= 1 || (probability > 0 && random_.unit() < probability);
    }

    // Returns whether work must stay with upstreams that have an open connection, as many new ones fail.
    bool avoids_new_connections(Time now) const {
        return connect_failure_rate_.value_at(now, decay_time_us()) > max_connect_failure_rate;
    }

    // Returns whether an own connection to the upstream is probably open.
    bool has_open_connection(const Upstream& upstream, Time now) const {
        return upstream.may_be_connected && !upstream.last_connect_failed &&
               (upstream.in_flight > 0 || settings_.connection_idle_timeout <= Micros{0} ||
                now < upstream.last_outcome_at + settings_.connection_idle_timeout);
    }

    // ----------------------------------------------------------------------- 3. choosing an upstream

    // Rules 3 and 4: returns whether an upstream may get new work. Every send is checked here. No upstream
    // may once the list is stale.
    bool may_get_new_work(Upstream& upstream, Time now) {
        return upstream.entry.state == UpstreamState::ready && now < subscription_.send_by(now) &&
               has_cold_budget(upstream, now);
    }

    bool in_own_zone(const Upstream& upstream) const { return upstream.entry.zone == settings_.zone; }

    // Size of the subset of a ring that this balancer uses: as many upstreams as respond to it
    // `min_responses_per_upstream` times within the decay time, and enough that each upstream is in several
    // subsets. The subsets of the balancers are spread evenly around the ring, so that all upstreams are in
    // about as many.
    std::size_t subset_size(std::size_t ring) const {
        const double covering = subset_coverage * ring * settings_.zones / settings_.balancers;
        return std::max(min_subset_size,
                        static_cast<std::size_t>(
                            std::max(recent_responses_.value / min_responses_per_upstream, covering)));
    }

    // Puts an upstream on the ring where its entry belongs, or takes it off. Rings are sorted by position.
    void update_ring(std::size_t i) {
        Upstream& upstream = upstreams_[i];
        const bool listed = upstream.entry.state != UpstreamState::removed;
        const auto ring = listed ? (in_own_zone(upstream) ? &own_zone_ring_ : &other_zones_ring_) : nullptr;
        if (ring == upstream.ring) return;
        const auto position_of = [&](std::size_t index) { return upstreams_[index].ring_position; };
        if (upstream.ring)
            upstream.ring->erase(
                std::ranges::lower_bound(*upstream.ring, upstream.ring_position, {}, position_of));
        if (ring) ring->insert(std::ranges::lower_bound(*ring, upstream.ring_position, {}, position_of), i);
        upstream.ring = ring;
    }

    // Adds this balancer's subset of a ring to `pool`, `allowed` upstreams only. `include_unhealthy` adds
    // unhealthy ones that accept connections. Returns whether at least half of the upstreams visited can get
    // new work.
    template <typename Allowed>
    bool gather_subset(const std::vector<std::size_t>& ring, std::vector<std::size_t>& pool,
                       std::size_t class_index, Time now, bool include_unhealthy, Allowed allowed) {
        const std::size_t max_size = subset_size(ring.size());
        const double position = settings_.rank * golden_ratio_conjugate;
        const auto start = static_cast<std::size_t>((position - std::floor(position)) * ring.size());
        std::size_t visited = 0, ready = 0;
        for (; visited < ring.size() && pool.size() < max_size; ++visited) {
            const std::size_t i = ring[(start + visited) % ring.size()];
            Upstream& upstream = upstreams_[i];
            const bool usable = is_healthy(upstream, now) && serves_class(upstream, class_index, now) &&
                                (has_open_connection(upstream, now) || !avoids_new_connections(now));
            if (!(usable || (include_unhealthy && !upstream.unreachable)) || !may_get_new_work(upstream, now))
                continue;
            ++ready;
            if (allowed(i)) pool.push_back(i);
        }
        return 2 * ready >= visited;
    }

    void update_zone_delay(const Upstream& upstream, const AttemptEnd& end, std::size_t class_index) {
        const bool failed = end.outcome == Outcome::timeout || end.outcome == Outcome::rejected;
        if (!in_own_zone(upstream) || (!failed && end.outcome != Outcome::ok)) return;
        const double sample =
            failed ? 1 : std::min(1.0, us(end.latency) / us(settings_.classes[class_index].latency_target));
        own_zone_delay_ += zone_delay_weight * (sample - own_zone_delay_);
    }

    // Draws the zone for a request. While the own zone has less than an even share of the ready capacity and
    // is overloaded, what it lacks is spilled to the zones with more than that, in proportion to their
    // surplus.
    int draw_target_zone(Time now) {
        zone_capacity_.assign(static_cast<std::size_t>(settings_.zones), 0);
        double even_share = 0;
        for (const Upstream& upstream : upstreams_) {
            const auto zone = static_cast<std::size_t>(upstream.entry.zone);
            if (upstream.entry.state != UpstreamState::ready || upstream.ejected ||
                zone >= zone_capacity_.size())
                continue;
            zone_capacity_[zone] += capacity_share(upstream, now);
            even_share += capacity_share(upstream, now) / settings_.zones;
        }
        const double shortfall = even_share - zone_capacity_[static_cast<std::size_t>(settings_.zone)];
        const double congestion =
            (own_zone_delay_ - zone_idle_delay) / (zone_overload_delay - zone_idle_delay);
        if (random_.unit() * even_share >= shortfall * std::clamp(congestion, 0.0, 1.0))
            return settings_.zone;
        double surplus = 0;
        for (double& capacity : zone_capacity_) surplus += capacity = std::max(0.0, capacity - even_share);
        double drawn = random_.unit() * surplus;
        for (std::size_t zone = 0; zone < zone_capacity_.size(); ++zone) {
            if ((drawn -= zone_capacity_[zone]) < 0) return static_cast<int>(zone);
        }
        return settings_.zone;
    }

    // Fills candidates_ for a request. None is left if the balancer or all upstreams are
    // at their limits.
    template <typename Allowed>
    void collect_candidates(const OpenRequest& open, Time now, Allowed allowed) {
        const std::size_t class_index = class_of(open);
        update_in_flight(now);
        ready_count_ = static_cast<int>(own_zone_ring_.size() + other_zones_ring_.size()) - ejected_count_;
        const double share = limit_share(open);
        candidates_.clear();
        other_zone_candidates_.clear();
        if (limit_reached(concurrency_limit() * share)) return;
        // At its in-flight limit, or the latency target of this or a more valuable class would be missed.
        const auto unsuitable = [&](std::size_t i) {
            const Upstream& upstream = upstreams_[i];
            return upstream.in_flight >= std::max(1.0, upstream.in_flight_limit * share) ||
                   !all_classes_in_time(upstream, open, now);
        };
        if (const int zone = draw_target_zone(now); zone != settings_.zone) {
            gather_subset(other_zones_ring_, candidates_, class_index, now, false,
                          [&](std::size_t i) { return upstreams_[i].entry.zone == zone && allowed(i); });
            std::erase_if(candidates_, unsuitable);
            if (!candidates_.empty()) return;
        }
        const auto gather_other_zones = [&](bool include_unhealthy) {
            if (other_zone_candidates_.empty())
                gather_subset(other_zones_ring_, other_zone_candidates_, class_index, now, include_unhealthy,
                              allowed);
        };
        // Spills if fewer than half of the zone's upstreams are ready. If no upstream at all is healthy, the
        // unhealthy ones are used.
        bool spilled = false;
        for (const bool include_unhealthy : {false, true}) {
            const bool half_ready =
                gather_subset(own_zone_ring_, candidates_, class_index, now, include_unhealthy, allowed);
            spilled = !half_ready || candidates_.empty();
            if (spilled) gather_other_zones(include_unhealthy);
            candidates_.insert(candidates_.end(), other_zone_candidates_.begin(),
                               other_zone_candidates_.end());
            other_zone_candidates_.clear();
            if (!candidates_.empty()) break;
        }
        // All candidates of the zone are slow: spills to upstreams of other zones that are not.
        const auto slow = [&](std::size_t i) {
            return current_delay_us(upstreams_[i], now) > classes_[class_index].retry_timeout_us;
        };
        if (!spilled && std::all_of(candidates_.begin(), candidates_.end(), slow)) {
            gather_other_zones(false);
            if (!std::all_of(other_zone_candidates_.begin(), other_zone_candidates_.end(), slow)) {
                candidates_.swap(other_zone_candidates_);
                std::erase_if(candidates_, slow);
            }
        }
        std::erase_if(candidates_, unsuitable);
        if (candidates_.empty() && !spilled) {
            gather_other_zones(false);
            std::erase_if(other_zone_candidates_, unsuitable);
            candidates_.swap(other_zone_candidates_);
        }
    }

    // Moves a random pair of candidates to the front, the better one first: fewer own attempts in flight,
    // then less delay, where differences below the start of the admission range are ignored.
    void draw_candidate_pair(Time now) {
        if (candidates_.size() < 2) return;
        std::swap(candidates_[0], candidates_[random_.below(candidates_.size())]);
        std::swap(candidates_[1], candidates_[1 + random_.below(candidates_.size() - 1)]);
        const auto load = [&](const Upstream& upstream) {
            return std::pair(upstream.in_flight, std::max(full_admission_delay * longest_retry_timeout_us_,
                                                          current_delay_us(upstream, now)));
        };
        if (load(upstreams_[candidates_[1]]) < load(upstreams_[candidates_[0]]))
            std::swap(candidates_[0], candidates_[1]);
    }

    // ----------------------------------------------------------------------- 4. attempts and retries

    void on_request(Time now, const Request& request) {
        if (request.class_index < 0 || static_cast<std::size_t>(request.class_index) >= classes_.size()) {
            actions_.fail(request.id);
            return;
        }
        if (open_requests_.find(request.id) != none) return;
        if (answer_if_earlier_is_open(request)) return;
        const std::size_t slot = open_requests_.insert(request.id);
        OpenRequest& open = open_requests_[slot];
        open.request = request;
        open.arrived_at = arrival_time(request, now);
        open.request.deadline = std::min(request.deadline, useful_until(request, open.arrived_at));
        open.past = past_execution(request, now);
        open.attempts.clear();
        open.in_flight = open.backoff_count = 0;
        open.done = false;
        open.worth_share = tenant_worth_share(request, now);
        if (request.call_id != 0) open_call_ids_.emplace(request.call_id, request.id);
        if (now >= open.request.deadline || (open.past && !may_retry(open, now))) {
            refuse_or_fail(slot, now);
        } else if (!send_original(slot, now)) {
            wait_or_refuse(slot, now);
        }
    }

    // Answers a request at once whose call id an earlier one has that is not over: two attempts would be out
    // for it. A refusal would promise that it has no effect, which only an idempotent one can. Returns
    // whether it did. An idempotent request whose first client still waits is served twice.
    bool answer_if_earlier_is_open(const Request& request) {
        const auto earlier = open_call_ids_.find(request.call_id);
        if (request.call_id == 0 || earlier == open_call_ids_.end()) return false;
        const bool idempotent =
            settings_.classes[static_cast<std::size_t>(request.class_index)].effect == Effect::idempotent;
        if (idempotent && !open_requests_[open_requests_.find(earlier->second)].done) return false;
        if (idempotent) {
            actions_.refuse(request.id, Micros{0});
        } else {
            actions_.fail(request.id);
        }
        return true;
    }

    std::optional<PastExecution> past_execution(const Request& request, Time now) const {
        return request.call_id == 0 ? std::nullopt : history_.find(request.call_id, now);
    }

    // Remembers that the request may have run, unless running it again does no harm.
    void record_execution(const OpenRequest& open, Time now) {
        const auto may_have_run = std::ranges::find_if(open.attempts, &Attempt::may_have_run);
        if (open.request.call_id == 0 || may_have_run == open.attempts.end()) return;
        if (settings_.classes[class_of(open)].effect == Effect::idempotent) return;
        history_.record(open.request.call_id, {may_have_run->group, may_have_run->sent_at}, now);
    }

    // When a response stops being worth anything: at the latency target for a class without late worth,
    // unless it is streamed, else at the deadline.
    Time useful_until(const Request& request, Time arrived_at) const {
        const ClassSettings& class_settings =
            settings_.classes[static_cast<std::size_t>(request.class_index)];
        return class_settings.late_worth > 0 || class_settings.streams
                   ? request.deadline
                   : arrived_at + class_settings.latency_target;
    }

    // When a request arrived. During a stall of this balancer, requests wait unseen. An overdue heartbeat
    // shows a stall; how long the request has waited follows from its time left, compared with the longest
    // time left with which requests of its class arrive.
    Time arrival_time(const Request& request, Time now) {
        double& max_left_us = classes_[static_cast<std::size_t>(request.class_index)].max_time_left_us;
        const double left_us = us(request.deadline - now);
        max_left_us = std::max(max_left_us * (1 - max_time_left_decay), left_us);
        if (now <= heartbeat_due_ + 2 * settings_.tick) return now;
        return now - std::min(micros(max_left_us - left_us), now - heartbeat_due_ + heartbeat_interval());
    }

    Micros heartbeat_interval() const {
        return micros(heartbeat_retry_timeouts * longest_retry_timeout_us_) + settings_.tick;
    }

    void heartbeat(Time now) {
        heartbeat_due_ = now + heartbeat_interval();
        actions_.set_timer(heartbeat_due_, TimerToken{heartbeat_timer, 0, ++heartbeat_serial_}.pack());
    }

    // Sends the first attempt of a request, which needs no admission.
    bool send_original(std::size_t slot, Time now) {
        const std::size_t class_index = class_of(open_requests_[slot]);
        if (const std::size_t trial = find_trial_upstream(class_index, now); trial != none)
            return submit(slot, trial, now);
        collect_candidates(open_requests_[slot], now, [](std::size_t) { return true; });
        draw_candidate_pair(now);
        return !candidates_.empty() && submit(slot, candidates_[0], now);
    }

    // Sends a retry to the first candidate that admits it: a new random pair first, then the others.
    bool send_retry(std::size_t slot, Time now) {
        const OpenRequest& open = open_requests_[slot];
        const std::size_t failed_upstream = open.attempts.empty() ? none : open.attempts.back().upstream;
        collect_candidates(open, now,
                           [&](std::size_t i) { return i != failed_upstream && may_send(open, i, now); });
        draw_candidate_pair(now);
        for (const std::size_t i : candidates_) {
            if (admits_retry(upstreams_[i], open, now)) return submit(slot, i, now);
        }
        return false;
    }

    // Rules 1 and 2: returns whether a request may be sent to this upstream now. Every send is checked here.
    bool may_send(const OpenRequest& open, std::size_t target, Time now) const {
        const ClassSettings& class_settings = settings_.classes[class_of(open)];
        if (open.done || now >= send_by(open)) return false;
        if (static_cast<int>(open.attempts.size()) >= settings_.max_attempts) return false;
        if (open.in_flight > 0) return false;
        if (class_settings.effect == Effect::idempotent) return true;
        const int target_group = group_of(class_settings.group, upstreams_[target].entry);
        const auto allows = [&](int group) {
            return class_settings.effect == Effect::deduplicated && group == target_group;
        };
        if (open.past && !allows(open.past->group)) return false;
        return std::ranges::all_of(open.attempts, [&](const Attempt& attempt) {
            return !attempt.may_have_run || allows(attempt.group);
        });
    }

    // When a further attempt must have been sent in full. Once the deduplication window of an attempt that
    // may have run is over, its group no longer drops a repeat, and a connection may be established later
    // than that.
    Time send_by(const OpenRequest& open) const {
        const ClassSettings& class_settings = settings_.classes[class_of(open)];
        if (class_settings.effect != Effect::deduplicated) return open.request.deadline;
        const auto end_of_window = [&](Time sent_at) {
            return std::min(open.request.deadline, sent_at + class_settings.dedup_window - settings_.tick);
        };
        if (open.past) return end_of_window(open.past->sent_at);
        const auto may_have_run = std::ranges::find_if(open.attempts, &Attempt::may_have_run);
        return may_have_run == open.attempts.end() ? open.request.deadline
                                                   : end_of_window(may_have_run->sent_at);
    }

    static int group_of(Group group, const UpstreamEntry& entry) {
        return group == Group::zone ? entry.zone : group == Group::cell ? entry.cell : 0;
    }

    bool submit(std::size_t slot, std::size_t target, Time now) {
        OpenRequest& open = open_requests_[slot];
        Upstream& upstream = upstreams_[target];
        if (!may_send(open, target, now) || !may_get_new_work(upstream, now)) return false;
        last_submit_at_ = now;
        const Micros timeout = attempt_timeout(open, now);
        const Time latest = std::min(send_by(open), subscription_.send_by(now));
        if (upstream.in_flight++ == 0) {
            upstream.busy_since = now;
            busy_upstreams_.push_back(target);
        }
        const bool new_connection = !upstream.may_be_connected;
        upstream.may_be_connected = true;
        const int group = group_of(settings_.classes[class_of(open)].group, upstream.entry);
        open.attempts.push_back({target, now, upstream.in_flight, group, new_connection, true, true});
        ++open.in_flight;
        update_in_flight(now);
        spend_cold_budget(upstream);
        const Micros left = open.request.deadline - now;
        actions_.submit(open.request.id, upstream.entry.id, timeout > Micros{0} ? timeout : left, latest);
        return true;
    }

    // Time-out of the next attempt, equal to the back-off after it; 0: none, as no further attempt could
    // follow.
    Micros attempt_timeout(const OpenRequest& open, Time now) const {
        const ClassSettings& class_settings = settings_.classes[class_of(open)];
        const Micros timeout = backoff(open);
        if (class_settings.effect == Effect::at_most_once || class_settings.streams) return Micros{0};
        if (static_cast<int>(open.attempts.size()) + 1 >= settings_.max_attempts) return Micros{0};
        if (now + timeout + settings_.tick >= open.request.deadline) return Micros{0};
        if (class_settings.effect == Effect::deduplicated &&
            timeout + 2 * settings_.tick >= class_settings.dedup_window)
            return Micros{0};
        return timeout;
    }

    // Back-off: the time from an attempt to the next one.
    Micros backoff(const OpenRequest& open) const {
        return micros(classes_[class_of(open)].retry_timeout_us *
                      std::exp2(std::min(open.backoff_count, 30)));
    }

    // Schedules a retry at the end of the back-off that began at `since`. Gives the request up if nothing
    // could be sent before its deadline.
    void schedule_retry(std::size_t slot, Time since, Time now) {
        OpenRequest& open = open_requests_[slot];
        const Time at = std::max(since + backoff(open), now);
        ++open.backoff_count;
        if (at + settings_.tick >= open.request.deadline) return refuse_or_fail(slot, now);
        if (at <= now) return retry_or_wait(slot, now);
        actions_.set_timer(at, TimerToken{retry_timer, slot, ++open.timer_serial}.pack());
    }

    void retry_or_wait(std::size_t slot, Time now) {
        if (send_retry(slot, now)) return;
        if (open_requests_[slot].attempts.empty()) return wait_or_refuse(slot, now);
        schedule_retry(slot, now, now);
    }

    void on_attempt_end(Time now, const AttemptEnd& end) {
        const std::size_t slot = open_requests_.find(end.request);
        if (slot == none) return;
        OpenRequest& open = open_requests_[slot];
        if (end.attempt < 0 || static_cast<std::size_t>(end.attempt) >= open.attempts.size()) return;
        Attempt& attempt = open.attempts[static_cast<std::size_t>(end.attempt)];
        if (!attempt.in_flight) return;
        attempt.in_flight = false;
        const bool reported_not_run = end.outcome == Outcome::rejected ||
                                      end.outcome == Outcome::connect_failed ||
                                      end.outcome == Outcome::not_sent;
        attempt.may_have_run = !reported_not_run || end.possible_duplicate;
        --open.in_flight;
        Upstream& upstream = upstreams_[attempt.upstream];
        if (--upstream.in_flight == 0) std::erase(busy_upstreams_, attempt.upstream);
        upstream.last_outcome_at = now;
        upstream.last_connect_failed = end.outcome == Outcome::connect_failed;
        if (attempt.new_connection)
            connect_failure_rate_.add_sample(upstream.last_connect_failed, connect_outcome_weight, now,
                                             decay_time_us());
        close_idle_if_draining(upstream);
        update_in_flight(now);
        const std::size_t class_index = class_of(open);
        if (end.outcome == Outcome::timeout) add_latency_or_timeout(class_index, 2 * us(end.latency));
        if (end.outcome == Outcome::ok) {
            recent_responses_.add(1, now, decay_time_us());
            add_latency_or_timeout(class_index, us(end.latency));
            add_response_latency(class_index, us(end.latency));
            update_slowdown_and_limit(upstream, us(end.latency), attempt.in_flight_at_send, class_index);
        }
        update_class_health(upstream, end.outcome, class_index, now);
        update_concurrency_limit(end, class_index, attempt.sent_at, now);
        update_rejection_rate(upstream, end.outcome == Outcome::rejected, now);
        update_delay(upstream, end, class_index, now);
        update_zone_delay(upstream, end, class_index);
        update_health(upstream, end.outcome, class_index, now);
        if (end.request_done) open.done = true;
        if (open.done) return release_if_done(slot, now);
        if (!may_retry(open, now)) return refuse_or_fail(slot, now);
        // The first attempts that have not run are retried without a back-off, if an upstream admits the
        // retry.
        const Micros since = attempt.sent_at;
        if (reported_not_run && open.attempts.size() <= immediate_retry_attempts && send_retry(slot, now))
            return;
        schedule_retry(slot, since, now);
    }

    bool may_retry(const OpenRequest& open, Time now) const {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].entry.state == UpstreamState::ready && may_send(open, i, now)) return true;
        }
        return upstreams_.empty();
    }

    void on_client_gone(Time now, RequestId id) {
        const std::size_t slot = open_requests_.find(id);
        if (slot == none) return;
        open_requests_[slot].done = true;
        cancel_in_flight(slot);
        release_if_done(slot, now);
    }

    void cancel_in_flight(std::size_t slot) {
        OpenRequest& open = open_requests_[slot];
        if (!settings_.may_cancel || open.in_flight == 0) return;
        for (std::size_t attempt = 0; attempt < open.attempts.size(); ++attempt) {
            if (open.attempts[attempt].in_flight) actions_.cancel(open.request.id, static_cast<int>(attempt));
        }
    }

    void on_timer(Time now, std::uint64_t token) {
        const auto [kind, slot, serial] = TimerToken::unpack(token);
        if (kind == discovery_timer && serial == discovery_serial_) call_discovery(now);
        if (kind == heartbeat_timer && serial == heartbeat_serial_) {
            heartbeat(now);
            log_list_use(now);
        }
        if (kind != retry_timer || slot >= open_requests_.size()) return;
        if (!open_requests_[slot].done && open_requests_[slot].timer_serial == serial)
            retry_or_wait(slot, now);
    }

    void release_if_done(std::size_t slot, Time now) {
        OpenRequest& open = open_requests_[slot];
        if (!open.done || open.in_flight > 0) return;
        record_execution(open, now);
        ++open.timer_serial;  // invalidates pending timers
        const auto own_entry = open_call_ids_.find(open.request.call_id);
        if (own_entry != open_call_ids_.end() && own_entry->second == open.request.id)
            open_call_ids_.erase(own_entry);
        open_requests_.erase(open.request.id);
    }

    std::size_t class_of(const OpenRequest& open) const {
        return static_cast<std::size_t>(open.request.class_index);
    }

    // -------------------------------------------------------------------------------------- 5. health

    // Returns whether an upstream is neither ejected nor silent with several attempts in flight.
    bool is_healthy(const Upstream& upstream, Time now) const {
        const double silent_us = us(now - std::max(upstream.last_response_at, upstream.busy_since));
        return !upstream.ejected &&
               (upstream.in_flight <= 1 || silent_us <= silence_retry_timeouts * longest_retry_timeout_us_);
    }

    void update_health(Upstream& upstream, Outcome outcome, std::size_t class_index, Time now) {
        if (outcome == Outcome::cancelled || outcome == Outcome::not_sent) return;
        // A time-out counts as a failure only while the upstream responds to nothing else.
        const bool responding =
            upstream.last_response_at + micros(classes_[class_index].retry_timeout_us) >= now;
        if (outcome == Outcome::timeout && responding) return;
        const bool responded =
            outcome == Outcome::ok || outcome == Outcome::rejected || outcome == Outcome::error;
        if (responded) upstream.last_response_at = now;
        if (outcome == Outcome::connect_failed) upstream.unreachable = true;
        if (outcome != Outcome::ok)
            return count_failure(upstream, outcome == Outcome::connect_failed ? connect_failure_count : 1,
                                 now);
        upstream.response_rate.add(1e6 / rate_window_us_, now, rate_window_us_);
        upstream.consecutive_failures = 0;
        if (upstream.ejected) readmit_recovered(upstream, now);
        upstream.unreachable = false;
    }

    // Ejects an upstream for one class, for a while, if most attempts of that class fail there and far more
    // than at all upstreams together.
    void update_class_health(Upstream& upstream, Outcome outcome, std::size_t class_index, Time now) {
        const bool failed = outcome == Outcome::timeout || outcome == Outcome::error;
        if (!failed && outcome != Outcome::ok) return;
        classes_[class_index].failure_rate +=
            congestion_weight * (failed - classes_[class_index].failure_rate);
        ClassHealth& health = upstream.class_health[class_index];
        health.failure_rate += class_failure_weight * (failed - health.failure_rate);
        if (failed && health.failure_rate >
                          std::max(class_ejection_failure_rate,
                                   class_ejection_failure_ratio * classes_[class_index].failure_rate)) {
            const double confidence = (health.failure_rate - class_ejection_failure_rate) /
                                      (1 - class_ejection_failure_rate);  // a few may be chance
            health.ejected_until =
                now + min_ejection_time() +
                micros(confidence * confidence * us(max_ejection_time() - min_ejection_time()));
        }
    }

    bool serves_class(const Upstream& upstream, std::size_t class_index, Time now) const {
        return now >= upstream.class_health[class_index].ejected_until;
    }

    // Counts a failure as `weight` consecutive ones. Ejects the upstream once they reach the limit; a failed
    // trial extends the ejection.
    void count_failure(Upstream& upstream, int weight, Time now) {
        upstream.probe_in_flight = false;
        upstream.consecutive_failures += weight;
        if (upstream.consecutive_failures < ejection_failure_count && !upstream.ejected) return;
        if (!upstream.ejected) log_health_change(now, "upstream ejected", upstream);
        if (upstream.ejected && now < upstream.ejected_until) return;
        ejected_count_ += !upstream.ejected;
        upstream.ejected = true;
        if (all_ejected()) all_ejected_at_ = now;
        upstream.ejected_until = now + upstream.next_ejection_time;
        upstream.next_ejection_time =
            std::min(micros(us(upstream.next_ejection_time) * ejection_time_growth), max_ejection_time());
    }

    // Length of a first and of the longest ejection.
    Micros min_ejection_time() const { return micros(decay_time_us()); }
    Micros max_ejection_time() const {
        return std::max(min_ejection_time(), micros(us(settings_.ramp_time) * max_ejection_ramp_share));
    }

    bool all_ejected() const {
        return static_cast<std::size_t>(ejected_count_) == own_zone_ring_.size() + other_zones_ring_.size();
    }

    // Readmits an ejected upstream after a success. One that accepted no connection may have been restarted,
    // so it is cold until the list says otherwise. If all upstreams were ejected at once, the network has
    // failed instead, and treating all as cold would lead to the refusal of nearly all requests.
    void readmit_recovered(Upstream& upstream, Time now) {
        log_health_change(now, "upstream readmitted", upstream);
        const bool network_failed = all_ejected_at_ && now - *all_ejected_at_ < settings_.ramp_time;
        if (upstream.unreachable && !network_failed &&
            !(upstream.cold_since && now - *upstream.cold_since < settings_.ramp_time))
            start_cold(upstream, now, now);
        readmit(upstream);
    }

    void readmit(Upstream& upstream) {
        ejected_count_ -= upstream.ejected;
        upstream.ejected = upstream.unreachable = upstream.probe_in_flight = false;
        upstream.consecutive_failures = 0;
        upstream.next_ejection_time = min_ejection_time();
    }

    // Finds an ejected upstream for which a trial is due and returns it if a request of the class may be the
    // trial, else `none`. Sends a probe as the trial instead where probes are allowed. Requests are trials
    // only if they are idempotent, or if no connection could be established, in which case they do not run.
    std::size_t find_trial_upstream(std::size_t class_index, Time now) {
        // While all upstreams are ejected and no attempt was sent for a while, a request is tried at a random
        // one that accepted no connection: without a connection it does not run.
        if (!upstreams_.empty() && all_ejected() && now - last_submit_at_ >= max_time_without_attempt) {
            const std::size_t i = random_.below(upstreams_.size());
            if (upstreams_[i].unreachable && may_get_new_work(upstreams_[i], now)) return i;
        }
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            Upstream& upstream = upstreams_[i];
            if (!upstream.ejected || upstream.probe_in_flight || now < upstream.ejected_until ||
                !may_get_new_work(upstream, now))
                continue;
            if (settings_.may_probe) {
                upstream.probe_in_flight = true;
                spend_cold_budget(upstream);
                actions_.probe(upstream.entry.id);
            } else if (upstream.unreachable || settings_.classes[class_index].effect == Effect::idempotent) {
                upstream.ejected_until = now + upstream.next_ejection_time;
                return i;
            }
        }
        return none;
    }

    void on_probe_result(Time now, const ProbeResult& result) {
        const auto found = index_.find(result.upstream);
        if (found == index_.end()) return;
        Upstream& upstream = upstreams_[found->second];
        upstream.probe_in_flight = false;
        if (!upstream.ejected) return;
        if (result.outcome == Outcome::ok) {
            upstream.last_response_at = now;
            readmit_recovered(upstream, now);
        } else {
            upstream.unreachable = upstream.unreachable || result.outcome == Outcome::connect_failed;
            count_failure(upstream, 1, now);
        }
    }

    // Logs a change of an upstream's health, at most one each `log_interval`.
    void log_health_change(Time now, const char* what, const Upstream& upstream) {
        if (last_logged_at_ && now - *last_logged_at_ < log_interval) return;
        last_logged_at_ = now;
        actions_.log(std::string(what) + ": zone " + std::to_string(upstream.entry.zone) +
                     ", consecutive failures " + std::to_string(upstream.consecutive_failures));
    }

    // ------------------------------------------------------------------------------ 6. cold upstreams

    void start_cold(Upstream& upstream, Time since, Time now) {
        upstream.cold_since = since;
        upstream.cold_budget = {random_.unit(), now};
        upstream.response_rate = {};
    }

    // Least share of its capacity that an upstream has by now; 1 once it is warm.
    double capacity_share(const Upstream& upstream, Time now) const {
        if (!upstream.cold_since || settings_.ramp_time <= Micros{0}) return 1;
        const double age = us(now - *upstream.cold_since) / us(settings_.ramp_time);
        return age >= 1 ? 1 : settings_.cold_share + (1 - settings_.cold_share) * std::max(age, 0.0);
    }

    // Returns whether a cold upstream may get one more request. It gets the rate at which warm upstreams
    // respond to this balancer, times the share of its capacity that it has by now, with bursts of half the
    // fall span. The token bucket starts with a random part of a request and fills no faster than this
    // balancer's own part of the upstream's work, so that all balancers together stay within the limit.
    bool has_cold_budget(Upstream& upstream, Time now) {
        const double share = capacity_share(upstream, now);
        if (share >= 1 || settings_.fall_span <= Micros{0}) return true;
        const double rate_per_s = share * std::max(warm_rate_per_s(upstream, now), min_rate_per_s());
        const double burst = std::max(1.0, rate_per_s * us(settings_.fall_span) / 2e6);
        return upstream.cold_budget.fill(rate_per_s * us(now - upstream.cold_budget.filled_at) / 1e6, burst,
                                         now);
    }

    // Least rate assumed for a warm upstream, in requests a second for this balancer: one request in the
    // longest latency target for all balancers together.
    double min_rate_per_s() const {
        return 1e6 /
               us(std::ranges::max(settings_.classes, {}, &ClassSettings::latency_target).latency_target) /
               settings_.balancers;
    }

    void spend_cold_budget(Upstream& upstream) { upstream.cold_budget.tokens -= 1; }

    // Responses a second that a warm upstream gives this balancer: the mean over warm ones of the same kind
    // on the same side (own zone or others), or of any kind if there is none; upstreams outside the subset
    // count too.
    double warm_rate_per_s(const Upstream& reference, Time now) {
        const auto kind =
            2 * static_cast<std::size_t>(std::max(0, reference.entry.kind)) + in_own_zone(reference);
        if (warm_rates_.size() <= kind) warm_rates_.resize(kind + 1);
        WarmRate& cached = warm_rates_[kind];
        if (cached.computed_at > Time{} && now - cached.computed_at < settings_.fall_span / 8)
            return cached.responses_per_s;
        double rate_sum[2] = {0, 0};
        int count[2] = {0, 0};
        for (const auto& upstream : upstreams_) {
            if (upstream.entry.state != UpstreamState::ready || upstream.ejected ||
                capacity_share(upstream, now) < 1)
                continue;
            if (in_own_zone(upstream) != in_own_zone(reference)) continue;
            const int same = upstream.entry.kind == reference.entry.kind;
            rate_sum[same] += upstream.response_rate.value_at(now, rate_window_us_);
            ++count[same];
        }
        cached = {count[1] > 0 ? rate_sum[1] / count[1] : count[0] > 0 ? rate_sum[0] / count[0] : 0, now};
        return cached.responses_per_s;
    }

    // ------------------------------------------------------------------------------------- 7. refusal

    // Rule 2: a refusal promises that a retry is harmless. So the request must be idempotent or deduplicated
    // by all upstreams, or none of its attempts can have run.
    bool may_refuse(const OpenRequest& open) const {
        const ClassSettings& class_settings = settings_.classes[class_of(open)];
        if (class_settings.effect == Effect::idempotent) return true;
        if (open.past) return false;
        if (class_settings.effect == Effect::deduplicated && class_settings.group == Group::all) return true;
        return std::ranges::none_of(open.attempts, &Attempt::may_have_run);
    }

    // Share of a limit that a request may use: all of it for the class with the most worth per work.
    double limit_share(const OpenRequest& open) const {
        const double own_density = worth_density(open);
        double highest_density = own_density;
        for (std::size_t other = 0; other < classes_.size(); ++other)
            highest_density = std::max(highest_density, worth_density(other));
        return priority_share(own_density, highest_density);
    }

    // Share of its class's worth that a request has: `over_share_worth` beyond the tenant's share. The share
    // at one balancer is the tenant's quota divided by the number of zones and by that of the balancers in
    // each, which is rounded down: no balancer has a larger part.
    double tenant_worth_share(const Request& request, Time now) {
        if (!request.tenant || static_cast<std::size_t>(*request.tenant) >= tenant_quotas_.size()) return 1;
        const auto tenant = static_cast<std::size_t>(*request.tenant);
        const double own_part = 1.0 / (settings_.zones * std::max(1, settings_.balancers / settings_.zones));
        const double per_us = settings_.tenants[tenant].quota_per_s * own_part / 1e6;
        if (per_us <= 0) return 1;
        TokenBucket& share = tenant_quotas_[tenant];
        const double gained = per_us * us(now - share.filled_at);
        if (!share.fill(gained, std::max(1.0, per_us * us(tenant_burst_time)), now))
            return settings_.over_share_worth;
        share.tokens -= 1;
        return 1;
    }

    static double priority_share(double own_density, double higher_density) {
        return min_priority_share + (1 - min_priority_share) * own_density / higher_density;
    }

    // Worth of a class per work. The mean latency stands for the work, the latency target before the first
    // response. 0 for a class without any request so far, so that nothing is reserved for it.
    double worth_density(std::size_t class_index) const {
        if (classes_[class_index].max_time_left_us == 0) return 0;
        const double work = classes_[class_index].response_latency.samples == 0
                                ? us(settings_.classes[class_index].latency_target)
                                : classes_[class_index].response_latency.value;
        return settings_.classes[class_index].worth / std::max(1.0, work);
    }

    double worth_density(const OpenRequest& open) const {
        return worth_density(class_of(open)) * open.worth_share;
    }

    // No upstream can take the request: it waits for a back-off if it can still be in time after that, else
    // it is refused.
    void wait_or_refuse(std::size_t slot, Time now) {
        const OpenRequest& open = open_requests_[slot];
        if (upstreams_.empty() ||
            us(now - open.arrived_at + backoff(open)) <
                us(settings_.classes[class_of(open)].latency_target) * first_attempt_wait_share) {
            schedule_retry(slot, now, now);
        } else {
            refuse_or_fail(slot, now);
        }
    }

    // Gives the balancer's own final response. The advice on a retry is one base latency, by which an attempt
    // may have ended; a longer time would miss the latency target.
    void refuse_or_fail(std::size_t slot, Time now) {
        OpenRequest& open = open_requests_[slot];
        if (open.done) return;
        open.done = true;
        if (may_refuse(open)) {
            const Micros advice =
                std::min(micros(base_latency_us(class_of(open))), settings_.max_retry_after);
            actions_.refuse(open.request.id, settings_.may_advise_retry_after ? advice : Micros{0});
        } else {
            actions_.fail(open.request.id);
        }
        cancel_in_flight(slot);
        release_if_done(slot, now);
    }

private:
    const Settings settings_;
    Actions& actions_;
    Random random_;
    std::size_t in_flight_field_index_ = 0;  // in a load report; beyond its end if the field is not reported
    double rate_window_us_ = 0;              // time constant of response rates
    double longest_retry_timeout_us_ = 0;    // of all classes

    std::vector<Upstream> upstreams_;  // in the order in which the list first named them
    std::unordered_map<UpstreamId, std::size_t> index_;
    ListSubscription subscription_;
    ListUseLog list_use_log_;
    std::uint32_t discovery_serial_ = 0;
    Time heartbeat_due_{};
    std::uint32_t heartbeat_serial_ = 0;

    // Listed upstreams, sorted by position.
    std::vector<std::size_t> own_zone_ring_, other_zones_ring_;
    // Smoothed delay of the own zone, as a share of the latency target. The initial value lets capacity alone
    // decide on spillover.
    double own_zone_delay_ = 1;
    std::vector<std::size_t> busy_upstreams_;  // those with own attempts in flight
    int ejected_count_ = 0;                    // ejected upstreams
    Time last_submit_at_{};
    std::optional<Time> all_ejected_at_;  // when all upstreams were last ejected at once
    DecayingSum recent_responses_;        // within the decay time

    int ready_count_ = 0;    // upstreams listed and not ejected
    int in_flight_ = 0;      // own attempts at healthy upstreams
    double congestion_ = 1;  // since the last decrease of the limit
    Time congestion_updated_at_{};
    Time limit_decreased_at_{};
    double concurrency_limit_ = 0;  // the most that in_flight_ may be; 0: not yet known
    double mean_in_flight_ = 0;     // in_flight_, smoothed
    Time mean_in_flight_at_{};
    std::vector<WarmRate> warm_rates_;      // by kind and side (own zone or others)
    DecayingAverage connect_failure_rate_;  // share of attempts to open a connection that failed
    std::vector<ClassState> classes_;
    std::vector<TokenBucket> tenant_quotas_;  // by tenant: requests left within its share
    util::SlotTable<OpenRequest> open_requests_;
    std::unordered_map<std::uint64_t, RequestId> open_call_ids_;  // of requests that are not over
    RequestHistory history_;
    std::vector<std::size_t> candidates_, other_zone_candidates_;  // reused buffers of collect_candidates()
    std::vector<double> zone_capacity_;                            // reused buffer of draw_target_zone()
    std::optional<Time> last_logged_at_;
};

Policy::Policy(const Settings& settings, std::uint64_t seed, Time now, Actions& actions)
    : impl_(std::make_unique<Impl>(settings, seed, now, actions)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t) {
    impl_->on_list(now, kind, entries);
}
void Policy::on_request(Time now, const Request& request) { impl_->on_request(now, request); }
void Policy::on_attempt_end(Time now, const AttemptEnd& end) { impl_->on_attempt_end(now, end); }
void Policy::on_client_gone(Time now, RequestId request) { impl_->on_client_gone(now, request); }
void Policy::on_probe_result(Time now, const ProbeResult& result) { impl_->on_probe_result(now, result); }
void Policy::on_timer(Time now, std::uint64_t token) { impl_->on_timer(now, token); }

}  // namespace flaxdoor
