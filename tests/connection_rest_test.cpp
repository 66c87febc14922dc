// How long a connection to an upstream rests after an answer, over loopback sockets. Answers name no request:
// a second answer to the request before would be taken for the answer to the next one on its connection.
//
// No connection carries a further request before its rest (10 ms) is over, however many rest, however busy.
//
// The order of events is forced by what was seen. Where a verdict depends on times, then on two between which
// a right program's whole rest lies, however slow the machine is.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <set>
#include <thread>

#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

constexpr Micros rest = std::chrono::milliseconds(10);
constexpr Micros hold_up = std::chrono::milliseconds(20);
constexpr UpstreamId upstream = 1;
constexpr RequestId first_request = 1;
constexpr RequestId next_request = 1000;  // the first of those that come while connections rest
const std::string path = "/api/";         // behind which a request's number stands
constexpr std::size_t ample_connections = 64;
constexpr int most_rounds = 200;  // until one is quick enough to meet connections that rest

const std::string first_body = "to the first";
const std::string second_body = "to the first, again";
const std::string next_body = "to the next";
const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";

enum class Carried { requests, probes };

struct Exchange {
    std::size_t resting = 1;
    Micros second_after = std::chrono::milliseconds(2);  // behind the first answer, or later
    std::string ahead;  // what comes of the first answer a whole rest before its end
    std::string first = ok_response(first_body);
    std::string second = ok_response(second_body);
    std::size_t next = 1;  // requests that come while connections rest
    Micros next_after{};   // behind the first answer, or as soon as all were taken
    Micros held_up{};      // for so long the loop makes no turn once the first answers were written
};

// Keeps what became of attempts and probes.
struct Results : net::UpstreamEvents {
    std::vector<net::AttemptResult> attempts;
    std::vector<ProbeResult> probes;
    std::function<void()> on_attempt;

    void on_attempt_result(net::AttemptResult result) override {
        attempts.push_back(std::move(result));
        if (on_attempt) on_attempt();
    }
    void on_connection(net::AttemptKey) override {}
    void on_probe_result(ProbeResult result) override { probes.push_back(std::move(result)); }

    std::size_t count() const { return attempts.size() + probes.size(); }
    const net::AttemptResult* of(RequestId request) const {
        const auto found = std::find_if(attempts.begin(), attempts.end(), [&](const auto& result) {
            return result.attempt.request == request;
        });
        return found == attempts.end() ? nullptr : &*found;
    }
};

// Where a request that came while connections rested was seen.
struct Next {
    RequestId request = 0;
    Time handed_at{};  // just after it was handed over
    Time seen_at{};
    std::optional<std::size_t> used;  // the place of its connection among those that had carried a request
    Outcome outcome = Outcome::ok;
    std::string body;
};

// What happened, without the sockets that it happened on: it outlives them.
struct Round {
    std::vector<Time> answered_at;  // on each used connection: when it was too early to have read the answer
    std::vector<Next> next;
    std::optional<Time> second_written_at;
    std::string figures;

    Time begin() const { return answered_at.front(); }
    // Was all handed over while every connection rested? None rests for less than from the answer's writing.
    bool met_all_resting() const {
        return std::all_of(next.begin(), next.end(),
                           [&](const Next& one) { return one.handed_at - begin() < rest; });
    }
    bool uses_any() const {
        return std::any_of(next.begin(), next.end(), [](const Next& one) { return one.used.has_value(); });
    }
    bool breaks_rest(const Next& one) const {
        return one.used && one.handed_at - answered_at[*one.used] < rest;
    }
};

std::ostream& operator<<(std::ostream& out, const Round& round) {
    const auto since = [&](Time at) { return (at - round.begin()).count(); };
    out << "times in us from the first answer";
    for (std::size_t i = 0; i < round.answered_at.size(); ++i)
        out << "\n  " << since(round.answered_at[i]) << " connection " << i << ": first answer";
    for (const Next& one : round.next) {
        out << "\n  " << since(one.handed_at) << " request " << one.request << " handed over";
        out << "\n  " << since(one.seen_at) << " request " << one.request << " seen on ";
        if (one.used) out << "connection " << *one.used;
        if (!one.used) out << "a new connection";
        out << ", at last \"" << one.body << "\", outcome " << static_cast<int>(one.outcome);
    }
    if (round.second_written_at)
        out << "\n  " << since(*round.second_written_at) << " second answers written";
    if (!round.figures.empty()) out << "\n  " << round.figures;
    return out;
}

