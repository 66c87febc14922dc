#include "policy/list_subscription.h"

#include <algorithm>
#include <utility>

#include "util/decay.h"

namespace flaxdoor {

namespace {

using namespace std::chrono;
using namespace util;

// Delays after which a change that this balancer did not receive counts as notified, by the operators' terms.
constexpr Micros notification_delay_after_end = seconds(2);
// In any case, from the time at which discovery had the change and could be reached.
constexpr Micros max_notification_delay = seconds(6);
constexpr Micros notification_delay_after_move = seconds(4);
// Greatest age of the list that a process starts with: the longest time from the end of one process to the
// start of the next that the operators name, and the time that the program takes to start.
constexpr Micros max_restart_downtime = milliseconds(1500);
constexpr Micros program_start_allowance = milliseconds(250);
constexpr Micros max_first_list_age = max_restart_downtime + program_start_allowance;
// Share of the drain grace during which the list stays usable; the rest covers delays inside this process.
constexpr double usable_margin_share = 0.75;

// A call that fails sooner was rejected without being queued: discovery can be reached, and its queue is
// full.
constexpr Micros max_rejection_time = milliseconds(100);
// Bounds of the mean back-off after such a call. They are short because a rejection costs discovery next to
// nothing.
constexpr Micros min_rejection_backoff = milliseconds(100);
constexpr Micros max_rejection_backoff = milliseconds(800);

// Time over which the fleet's calls are spread when one event makes all balancers call, as shares of
// `ask_within`: the share for each balancer, and the least and the greatest share for the fleet.
constexpr double spread_share_per_balancer = 0.005;
constexpr double min_spread_share = 0.1;
constexpr double max_spread_share = 0.5;
// The spread is never less than this for each balancer, because one call may take that long.
constexpr Micros min_spread_per_balancer = milliseconds(150);
// Upper bound of the spread of the fleet's first calls at a start. The last of them is made before changes
// that were made before the start count as notified.
constexpr Micros max_start_call_spread = seconds(4);
static_assert(max_start_call_spread < max_notification_delay - max_first_list_age);
// Upper bound of the spread of the fleet's first calls after subscriptions have ended.
constexpr Micros max_first_call_spread = seconds(2);
// Share of the drain grace over which the first calls after a reset are spread, so that a call that waits for
// `notification_delay_after_end` still completes while the list is usable.
constexpr double first_call_spread_share = 0.5;
// After discovery has closed a subscription in order, the first call leaves this much time for a response
// while the list is usable, and for a rejection before the changes missed count as notified.
constexpr Micros response_allowance = milliseconds(300);
constexpr Micros rejection_allowance = milliseconds(200);

// Back-off after calls that time out in an outage.
constexpr Micros first_outage_backoff = milliseconds(500);
constexpr Micros base_outage_backoff = milliseconds(2350);
// Time from the start of one call to that of the next: the back-off and the 2 s after which a call times out.
constexpr Micros outage_call_period = base_outage_backoff + seconds(2);
// A call answered later than this had to wait in discovery's queue.
constexpr Micros overload_latency = milliseconds(150);
// Number of calls after which those of the fleet are spread over one `outage_call_period`.
constexpr int calls_until_spread = 4;
// In a long outage the back-off grows in proportion to the time that has passed: to one part in 80 where
// discovery has answered this process, so that service resumes soon after its return; to one in 4 where it
// never has, as the calls of restarted processes may be what overloads it.
constexpr int confirmed_backoff_divisor = 80;
constexpr int unconfirmed_backoff_divisor = 4;
// Upper bound of the back-off where discovery never answered this process, as a multiple of `ask_within`.
constexpr int max_backoff_multiple = 6;

// When the fleet repeats calls that timed out at an overloaded discovery: the start of a round of calls and
// the time over which the round is spread, as shares of `ask_within` after the end of the subscription.
struct CallRound {
    double start_share;
    double spread_share;
};
constexpr CallRound overload_call_rounds[] = {{0.6, 0.45}, {2.1, 2.1}, {5.6, 3.75}};

}  // namespace

ListSubscription::ListSubscription(const Settings& settings, util::Random& random, Time now)
    : settings_(settings),
      random_(random),
      usable_margin_(micros(us(settings.drain_grace) * usable_margin_share)) {
    if (!settings.must_request_list) return;
    call_position_ = static_cast<double>(settings.rank) / settings.balancers;
    lost_at_ = now;
    // Discovery may have had a change since right after the list was received.
    notified_at_ = now - max_first_list_age + max_notification_delay;
    usable_until_ = notified_at_ + usable_margin_;
    // Instances that start at the same time call one after another.
    next_call_at_ = now + micros(call_position_ * us(std::min(call_spread(), max_start_call_spread)));
}

bool ListSubscription::try_begin_call(Time now) {
    if (subscribed_) return false;
    called_at_ = now;
    // The call that starts now has ended by then.
    next_call_at_ = now + std::max(settings_.ask_within, max_notification_delay);
    return true;
}

void ListSubscription::on_list_received(Time now) {
    // Discovery is overloaded if it takes longer for a call than the mean time between the fleet's calls:
    // other calls were queued before this one.
    const bool overloaded =
        now - called_at_ > std::max(overload_latency, outage_call_period / settings_.balancers);
    if (!subscribed_ && timed_out_calls_ > 0 && overloaded) recovery_call_at_ = called_at_;
    subscribed_ = list_confirmed_ = true;
    rejection_backoff_ = Micros{0};
    notified_at_ = usable_until_ = Time::max();
}

// A discovery that fails resets the subscription. One that the network has cut off accepts no new connection.
void ListSubscription::on_end(Time now, ListKind kind) {
    const bool was_subscribed = std::exchange(subscribed_, false);
    // Balancers call one after another, evenly spaced.
    call_position_ = (settings_.rank + 0.5) / settings_.balancers;
    if (kind == ListKind::moved) {
        discovery_up_at_loss_ |= was_subscribed;
        unreachable_since_loss_ = false;
        on_subscription_lost(now, now + notification_delay_after_move, now + notification_delay_after_move);
    } else if (was_subscribed && kind == ListKind::silent) {
        discovery_up_at_loss_ = true;
        unreachable_since_loss_ = false;
        // Balancers detect the silence at different times, so their calls have no common start.
        call_position_ = random_.unit();
        on_subscription_lost(now, now - watch_idle_timeout + max_notification_delay,
                             now - watch_idle_timeout + max_notification_delay);
    } else if (was_subscribed) {
        discovery_up_at_loss_ = kind == ListKind::closed;
        unreachable_since_loss_ = !discovery_up_at_loss_;
        on_subscription_lost(now, now + notification_delay_after_end, now + max_notification_delay);
    } else {
        next_call_at_ = now + backoff_after_failure(now, kind);
    }
}

Time ListSubscription::send_by(Time now) const {
    if (settings_.drain_grace <= Micros{0}) return usable_until_;
    return std::min(usable_until_, now + settings_.drain_grace);
}

// `notified_at` is the time at which missed changes count as notified if no call fails until then;
// `notified_at_latest` is the time at which they do so in any case.
void ListSubscription::on_subscription_lost(Time now, Time notified_at, Time notified_at_latest) {
    timed_out_calls_ = 0;
    lost_at_ = now;
    notified_at_ = std::min(notified_at_, notified_at_latest);
    usable_until_ = std::min(usable_until_, notified_at + usable_margin_);
    // Makes no further call while other balancers are still reconnecting after an outage.
    next_call_at_ = std::max(first_call_at(now, notified_at), recovery_call_at_ + outage_call_period);
}

Time ListSubscription::first_call_at(Time now, Time notified_at) const {
    Micros span = reset_call_spread();
    if (discovery_up_at_loss_) {
        const Time latest_call_at =
            std::min(usable_until_ - response_allowance, notified_at - rejection_allowance);
        span = std::clamp(latest_call_at - now, Micros{0}, call_spread());
    }
    return now + micros(call_position_ * us(std::min(span, max_first_call_spread)));
}

Micros ListSubscription::reset_call_spread() const {
    const Micros grace_share = micros(us(settings_.drain_grace) * first_call_spread_share);
    return std::min(call_spread(), grace_share > Micros{0} ? grace_share : max_first_call_spread);
}

Micros ListSubscription::backoff_after_failure(Time now, ListKind kind) {
    if (kind == ListKind::unreachable) return backoff_without_connection(now);
    unreachable_since_loss_ = false;
    const bool may_be_rejection = kind == ListKind::failed || kind == ListKind::closed;
    const bool rejected = may_be_rejection && now - called_at_ < max_rejection_time;
    // A call that is made in time after a reset may time out too late. It has failed all the same.
    const bool postpones = !counts_as_notified(now) || (!rejected && !discovery_up_at_loss_);
    if (postpones) postpone_notification(notified_at_);
    return rejected ? backoff_after_rejection() : backoff_after_timeout(now);
}

// Discovery could not be reached when the call started. If it may have been so ever since the subscription
// ended, it cannot have had a change and been reached before that.
Micros ListSubscription::backoff_without_connection(Time now) {
    ++timed_out_calls_;
    if (unreachable_since_loss_) {
        postpone_notification(called_at_ + max_notification_delay);
    } else if (!counts_as_notified(now)) {
        postpone_notification(notified_at_);
    }
    discovery_up_at_loss_ = false;
    lost_at_ = now;
    return outage_backoff(now);
}

Micros ListSubscription::backoff_after_rejection() {
    discovery_rejects_calls_ = true;
    rejection_backoff_ = std::clamp(2 * rejection_backoff_, min_rejection_backoff, max_rejection_backoff);
    return rejection_backoff_ / 2 + micros(random_.unit() * us(rejection_backoff_));
}

// If discovery was up and has never rejected a call immediately, it may be overloaded by the fleet's own
// calls. Otherwise an outage is more likely.
Micros ListSubscription::backoff_after_timeout(Time now) {
    ++timed_out_calls_;
    const bool may_be_overloaded = discovery_up_at_loss_ && !discovery_rejects_calls_;
    return may_be_overloaded ? overload_backoff(now) : outage_backoff(now);
}

// An overloaded discovery also processes queued calls that have already timed out. The fleet's next round of
// calls therefore has to start after those and to take as long as discovery needs for a round, which no
// response reveals; the rounds' times are fixed for that reason. Balancers call in the order of their first
// calls.
Micros ListSubscription::overload_backoff(Time now) const {
    const auto round = static_cast<std::size_t>(timed_out_calls_ - 1);
    if (round >= std::size(overload_call_rounds)) return max_backoff_multiple * settings_.ask_within;
    const auto [start_share, spread_share] = overload_call_rounds[round];
    const Time round_call_at =
        lost_at_ + micros(us(settings_.ask_within) * (start_share + spread_share * call_position_));
    return std::max(first_outage_backoff, round_call_at - now);
}

// Spaces the fleet's calls by balancer, so that they do not overload discovery once it is reachable again.
Micros ListSubscription::outage_backoff(Time now) const {
    const int divisor = list_confirmed_ ? confirmed_backoff_divisor : unconfirmed_backoff_divisor;
    const Micros max_backoff = std::max(base_outage_backoff, (now - lost_at_) / divisor);
    Micros min_backoff = timed_out_calls_ == 1 ? first_outage_backoff : min_outage_backoff();
    if (timed_out_calls_ > calls_until_spread) min_backoff = max_backoff;
    return std::min(min_backoff + micros(call_position_ * us(max_backoff - min_backoff)),
                    (list_confirmed_ ? 1 : max_backoff_multiple) * settings_.ask_within);
}

// Returns the back-off of the first balancer in the order. The first call, the back-off after it and the
// later ones together spread the fleet's calls over one `outage_call_period`.
Micros ListSubscription::min_outage_backoff() const {
    const Micros spread_by_first_calls = base_outage_backoff - first_outage_backoff + reset_call_spread();
    return base_outage_backoff - (outage_call_period - spread_by_first_calls) / (calls_until_spread - 1);
}

// Returns whether missed changes already count as notified.
bool ListSubscription::counts_as_notified(Time now) const { return now > usable_until_ - usable_margin_; }

// Postpones the time at which missed changes count as notified to `notified_at` or later.
void ListSubscription::postpone_notification(Time notified_at) {
    notified_at_ = std::max(notified_at_, notified_at);
    usable_until_ = std::max(usable_until_, notified_at_ + usable_margin_);
}

Micros ListSubscription::call_spread() const {
    const double share =
        std::clamp(spread_share_per_balancer * settings_.balancers, min_spread_share, max_spread_share);
    return std::max(micros(share * us(settings_.ask_within)), settings_.balancers * min_spread_per_balancer);
}

}  // namespace flaxdoor
