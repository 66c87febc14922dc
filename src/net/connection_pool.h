// Connections to upstreams that are kept between two requests: which of them may carry a further request,
// and how many connections there may be in all. It knows neither sockets nor a clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/second_answer_tally.h"

namespace flaxdoor::net {

// A connection as the pool sees it: one that carries no request.
class PooledConnection {
public:
    virtual ~PooledConnection() = default;
    virtual UpstreamId upstream() const = 0;
    // Neither bytes nor an end have come since the last answer.
    virtual bool is_quiet() = 0;
    // What has come since the last answer begins a further one.
    virtual bool has_second_answer() = 0;
    // Gives its slot back to the pool; nothing the second time.
    virtual void close() = 0;
};

// Whether a connection may carry a further request.
enum class Reuse {
    single_use,  // never: its upstream has answered twice lately
    resting,     // not yet: a second answer to the last request may still come
    ready,
};

struct ConnectionPoolLimits {
    std::size_t connections = 0;  // open ones, of all upstreams
    // For so long after an upstream has answered twice, its connections carry one request each.
    Micros single_use = std::chrono::seconds(3);
};

class ConnectionPool {
public:
    using ConnectionPtr = std::shared_ptr<PooledConnection>;

    explicit ConnectionPool(ConnectionPoolLimits limits) : limits_(limits) {}

    // Has room for one more connection, and counts it as open. At the limit the connection that was kept
    // longest is closed for it. False where none is kept.
    bool acquire_slot(Time now);
    void release_slot() { --open_; }

    // Takes out a connection to the upstream that is ready. Where there is none, another is needed, which is
    // counted by what the kept ones lack.
    ConnectionPtr take(UpstreamId upstream, Time now);
    // Whether a connection to the upstream may be kept once it has been answered.
    bool keeps(UpstreamId upstream, Time now) const;
    void keep(ConnectionPtr connection, Time now);
    // Something has come on a kept connection, or its time is over: closes it.
    void discard(const ConnectionPtr& connection, Time now);
    void close_kept(UpstreamId upstream);
    void close_all();

    // The upstream has answered a request twice, `late_by` after the first answer was read.
    void on_second_answer(UpstreamId upstream, Time now, Micros late_by);

    std::size_t open() const { return open_; }
    std::size_t kept(UpstreamId upstream) const;

    // What the log says, since the last call.
    struct Figures {
        unsigned stale = 0;  // kept connections found ended, or spoken on, as they were to be used
        unsigned none_kept = 0, resting = 0, single_use = 0;  // why none was ready
        SecondAnswerTally second_answers;
    };
    Figures take_figures();

private:
    struct Kept {
        ConnectionPtr connection;
        Time since{};
    };
    struct UpstreamPool {
        std::vector<Kept> kept;  // the one used last stands last
        Time single_use_until{};
    };

    bool close_oldest(Time now);
    // With a look at what has come: a second answer there ends the upstream's other kept connections too.
    void close(const Kept& kept, Time now);
    static Reuse reuse_of(const UpstreamPool& pool, const Kept& kept, Time now);
    void count_none_ready(const UpstreamPool& pool, Time now);

    const ConnectionPoolLimits limits_;
    std::unordered_map<UpstreamId, UpstreamPool> pools_;
    std::size_t open_ = 0;
    Figures figures_;
};

}  // namespace flaxdoor::net
