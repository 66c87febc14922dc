// The public interface of flaxdoor: settings, events, actions, and the Policy that turns events into actions.
// The decisions themselves are made in src/decide.cpp.
//
// Time:        a Policy has no clock. Every event carries `now`, which must never decrease.
// Threading:   a Policy belongs to one thread at a time; it takes no locks and starts no threads.
// Ownership:   the Actions object is borrowed and must outlive the Policy. Nothing else is shared.
// Re-entrancy: an Actions method is called from inside an on_* method and must not call the Policy back.
// Determinism: the same settings, seed and events give the same actions, in the same order.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor {

using Micros = std::chrono::microseconds;  // a duration
using Time = std::chrono::microseconds;    // a point in time, from any fixed origin
using RequestId = std::uint64_t;           // chosen by the host, never reused
using UpstreamId = std::uint64_t;          // chosen by the host, opaque

// ---------------------------------------------------------------------------------------------- settings

// How often a request may take effect.
//   idempotent    any number of executions has the effect of one
//   deduplicated  upstreams of one Group drop repeats of a request for a while
//   at_most_once  a second execution does harm, so a request that may have run is never sent again
enum class Effect { idempotent, deduplicated, at_most_once };
// Which upstreams drop the repeats of a deduplicated request that one of them has had.
enum class Group { all, zone, cell };

// The settings of a class of requests. Where a key of the configuration differs from the field, it is named.
struct ClassSettings {
    std::string name;
    Micros latency_target{};  // key `aim`: a response within this time earns the full worth
    Micros deadline{};        // key `hard_limit`: the longest that a client waits
    double worth = 1;         // value of a response within the latency target, relative to other classes
    double late_worth = 0;    // share of the worth that a response after the latency target still earns
    Effect effect = Effect::at_most_once;
    Group group = Group::all;
    Micros dedup_window{};  // key `window`, deduplicated requests only: how long repeats are dropped, from
                            // the first send that may have run
    bool streams = false;   // key `stream`: responses are streamed; on_response_start() precedes the outcome
    double latency_target_per_work = 0;  // key `aim_stretch`: time added to the latency target, as a multiple
                                         // of the request's work; 0: none
};

struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // key `quota_rps`: requests a second that are within the tenant's share, over
                             // all balancers; 0: no quota
    double fraction = 0;     // the tenant's share of the service; 0: unknown
};

// The values that a load report holds:
//   in_flight        requests that the upstream holds, running or queued
//   queued           those of them that wait in its queue
//   cpu_utilisation  busy share of its CPU, 0 to 1
//   service_time_ms  recent service time in milliseconds
//   served_per_s     requests served a second
//   errors_per_s     errors a second
//   other            anything else
enum class ReportField {
    in_flight,
    queued,
    cpu_utilisation,
    service_time_ms,
    served_per_s,
    errors_per_s,
    other
};
enum class ReportSource { none, responses, probes };  // which events carry load reports
// What UpstreamEntry::weight means: nothing, the upstream's size, roughly its size, or its size less its
// present load.
enum class WeightMeaning { none, nominal, rough, live };

// Weights of the parts of the operators' objective (keys `objective_mix.`), as configured; they need not sum
// to 1.
struct ObjectiveWeights {
    double overall = 0;           // key `whole`: the whole time
    double worst_window = 0;      // the worst ten seconds
    double worst_class = 0;       // the worst-served class
    double worst_tenant = 0;      // the worst-served tenant, within its share
    double nines = 0;             // key `nines_part`: nines of availability in each five seconds
    double full_score_nines = 0;  // key `full_at_nines`: so many nines earn the full weight; 0: unknown
};

// Points that the operators deduct for each unit of a cost (keys `deductions.`); 0: free or unknown.
struct Deductions {
    double connection = 0;    // one open connection for each hundredth of an upstream
    double cross_zone = 0;    // one attempt that crosses zones, per first try
    double discovery = 0;     // key `registry_mode`: 100 list entries from discovery, per first try
    double fleet = 0;         // mean size of the fleet, as a multiple of its size at the start
    double handshake = 0;     // one new connection, per first try
    double late_failure = 0;  // key `late_fail`: all worth of requests ended unserved after their target
    double moves = 0;         // one move, per first try
    double origin = 0;        // one fetch from the origin, per first try
    double peer = 0;          // 256 delivered bytes of messages to peers, per first try
    double probe = 0;         // one probe, per first try
    double waste = 0;         // upstream work without a response, as a share of the work offered
};

