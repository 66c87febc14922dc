#include "net/upstreams.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace flaxdoor::net {

namespace {

constexpr RequestId probe_request = 0;  // under which probes go: clients' requests count from 1
constexpr double idle_share = 0.9;  // of the told idle limit, after which a kept connection is closed here

bool is_probe(AttemptKey attempt) { return attempt.request == probe_request; }

Outcome outcome_of(const HttpResponse& answer) {
    if (answer.result() == http::status::ok) return Outcome::ok;
    const bool turns_away = answer.result() == http::status::service_unavailable ||
                            answer.result() == http::status::gateway_timeout;
    // A bare 503 may come from behind a request that has run.
    return turns_away && answer["X-Rejected"] == "1" ? Outcome::rejected : Outcome::error;
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

// One connection, which carries one exchange at a time. It always waits for what comes, so that its end is
// noticed at once, also while it is kept.
class Upstreams::Connection final : public PooledConnection, public std::enable_shared_from_this<Connection> {
public:
    // Takes over a slot of the pool.
    Connection(Upstreams& owner, UpstreamId upstream)
        : owner_(owner), upstream_(upstream), socket_(owner.loop_), timer_(owner.loop_) {}

    UpstreamId upstream() const override { return upstream_; }
    bool is_quiet() override { return buffer_.size() == 0 && no_input_pending(socket_); }
    bool has_second_answer() override { return read_second_answer() || begins_response(peek_input(socket_)); }

    void connect(const tcp::endpoint& address, AttemptKey attempt, HttpRequest request, Time expires,
                 Time send_by) {
        address_ = address;
        begin(attempt, std::move(request), expires, send_by);
        error_code error;
        socket_.open(address.protocol(), error);
        if (!error) socket_.non_blocking(true, error);
        if (error) {
            ++owner_.figures_.refused;
            end(Outcome::connect_failed);
            return;
        }
        socket_.set_option(tcp::no_delay(true), error);
        const Micros limit = owner_.limits_.connect;
        arm(limit > Micros{0} ? std::min(send_by_, since_ + limit) : send_by_);
        socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
            if (self->closed_) return;
            if (failed) {
                ++self->owner_.figures_.refused;
                self->end(Outcome::connect_failed);
                return;
            }
            self->serialize();
            self->connected_ = true;
            Figures& figures = self->owner_.figures_;
            ++figures.made;
            figures.slowest = std::max(figures.slowest, self->owner_.clock_.now() - self->since_);
            self->owner_.events_.on_connection(*self->attempt_);
            if (self->closed_) return;
            self->read();
            self->write();
        });
    }

    void reuse(AttemptKey attempt, HttpRequest request, Time expires, Time send_by) {
        reused_ = true;
        begin(attempt, std::move(request), expires, send_by);
        serialize();
        write();
    }

    // The connection goes with the attempt: what may still come on it belongs to no other.
    void cancel() { end(Outcome::cancelled); }
    void withdraw() {
        if (attempt_) end(Outcome::not_sent);
    }

    // Has the last byte been handed over? Until then it has not run.
    bool whole() const { return connected_ && written_ == out_.size(); }

    void close() override {
        if (closed_) return;
        closed_ = true;
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        owner_.pool_.release_slot();
    }

private:
    // The connection is kept: closes it before the upstream does.
    void arm_idle_close(Time now) {
        timer_.cancel();
        if (owner_.limits_.idle <= Micros{0}) return;
        const auto trusted = static_cast<double>(owner_.limits_.idle.count()) * idle_share;
        arm(now + Micros(std::llround(trusted)));
    }

    void begin(AttemptKey attempt, HttpRequest request, Time expires, Time send_by) {
        attempt_ = attempt;
        request_ = std::move(request);
        since_ = owner_.clock_.now();
        expires_ = expires;
        send_by_ = std::min(send_by, expires);
        start_answer();
    }

    // Not before the connection is up: the request tells how long it will be waited for from now on.
    void serialize() {
        if (!is_probe(*attempt_)) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(expires_ - owner_.clock_.now());
            request_.set("X-Budget-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
        }
        out_ = to_bytes(request_);
        written_ = 0;
        request_ = {};
    }

    void start_answer() {
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        parser_->body_limit(max_body_bytes);
        parser_->eager(true);
    }

    void arm(Time at) {
        timer_.expires_at(owner_.clock_.steady(at));
        timer_.async_wait([self = shared_from_this()](error_code error) {
            // One that was set anew may have been on its way here already.
            const bool due = self->timer_.expiry() <= Clock::Steady::now();
            if (!error && !self->closed_ && due) self->time_up();
        });
    }

