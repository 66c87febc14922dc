#include "net/upstreams.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

#include "net/message_parser.h"

namespace flaxdoor::net {

namespace {

constexpr RequestId probe_request_id = 0;  // request id of all probes; ids of client requests start at 1
// Fraction of the upstreams' idle timeout after which idle connections are closed from this side.
constexpr double idle_close_fraction = 0.9;
constexpr Micros write_retry_interval = std::chrono::milliseconds(50);
// Interval of the checks whether there is room for a response that waits for memory.
constexpr auto resume_interval = std::chrono::milliseconds(5);

bool is_probe(AttemptKey attempt) { return attempt.request == probe_request_id; }

Outcome outcome_of(const HttpResponse& response) {
    if (response.result() == http::status::ok) return Outcome::ok;
    const bool is_unavailable = response.result() == http::status::service_unavailable ||
                                response.result() == http::status::gateway_timeout;
    // A 503 or 504 without X-Rejected may be sent for a request that has already run.
    return is_unavailable && response["X-Rejected"] == "1" ? Outcome::rejected : Outcome::error;
}

}  // namespace

LoadReport parse_report(std::string_view text, const std::vector<std::string>& fields) {
    LoadReport report(fields.size(), 0.0F);
    std::size_t found = 0;
    while (!text.empty()) {
        const auto comma = text.find(',');
        auto pair = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        while (!pair.empty() && pair.back() == ' ') pair.remove_suffix(1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) return {};
        const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
        if (field == fields.end()) continue;
        const auto number = pair.substr(equals + 1);
        float value = 0;
        const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
        if (error != std::errc{} || end != number.data() + number.size() || !std::isfinite(value)) return {};
        report[static_cast<std::size_t>(field - fields.begin())] = value;
        ++found;
    }
    return found == fields.size() ? report : LoadReport{};
}

// A connection that carries one exchange at a time. It always waits for input, also while idle, so that a
// close by the upstream is noticed immediately.
class Upstreams::Connection final : public PooledConnection, public std::enable_shared_from_this<Connection> {
public:
    // Takes ownership of a slot acquired from the pool; close() releases it.
    Connection(Upstreams& owner, UpstreamId upstream)
        : owner_(owner),
          upstream_(upstream),
          socket_(owner.loop_),
          timer_(owner.loop_),
          response_charge_(owner.memory_, MemoryPool::responses),
          request_charge_(owner.memory_, MemoryPool::requests) {}

    UpstreamId upstream() const override { return upstream_; }
    bool has_no_pending_input() override { return buffer_.size() == 0 && no_input_pending(socket_); }
    bool has_duplicate_response() override {
        return has_read_duplicate_response() || begins_response(peek_input(socket_));
    }

    void connect(const tcp::endpoint& address, AttemptKey attempt, HttpRequest request, SharedBody body,
                 Time deadline, Time send_by) {
        address_ = address;
        start_attempt(attempt, std::move(request), std::move(body), deadline, send_by);
        error_code error;
        socket_.open(address.protocol(), error);
        if (!error) socket_.non_blocking(true, error);
        if (error) {
            ++owner_.stats_.connect_errors;
            finish_attempt(Outcome::connect_failed);
            return;
        }
        socket_.set_option(tcp::no_delay(true), error);
        const Micros connect_timeout = owner_.limits_.connect_timeout;
        arm_timer(connect_timeout > Micros{0} ? std::min(send_by_, started_at_ + connect_timeout) : send_by_);
        socket_.async_connect(address, [self = shared_from_this()](error_code connect_error) {
            if (self->closed_) return;
            if (connect_error) {
                ++self->owner_.stats_.connect_errors;
                self->finish_attempt(Outcome::connect_failed);
                return;
            }
            self->serialize();
            self->connected_ = true;
            Stats& stats = self->owner_.stats_;
            ++stats.established;
            stats.slowest_connect =
                std::max(stats.slowest_connect, self->owner_.clock_.now() - self->started_at_);
            self->owner_.events_.on_connected(*self->attempt_);
            if (self->closed_) return;
            self->read();
            self->write();
        });
    }

