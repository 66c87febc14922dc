// Attempts and probes at upstreams: sends them over pooled connections, reports their results and parses load
// reports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/clock.h"
#include "net/connection_pool.h"
#include "net/http.h"
#include "net/memory_budget.h"
#include "net/outgoing_message.h"
#include "net/rejection_stats.h"

namespace flaxdoor::net {

// Identifies an attempt: the request's id, and the attempt's number among those of the request, from 0.
struct AttemptKey {
    RequestId request = 0;
    int number = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// How an attempt ended.
struct AttemptResult {
    AttemptKey attempt;
    UpstreamId upstream = 0;
    Outcome outcome = Outcome::ok;
    Micros latency{};
    LoadReport report;
    HttpResponse response;            // as received; empty if there was none
    bool possible_duplicate = false;  // see AttemptEnd
};

// Receives the results of Upstreams.
class UpstreamEvents {
public:
    virtual ~UpstreamEvents() = default;
    // Called exactly once per attempt, possibly while send() or cancel() is still on the stack.
    virtual void on_attempt_result(AttemptResult result) = 0;
    // A connection has been established for the attempt. The attempt may be withdrawn during this call,
    // before its first byte is written.
    virtual void on_connected(AttemptKey attempt) = 0;
    // Called exactly once per probe, possibly while probe() is still on the stack.
    virtual void on_probe_result(ProbeResult result) = 0;
};

struct UpstreamLimits {
    Micros connect_timeout{};         // limit for establishing a connection; 0: no separate limit
    Micros idle_timeout{};            // upstreams close idle connections after this; 0: unknown
    std::size_t max_connections = 0;  // maximum over all upstreams
    Micros single_use_period = ConnectionPoolLimits{}.single_use_period;  // see ConnectionPoolLimits
};

// Sends attempts and probes to upstreams. A connection carries one exchange at a time, without pipelining.
// What the constructor takes by reference is borrowed and must outlive this object.
class Upstreams {
public:
    Upstreams(boost::asio::io_context& loop, const Clock& clock, UpstreamLimits limits,
              std::vector<std::string> report_fields, MemoryBudget& memory, UpstreamEvents& events);
    ~Upstreams();

    // Sets the upstream's address. A changed address closes the idle connections to the former one.
    void set_address(UpstreamId upstream, const boost::asio::ip::tcp::endpoint& address);
    // Closes the idle connections to the upstream.
    void close_idle(UpstreamId upstream);
    // Sends the request once, with the time left until `deadline` in X-Budget-Ms; without a response by then,
    // the attempt times out. An attempt whose request has not been written completely by `send_by` ends as
    // not_sent, as does one to an upstream without a known address or beyond the limit of connections.
    // The body is `body` where given, else that of `request`.
    void send(AttemptKey attempt, UpstreamId upstream, HttpRequest request, Time deadline, Time send_by,
              SharedBody body = {});
    // Ends the attempt as cancelled and closes its connection; does nothing if the attempt has ended.
    void cancel(AttemptKey attempt);
    // Ends as not_sent those of the attempts selected by the predicate whose request has not been written
    // completely.
    void withdraw_unsent(const std::function<bool(AttemptKey, UpstreamId)>& predicate);
    // Sends a GET request for `path` to the upstream on a connection of its own. The result goes to
    // on_probe_result().
    void probe(UpstreamId upstream, std::string_view path, Time deadline);
    // Closes all connections; attempts in flight get no result.
    void stop();

    // Number of idle connections to the upstream.
    std::size_t idle_count(UpstreamId upstream) const;

    // Returns a log line on connections and attempts since the last call and resets the counters. The line is
    // empty if no attempt has ended and no duplicate response has arrived.
    std::string take_summary();

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    // Counters by cause, also for causes that the policy sees as the same outcome.
    struct Stats {
        unsigned attempts = 0, established = 0, connect_errors = 0, connect_timeouts = 0,
                 broken_before_send = 0, malformed = 0, reset = 0, timeout = 0, not_sent = 0, withdrawn = 0,
                 paused = 0;       // responses that waited for memory
        Micros slowest_connect{};  // longest time that establishing a connection took
    };

    void report(AttemptKey attempt, UpstreamId upstream, Outcome outcome, Time started_at,
                HttpResponse response = {}, bool possible_duplicate = false);

    // Reads on a long response once there is room for all of it.
    void resume_later(ConnectionPtr connection);
    void schedule_resume();

    boost::asio::io_context& loop_;
    const Clock& clock_;
    const UpstreamLimits limits_;
    const std::vector<std::string> report_fields_;
    MemoryBudget& memory_;
    UpstreamEvents& events_;
    std::unordered_map<UpstreamId, boost::asio::ip::tcp::endpoint> addresses_;
    ConnectionPool pool_;
    std::map<AttemptKey, ConnectionPtr> attempts_;
    std::deque<ConnectionPtr> paused_;  // in the order in which they are to be read on
    boost::asio::steady_timer resume_timer_;
    std::size_t admitted_responses_ = 0;  // long responses that are being read to their end
    int probes_ = 0;
    Stats stats_;
    RejectionStats rejections_;
};

// Returns the values in the order of `fields`; empty if the text lacks one of them or holds a value that is
// not a finite number.
LoadReport parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace flaxdoor::net
