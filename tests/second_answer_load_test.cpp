// Many clients at once before upstreams that answer some requests a second time, some milliseconds late, over
// loopback sockets. Which requests, and how late, is drawn from a seed; what is judged is what really
// happened, by the times measured at the upstreams, so that a timer that fires late on a busy machine changes
// no verdict.
#include <gtest/gtest.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A connection carries no further request sooner than this after its last answer, and an answer that is
// written sooner than this after the one before it reaches no other request. Both hold at the upstream, as
// the balancer counts from when it has read an answer, which is later than when it was written.
constexpr Micros rest_least = milliseconds(10);
constexpr Micros clock_step{1};  // the balancer counts in whole microseconds

// What is drawn for a request.
constexpr Micros pause_most = milliseconds(3);  // of its client, before it
constexpr Micros service_most = milliseconds(3);
constexpr Micros second_delay_most = milliseconds(8);
constexpr double second_answer_chance = 0.1;

// An upstream answers once until so many requests have come to it on used connections: from its first second
// answer on, the balancer may use each of its connections once only.
constexpr std::size_t warm_up_requests = 5;

// A run is repeated with new draws until it has shown enough to be judged.
constexpr std::size_t least_episodes = 6;
constexpr std::size_t most_episodes = 60;
constexpr std::size_t least_second_answers = 10;  // within the rest
constexpr std::size_t least_used_requests = 100;
constexpr std::size_t most_upstreams = 3;

struct Load {
    std::uint64_t seed = 0;
    std::size_t clients = 0;
};

void PrintTo(const Load& load, std::ostream* out) { *out << load.clients << " clients, seed " << load.seed; }

std::string name_of(const Load& load) {
    return std::to_string(load.clients) + "clients_seed" + std::to_string(load.seed);
}

struct Plan {
    Micros pause{};
    Micros service{};
    std::optional<Micros> second_after;
};

// Half of the times that are drawn are none at all.
Micros draw_up_to(Micros most, std::mt19937_64& random) {
    if (std::bernoulli_distribution(0.5)(random)) return {};
    return Micros(std::uniform_int_distribution<Micros::rep>(0, most.count())(random));
}

Plan draw_plan(std::mt19937_64& random) {
    Plan plan;
    plan.pause = draw_up_to(pause_most, random);
    plan.service = draw_up_to(service_most, random);
    const bool twice = std::bernoulli_distribution(second_answer_chance)(random);
    const Micros::rep delay =
        std::uniform_int_distribution<Micros::rep>(0, second_delay_most.count())(random);
    if (twice) plan.second_after = Micros(delay);
    return plan;
}

std::vector<Plan> draw_plans(std::size_t count, std::mt19937_64& random) {
    std::vector<Plan> plans(count);
    for (Plan& plan : plans) plan = draw_plan(random);
    return plans;
}

enum class Turn { first, second };

struct SeenRequest {
    std::size_t call = 0;
    std::size_t connection = 0;
    Steady::time_point at;
    std::optional<Micros> rested;  // since the last answer on its connection
};

struct WrittenAnswer {
    std::size_t call = 0;
    Turn turn = Turn::first;
    std::size_t connection = 0;
    Steady::time_point at;
    std::optional<Micros> behind;  // the answer before it on its connection
};

bool within_rest(const std::optional<Micros>& time) { return time && *time < rest_least - clock_step; }

// What the upstreams of an episode have seen and written, in order of time.
struct Record {
    std::vector<SeenRequest> requests;
    std::vector<WrittenAnswer> answers;
    std::size_t connections = 0;
};

struct Tally {
    std::size_t requests = 0;
    std::size_t used_requests = 0;   // on used connections
    std::size_t early_requests = 0;  // of these: sooner than the rest
    std::size_t second_answers = 0;
    std::size_t second_answers_in_rest = 0;
    std::size_t wrong_answers = 0;       // in the rest, to another request
    std::size_t late_wrong_answers = 0;  // later than the rest, to another request
    std::size_t unserved = 0;
    std::string trace;  // of the first wrong answer

    bool tells() const {
        return second_answers_in_rest >= least_second_answers && used_requests >= least_used_requests;
    }
};