    void reuse(AttemptKey attempt, HttpRequest request, SharedBody body, Time deadline, Time send_by) {
        reused_ = true;
        start_attempt(attempt, std::move(request), std::move(body), deadline, send_by);
        serialize();
        write();
    }

    // Closes the connection too: a response that still arrives on it must not be taken for another request's.
    void cancel() { finish_attempt(Outcome::cancelled); }
    void withdraw() {
        if (attempt_) finish_attempt(Outcome::not_sent);
    }

    // Whether the whole request has been handed to the socket. Until then the upstream has not run it.
    bool request_written() const { return connected_ && outgoing_.is_written(); }

    // Reads on if there is room for all of the response, or if no other is read on. Returns whether the
    // connection need not wait longer.
    bool try_resume() {
        if (closed_ || !attempt_) return true;
        const std::size_t missing_bytes = whole_response_bytes() - response_charge_.bytes();
        const bool has_room = owner_.memory_.has_room(MemoryPool::responses, missing_bytes);
        if (!has_room && owner_.admitted_responses_ > 0) return false;
        admit_response(true);
        charge_response();
        read();
        return true;
    }

    void close() override {
        if (closed_) return;
        closed_ = true;
        admit_response(false);
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        owner_.pool_.release_slot();
    }

private:
    // Schedules closing of this idle connection before the upstream's idle timeout.
    void arm_idle_close(Time now) {
        timer_.cancel();
        if (owner_.limits_.idle_timeout <= Micros{0}) return;
        const auto local_idle_timeout_us =
            static_cast<double>(owner_.limits_.idle_timeout.count()) * idle_close_fraction;
        arm_timer(now + Micros(std::llround(local_idle_timeout_us)));
    }

    void start_attempt(AttemptKey attempt, HttpRequest request, SharedBody body, Time deadline,
                       Time send_by) {
        attempt_ = attempt;
        request_ = std::move(request);
        body_ = std::move(body);
        request_charge_.set(memory_of(request_));
        started_at_ = owner_.clock_.now();
        deadline_ = deadline;
        send_by_ = std::min(send_by, deadline);
        parser_.emplace();
    }

    // Called only once the connection is established, so that X-Budget-Ms holds the time left from then on.
    void serialize() {
        if (!is_probe(*attempt_)) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - owner_.clock_.now());
            request_.set("X-Budget-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
        }
        outgoing_ = OutgoingMessage(request_, std::move(body_));
        request_ = {};
        request_charge_.set(outgoing_.header_memory());
    }

    void arm_timer(Time at) {
        timer_.expires_at(owner_.clock_.steady(at));
        timer_.async_wait([self = shared_from_this()](error_code error) {
            // The handler of a timer that was rescheduled in the meantime may have been queued already.
            const bool due = self->timer_.expiry() <= Clock::Steady::now();
            if (!error && !self->closed_ && due) self->on_timer();
        });
    }

    // A request whose last byte was never written has not run, whatever ended the attempt.
    void on_timer() {
        if (!attempt_) {
            owner_.pool_.discard(shared_from_this(), owner_.clock_.now());
        } else if (request_written()) {
            finish_attempt(Outcome::timeout);
        } else if (owner_.clock_.now() >= send_by_) {
            finish_attempt(Outcome::not_sent);
        } else if (connected_) {
            write();
        } else {
            ++owner_.stats_.connect_timeouts;
            finish_attempt(Outcome::connect_failed);
        }
    }

    void write() {
        // After `send_by`, because the connection came up late or the loop is delayed, the request could run
        // a second time.
        if (owner_.clock_.now() >= send_by_) return finish_attempt(Outcome::not_sent);
        if (!outgoing_.write_some(socket_)) return on_broken_connection();
        if (request_written()) return arm_timer(deadline_);
        // The timer goes on with the write too, for a wait that the system could not register.
        arm_timer(std::min(send_by_, owner_.clock_.now() + write_retry_interval));
        if (std::exchange(write_pending_, true)) return;
        write_when_ready(socket_, [self = shared_from_this()](error_code) {
            self->write_pending_ = false;
            if (!self->closed_ && self->attempt_ && !self->request_written()) self->write();
        });
    }

    void read() {
        read_when_ready(socket_, buffer_, [self = shared_from_this()](error_code error) {
            if (!self->closed_) self->on_read(error);
        });
    }