    // A request of which the last byte was never handed over has not run, whatever ended it.
    void time_up() {
        if (!attempt_) {
            owner_.pool_.discard(shared_from_this(), owner_.clock_.now());
        } else if (whole()) {
            end(Outcome::timeout);
        } else if (owner_.clock_.now() >= send_by_) {
            end(Outcome::not_sent);
        } else {
            ++owner_.figures_.slow;
            end(Outcome::connect_failed);
        }
    }

    void write() {
        // The connection came up late, or the loop is late itself: from here on it could run once more.
        if (owner_.clock_.now() >= send_by_) return end(Outcome::not_sent);
        if (!write_some(socket_, out_, written_)) return broken();
        arm(whole() ? expires_ : send_by_);
        if (whole()) return;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
            if (!error && !self->closed_ && self->attempt_) self->write();
        });
    }

    void read() {
        read_when_ready(socket_, buffer_, [self = shared_from_this()](error_code error) {
            if (!self->closed_) self->take(error);
        });
    }

    // What was read behind the last answer begins a further one.
    bool read_second_answer() const {
        const auto bytes = buffer_.data();
        return begins_response({static_cast<const char*>(bytes.data()), bytes.size()});
    }

    void take(error_code ended) {
        if (!attempt_) {  // kept: whatever comes now, its end or bytes that nobody asked for, it is done
            owner_.pool_.discard(shared_from_this(), owner_.clock_.now());
            return;
        }
        error_code error;
        while (buffer_.size() > 0) {
            buffer_.consume(parser_->put(buffer_.data(), error));
            if (error || !parser_->is_done() || parser_->get().result_int() >= 200) break;
            // Nobody asked for another protocol: nothing that follows could be understood.
            if (parser_->get().result() == http::status::switching_protocols) return unreadable();
            start_answer();  // an interim answer: the final one follows
        }
        if (error && error != http::error::need_more) return unreadable();
        if (ended == asio::error::eof && parser_->got_some() && !parser_->is_done()) {
            error_code cut;
            parser_->put_eof(cut);
            if (cut) return broken();
        }
        if (parser_->is_done()) return answered(static_cast<bool>(ended));
        if (ended) return broken();
        read();
    }

    void broken() {
        owner_.figures_.unwritten += !whole();
        end(whole() ? Outcome::reset : Outcome::connect_failed);
    }

    // The upstream is there and has answered, if not as it must: unlike a connection that broke, this says
    // nothing of its death. The request may have run.
    void unreadable() {
        ++owner_.figures_.unreadable;
        end(whole() ? Outcome::error : Outcome::connect_failed);
    }

    void answered(bool ended) {
        HttpResponse answer = parser_->release();
        const Outcome outcome = outcome_of(answer);
        const bool refused = outcome == Outcome::rejected;
        const Time now = owner_.clock_.now();
        if (read_second_answer()) owner_.pool_.on_second_answer(upstream_, now, Micros{0});
        // Before the request is whole there is nothing to answer but that it will not be taken, and behind a
        // refusal comes nothing.
        if (refused ? buffer_.size() > 0 : !whole()) return unreadable();
        // An answer to a request that is not whole yet leaves the framing in doubt.
        const bool reusable = !ended && whole() && answer.keep_alive() && buffer_.size() == 0 &&
                              address_ == owner_.addresses_.at(upstream_) &&
                              owner_.pool_.keeps(upstream_, now) && !is_probe(*attempt_);
        const bool doubtful = refused && reused_ && whole();
        const auto self = shared_from_this();
        const AttemptKey attempt = *attempt_;
        const Time sent_at = since_;
        if (refused && !is_probe(attempt)) owner_.refusals_.count(upstream_, expires_ - now);
        attempt_.reset();
        owner_.attempts_.erase(attempt);
        if (reusable) {
            read();
            arm_idle_close(now);
            owner_.pool_.keep(self, now);
        } else {
            close();
        }
        owner_.report(attempt, upstream_, outcome, sent_at, std::move(answer), doubtful);
    }

    void end(Outcome outcome) {
        const AttemptKey attempt = *attempt_;
        attempt_.reset();
        const auto self = shared_from_this();
        owner_.attempts_.erase(attempt);
        close();
        owner_.report(attempt, upstream_, outcome, since_);
    }

    Upstreams& owner_;
    const UpstreamId upstream_;
    tcp::endpoint address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<AttemptKey> attempt_;
    HttpRequest request_;  // until it is serialized
    std::string out_;
    std::size_t written_ = 0;
    Time since_{};  // when the attempt was sent
    Time expires_{};
    Time send_by_{};  // not after `expires_`
    bool connected_ = false;
    bool reused_ = false;  // it has carried another attempt before
    bool closed_ = false;
};

Upstreams::Upstreams(asio::io_context& loop, const Clock& clock, UpstreamLimits limits,
                     std::vector<std::string> report_fields, UpstreamEvents& events)
    : loop_(loop),
      clock_(clock),
      limits_(limits),
      report_fields_(std::move(report_fields)),
      events_(events),
      pool_({limits.connections, limits.single_use}) {}