std::ostream& operator<<(std::ostream& out, const Tally& tally) {
    out << tally.requests << " requests, " << tally.used_requests << " on used connections, "
        << tally.early_requests << " of them before the rest; " << tally.second_answers << " second answers, "
        << tally.second_answers_in_rest << " within the rest; " << tally.wrong_answers
        << " answers within the rest to another request, " << tally.late_wrong_answers << " later; "
        << tally.unserved << " not served";
    if (!tally.trace.empty()) out << "\n" << tally.trace;
    return out;
}

void count(const Record& record, Tally& tally) {
    for (const SeenRequest& request : record.requests) {
        ++tally.requests;
        tally.used_requests += request.rested.has_value();
        tally.early_requests += within_rest(request.rested);
    }
    for (const WrittenAnswer& answer : record.answers) {
        if (answer.turn == Turn::first) continue;
        ++tally.second_answers;
        tally.second_answers_in_rest += within_rest(answer.behind);
    }
}

// How a request came to be given the answer to another one, by the times since the answer before that one.
std::string trace_of(const Record& record, const WrittenAnswer& answer, std::size_t call,
                     Steady::time_point got_at) {
    const auto from = answer.at - answer.behind.value_or(Micros{});
    const auto since = [&](Steady::time_point at) {
        return std::to_string(std::chrono::duration_cast<Micros>(at - from).count()) + " us";
    };
    std::ostringstream text;
    text << "connection " << answer.connection << ": answer written at 0 us";
    for (const SeenRequest& request : record.requests) {
        if (request.connection != answer.connection || request.call != call) continue;
        text << ", request " << call << " seen at " << since(request.at);
    }
    text << ", " << (answer.turn == Turn::second ? "second" : "first") << " answer to request " << answer.call
         << " written at " << since(answer.at) << ", given to the client of request " << call << " by "
         << since(got_at);
    return text.str();
}

std::size_t number_behind(std::string_view text, std::string_view name) {
    const auto at = text.find(name);
    if (at == std::string_view::npos) throw std::runtime_error("no " + std::string(name));
    return std::stoul(std::string(text.substr(at + name.size())));
}

// One connection of an upstream, which answers each request once its time of service is over.
class TwiceConnection : public std::enable_shared_from_this<TwiceConnection> {
public:
    TwiceConnection(tcp::socket socket, const std::vector<Plan>& plans, Record& record,
                    std::size_t& used_requests)
        : socket_(std::move(socket)),
          plans_(plans),
          record_(record),
          used_requests_(used_requests),
          number_(record.connections++) {
        socket_.set_option(tcp::no_delay(true));
    }

    void read() {
        const auto self = shared_from_this();
        socket_.async_read_some(asio::buffer(piece_), [self](boost::system::error_code error, auto got) {
            if (error) {
                self->ended_ = true;
                return;
            }
            self->in_.append(self->piece_, got);
            self->take_requests();
            self->read();
        });
    }

private:
    // A request counts as seen when it stands in the socket: an answer that is written after that crosses it.
    void notice_request() {
        if (noticed_) return;
        noticed_.emplace();
        noticed_->connection = number_;
        noticed_->at = Steady::now();
        if (last_answer_at_) noticed_->rested = since_last_answer(noticed_->at);
    }

    void take_requests() {
        notice_request();
        for (auto end = in_.find("\r\n\r\n"); end != std::string::npos; end = in_.find("\r\n\r\n")) {
            const std::string request = in_.substr(0, end);
            in_.erase(0, end + 4);
            notice_request();
            noticed_->call = number_behind(request, "X-Call-Id: ");
            record_.requests.push_back(*noticed_);
            noticed_.reset();
            serve(record_.requests.back());
        }
    }

    void serve(const SeenRequest& request) {
        used_requests_ += request.rested.has_value();
        const Plan& plan = plans_.at(request.call);
        const bool twice = plan.second_after && used_requests_ >= warm_up_requests;
        after(plan.service, [this, call = request.call, twice, &plan] {
            answer(call, Turn::first);
            if (twice) after(*plan.second_after, [this, call] { answer(call, Turn::second); });
        });
    }

