#include "policy/list_subscription.h"

#include <algorithm>
#include <utility>

#include "util/decay.h"

namespace flaxdoor {

namespace {

using namespace std::chrono;
using namespace util;

// When a change that was not heard counts as told, by the operators' terms.
constexpr Micros told_after_end = seconds(2);  // from the end of a subscription
constexpr Micros told_at_most = seconds(6);    // from when discovery had it and could be reached
constexpr Micros told_after_move = seconds(4);
constexpr double margin_share = 0.75;  // of the drain grace; the rest is for what is late here

// A call that fails sooner was refused unseen: discovery can be reached, and its queue is full.
constexpr Micros refused_within = milliseconds(100);
// Such a call costs discovery next to nothing, so the next may come soon.
constexpr Micros refused_gap_least = milliseconds(100);
constexpr Micros refused_gap_most = milliseconds(800);

// Spread of the calls where one event has all balancers call, as a share of `ask_within`: for each balancer,
constexpr double spread_each = 0.005;
constexpr double spread_least = 0.1;
constexpr double spread_most = 0.5;
constexpr Micros spread_call = milliseconds(150);  // but for each at least this, which a call may take
// Of the first calls after the end of a subscription, for all of them.
constexpr Micros first_spread_most = seconds(2);
// Share of the drain grace for these after a reset: one that waits for `told_after_end` is in time.
constexpr double first_spread = 0.5;
// After an end in order: for an answer while the list may be used, for a refusal before its end is told.
constexpr Micros answer_time = milliseconds(300);
constexpr Micros refusal_time = milliseconds(200);

// Gaps after calls that hang in an outage: the list stays in use over two calls of 2 s and such a gap.
constexpr Micros outage_gap_first = milliseconds(500);
constexpr Micros outage_gap_most = milliseconds(2350);
constexpr Micros outage_cycle = outage_gap_most + seconds(2);  // from call to call: the gap and the hang
constexpr Micros crowd_wait = milliseconds(150);
constexpr int outage_spread_calls = 4;  // so many calls bring those of the fleet apart
constexpr int outage_gap_part = 80;     // of the time since it began: later gaps grow with it,
constexpr int unused_gap_part = 4;      // faster once the list is no longer used
constexpr int gap_most = 6;             // times `ask_within`
// A list never confirmed to this process is used no longer on the word of calls that hang.
constexpr Micros unconfirmed_most = 2 * told_at_most;

// Further calls in a crowd: when those of the fleet come, as shares of `ask_within` after the end.
struct CrowdRound {
    double first;
    double spread;
};
constexpr CrowdRound crowd_rounds[] = {{0.6, 0.45}, {2.1, 2.1}, {5.6, 3.75}};

}  // namespace

ListSubscription::ListSubscription(const Settings& settings, util::Random& random, Time now)
    : settings_(settings), random_(random), margin_(micros(us(settings.drain_grace) * margin_share)) {
    if (!settings.must_request_list) return;
    slot_ = static_cast<double>(settings.rank) / settings.balancers;
    lost_at_ = now;
    told_at_ = now + told_at_most;
    usable_until_ = told_at_ + margin_;
    // Instances that start together call one after another.
    next_call_ = now + micros(slot_ * us(std::min(spread(), told_at_most - told_after_end)));
}

bool ListSubscription::call_due(Time now) {
    if (subscribed_) return false;
    called_at_ = now;
    next_call_ = now + std::max(settings_.ask_within, told_at_most);  // this one has ended by then
    return true;
}

void ListSubscription::on_answer(Time now) {
    // Calls of the fleet come faster than discovery works them off, and others were before this one.
    const bool crowded = now - called_at_ > std::max(crowd_wait, outage_cycle / settings_.balancers);
    if (!subscribed_ && hung_calls_ > 0 && crowded) recovered_at_ = called_at_;
    subscribed_ = confirmed_ = true;
    refused_gap_ = Micros{0};
    told_at_ = usable_until_ = Time::max();
}

// A discovery that dies resets the subscription, and one that is cut off lets no new connection come up.
void ListSubscription::on_end(Time now, ListKind kind) {
    const bool was_subscribed = std::exchange(subscribed_, false);
    slot_ = (settings_.rank + 0.5) / settings_.balancers;  // the fleet calls one after another, evenly
    if (kind == ListKind::moved) {
        up_when_lost_ |= was_subscribed;
        lose(now, now + told_after_move, now + told_after_move);
    } else if (was_subscribed && kind == ListKind::silent) {
        up_when_lost_ = true;
        slot_ = random_.unit();  // each balancer notices it at a time of its own
        lose(now, now - watch_idle_timeout + told_at_most, now - watch_idle_timeout + told_at_most);
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

// `told_at`: when what is missed counts as told should no call fail; `told_latest`: whatever happens.
void ListSubscription::lose(Time now, Time told_at, Time told_latest) {
    hung_calls_ = 0;
    lost_at_ = now;
    told_at_ = std::min(told_at_, told_latest);
    usable_until_ = std::min(usable_until_, told_at + margin_);
    // No second call while others of the fleet still come back from an outage.
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
    if (now <= usable_until_ - margin_) extend(told_at_);  // later on it excuses nothing
    refused_gap_ = std::clamp(2 * refused_gap_, refused_gap_least, refused_gap_most);
    return refused_gap_ / 2 + micros(random_.unit() * us(refused_gap_));
}

// Where discovery was up and has never refused a call at once, one that hangs proves no outage: the crowd may
// be the fleet's own calls. Else discovery could not be reached as it began, or it would have answered.
Micros ListSubscription::gap_after_hang(Time now) {
    if (up_when_lost_ && !refuses_) return gap_in_crowd(now);
    const Time proved = called_at_ + told_at_most;
    extend(confirmed_ ? proved : std::min(proved, lost_at_ + unconfirmed_most));
    return gap_in_outage(now);
}

// Discovery works off calls that have timed out, too: the next round of the fleet's calls has to come after
// that, and to be as long as a round, whose length no call tells. Their order is that of the first ones.
Micros ListSubscription::gap_in_crowd(Time now) const {
    const auto round = static_cast<std::size_t>(hung_calls_ - 1);
    if (round >= std::size(crowd_rounds)) return gap_most * settings_.ask_within;
    const auto [first, spread] = crowd_rounds[round];
    const Time due = lost_at_ + micros(us(settings_.ask_within) * (first + spread * slot_));
    return std::max(outage_gap_first, due - now);
}

// The calls of the fleet come apart by their order, so that those which find discovery back are no crowd.
Micros ListSubscription::gap_in_outage(Time now) const {
    const bool in_use = now < usable_until_;
    const Micros most =
        std::max(outage_gap_most, (now - lost_at_) / (in_use ? outage_gap_part : unused_gap_part));
    Micros least = hung_calls_ == 1 ? outage_gap_first : outage_gap_least();
    if (hung_calls_ > outage_spread_calls) least = most;
    return std::min(least + micros(slot_ * us(most - least)), (in_use ? 1 : gap_most) * settings_.ask_within);
}

// The first call, the gap after it and those that follow bring the calls of the fleet apart by one cycle.
Micros ListSubscription::outage_gap_least() const {
    const Micros apart = outage_gap_most - outage_gap_first + reset_span();
    return outage_gap_most - (outage_cycle - apart) / (outage_spread_calls - 1);
}

// What is missed counts as told no sooner than this.
void ListSubscription::extend(Time told_at) {
    told_at_ = std::max(told_at_, told_at);
    usable_until_ = std::max(usable_until_, told_at_ + margin_);
}

Micros ListSubscription::spread() const {
    const double share = std::clamp(spread_each * settings_.balancers, spread_least, spread_most);
    return std::max(micros(share * us(settings_.ask_within)), settings_.balancers * spread_call);
}

}  // namespace flaxdoor