// The settings of one balancer. Where a key of the configuration differs from the field, it is named.
struct Settings {
    int rank = 0;       // index of this balancer among all, from 0
    int balancers = 1;  // key `siblings`: number of balancers
    int zone = 0;
    int zones = 1;                       // number of zones
    int tier = 0;                        // the tier that this balancer sends to
    Micros tick{1000};                   // least time between two batches of events
    std::vector<ClassSettings> classes;  // key `services`
    std::vector<TenantSettings> tenants;
    double over_share_worth = 1;  // worth of a request beyond its tenant's share, as a multiple of its own
    bool worth_by_work = false;   // key `worth_by`: worth is per unit of work, not per request

    bool must_request_list = false;  // key `registry_mode` = ask: lists come only after watch() or fetch()
    bool may_probe = false;
    bool may_cancel = false;                    // key `cancel`
    bool may_advise_retry_after = false;        // key `retry_after`: refusals may advise when to retry
    bool upstreams_propagate_deadline = false;  // key `passes_deadline`: an upstream gives its own calls only
                                                // the time that its request has left
    bool clients_mark_retries = false;  // key `marks_retry`: clients mark retries, see Request::client_retry
    bool may_message_peers = false;     // key `peers`: send_message() is allowed
    WeightMeaning weight_meaning = WeightMeaning::none;  // key `weights`
    int max_attempts = 1;                                // for each request
    int max_open_requests = 0;         // key `max_open`: requests that the balancer can hold; a further one
                                       // never reaches the Policy; 0: unknown
    Micros max_retry_after{};          // the longest advice that a client follows
    Micros connect_timeout{};          // time for a connection to be established
    Micros connection_idle_timeout{};  // key `idle_close`: idle connections are closed after this; 0: unknown
    int streams_per_connection = 1;    // key `streams_per_conn`: concurrent requests on one connection
    Micros cpu_per_s{};  // key `cpu_us_per_s`: CPU time that a balancer has each second; 0: unknown
    double cpu_us_per_request = 0;  // CPU time of a request with its outcomes, in microseconds; 0: no limit
    ReportSource report_source = ReportSource::none;  // key `load_report.how`
    // Key `load_report.fields`: the values of a load report, in order; empty: there are no load reports.
    std::vector<ReportField> report_fields;

    Micros response_slack{};   // key `answer_slack`: final responses count until so long after the deadline
    Micros ask_within{};       // a balancer without a subscription must call discovery this often
    Micros drain_grace{};      // new work must stop this long after the notice of a drain
    Micros drain_close{};      // key `close_on_drain_within`: idle connections must be closed this long after
                               // the notice of a drain, or after the last send or outcome at that upstream if
                               // that is later; 0: no such rule
    double cold_share = 1;     // key `cold_from`: an upstream starts at this share of its capacity or more
    Micros ramp_time{};        // time from its start until it has its full capacity
    double fall_multiple = 0;  // load, as a multiple of its present capacity, under which a cold upstream
                               // collapses
    Micros fall_span{};        // key `fall`: for how long the load must last for that; 0: no such rule

    ObjectiveWeights objective;
    Deductions deductions;
};

// ------------------------------------------------------------------------------------------------ events

enum class UpstreamState { removed, ready, draining };
// What a notice from discovery holds, or why there is none. The last five bring no entries and end the
// subscription:
//   delta        only the entries that changed
//   full         all entries; an upstream without an entry is removed
//   cached       all entries, known before discovery was reached, such as those of the configuration
//   failed       the call was refused or broke off, or the subscription was reset
//   closed       discovery has closed the subscription in order, which shows that it was up
//   unreachable  no connection to discovery could be established
//   silent       the subscription was silent for `watch_idle_timeout`, or the call for it was for too long
//   moved        discovery is at another address from now on
enum class ListKind { delta, full, cached, failed, closed, unreachable, silent, moved };

// A subscription that has been silent for this long counts as broken: discovery sends something every 2 s.
inline constexpr Micros watch_idle_timeout = std::chrono::seconds(3);

struct UpstreamEntry {
    UpstreamId id = 0;
    int zone = 0;
    int kind = 0;  // of machine: upstreams of one kind have the same capacity
    int cell = 0;
    UpstreamState state = UpstreamState::ready;
    double weight = 1;  // see Settings::weight_meaning
    Time started_at{};  // zero: long ago
};