using Wires = std::vector<std::shared_ptr<PeerConnection>>;

std::optional<std::size_t> place_in(const Wires& wires, const std::shared_ptr<PeerConnection>& wire) {
    const auto found = std::find(wires.begin(), wires.end(), wire);
    if (found == wires.end()) return std::nullopt;
    return static_cast<std::size_t>(found - wires.begin());
}

// Connections to one upstream without a host.
class DirectUpstreams {
public:
    explicit DirectUpstreams(std::size_t most_connections = ample_connections)
        : upstreams(stage.loop, clock, limits(most_connections), {}, results) {
        upstreams.set_address(upstream, stage.upstreams[0]->address());
    }

    // Sends so many at once, each of which gets a connection of its own.
    void open(std::size_t count, Carried carried = Carried::requests) {
        for (std::size_t i = 0; i < count; ++i) {
            if (carried == Carried::probes) upstreams.probe(upstream, "/status/load", expires());
            if (carried == Carried::requests) send(first_request + i);
        }
        while (used.size() < count) {
            used.push_back(stage.await_request().first);
            ASSERT_TRUE(used.back());
        }
        ASSERT_EQ(stage.upstream_connection_count(), count);
    }

    // Answers on every connection, and returns once all answers were taken and all connections rest.
    void answer_all(const std::string& answer, Micros held_up = {}) {
        say_first(answer);
        if (held_up > Micros{0}) hold_up_loop(held_up);
        stage.run_until([&] { return results.count() == used.size(); });
        ASSERT_EQ(upstreams.idle(upstream), used.size());
    }

    // The same, each connection after the one before has come to rest.
    void answer_in_turn(const std::string& answer) {
        for (const auto& wire : used) {
            say_first_on(*wire, answer);
            stage.run_until([&] { return results.count() == round.answered_at.size(); });
            ASSERT_EQ(upstreams.idle(upstream), round.answered_at.size());
        }
    }

    void say_first(const std::string& answer) {
        for (const auto& wire : used) say_first_on(*wire, answer);
    }

    void say_first_on(PeerConnection& wire, const std::string& answer) {
        round.answered_at.push_back(clock.now());
        wire.send(answer);
    }

    // The test's own sleep between two turns stands for a loop that is held up. No answer is read until it is
    // over.
    void hold_up_loop(Micros length) {
        std::this_thread::sleep_for(length);
        for (Time& at : round.answered_at) at = clock.now();
    }

    void say_second(const std::string& answer) {
        round.second_written_at = clock.now();
        say_on_used(answer);
    }

    void say_on_used(const std::string& text) {
        for (const auto& wire : used) wire->send(text);
    }

    void hand_over_next() {
        Next one;
        one.request = next_request + round.next.size();
        send(one.request);
        one.handed_at = clock.now();
        round.next.push_back(one);
    }

    // Finds where a request that was handed over came out.
    void see_next() {
        const auto [wire, message] = stage.await_request();
        ASSERT_TRUE(wire);
        const auto request = std::stoul(message.substr(message.find(path) + path.size()));
        const auto one = std::find_if(round.next.begin(), round.next.end(),
                                      [&](const Next& next) { return next.request == request; });
        ASSERT_NE(one, round.next.end()) << message;
        one->seen_at = clock.now();
        one->used = place_in(used, wire);
        carriers.push_back(wire);
    }

    // Answers what came while connections rested. Whatever was written before is read before this.
    void answer_next() {
        for (const auto& wire : carriers) wire->send(ok_response(next_body));
        stage.run_until([&] { return results.count() == used.size() + round.next.size(); });
        for (Next& one : round.next) {
            const net::AttemptResult* result = results.of(one.request);
            ASSERT_TRUE(result);
            one.outcome = result->outcome;
            one.body = result->answer.body();
        }
        round.figures = upstreams.figures();
    }

    void wait_until(Time at) {
        asio::steady_timer timer(stage.loop, clock.steady(at));
        bool over = false;
        timer.async_wait([&](auto) { over = true; });
        stage.run_until([&] { return over; });
    }