    // Whether the bytes read after the last response begin another response.
    bool has_read_duplicate_response() const {
        const auto bytes = buffer_.data();
        return begins_response({static_cast<const char*>(bytes.data()), bytes.size()});
    }

    // Frees what the last exchange took.
    void release_buffers() {
        outgoing_ = {};
        request_charge_.set(0);
        parser_.reset();
        buffer_.shrink_to_fit();
        charge_response();
    }

    void charge_response() { response_charge_.set(whole_response_bytes()); }

    void admit_response(bool admitted) {
        if (admitted == response_admitted_) return;
        response_admitted_ = admitted;
        if (admitted) {
            ++owner_.admitted_responses_;
        } else {
            --owner_.admitted_responses_;
        }
    }

    // Memory that the response takes once it has been read. A body of unknown length may take the most
    // allowed.
    std::size_t whole_response_bytes() const {
        if (!parser_) return buffer_.capacity();
        std::size_t bytes = buffer_.capacity() + memory_of(parser_->get());
        const bool length_unknown =
            parser_->is_header_done() && !parser_->is_done() && !parser_->content_length();
        if (length_unknown) bytes += max_body_bytes;
        return bytes;
    }

    // Memory that holds something of the response now: of a long body, the library reserves the rest.
    std::size_t held_response_bytes() const {
        const HttpResponse& response = parser_->get();
        return buffer_.capacity() + memory_of(response) - response.body().capacity() + response.body().size();
    }

    // Parses the input up to the end of the final response. Returns false where it is malformed.
    bool parse_input() {
        error_code error;
        while (buffer_.size() > 0) {
            parser_->parse(buffer_, error);
            if (error || !parser_->is_done() || parser_->get().result_int() >= 200) break;
            // No request asks for an upgrade: what follows could not be parsed.
            if (parser_->get().result() == http::status::switching_protocols) return false;
            parser_.emplace();  // interim response; the final one follows
        }
        return !error || error == http::error::need_more;
    }

    void on_read(error_code read_error) {
        if (!attempt_) {  // idle: the upstream has closed the connection or sent unsolicited bytes
            owner_.pool_.discard(shared_from_this(), owner_.clock_.now());
            return;
        }
        const bool valid = parse_input();
        charge_response();
        if (!valid) return on_malformed_response();
        if (read_error == asio::error::eof && parser_->got_some() && !parser_->is_done()) {
            error_code eof_error;
            parser_->put_eof(eof_error);
            if (eof_error) return on_broken_connection();
        }
        if (parser_->is_done()) return on_response(static_cast<bool>(read_error));
        if (read_error) return on_broken_connection();
        read_on();
    }

    // Reads the rest of the response, or leaves it in the socket for as long as there is no room for it. One
    // that is admitted is read to its end, and one is admitted at least, so that responses can't block each
    // other.
    void read_on() {
        if (!parser_->is_header_done() || response_admitted_) return read();
        if (owner_.memory_.has_room(MemoryPool::responses, 0)) {
            admit_response(true);
            return read();
        }
        ++owner_.stats_.paused;
        if (buffer_.size() == 0) buffer_.shrink_to_fit();
        response_charge_.set(held_response_bytes());
        owner_.resume_later(shared_from_this());
    }

    void on_broken_connection() {
        owner_.stats_.broken_before_send += !request_written();
        finish_attempt(request_written() ? Outcome::reset : Outcome::connect_failed);
    }

    // Ends the attempt after invalid input. Unlike a broken connection, this is no sign that the upstream is
    // down. The request may have run.
    void on_malformed_response() {
        ++owner_.stats_.malformed;
        finish_attempt(request_written() ? Outcome::error : Outcome::connect_failed);
    }

    void on_response(bool connection_ended) {
        HttpResponse response = parser_->release();
        parser_.reset();
        charge_response();
        admit_response(false);
        const Outcome outcome = outcome_of(response);
        const bool rejected = outcome == Outcome::rejected;
        const Time now = owner_.clock_.now();
        if (has_read_duplicate_response()) owner_.pool_.on_duplicate_response(upstream_, now, Micros{0});
        // The only valid response to a partially written request is a rejection, and no bytes may follow a
        // rejection.
        if (rejected ? buffer_.size() > 0 : !request_written()) return on_malformed_response();
        // After a response to a partially written request the message framing is uncertain.
        const bool reusable = !connection_ended && request_written() && response.keep_alive() &&
                              buffer_.size() == 0 && address_ == owner_.addresses_.at(upstream_) &&
                              owner_.pool_.may_keep(upstream_, now) && !is_probe(*attempt_);
        const bool possible_duplicate = rejected && reused_ && request_written();
        const auto self = shared_from_this();
        const AttemptKey attempt = *attempt_;
        const Time started_at = started_at_;
        if (rejected && !is_probe(attempt)) owner_.rejections_.record(upstream_, deadline_ - now);
        attempt_.reset();
        owner_.attempts_.erase(attempt);
        if (reusable) {
            release_buffers();
            read();
            arm_idle_close(now);
            owner_.pool_.add_idle(self, now);
        } else {
            close();
        }
        owner_.report(attempt, upstream_, outcome, started_at, std::move(response), possible_duplicate);
    }

    void finish_attempt(Outcome outcome) {
        const AttemptKey attempt = *attempt_;
        attempt_.reset();
        const auto self = shared_from_this();
        owner_.attempts_.erase(attempt);
        close();
        owner_.report(attempt, upstream_, outcome, started_at_);
    }

    Upstreams& owner_;
    const UpstreamId upstream_;
    tcp::endpoint address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<ResponseParser> parser_;
    MemoryBudget::Charge response_charge_;
    std::optional<AttemptKey> attempt_;
    HttpRequest request_;  // until it is serialized
    SharedBody body_;      // until then too; charged by its owner
    OutgoingMessage outgoing_;
    MemoryBudget::Charge request_charge_;
    Time started_at_{};  // when the attempt was handed over
    Time deadline_{};
    Time send_by_{};                  // never after `deadline_`
    bool response_admitted_ = false;  // there was room for all of the response
    bool connected_ = false;
    bool write_pending_ = false;
    bool reused_ = false;  // has carried another attempt before
    bool closed_ = false;
};

Upstreams::Upstreams(asio::io_context& loop, const Clock& clock, UpstreamLimits limits,
                     std::vector<std::string> report_fields, MemoryBudget& memory, UpstreamEvents& events)
    : loop_(loop),
      clock_(clock),
      limits_(limits),
      report_fields_(std::move(report_fields)),
      memory_(memory),
      events_(events),
      pool_({limits.max_connections, limits.single_use_period}),
      resume_timer_(loop) {}

Upstreams::~Upstreams() { stop(); }

void Upstreams::set_address(UpstreamId upstream, const tcp::endpoint& address) {
    const auto [found, added] = addresses_.try_emplace(upstream, address);
    if (added || found->second == address) return;
    found->second = address;
    close_idle(upstream);  // they lead to the former address
}

void Upstreams::close_idle(UpstreamId upstream) { pool_.close_idle(upstream); }

std::size_t Upstreams::idle_count(UpstreamId upstream) const { return pool_.idle_count(upstream); }

void Upstreams::send(AttemptKey attempt, UpstreamId upstream, HttpRequest request, Time deadline,
                     Time send_by, SharedBody body) {
    if (!body) body = std::make_shared<const std::string>(std::exchange(request.body(), {}));
    const Time now = clock_.now();
    const auto address = addresses_.find(upstream);
    if (now >= deadline || address == addresses_.end()) {
        report(attempt, upstream, Outcome::not_sent, now);
        return;
    }
    // Probes use connections of their own: a late response to a probe must not reach a client, nor a late
    // response to a client's request count as a probe's.
    const auto pooled = is_probe(attempt) ? nullptr : pool_.take_ready(upstream, now);
    if (const auto connection = std::static_pointer_cast<Connection>(pooled)) {
        attempts_.emplace(attempt, connection);
        connection->reuse(attempt, std::move(request), std::move(body), deadline, send_by);
    } else if (pool_.acquire_slot(now)) {
        const auto opened = std::make_shared<Connection>(*this, upstream);
        attempts_.emplace(attempt, opened);
        opened->connect(address->second, attempt, std::move(request), std::move(body), deadline, send_by);
    } else {
        report(attempt, upstream, Outcome::not_sent, now);
    }
}

