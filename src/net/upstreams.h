// Attempts at upstreams: the connections that carry them, what came of each, and load reports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
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
#include "net/refusal_tally.h"

namespace flaxdoor::net {

struct AttemptKey {
    RequestId request = 0;
    int number = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

struct AttemptResult {
    AttemptKey attempt;
    UpstreamId upstream = 0;
    Outcome outcome = Outcome::ok;
    Micros latency{};
    LoadReport report;
    HttpResponse answer;    // of an outcome ok
    bool doubtful = false;  // as in AttemptEnd
};

class UpstreamEvents {
public:
    virtual ~UpstreamEvents() = default;
    // Exactly once for every attempt; may come while send() or cancel() is still on the stack.
    virtual void on_attempt_result(AttemptResult result) = 0;
    // A connection has come up for an attempt, which may be withdrawn now, before its first byte.
    virtual void on_connection(AttemptKey attempt) = 0;
    // Exactly once for every probe; may come while probe() is still on the stack.
    virtual void on_probe_result(ProbeResult result) = 0;
};

struct UpstreamLimits {
    Micros connect{};  // a connection that is not made after this has failed; 0: no limit of its own
    Micros idle{};     // kept connections are closed after this by the other side; 0: not told
    std::size_t connections = 0;                            // in all
    Micros single_use = ConnectionPoolLimits{}.single_use;  // as the pool's
};

class Upstreams {
public:
    Upstreams(boost::asio::io_context& loop, const Clock& clock, UpstreamLimits limits,
              std::vector<std::string> report_fields, UpstreamEvents& events);
    ~Upstreams();

    void set_address(UpstreamId upstream, const boost::asio::ip::tcp::endpoint& address);
    void close_idle(UpstreamId upstream);
    // Sends the request once, with the time up to `expires` in X-Budget-Ms; what has not come by then is
    // given up. What has not gone out whole by `send_by` ends as `not_sent`.
    void send(AttemptKey attempt, UpstreamId upstream, HttpRequest request, Time expires, Time send_by);
    void cancel(AttemptKey attempt);
    // Takes back those of which the last byte has not been handed over: they end as `not_sent`.
    void withdraw(const std::function<bool(AttemptKey, UpstreamId)>& concerned);
    // Asks the upstream how it is, at the given path: a request like any other but for its kind of result.
    void probe(UpstreamId upstream, std::string_view path, Time expires);
    void stop();

    std::size_t idle(UpstreamId upstream) const;

    // One line on what has become of connections and attempts since the last call; empty when nothing has.
    std::string figures();

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    // Tells apart what the policy hears of as one outcome.
    struct Figures {
        unsigned sent = 0, made = 0, refused = 0, slow = 0, unwritten = 0, unreadable = 0, reset = 0,
                 timeout = 0, moot = 0, withdrawn = 0;
        Micros slowest{};  // of the connections made
    };

    void report(AttemptKey attempt, UpstreamId upstream, Outcome outcome, Time sent_at,
                HttpResponse answer = {}, bool doubtful = false);

    boost::asio::io_context& loop_;
    const Clock& clock_;
    const UpstreamLimits limits_;
    const std::vector<std::string> report_fields_;
    UpstreamEvents& events_;
    std::unordered_map<UpstreamId, boost::asio::ip::tcp::endpoint> addresses_;
    ConnectionPool pool_;
    std::map<AttemptKey, ConnectionPtr> attempts_;
    int probes_ = 0;
    Figures figures_;
    RefusalTally refusals_;
};

// Values in the order of `fields`; empty when the text doesn't hold them all as numbers.
LoadReport parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace flaxdoor::net
