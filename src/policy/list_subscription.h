// The subscription to discovery's list of upstreams: when to call discovery, and for how long the current
// list may be used.
//
// All balancers share one discovery service of fixed capacity. While its queue is full, discovery rejects
// calls immediately or leaves them unanswered until they time out; while it is down, calls also time out, or
// no connection is established. By the operators' terms a balancer counts as notified of a change a fixed
// time after its subscription ended, whether it received the change or not. From then on any upstream of the
// current list may be draining, and none is sent new work.
//
// How a subscription ended sets when missed changes count as notified:
//   closed in order  2 s later, or 6 s later if a call has failed by then
//   reset            the same, and the 6 s start anew with each call that gets no connection, up to the first
//                    call that gets one: a process that has died resets its connections and refuses new ones,
//                    and is taken to stay down from one such call to the next
//   silent           6 s after the last message, whatever the calls since have shown
//   moved            4 s later, whatever the calls since have shown
//   none yet         6 s after the previous process of this balancer, if there was one, received the list,
//   whatever the calls since have shown; nothing tells when that was, so the list is taken to be as old as a
//   restart can make it
//
// A call that gets a connection and then fails, by an error at once, after a wait, or by having no answer,
// postpones nothing: a crowded discovery fails calls in the same ways as one that is down, and it can be
// reached.
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

    // Returns the time of the next call to discovery. Calls are made only at that time, through
    // try_begin_call().
    Time next_call_at() const { return next_call_at_; }

    // Must be called at `next_call_at()`. Returns false while subscribed; otherwise records that a call
    // starts now and returns true.
    bool try_begin_call(Time now);

    // Records that discovery has sent a full list or a change, so that the current list is up to date.
    void on_list_received(Time now);

    // Records that the pending call has failed or the subscription has ended. `kind` is failed, closed,
    // unreachable, silent or moved.
    void on_end(Time now, ListKind kind);

    // Returns the latest time at which an attempt decided on at `now` may still be sent to an upstream of the
    // current list: even a drain that is notified right after `now` leaves the drain grace. Returns a time
    // not after `now` once the list is too old to be used.
    Time send_by(Time now) const;

    // Returns the time from which the current list is too old to be used, as it stands now.
    Time usable_until() const { return usable_until_; }

private:
    void on_subscription_lost(Time now, Time notified_at, Time notified_at_latest);
    Time first_call_at(Time now, Time notified_at) const;
    Micros reset_call_spread() const;
    Micros min_outage_backoff() const;
    Micros backoff_after_failure(Time now, ListKind kind);
    Micros backoff_without_connection(Time now);
    Micros backoff_after_rejection();
    Micros backoff_after_timeout(Time now);
    Micros overload_backoff(Time now) const;
    Micros outage_backoff(Time now) const;
    bool counts_as_notified(Time now) const;
    void postpone_notification(Time notified_at);
    Micros call_spread() const;

    const Settings& settings_;
    util::Random& random_;
    // Time for which the list stays usable after a missed change counts as notified.
    const Micros usable_margin_;
    bool subscribed_ = false;
    bool list_confirmed_ = false;        // discovery has sent a list to this process
    bool discovery_up_at_loss_ = false;  // discovery was up when the last subscription ended
    bool unreachable_since_loss_ =
        false;  // the last one ended by a reset, and no call since got a connection
    bool discovery_rejects_calls_ = false;  // discovery has immediately rejected a call of this process
    double call_position_ = 0;  // position of this balancer in the order of the fleet's calls, 0 to 1
    int timed_out_calls_ = 0;   // calls since the last subscription ended that timed out or got no connection
    Time lost_at_{};    // end of the last subscription, or the last time discovery was known to be down
    Time called_at_{};  // start of the last call
    Time recovery_call_at_{};  // start of the call that ended an outage while discovery was overloaded
    Time next_call_at_{};
    // Time at which missed changes count as notified at the latest.
    Time notified_at_ = Time::max();
    Time usable_until_ = Time::max();
    Micros rejection_backoff_{};  // last back-off after a rejected call; 0: none since the last list
};

}  // namespace flaxdoor