    void send(RequestId request) {
        net::HttpRequest message(boost::beast::http::verb::get, path + std::to_string(request), 11);
        upstreams.send({request, 0}, upstream, std::move(message), expires(), expires());
    }

    HostHarness stage{1};
    const net::Clock clock;
    Results results;
    net::Upstreams upstreams;
    Wires used;      // that have carried a request, in the order of the times in `round`
    Wires carriers;  // of the next requests
    Round round;

private:
    static net::UpstreamLimits limits(std::size_t most_connections) {
        return {std::chrono::seconds(5), {}, most_connections};
    }
    Time expires() const { return clock.now() + std::chrono::seconds(15); }
};

// The first answers, the next requests once they were taken, and the second answers once those are there.
void play(const Exchange& exchange, Round& round) {
    DirectUpstreams direct;
    ASSERT_NO_FATAL_FAILURE(direct.open(exchange.resting));
    if (!exchange.ahead.empty()) {
        direct.say_on_used(exchange.ahead);
        direct.wait_until(direct.clock.now() + rest);
        ASSERT_EQ(direct.results.count(), 0U);
        ASSERT_EQ(direct.upstreams.idle(upstream), 0U);
    }
    ASSERT_NO_FATAL_FAILURE(direct.answer_all(exchange.first, exchange.held_up));
    if (exchange.next_after > Micros{0}) direct.wait_until(direct.round.begin() + exchange.next_after);
    for (std::size_t i = 0; i < exchange.next; ++i) direct.hand_over_next();
    for (std::size_t i = 0; i < exchange.next; ++i) ASSERT_NO_FATAL_FAILURE(direct.see_next());
    direct.wait_until(direct.round.begin() + exchange.second_after);
    direct.say_second(exchange.second);
    direct.stage.run_until([&] { return direct.upstreams.idle(upstream) == 0; });
    ASSERT_NO_FATAL_FAILURE(direct.answer_next());
    round = direct.round;
}

// On a connection whose rest was really over nothing can tell the second answer from the next one's.
void expect_rest_kept(const Round& round) {
    for (const Next& one : round.next) {
        EXPECT_FALSE(round.breaks_rest(one)) << "request " << one.request << " came before a rest was over";
        if (one.used && !round.breaks_rest(one)) continue;
        EXPECT_EQ(one.outcome, Outcome::ok) << "request " << one.request;
        EXPECT_EQ(one.body, next_body) << "request " << one.request;
    }
}

// Plays rounds until one has met connections all of which rested, and judges each. A machine may be too slow.
void expect_rest_kept_by(const std::function<void(Round&)>& play) {
    for (int i = 0; i < most_rounds; ++i) {
        Round round;
        ASSERT_NO_FATAL_FAILURE(play(round));
        SCOPED_TRACE(testing::PrintToString(round));
        expect_rest_kept(round);
        if (round.met_all_resting() || testing::Test::HasFailure()) return;
    }
    FAIL() << "no round was quick enough to meet connections that rest";
}

bool answered_twice(const std::string& figures) { return contains(figures, "; answered twice "); }

void expect_rest_kept_in(const Exchange& exchange) {
    expect_rest_kept_by([&](Round& round) {
        ASSERT_NO_FATAL_FAILURE(play(exchange, round));
        if (round.met_all_resting() && !round.uses_any()) {
            EXPECT_TRUE(answered_twice(round.figures));
        }
    });
}

// ---------------------------------------------------------------------------- a second answer within a rest

struct Case {
    std::size_t resting;
    Micros second_after;
};

void PrintTo(const Case& one, std::ostream* out) {
    *out << one.resting << "_rest_second_after_" << one.second_after.count() << "_us";
}

std::string name_of_case(const testing::TestParamInfo<Case>& info) {
    return testing::PrintToString(info.param);
}

std::vector<Case> cases(std::size_t resting) {
    return {{resting, std::chrono::microseconds(500)},
            {resting, std::chrono::milliseconds(2)},
            {resting, std::chrono::milliseconds(4)},
            {resting, std::chrono::milliseconds(8)}};
}

class SecondAnswer : public testing::TestWithParam<Case> {};

