// Shows why a program that reuses connections to upstreams cannot rule out that a duplicate response is taken
// for the response to the next request: it cannot tell an upstream that sends duplicates from one that does
// not.
#include <gtest/gtest.h>

#include "peers.h"
#include "slow_upstream.h"

namespace flaxdoor::test {

namespace {

// Far longer than the reuse delay.
constexpr auto longer_than_rest = std::chrono::milliseconds(200);

enum class World { each_request_is_answered_once, the_first_is_answered_twice };

// What an upstream sends, and the request that it responds to, which the bytes do not tell.
struct Said {
    std::string bytes;
    std::string belongs_to;
};

// Gives the same stock level in every response.
class Upstream {
public:
    explicit Upstream(World world) : world_(world) {}

    // Returns what the upstream sends once a request has arrived whole. An upstream that responds to the
    // first request twice sends the duplicate when the second request arrives, and never responds to that
    // one.
    Said on_request(const std::string& call_id) {
        if (first_.empty()) first_ = call_id;
        const bool again = world_ == World::the_first_is_answered_twice;
        return {ok("42 in stock"), again ? first_ : call_id};
    }

private:
    const World world_;
    std::string first_;
};

// Removes X-Budget-Ms: the host sets it to the time left, which differs from run to run.
std::string without_budget(std::string request) {
    const std::string name = "X-Budget-Ms: ";
    const auto begin = request.find(name);
    return request.erase(begin, request.find("\r\n", begin) + 2 - begin);
}

struct Played {
    std::vector<std::string> seen;        // by the host on its connections to the upstream, in order
    std::vector<std::string> answers;     // received by the client
    std::vector<std::string> asked;       // the requests of the client, in order
    std::vector<std::string> belongs_to;  // the requests that these responses belong to
};

// A client sends the same request twice, the second time after the reuse delay of the first one's connection.
Played play(World world) {
    Stage s(1);
    s.start();
    Upstream upstream(world);
    Played played;
    const auto client = s.client();
    std::vector<std::shared_ptr<Wire>> used;
    for (const char* call_id : {"first", "second"}) {
        client->say(look(5000, call_id));
        const auto [wire, request] = s.request();
        used.push_back(wire);
        const Said said = upstream.on_request(call_id);
        wire->say(said.bytes);
        played.asked.push_back(call_id);
        played.seen.insert(played.seen.end(), {"sent " + without_budget(request), "got " + said.bytes});
        played.answers.push_back(s.answer(*client));
        played.belongs_to.push_back(said.belongs_to);
        const auto rested = std::chrono::steady_clock::now() + longer_than_rest;
        s.until([&] { return std::chrono::steady_clock::now() >= rested; });
    }
    EXPECT_TRUE(used.front() == used.back()) << "the connection was not reused";
    for (const auto& wire : s.upstreams[0]->wires) played.seen.push_back(wire->ended ? "ended" : "stands");
    return played;
}

// Kept.ReusesAConnection requires that the response reaches the client, the known failure
// Idle.ASecondAnswerLaterThanTheRestIsNeverGivenToTheNextRequest that it does not. The two differ only in the
// text of the body, which is opaque to the balancer. Where a connection carries another request that is not
// marked as its last, one of the two has to fail.
TEST(TwoWorlds, AnAnswerAndALateSecondAnswerLookTheSame) {
    const Played once = play(World::each_request_is_answered_once);
    const Played twice = play(World::the_first_is_answered_twice);
    EXPECT_EQ(once.seen, twice.seen);
    EXPECT_EQ(once.answers, twice.answers);
    EXPECT_TRUE(has(once.answers.back(), "42 in stock"));
    EXPECT_EQ(once.belongs_to, once.asked);
    EXPECT_EQ(twice.belongs_to.back(), twice.asked.front());
}

}  // namespace
}  // namespace flaxdoor::test