void Upstreams::probe(UpstreamId upstream, std::string_view path, Time deadline) {
    HttpRequest request(http::verb::get, {path.data(), path.size()}, 11);
    request.set(http::field::host, "upstream");
    send({probe_request_id, ++probes_}, upstream, std::move(request), deadline, deadline);
}

void Upstreams::cancel(AttemptKey attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) return;
    const ConnectionPtr connection = found->second;
    connection->cancel();
}

void Upstreams::withdraw_unsent(const std::function<bool(AttemptKey, UpstreamId)>& predicate) {
    std::vector<ConnectionPtr> unsent;
    for (const auto& [attempt, connection] : attempts_) {
        if (!connection->request_written() && predicate(attempt, connection->upstream()))
            unsent.push_back(connection);
    }
    for (const ConnectionPtr& connection : unsent) {
        ++stats_.withdrawn;
        connection->withdraw();
    }
}

void Upstreams::report(AttemptKey attempt, UpstreamId upstream, Outcome outcome, Time started_at,
                       HttpResponse response, bool possible_duplicate) {
    const Micros latency = clock_.now() - started_at;
    if (is_probe(attempt)) {
        // The body of the response to a probe is the load report, if there is one.
        events_.on_probe_result({upstream, outcome, latency, parse_report(response.body(), report_fields_)});
        return;
    }
    ++stats_.attempts;
    stats_.reset += outcome == Outcome::reset;
    stats_.timeout += outcome == Outcome::timeout;
    stats_.not_sent += outcome == Outcome::not_sent;
    AttemptResult result{attempt, upstream, outcome, latency, {}, std::move(response), possible_duplicate};
    if (!report_fields_.empty()) {
        const auto text = result.response["X-Load-Report"];
        if (!text.empty()) result.report = parse_report({text.data(), text.size()}, report_fields_);
    }
    events_.on_attempt_result(std::move(result));
}

std::string Upstreams::take_summary() {
    const Stats stats = std::exchange(stats_, {});
    ConnectionPool::Stats pool_stats = pool_.take_stats();
    const std::string duplicate_responses = pool_stats.duplicate_responses.take_summary();
    if (stats.attempts == 0 && duplicate_responses.empty()) return {};
    char line[400];
    std::snprintf(
        line, sizeof line,
        "attempts %u: malformed response %u, reset %u, timeout %u, not sent %u, withdrawn %u; connections "
        "%zu open, %u established (slowest %.1f ms), %u connect errors, %u connect timeouts, %u broken "
        "before send, %u stale; none reusable: no idle %u, reuse delay %u, single use %u",
        stats.attempts, stats.malformed, stats.reset, stats.timeout, stats.not_sent, stats.withdrawn,
        pool_.open_count(), stats.established, static_cast<double>(stats.slowest_connect.count()) / 1e3,
        stats.connect_errors, stats.connect_timeouts, stats.broken_before_send, pool_stats.stale,
        pool_stats.none_idle, pool_stats.reuse_delayed, pool_stats.single_use);
    std::string text = line;
    if (stats.paused > 0) text.append("; responses paused for memory ").append(std::to_string(stats.paused));
    for (const std::string& summary : {duplicate_responses, rejections_.take_summary()}) {
        if (!summary.empty()) text.append("; ").append(summary);
    }
    return text;
}

void Upstreams::resume_later(ConnectionPtr connection) {
    paused_.push_back(std::move(connection));
    if (paused_.size() == 1) schedule_resume();
}

void Upstreams::schedule_resume() {
    resume_timer_.expires_after(resume_interval);
    resume_timer_.async_wait([this](error_code error) {
        if (error) return;
        while (!paused_.empty() && paused_.front()->try_resume()) paused_.pop_front();
        if (!paused_.empty()) schedule_resume();
    });
}

void Upstreams::stop() {
    resume_timer_.cancel();
    paused_.clear();
    pool_.close_all();
    for (const auto& [attempt, connection] : attempts_) connection->close();
    attempts_.clear();
}

}  // namespace flaxdoor::net