Upstreams::~Upstreams() { stop(); }

void Upstreams::set_address(UpstreamId upstream, const tcp::endpoint& address) {
    const auto [found, added] = addresses_.try_emplace(upstream, address);
    if (added || found->second == address) return;
    found->second = address;
    close_idle(upstream);  // they lead to where it was
}

void Upstreams::close_idle(UpstreamId upstream) { pool_.close_kept(upstream); }

std::size_t Upstreams::idle(UpstreamId upstream) const { return pool_.kept(upstream); }

void Upstreams::send(AttemptKey attempt, UpstreamId upstream, HttpRequest request, Time expires,
                     Time send_by) {
    const Time now = clock_.now();
    const auto address = addresses_.find(upstream);
    if (now >= expires || address == addresses_.end()) {
        report(attempt, upstream, Outcome::not_sent, now);
        return;
    }
    // A probe has a connection of its own: no late answer to it may reach a client, nor the other way round.
    const auto kept = is_probe(attempt) ? nullptr : pool_.take(upstream, now);
    if (const auto connection = std::static_pointer_cast<Connection>(kept)) {
        attempts_.emplace(attempt, connection);
        connection->reuse(attempt, std::move(request), expires, send_by);
    } else if (pool_.acquire_slot(now)) {
        const auto opened = std::make_shared<Connection>(*this, upstream);
        attempts_.emplace(attempt, opened);
        opened->connect(address->second, attempt, std::move(request), expires, send_by);
    } else {
        report(attempt, upstream, Outcome::not_sent, now);
    }
}

void Upstreams::probe(UpstreamId upstream, std::string_view path, Time expires) {
    HttpRequest request(http::verb::get, {path.data(), path.size()}, 11);
    request.set(http::field::host, "upstream");
    send({probe_request, ++probes_}, upstream, std::move(request), expires, expires);
}

void Upstreams::cancel(AttemptKey attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) return;
    const ConnectionPtr connection = found->second;
    connection->cancel();
}

void Upstreams::withdraw(const std::function<bool(AttemptKey, UpstreamId)>& concerned) {
    std::vector<ConnectionPtr> unwritten;
    for (const auto& [attempt, connection] : attempts_) {
        if (!connection->whole() && concerned(attempt, connection->upstream()))
            unwritten.push_back(connection);
    }
    for (const ConnectionPtr& connection : unwritten) {
        ++figures_.withdrawn;
        connection->withdraw();
    }
}

void Upstreams::report(AttemptKey attempt, UpstreamId upstream, Outcome outcome, Time sent_at,
                       HttpResponse answer, bool doubtful) {
    const Micros latency = clock_.now() - sent_at;
    if (is_probe(attempt)) {
        // The body of a probe's answer is the load report, where there is one.
        events_.on_probe_result({upstream, outcome, latency, parse_report(answer.body(), report_fields_)});
        return;
    }
    ++figures_.sent;
    figures_.reset += outcome == Outcome::reset;
    figures_.timeout += outcome == Outcome::timeout;
    figures_.moot += outcome == Outcome::not_sent;
    AttemptResult result{attempt, upstream, outcome, latency, {}, std::move(answer), doubtful};
    if (!report_fields_.empty()) {
        const auto text = result.answer["X-Load-Report"];
        if (!text.empty()) result.report = parse_report({text.data(), text.size()}, report_fields_);
    }
    events_.on_attempt_result(std::move(result));
}

std::string Upstreams::figures() {
    const Figures f = std::exchange(figures_, {});
    ConnectionPool::Figures pool = pool_.take_figures();
    const std::string second_answers = pool.second_answers.take_text();
    if (f.sent == 0 && second_answers.empty()) return {};
    char line[400];
    std::snprintf(line, sizeof line,
                  "attempts %u: unreadable %u, reset %u, timeout %u, moot %u, withdrawn %u; connections %zu "
                  "open, %u made "
                  "(slowest %.1f ms), "
                  "%u refused, %u too slow, %u broke unwritten, %u found ended; needed as none was kept %u, "
                  "all rested %u, single use %u",
                  f.sent, f.unreadable, f.reset, f.timeout, f.moot, f.withdrawn, pool_.open(), f.made,
                  static_cast<double>(f.slowest.count()) / 1e3, f.refused, f.slow, f.unwritten, pool.stale,
                  pool.none_kept, pool.resting, pool.single_use);
    std::string text = line;
    for (const std::string& tally : {second_answers, refusals_.take_text()}) {
        if (!tally.empty()) text.append("; ").append(tally);
    }
    return text;
}

void Upstreams::stop() {
    pool_.close_all();
    for (const auto& [attempt, connection] : attempts_) connection->close();
    attempts_.clear();
}

}  // namespace flaxdoor::net
