// The subscription to discovery's list: when to call, and until when the list held may be used.
//
// All balancers share one discovery service of fixed capacity. While its queue is full it refuses calls at
// once, or lets them hang until they time out; while it is down they hang too, or no connection comes up. A
// change counts as told some time after a subscription has ended, heard or not: from then on any upstream of
// the list held may drain, and none gets new work.
#pragma once

#include "flaxdoor/decide.h"
#include "util/random.h"

namespace flaxdoor {

class ListSubscription {
public:
    // Borrows both; they must outlive it.
    ListSubscription(const Settings& settings, util::Random& random, Time now);

    // When discovery is to be called next. A call is made only then, by call_due().
    Time next_call() const { return next_call_; }

    // `next_call()` has come. Returns whether to call: not while subscribed.
    bool call_due(Time now);

    // Discovery has answered or told a change; the list held is the newest.
    void on_answer(Time now);

    // The call or the subscription is over; `kind` is failed, closed, unreachable, silent or moved.
    void on_end(Time now, ListKind kind);

    // The latest time at which what is decided on now may still be sent to an upstream of the list held: a
    // drain that is told the next moment leaves it the grace. Not after `now` while the list is too old.
    Time send_by(Time now) const;

private:
    void lose(Time now, Time told_at, Time told_latest);
    Time first_call(Time now, Time told_at) const;
    Micros reset_span() const;
    Micros outage_gap_least() const;
    Micros gap_after_failure(Time now, ListKind kind);
    Micros gap_after_refusal(Time now);
    Micros gap_after_hang(Time now);
    Micros gap_in_crowd(Time now) const;
    Micros gap_in_outage(Time now) const;
    void extend(Time told_at);
    Micros spread() const;

    const Settings& settings_;
    util::Random& random_;
    const Micros margin_;  // the list is used for so long after what is missed counts as told
    bool subscribed_ = false;
    bool confirmed_ = false;     // discovery has answered this process
    bool up_when_lost_ = false;  // discovery was up as the last subscription ended
    bool refuses_ = false;       // discovery has refused a call of this process at once
    double slot_ = 0;            // this balancer's place in the order of the fleet's calls, 0 to 1
    int hung_calls_ = 0;         // since then, those that hung or got no connection
    Time lost_at_{};             // when it ended, or when discovery was last known to be down
    Time called_at_{};
    Time recovered_at_{};  // the call that ended an outage, where others waited too
    Time next_call_{};
    Time told_at_ = Time::max();  // when at the latest what is missed since then counts as told
    Time usable_until_ = Time::max();
    Micros refused_gap_{};  // the last gap after a call that was refused; 0: there was none
};

}  // namespace flaxdoor
