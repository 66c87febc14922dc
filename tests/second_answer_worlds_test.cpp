// Why a program that keeps connections to upstreams can't rule out that a second answer is taken for the
// answer to the next request: two upstreams, of which only one answers twice, and which it can't tell apart.
#include <gtest/gtest.h>

#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

// Far longer than a connection rests after an answer.
constexpr auto longer_than_rest = std::chrono::milliseconds(200);

enum class World { each_request_is_answered_once, the_first_is_answered_twice };

// What an upstream says, and the request that it belongs to, which the bytes don't tell.
struct Said {
    std::string bytes;
    std::string belongs_to;
};

// Keeps a stock, and tells everyone who asks the same.
class Upstream {
public:
    explicit Upstream(World world) : world_(world) {}

    // What it says next once a request has come whole. Where it answers the first one twice, it does so on
    // the second, whose own answer never comes.
    Said on_request(const std::string& call_id) {
        if (first_.empty()) first_ = call_id;
        const bool again = world_ == World::the_first_is_answered_twice;
        return {ok_response("42 in stock"), again ? first_ : call_id};
    }

private:
    const World world_;
    std::string first_;
};

// The host tells an upstream the time that is left, which is of its own making and differs from play to play.
std::string without_budget(std::string request) {
    const std::string name = "X-Budget-Ms: ";
    const auto begin = request.find(name);
    return request.erase(begin, request.find("\r\n", begin) + 2 - begin);
}

struct Played {
    std::vector<std::string> seen;        // by the host on its connections to the upstream, in order
    std::vector<std::string> answers;     // that its client got
    std::vector<std::string> asked;       // the requests of its client, in order
    std::vector<std::string> belongs_to;  // the requests that these answers belong to
};

// A client asks for the same twice, the second time when the connection of the first has rested.
Played play(World world) {
    HostHarness s(1);
    s.start();
    Upstream upstream(world);
    Played played;
    const auto client = s.connect_client();
    std::vector<std::shared_ptr<PeerConnection>> used;
    for (const char* call_id : {"first", "second"}) {
        client->send(idempotent_request(5000, call_id));
        const auto [wire, request] = s.await_request();
        used.push_back(wire);
        const Said said = upstream.on_request(call_id);
        wire->send(said.bytes);
        played.asked.push_back(call_id);
        played.seen.insert(played.seen.end(), {"sent " + without_budget(request), "got " + said.bytes});
        played.answers.push_back(s.await_response(*client));
        played.belongs_to.push_back(said.belongs_to);
        const auto rested = std::chrono::steady_clock::now() + longer_than_rest;
        s.run_until([&] { return std::chrono::steady_clock::now() >= rested; });
    }
    EXPECT_TRUE(used.front() == used.back()) << "the connection was not kept";
    for (const auto& wire : s.upstreams[0]->connections)
        played.seen.push_back(wire->peer_closed ? "ended" : "stands");
    return played;
}

// Kept.ReusesAConnection asks that the answer reaches the client, the listed
// Idle.ASecondAnswerLaterThanTheRestIsNeverGivenToTheNextRequest that it doesn't. They differ in the words of
// the body alone, which belong to clients. Where a connection carries a further request that doesn't say that
// it is the last one, one of the two has to fail.
TEST(TwoWorlds, AnAnswerAndALateSecondAnswerLookTheSame) {
    const Played once = play(World::each_request_is_answered_once);
    const Played twice = play(World::the_first_is_answered_twice);
    EXPECT_EQ(once.seen, twice.seen);
    EXPECT_EQ(once.answers, twice.answers);
    EXPECT_TRUE(contains(once.answers.back(), "42 in stock"));
    EXPECT_EQ(once.belongs_to, once.asked);
    EXPECT_EQ(twice.belongs_to.back(), twice.asked.front());
}

}  // namespace
}  // namespace flaxdoor::test