TEST_P(SecondAnswer, ReachesNoRequestBeforeTheRestIsOver) {
    Exchange exchange;
    exchange.resting = GetParam().resting;
    exchange.second_after = GetParam().second_after;
    expect_rest_kept_in(exchange);
}

INSTANTIATE_TEST_SUITE_P(OneRests, SecondAnswer, testing::ValuesIn(cases(1)), name_of_case);
INSTANTIATE_TEST_SUITE_P(FourRest, SecondAnswer, testing::ValuesIn(cases(4)), name_of_case);
INSTANTIATE_TEST_SUITE_P(FiveRest, SecondAnswer, testing::ValuesIn(cases(5)), name_of_case);
INSTANTIATE_TEST_SUITE_P(EightRest, SecondAnswer, testing::ValuesIn(cases(8)), name_of_case);

// ---------------------------------------------------------------------------------- what a rest counts from

class Rest : public testing::TestWithParam<std::size_t> {
protected:
    Exchange exchange() const {
        Exchange exchange;
        exchange.resting = GetParam();
        return exchange;
    }
};

// The rest counts from the last byte.
TEST_P(Rest, BeginsAtTheEndOfAnAnswerInTwoPieces) {
    Exchange two_pieces = exchange();
    const std::string answer = ok_response(first_body);
    two_pieces.ahead = answer.substr(0, answer.size() - 3);
    two_pieces.first = answer.substr(answer.size() - 3);
    expect_rest_kept_in(two_pieces);
}

TEST_P(Rest, BeginsAtTheFinalAnswerBehindAnInterimOne) {
    Exchange behind_interim = exchange();
    behind_interim.ahead = interim;
    expect_rest_kept_in(behind_interim);
}

// A probe's connection carries nothing else, however long it might rest.
TEST_P(Rest, NoConnectionOfAProbeCarriesAnotherRequest) {
    DirectUpstreams direct;
    ASSERT_NO_FATAL_FAILURE(direct.open(GetParam(), Carried::probes));
    direct.say_first(ok_response(first_body));
    direct.stage.run_until([&] { return direct.results.probes.size() == GetParam(); });
    EXPECT_EQ(direct.upstreams.idle(upstream), 0U);
    direct.hand_over_next();
    ASSERT_NO_FATAL_FAILURE(direct.see_next());
    EXPECT_FALSE(direct.round.next.front().used);
    ASSERT_NO_FATAL_FAILURE(direct.answer_next());
    EXPECT_EQ(direct.round.next.front().body, next_body);
    for (const auto& wire : direct.used) direct.stage.run_until([&] { return wire->peer_closed; });
}

// An answer that lay in the socket for longer than a rest while the loop was held up has been read just now.
TEST_P(Rest, BeginsWhenTheAnswerIsRead) {
    Exchange held_up = exchange();
    held_up.held_up = hold_up;
    expect_rest_kept_in(held_up);
}

// The next request comes when a rest is nearly over.
TEST_P(Rest, LastsForItsWholeLength) {
    Exchange late = exchange();
    late.next_after = std::chrono::milliseconds(9);
    expect_rest_kept_in(late);
}

// A refusal as the second answer would turn the next request away.
TEST_P(Rest, KeepsARefusalThatComesSecondFromTheNextRequest) {
    Exchange refused = exchange();
    refused.second = turned_away;
    expect_rest_kept_in(refused);
}

// As many requests come at once as connections rest.
TEST_P(Rest, IsKeptWhenManyRequestsCome) {
    Exchange busy = exchange();
    busy.next = busy.resting;
    expect_rest_kept_in(busy);
}

INSTANTIATE_TEST_SUITE_P(OneRests, Rest, testing::Values(1));
INSTANTIATE_TEST_SUITE_P(ThreeRest, Rest, testing::Values(3));
INSTANTIATE_TEST_SUITE_P(FourRest, Rest, testing::Values(4));

