#include "policy/list_subscription.h"

#include <algorithm>
#include <utility>

#include "util/decay.h"

namespace flaxdoor {

namespace {

using namespace std::chrono;
using namespace util;

// Delays after which a change that this balancer did not receive counts as notified, by the operators' terms.
constexpr Micros told_after_end = seconds(2);   // from the end of a subscription
constexpr Micros told_at_most = seconds(6);     // from when discovery had the change and could be reached
constexpr Micros told_after_move = seconds(4);  // from when discovery's address changed
// Share of the drain grace during which the list stays usable; the rest covers delays inside this process.
constexpr double margin_share = 0.75;

// A call that fails sooner was rejected without being queued: discovery can be reached, and its queue is
// full.
constexpr Micros refused_within = milliseconds(100);
// Bounds of the mean back-off after such a call. They are short because a rejection costs discovery next to
// nothing.
constexpr Micros refused_gap_least = milliseconds(100);
constexpr Micros refused_gap_most = milliseconds(800);

// Time over which the fleet's calls are spread when one event makes all balancers call, as shares of
// `ask_within`: the share for each balancer, and the least and the greatest share for the fleet.
constexpr double spread_each = 0.005;
constexpr double spread_least = 0.1;
constexpr double spread_most = 0.5;
// The spread is never less than this for each balancer, because one call may take that long.
constexpr Micros spread_call = milliseconds(150);
// Upper bound of the spread of the fleet's first calls after subscriptions have ended.
constexpr Micros first_spread_most = seconds(2);
// Share of the drain grace over which the first calls after a reset are spread, so that a call that waits for
// `told_after_end` still completes while the list is usable.
constexpr double first_spread = 0.5;
// After discovery has closed a subscription in order, the first call leaves this much time for a response
// while the list is usable, and for a rejection before the changes missed count as notified.
constexpr Micros answer_time = milliseconds(300);
constexpr Micros refusal_time = milliseconds(200);

// Back-off after calls that time out in an outage. The list stays usable over two calls of 2 s and one such
// back-off.
constexpr Micros outage_gap_first = milliseconds(500);
constexpr Micros outage_gap_most = milliseconds(2350);
// Time from the start of one call to that of the next: the back-off and the 2 s after which a call times out.
constexpr Micros outage_cycle = outage_gap_most + seconds(2);
// A call answered later than this had to wait in discovery's queue.
constexpr Micros crowd_wait = milliseconds(150);
// Number of calls after which those of the fleet are spread over one `outage_cycle`.
constexpr int outage_spread_calls = 4;
// In a long outage the back-off grows in proportion to the time that has passed: to one part in 80 while the
// list is usable, to one in 4 after that.
constexpr int outage_gap_part = 80;
constexpr int unused_gap_part = 4;
// Upper bound of the back-off while the list is not usable, as a multiple of `ask_within`.
constexpr int gap_most = 6;
// Calls that time out extend the use of a list that discovery never confirmed to this process by no more than
// this, counted from the start of the process.
constexpr Micros unconfirmed_most = 2 * told_at_most;

// When the fleet repeats calls that timed out at an overloaded discovery: the start of a round of calls and
// the time over which the round is spread, as shares of `ask_within` after the end of the subscription.
struct CrowdRound {
    double first;
    double spread;
};
constexpr CrowdRound crowd_rounds[] = {{0.6, 0.45}, {2.1, 2.1}, {5.6, 3.75}};

}  // namespace

ListSubscription::ListSubscription(const Settings& settings, util::Random& random, Time now)
    : settings_(settings), random_(random), margin_(micros(us(settings.drain_grace) * margin_share)) {
    if (!settings.must_ask_list) return;
    slot_ = static_cast<double>(settings.rank) / settings.balancers;
    lost_at_ = now;
    told_at_ = now + told_at_most;
    usable_until_ = told_at_ + margin_;
    // Instances that start at the same time call one after another.
    next_call_ = now + micros(slot_ * us(std::min(spread(), told_at_most - told_after_end)));
}

bool ListSubscription::call_due(Time now) {
    if (subscribed_) return false;
    called_at_ = now;
    // The call that starts now has ended by then.
    next_call_ = now + std::max(settings_.ask_within, told_at_most);
    return true;
}

void ListSubscription::on_answer(Time now) {
    // Discovery is overloaded if it takes longer for a call than the mean time between the fleet's calls:
    // other calls were queued before this one.
    const bool crowded = now - called_at_ > std::max(crowd_wait, outage_cycle / settings_.balancers);
    if (!subscribed_ && hung_calls_ > 0 && crowded) recovered_at_ = called_at_;
    subscribed_ = confirmed_ = true;
    refused_gap_ = Micros{0};
    told_at_ = usable_until_ = Time::max();
}

// A discovery that fails resets the subscription. One that the network has cut off accepts no new connection.
void ListSubscription::on_end(Time now, ListKind kind) {
    const bool was_subscribed = std::exchange(subscribed_, false);
    slot_ = (settings_.rank + 0.5) / settings_.balancers;  // balancers call one after another, evenly spaced
    if (kind == ListKind::moved) {
        up_when_lost_ |= was_subscribed;
        lose(now, now + told_after_move, now + told_after_move);
    } else if (was_subscribed && kind == ListKind::silent) {
        up_when_lost_ = true;
        // Each balancer detects the silence at a different time, so the fleet has no common start to count
        // from.
        slot_ = random_.unit();
        lose(now, now - watch_silence + told_at_most, now - watch_silence + told_at_most);
    } else if (was_subscribed) {
        up_when_lost_ = kind == ListKind::closed;
        lose(now, now + told_after_end, now + told_at_most);
    } else {
        next_call_ = now + gap_after_failure(now, kind);
    }
}

Time ListSubscription::send_by(Time now) const {
    if (settings_.drain_grace <= Micros{0}) return usable_until_;
    return std::min(usable_until_, now + settings_.drain_grace);
}

// `told_at` is the time at which missed changes count as notified if no call fails until then; `told_latest`
// is the time at which they do so whatever happens.
void ListSubscription::lose(Time now, Time told_at, Time told_latest) {
    hung_calls_ = 0;
    lost_at_ = now;
    told_at_ = std::min(told_at_, told_latest);
    usable_until_ = std::min(usable_until_, told_at + margin_);
    // Makes no further call while other balancers are still reconnecting after an outage.
    next_call_ = std::max(first_call(now, told_at), recovered_at_ + outage_cycle);
}

Time ListSubscription::first_call(Time now, Time told_at) const {
    Micros span = reset_span();
    if (up_when_lost_) {
        const Time last = std::min(usable_until_ - answer_time, told_at - refusal_time);
        span = std::clamp(last - now, Micros{0}, spread());
    }
    return now + micros(slot_ * us(std::min(span, first_spread_most)));
}

Micros ListSubscription::reset_span() const {
    const Micros grace_part = micros(us(settings_.drain_grace) * first_spread);
    return std::min(spread(), grace_part > Micros{0} ? grace_part : first_spread_most);
}

Micros ListSubscription::gap_after_failure(Time now, ListKind kind) {
    const bool turned_away = kind == ListKind::failed || kind == ListKind::closed;
    if (turned_away && now - called_at_ < refused_within) return gap_after_refusal(now);
    ++hung_calls_;
    if (kind != ListKind::unreachable) return gap_after_hang(now);
    up_when_lost_ = false;
    lost_at_ = now;
    extend(now + told_at_most);
    return gap_in_outage(now);
}

Micros ListSubscription::gap_after_refusal(Time now) {
    refuses_ = true;
    if (now <= usable_until_ - margin_) extend(told_at_);  // a later rejection does not postpone it
    refused_gap_ = std::clamp(2 * refused_gap_, refused_gap_least, refused_gap_most);
    return refused_gap_ / 2 + micros(random_.unit() * us(refused_gap_));
}

// If discovery was up and has never rejected a call immediately, a call that times out is no proof of an
// outage: discovery may be overloaded by the fleet's own calls. Otherwise a time-out proves that discovery
// could not be reached when the call started, because it would have responded.
Micros ListSubscription::gap_after_hang(Time now) {
    if (up_when_lost_ && !refuses_) return gap_in_crowd(now);
    const Time proved = called_at_ + told_at_most;
    extend(confirmed_ ? proved : std::min(proved, lost_at_ + unconfirmed_most));
    return gap_in_outage(now);
}

// An overloaded discovery also processes queued calls that have already timed out. The fleet's next round of
// calls therefore has to start after those and to take as long as discovery needs for a round, which no
// response reveals; the rounds' times are fixed for that reason. Balancers call in the order of their first
// calls.
Micros ListSubscription::gap_in_crowd(Time now) const {
    const auto round = static_cast<std::size_t>(hung_calls_ - 1);
    if (round >= std::size(crowd_rounds)) return gap_most * settings_.ask_within;
    const auto [first, spread] = crowd_rounds[round];
    const Time due = lost_at_ + micros(us(settings_.ask_within) * (first + spread * slot_));
    return std::max(outage_gap_first, due - now);
}

// Spaces the fleet's calls by balancer, so that they do not overload discovery once it is reachable again.
Micros ListSubscription::gap_in_outage(Time now) const {
    const bool in_use = now < usable_until_;
    const Micros most =
        std::max(outage_gap_most, (now - lost_at_) / (in_use ? outage_gap_part : unused_gap_part));
    Micros least = hung_calls_ == 1 ? outage_gap_first : outage_gap_least();
    if (hung_calls_ > outage_spread_calls) least = most;
    return std::min(least + micros(slot_ * us(most - least)), (in_use ? 1 : gap_most) * settings_.ask_within);
}

// Returns the back-off of the first balancer in the order. The first call, the back-off after it and the
// later ones together spread the fleet's calls over one `outage_cycle`.
Micros ListSubscription::outage_gap_least() const {
    const Micros apart = outage_gap_most - outage_gap_first + reset_span();
    return outage_gap_most - (outage_cycle - apart) / (outage_spread_calls - 1);
}

// Postpones the time at which missed changes count as notified to `told_at` or later.
void ListSubscription::extend(Time told_at) {
    told_at_ = std::max(told_at_, told_at);
    usable_until_ = std::max(usable_until_, told_at_ + margin_);
}

Micros ListSubscription::spread() const {
    const double share = std::clamp(spread_each * settings_.balancers, spread_least, spread_most);
    return std::max(micros(share * us(settings_.ask_within)), settings_.balancers * spread_call);
}

}  // namespace flaxdoor
