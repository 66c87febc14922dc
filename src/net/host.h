// Runs the policy on real sockets: translates client, upstream and discovery events into calls of the policy,
// and carries out the policy's actions. The only module that uses clients, upstreams and discovery together.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/clients.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/discovery.h"
#include "net/event_log.h"
#include "net/memory_budget.h"
#include "net/upstreams.h"
#include "util/random.h"

namespace flaxdoor::net {

class Host final : private Actions, private ClientEvents, private UpstreamEvents, private DiscoveryEvents {
public:
    // Starts listening for clients. `loop` must outlive the host and run on one thread.
    // Throws std::invalid_argument when the settings contradict themselves, and boost::system::system_error
    // when listening on the address fails.
    Host(boost::asio::io_context& loop, Config config);

    boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }

    // Applies the one part of a configuration that may change while the program runs: the address of
    // discovery.
    void reconfigure(const Config& config);

    // Starts the shutdown after SIGTERM: keeps accepting requests for a short time, then completes the open
    // ones and stops the event loop.
    void drain();
    bool drained() const { return drained_; }

private:
    struct Timer {
        Time at{};
        std::uint64_t sequence = 0;
        bool is_request_deadline = false;  // the deadline of a request, else a timer of the policy
        std::uint64_t value = 0;           // the request's id, or the policy's token
        bool operator<(const Timer& other) const {
            return at != other.at ? at < other.at : sequence < other.sequence;
        }
    };

    // A request, kept until it is completed and all of its attempts have ended.
    struct OpenRequest {
        explicit OpenRequest(MemoryBudget& memory) : charge(memory, MemoryPool::requests) {}

        HttpRequest header;  // without its body
        SharedBody body;
        std::string call_id;  // the client's id of the request, as printed in log lines
        Time received_at{};
        MemoryBudget::Charge charge;
        Time deadline{};
        Timer deadline_timer;
        int attempt_count = 0;
        int in_flight_count = 0;
        bool completed = false;  // a response has been given, or the client has disconnected
    };

    // Counters for the log: what became of requests.
    struct RequestStats {
        unsigned received = 0, served = 0, refused = 0, failed = 0, timed_out = 0, retries = 0,
                 disconnected = 0,       // the client left before its response
            disconnected_in_flight = 0;  // with an attempt in flight
    };

    // Runs the event, or queues it while another is running. Each event is followed by the actions that it
    // caused, in order.
    void handle(std::function<void(Time)> event);

    void submit(RequestId request, UpstreamId upstream, Micros timeout, Time send_by) override;
    void refuse(RequestId request, Micros retry_after) override;
    void fail(RequestId request) override;
    void cancel(RequestId request, int attempt) override;
    void probe(UpstreamId upstream) override;
    void set_timer(Time at, std::uint64_t token) override;
    void watch() override;
    void unwatch() override;
    void fetch() override;
    void close_idle(UpstreamId upstream) override;
    void send_message(std::optional<int> peer, std::string_view payload) override;
    void log(std::string_view line) override;

    void on_client_request(ClientRequest request) override;
    void on_client_disconnected(RequestId request) override;
    void on_attempt_result(AttemptResult result) override;
    void on_connected(AttemptKey attempt) override;
    void on_probe_result(ProbeResult result) override;
    void on_list(UpstreamList list) override;
    void on_list_failed(ListFailure failure) override;

    OpenRequest& add_open_request(RequestId id, HttpRequest message, Time received);
    void send_attempt(RequestId request, UpstreamId upstream, Micros timeout, Time send_by);
    void respond(RequestId request, HttpResponse response);
    // Ends what is only done for a request without a response: it has one, or its client has disconnected.
    void complete(OpenRequest& open);
    void handle_overdue_request(RequestId request, Time now);
    void time_out_request(RequestId request, Time now);
    void deliver_list(Time now, ListKind kind, const UpstreamList& list);
    void restart_watch(Micros delay);
    Timer add_timer(Timer timer);
    void arm_timer();
    void run_due_timers();
    void erase_if_finished(RequestId request);
    void finish_drain();
    void log_statistics();
    std::string take_request_summary();
    std::string memory_summary(std::size_t requests_peak, std::size_t responses_peak) const;
    // Writes a line on a request to the event log.
    void log_request(RequestId id, const OpenRequest& open, const char* what);

    boost::asio::io_context& loop_;
    const Config config_;
    const Clock clock_;
    MemoryBudget memory_;
    EventLog event_log_;
    Clients clients_;
    Upstreams upstreams_;
    Discovery discovery_;

    std::unordered_map<RequestId, OpenRequest> open_requests_;
    std::deque<std::function<void(Time)>> events_;
    std::deque<std::function<void()>> actions_;
    bool handling_ = false;
    Time now_{};

    std::set<Timer> timers_;
    std::uint64_t last_timer_sequence_ = 0;
    boost::asio::steady_timer next_timer_;
    boost::asio::steady_timer watch_timer_;
    util::Random watch_jitter_;
    boost::asio::steady_timer drain_timer_;
    boost::asio::steady_timer statistics_timer_;
    RequestStats request_stats_;
    bool draining_ = false;
    Time respond_by_{};  // while draining: all responses must be sent by then, shortly before SIGKILL
    Time drain_deadline_{};
    bool drained_ = false;

    Policy policy_;  // last: its constructor sets timers, which use the members above
};

}  // namespace flaxdoor::net