    template <typename Work>
    void after(Micros time, Work work) {
        const auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), time);
        timer->async_wait([self = shared_from_this(), timer, work](boost::system::error_code error) {
            if (!error && !self->ended_) work();
        });
    }

    void answer(std::size_t call, Turn turn) {
        boost::system::error_code error;
        if (socket_.available(error) > 0) notice_request();
        const std::string body = "call=" + std::to_string(call) +
                                 " answer=" + std::to_string(record_.answers.size()) +
                                 (turn == Turn::first ? " first" : " second");
        asio::write(socket_, asio::buffer(ok_response(body)), error);
        if (error) return;
        WrittenAnswer written{call, turn, number_, Steady::now(), {}};
        if (last_answer_at_) written.behind = since_last_answer(written.at);
        record_.answers.push_back(written);
        last_answer_at_ = written.at;
    }

    Micros since_last_answer(Steady::time_point now) const {
        return std::chrono::duration_cast<Micros>(now - *last_answer_at_);
    }

    tcp::socket socket_;
    const std::vector<Plan>& plans_;
    Record& record_;
    std::size_t& used_requests_;  // of the upstream
    const std::size_t number_;
    std::optional<Steady::time_point> last_answer_at_;
    std::optional<SeenRequest> noticed_;  // a request that stands in the socket or is half read
    std::string in_;
    bool ended_ = false;
    char piece_[4096];
};