// At the cap of connections the one that was kept longest is closed for a new one: the request is neither
// sent on a connection that rests nor given up.
TEST(RestAtTheCap, TheConnectionKeptLongestMakesRoom) {
    constexpr std::size_t cap = 4;
    expect_rest_kept_by([&](Round& round) {
        DirectUpstreams direct(cap);
        ASSERT_NO_FATAL_FAILURE(direct.open(cap));
        ASSERT_NO_FATAL_FAILURE(direct.answer_in_turn(ok_response(first_body)));
        direct.hand_over_next();
        EXPECT_FALSE(direct.results.of(next_request)) << "given up at once";
        ASSERT_NO_FATAL_FAILURE(direct.see_next());
        EXPECT_EQ(direct.upstreams.idle(upstream), cap - 1);
        ASSERT_NO_FATAL_FAILURE(direct.answer_next());
        round = direct.round;
        if (!round.met_all_resting() || round.next.front().used) return;
        direct.stage.run_until([&] { return direct.used.front()->peer_closed; });
        for (std::size_t other = 1; other < cap; ++other) EXPECT_FALSE(direct.used[other]->peer_closed);
    });
}

// ---------------------------------------------------------------------------------- a second answer, unread

// Waits, without a turn of the loop, until what was said has reached the other side's socket.
void wait_until_delivered(const PeerConnection& wire) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (wire.undelivered_bytes() > 0) {
        ASSERT_LT(std::chrono::steady_clock::now(), limit) << "not delivered";
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

// A second answer that had come before the next request was handed over: that is sent on no used connection.
void expect_noticed(DirectUpstreams& direct) {
    ASSERT_NO_FATAL_FAILURE(direct.see_next());
    ASSERT_NO_FATAL_FAILURE(direct.answer_next());
    const Round& round = direct.round;
    SCOPED_TRACE(testing::PrintToString(round));
    EXPECT_FALSE(round.next.front().used) << "sent on a connection with an answer that nobody asked for";
    EXPECT_EQ(round.next.front().outcome, Outcome::ok);
    EXPECT_EQ(round.next.front().body, next_body);
    EXPECT_TRUE(answered_twice(round.figures));
}

class UnreadAnswer : public testing::TestWithParam<std::size_t> {};

// It comes to connections that have rested, and the next request is there before the loop turns.
TEST_P(UnreadAnswer, IsNoticedOnAConnectionThatHasRested) {
    DirectUpstreams direct;
    ASSERT_NO_FATAL_FAILURE(direct.open(GetParam()));
    ASSERT_NO_FATAL_FAILURE(direct.answer_all(ok_response(first_body)));
    direct.wait_until(direct.clock.now() + rest);
    ASSERT_EQ(direct.upstreams.idle(upstream), GetParam());
    direct.say_second(ok_response(second_body));
    for (const auto& wire : direct.used) ASSERT_NO_FATAL_FAILURE(wait_until_delivered(*wire));
    direct.hand_over_next();
    expect_noticed(direct);
}

// The loop is held up between the first answer's arrival and its being read; the test's own handler, which
// sleeps, stands for that. When it is read, the second answer comes and the next request is there, all in the
// same turn.
TEST_P(UnreadAnswer, IsNoticedAfterALoopWasHeldUpBeforeTheFirstWasRead) {
    DirectUpstreams direct;
    ASSERT_NO_FATAL_FAILURE(direct.open(GetParam()));
    direct.results.on_attempt = [&] {
        if (direct.results.count() != GetParam()) return;
        direct.say_second(ok_response(second_body));
        for (const auto& wire : direct.used) wait_until_delivered(*wire);
        direct.hand_over_next();
    };
    asio::post(direct.stage.loop, [&] {
        direct.say_first(ok_response(first_body));
        std::this_thread::sleep_for(hold_up);
    });
    direct.stage.run_until([&] { return !direct.round.next.empty(); });
    expect_noticed(direct);
}

INSTANTIATE_TEST_SUITE_P(OneRests, UnreadAnswer, testing::Values(1));
INSTANTIATE_TEST_SUITE_P(FourRest, UnreadAnswer, testing::Values(4));

// An answer of so many bytes in all.
std::string answer_of(std::size_t size) {
    const std::size_t head = ok_response(std::string(size, 'x')).size() - size;
    return ok_response(std::string(size - head, 'x'));
}

class SecondAnswerBehindTheFirst : public testing::TestWithParam<std::size_t> {};

// The second answer comes right behind a first one of a size at which one read may end, and the loop is held
// up as that was taken: the second may have been read by the socket's service and not been handled yet. A
// callback that sleeps stands for a loop with other work, or for a machine that is busy.
TEST_P(SecondAnswerBehindTheFirst, IsNoticedWhenTheLoopIsHeldUpAfterTheFirst) {
    DirectUpstreams direct;
    ASSERT_NO_FATAL_FAILURE(direct.open(1));
    direct.results.on_attempt = [&] {
        if (direct.results.count() != 1) return;
        std::this_thread::sleep_for(hold_up);
        wait_until_delivered(*direct.used.front());
        direct.hand_over_next();
    };
    const std::string first = answer_of(GetParam());
    ASSERT_EQ(first.size(), GetParam());
    direct.round.second_written_at = direct.clock.now();
    direct.say_first(first + ok_response(second_body));
    direct.stage.run_until([&] { return !direct.round.next.empty(); });
    expect_noticed(direct);
}

INSTANTIATE_TEST_SUITE_P(Of4KiB, SecondAnswerBehindTheFirst, testing::Values(4 * 1024));
INSTANTIATE_TEST_SUITE_P(Of8KiB, SecondAnswerBehindTheFirst, testing::Values(8 * 1024));
INSTANTIATE_TEST_SUITE_P(Of16KiB, SecondAnswerBehindTheFirst, testing::Values(16 * 1024));

// --------------------------------------------------------------------------------------------- a whole host

// Requests that are out at an upstream, and the clients that sent them.
struct Out {
    Wires clients;
    Wires upstream;
};

void send_until_out(HostHarness& s, Out& out, std::size_t count) {
    while (out.upstream.size() < count && !testing::Test::HasFatalFailure()) {
        out.clients.push_back(s.connect_client());
        out.clients.back()->send(idempotent_request());
        out.upstream.push_back(s.await_request().first);
    }
}

// So many requests out at once, each on a connection of its own. A host lets two out to an upstream that it
// knows nothing of, and one more with each answer to the last that it let out; those connections are not
// kept.
Out send_at_once(HostHarness& s, std::size_t count) {
    constexpr std::size_t at_first = 2;
    Out out;
    for (std::size_t may = at_first; may < count; ++may) {
        send_until_out(s, out, may);
        out.upstream.back()->send(ok_response(first_body, "Connection: close\r\n"));
        EXPECT_EQ(status_code(s.await_response(*out.clients.back())), 200);
        out.upstream.pop_back();
        out.clients.pop_back();
    }
    send_until_out(s, out, count);
    return out;
}

// So many clients of a host are answered, a further one comes at once, and then the first are answered again.
void play_with_clients(std::size_t resting, Round& round) {
    const net::Clock clock;
    HostHarness s(1);
    s.config["settings"]["services"][0]["aim"] = 4000.0;  // nothing is sent again while a machine is slow
    s.start();
    const auto last = s.connect_client();
    const Out out = send_at_once(s, resting);
    const Wires& used = out.upstream;
    ASSERT_EQ(std::set(used.begin(), used.end()).size(), resting);
    for (const auto& wire : used) {
        round.answered_at.push_back(clock.now());
        wire->send(ok_response(first_body));
    }
    for (const auto& client : out.clients) ASSERT_TRUE(contains(s.await_response(*client), first_body));
    last->send(idempotent_request());
    const auto carrier = s.await_request().first;
    ASSERT_TRUE(carrier);
    Next next;
    next.request = next_request;
    next.handed_at = next.seen_at = clock.now();  // the host handed it over sooner
    next.used = place_in(used, carrier);
    round.second_written_at = clock.now();
    for (const auto& wire : used) wire->send(ok_response(second_body));
    settle(s);
    carrier->send(ok_response(next_body));
    const std::string answer = s.await_response(*last);
    next.outcome = status_code(answer) == 200 ? Outcome::ok : Outcome::error;
    next.body = answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
    round.next.push_back(next);
}

class RestUnderAHost : public testing::TestWithParam<std::size_t> {};

TEST_P(RestUnderAHost, TheNextClientGetsItsOwnAnswer) {
    expect_rest_kept_by([&](Round& round) { play_with_clients(GetParam(), round); });
}

INSTANTIATE_TEST_SUITE_P(OneRests, RestUnderAHost, testing::Values(1));
INSTANTIATE_TEST_SUITE_P(FourRest, RestUnderAHost, testing::Values(4));

}  // namespace
}  // namespace flaxdoor::test
