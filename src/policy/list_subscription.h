// The subscription to discovery's list of upstreams: when to call discovery, and for how long the current
// list may be used.
//
// All balancers share one discovery service of fixed capacity. While its queue is full, discovery rejects
// calls immediately or leaves them unanswered until they time out; while it is down, calls also time out, or
// no connection is established. By the operators' terms a balancer counts as notified of a change a fixed
// time after its subscription ended, whether it received the change or not. From then on any upstream of the
// current list may be draining, and none is sent new work.
#pragma once

#include "flaxdoor/decide.h"
#include "util/random.h"

namespace flaxdoor {

// Schedules calls to discovery with back-off and spreads those of a fleet over time, so that the fleet does
// not overload discovery. Has no clock and makes no calls itself.
class ListSubscription {
public:
    // Borrows `settings` and `random`; both must outlive the object. `now` is the start of the process.
    ListSubscription(const Settings& settings, util::Random& random, Time now);

    // Returns the time of the next call to discovery. Calls are made only at that time, through call_due().
    Time next_call() const { return next_call_; }

    // Must be called at `next_call()`. Returns false while subscribed; otherwise records that a call starts
    // now and returns true.
    bool call_due(Time now);

    // Records that discovery has sent a full list or a change, so that the current list is up to date.
    void on_answer(Time now);

    // Records that the pending call has failed or the subscription has ended. `kind` is failed, closed,
    // unreachable, silent or moved.
    void on_end(Time now, ListKind kind);

    // Returns the latest time at which an attempt decided on at `now` may still be sent to an upstream of the
    // current list: even a drain that is notified right after `now` leaves the drain grace. Returns a time
    // not after `now` once the list is too old to be used.
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
    const Micros margin_;  // time for which the list stays usable after a missed change counts as notified
    bool subscribed_ = false;
    bool confirmed_ = false;     // discovery has sent a list to this process
    bool up_when_lost_ = false;  // discovery was up when the last subscription ended
    bool refuses_ = false;       // discovery has immediately rejected a call of this process
    double slot_ = 0;            // position of this balancer in the order of the fleet's calls, 0 to 1
    int hung_calls_ = 0;   // calls since the last subscription ended that timed out or got no connection
    Time lost_at_{};       // end of the last subscription, or the last time discovery was known to be down
    Time called_at_{};     // start of the last call
    Time recovered_at_{};  // start of the call that ended an outage while discovery was overloaded
    Time next_call_{};
    // Time at which missed changes count as notified if a failed call has postponed it.
    Time told_at_ = Time::max();
    Time usable_until_ = Time::max();
    Micros refused_gap_{};  // last back-off after a rejected call; 0: none since the last list
};

}  // namespace flaxdoor