class TwiceUpstream {
public:
    TwiceUpstream(asio::io_context& loop, const std::vector<Plan>& plans, Record& record)
        : acceptor_(loop, loopback()), plans_(plans), record_(record) {
        accept();
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    void accept() {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            std::make_shared<TwiceConnection>(std::move(socket), plans_, record_, used_requests_)->read();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    const std::vector<Plan>& plans_;
    Record& record_;
    std::size_t used_requests_ = 0;
};

// The requests that are still to be sent, which all clients share.
struct Queue {
    std::size_t next = 0;
    std::size_t end = 0;
};

// Sends one request after another on its connection, each when the pause before it is over.
class PausingClient {
public:
    PausingClient(HostHarness& stage, Queue& queue, const std::vector<Plan>& plans, const Record& record,
                  Tally& tally)
        : stage_(stage), queue_(queue), plans_(plans), record_(record), tally_(tally), pause_(stage.loop) {
        next();
    }

    // Takes what has come; true once nothing is left to do.
    bool done() {
        if (!call_ || pausing_) return !call_;
        if (const std::string message = wire_->take_message(); !message.empty()) {
            judge(message);
            next();
        } else if (wire_->peer_closed) {
            send();
        }
        return !call_;
    }

private:
    void next() {
        call_.reset();
        if (queue_.next == queue_.end) return;
        call_ = queue_.next++;
        pausing_ = true;
        pause_.expires_after(plans_[*call_].pause);
        pause_.async_wait([this](boost::system::error_code error) {
            if (!error) send();
        });
    }

    void send() {
        pausing_ = false;
        if (!wire_ || wire_->peer_closed) wire_ = stage_.connect_client();
        wire_->send(idempotent_request(5000, std::to_string(*call_).c_str()));
    }

    void judge(const std::string& message) {
        const auto got_at = Steady::now();
        if (status_code(message) != 200) {
            ++tally_.unserved;
            return;
        }
        const WrittenAnswer& answer = record_.answers.at(number_behind(message, "answer="));
        if (answer.call == *call_) return;
        if (answer.behind && !within_rest(answer.behind)) {
            ++tally_.late_wrong_answers;
            return;
        }
        ++tally_.wrong_answers;
        if (tally_.trace.empty()) tally_.trace = trace_of(record_, answer, *call_, got_at);
    }

    HostHarness& stage_;
    Queue& queue_;
    const std::vector<Plan>& plans_;
    const Record& record_;
    Tally& tally_;
    asio::steady_timer pause_;
    std::shared_ptr<PeerConnection> wire_;
    std::optional<std::size_t> call_;  // the request that it sends or waits for
    bool pausing_ = false;
};

// A new balancer, its upstreams and clients, until all requests are answered.
void play_episode(std::size_t clients, std::size_t upstreams, std::mt19937_64& random, Tally& tally) {
    HostHarness stage(static_cast<int>(upstreams));
    Record record;
    Queue queue{0, 60 + 20 * clients};
    const std::vector<Plan> plans = draw_plans(queue.end, random);
    std::vector<std::unique_ptr<TwiceUpstream>> twice_upstreams;
    for (std::size_t i = 0; i < upstreams; ++i) {
        twice_upstreams.push_back(std::make_unique<TwiceUpstream>(stage.loop, plans, record));
        stage.config["known"]["hosts"][i]["dial"] = endpoint_text(twice_upstreams[i]->address());
    }
    stage.start();
    std::vector<std::unique_ptr<PausingClient>> all;
    for (std::size_t i = 0; i < clients; ++i) {
        all.push_back(std::make_unique<PausingClient>(stage, queue, plans, record, tally));
    }
    stage.run_until([&] {
        std::size_t done = 0;
        for (const auto& client : all) done += client->done();
        return done == all.size();
    });
    count(record, tally);
}

class SecondAnswersUnderLoad : public ::testing::TestWithParam<Load> {};

// Guards against a connection that is used again before its rest is over, be it that many rest: a second
// answer that comes within the rest is then given to another client.
TEST_P(SecondAnswersUnderLoad, ReachNoOtherRequest) {
    std::mt19937_64 random(GetParam().seed);
    Tally tally;
    for (std::size_t i = 0; i < least_episodes || (!tally.tells() && i < most_episodes); ++i) {
        play_episode(GetParam().clients, 1 + i % most_upstreams, random, tally);
        if (HasFatalFailure()) return;
    }
    EXPECT_EQ(tally.wrong_answers, 0U);
    EXPECT_EQ(tally.early_requests, 0U);
    EXPECT_GE(tally.second_answers_in_rest, least_second_answers);
    EXPECT_GE(tally.used_requests, least_used_requests);
    std::cout << tally << "\n";
}

std::vector<Load> loads() {
    std::vector<Load> all;
    for (const std::size_t clients : {1U, 4U, 8U, 16U}) {
        for (const std::uint64_t seed : {11U, 23U, 37U, 41U, 59U}) all.push_back({seed, clients});
    }
    return all;
}

INSTANTIATE_TEST_SUITE_P(Loads, SecondAnswersUnderLoad, ::testing::ValuesIn(loads()),
                         [](const auto& info) { return name_of(info.param); });

// Holds up the loop once, for longer than a connection rests, in the turn in which it is told to.
class HoldUp {
public:
    explicit HoldUp(asio::io_context& loop) : near_(loop), far_(loop) {
        tcp::acceptor acceptor(loop, loopback());
        near_.connect(acceptor.local_endpoint());
        acceptor.accept(far_);
        far_.async_wait(tcp::socket::wait_read, [](boost::system::error_code error) {
            if (!error) std::this_thread::sleep_for(rest_least + milliseconds(2));
        });
        loop.poll();
    }

    void begin() { asio::write(near_, asio::buffer("x", 1)); }

private:
    tcp::socket near_;
    tcp::socket far_;
};

// An answer that takes so many bytes in all.
std::string answer_of_size(std::size_t bytes) {
    const std::size_t framing = ok_response(std::string(bytes, '.')).size() - bytes;
    return ok_response(std::string(bytes - framing, '.'));
}

// What the second client gets where both answers to the first one's request come at once, and the second
// one's request comes in the same turn, which is held up between the two.
std::string next_after_both_answers(std::size_t bytes_of_first) {
    HostHarness s(1);
    s.start();
    const auto one = s.connect_client();
    const auto two = s.connect_client();
    one->send(idempotent_request(5000, "one"));
    const auto wire = s.await_request().first;
    settle(s);
    HoldUp hold_up(s.loop);
    wire->send(answer_of_size(bytes_of_first) + ok_response("to the first, again"));
    hold_up.begin();
    two->send(idempotent_request(5000, "two"));
    s.await_request().first->send(ok_response("to the second"));
    return s.await_response(*two);
}

// Guards against a second answer that the system has handed over and the loop has not: where the first ends
// with what is read at once, the next read has the second already, and its connection looks quiet. The sizes
// are those that a read may have.
TEST(SecondAnswerInAHeldUpTurn, ReachesNoOtherRequest) {
    for (const std::size_t bytes : {4096U, 8192U, 16384U}) {
        EXPECT_TRUE(contains(next_after_both_answers(bytes), "to the second")) << bytes << " bytes";
    }
}

}  // namespace

}  // namespace flaxdoor::test