struct Request {
    RequestId id = 0;
    // The id that the client gave the request, as a hash; 0: unknown. Two requests with the same one are the
    // same request to an upstream, which must not run twice beyond its class's effect.
    std::uint64_t call_id = 0;
    int class_index = 0;
    std::optional<int> tenant;
    std::uint64_t key = 0;            // key of the request's data, as the client names it; 0: none
    Time deadline{};                  // when the client gives this request up
    std::optional<Micros> cost_hint;  // estimated CPU core time of the request
    bool client_retry = false;        // the client's retry of an earlier request (where clients mark it)
    bool write = false;
};

// A streamed response has begun: it belongs to the client, and neither the attempt's time-out nor the
// deadline applies any longer.
struct ResponseStart {
    RequestId request = 0;
    int attempt = 0;
    UpstreamId upstream = 0;
    Micros latency{};  // from the send to the start of the response
};

// How an attempt or a probe has ended:
//   ok              a successful response
//   error           an error response
//   rejected        the upstream was full and rejected the request without running it
//   timeout         no response before the attempt's time-out
//   connect_failed  no connection could be established, so that the request has not run
//   reset           the connection broke off before the response was complete
//   cancelled       the attempt was cancelled by this balancer
//   not_sent        the request was not sent in full before `send_by`, so that it has not run
enum class Outcome { ok, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// A load report: values in the order of Settings::report_fields; empty if the event carries none.
using LoadReport = std::vector<float>;

struct AttemptEnd {
    RequestId request = 0;
    int attempt = 0;  // attempts of a request are numbered from 0 in the order of submit()
    Outcome outcome = Outcome::ok;
    bool request_done = false;  // the request has had its final response
    // The response came on a connection that had carried other requests: it may be a duplicate response to
    // one of them.
    bool possible_duplicate = false;
    Micros latency{};
    UpstreamId upstream = 0;
    LoadReport report;
};

struct ProbeResult {
    UpstreamId upstream = 0;
    Outcome outcome = Outcome::ok;
    Micros latency{};
    LoadReport report;
};

// ----------------------------------------------------------------------------------------------- actions

// What a Policy asks of its host. Actions are carried out in the order in which they are called.
class Actions {
public:
    virtual ~Actions() = default;
    // Starts an attempt. `timeout` 0 means until the request's deadline. An attempt that has not been sent in
    // full by `send_by` ends as `not_sent`, for example if its connection is established too late.
    virtual void submit(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) = 0;
    // Gives the request its final response, a refusal: a retry is harmless. `retry_after` 0: no advice.
    virtual void refuse(RequestId request, Micros retry_after) = 0;
    // Gives the request its final response, an error; the request may have run.
    virtual void fail(RequestId request) = 0;
    virtual void cancel(RequestId request, int attempt) = 0;
    virtual void probe(UpstreamId upstream) = 0;
    // Calls on_timer() with `token` at `at`. Timers can't be cancelled.
    virtual void set_timer(Time at, std::uint64_t token) = 0;
    // Subscribes to changes of the list.
    virtual void watch() = 0;
    // Ends the subscription.
    virtual void unwatch() = 0;
    // Requests the full list once.
    virtual void fetch() = 0;
    // Closes the connections to an upstream that carry no request now.
    virtual void close_idle(UpstreamId upstream) = 0;
    // Sends to the balancer of rank `peer`, or to all others.
    virtual void send_message(std::optional<int> peer, std::string_view payload) = 0;
    virtual void log(std::string_view line) = 0;
};

// ------------------------------------------------------------------------------------------------ policy

class Policy {
public:
    // Throws std::invalid_argument, naming the setting, when the settings contradict themselves.
    Policy(const Settings& settings, std::uint64_t seed, Time now, Actions& actions);
    ~Policy();
    Policy(Policy&&) noexcept;
    Policy& operator=(Policy&&) noexcept;

    // The first list should be of kind `cached`.
    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries,
                 std::uint64_t version = 0);
    void on_request(Time now, const Request& request);
    void on_response_start(Time, const ResponseStart&) {}  // ignored: the attempt's outcome still follows
    void on_attempt_end(Time now, const AttemptEnd& end);
    void on_client_gone(Time now, RequestId request);
    void on_probe_result(Time now, const ProbeResult& result);
    void on_timer(Time now, std::uint64_t token);
    void on_message(Time, int, std::string_view) {}  // from the balancer of that rank; none are sent yet

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor
