// Case 9: spoilt answers. An upstream sends some answers twice, the second one some milliseconds late. Does any client get an
// answer that was made for another request?
#include <memory>
#include <random>

#include "rig.h"

using namespace rig;

namespace {

constexpr int clients = 12, upstream_count = 4, budget_ms = 1000;
constexpr double play_ms = 20'000;
constexpr double spoilt_share = 0.05, second_after_ms = 12;

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return could_not_run;
    open_record(argv[1]);
    std::atomic<int> runs{0}, seconds{0};
    std::vector<std::string> entries;
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < upstream_count; ++i) {
        listeners.push_back(std::make_unique<Listener>([&, i](int fd) {
            std::mt19937 random(static_cast<unsigned>(i * 1000 + fd));
            std::uniform_real_distribution<> unit(0, 1);
            Reader reader(fd);
            for (Message request; reader.read(request) == ReadEnd::message;) {
                const std::string id = request.field("x-call-id");
                ++runs;
                sleep_ms(3);
                const std::string answer = http_answer("200 OK", "done " + id);
                if (!send_all(fd, answer)) break;
                if (id.empty() || !trouble() || unit(random) >= spoilt_share) continue;
                sleep_ms(second_after_ms);
                ++seconds;
                record("upstream s-%d sends the answer to %s a second time", i, id.c_str());
                if (!send_all(fd, answer)) break;
            }
            ::close(fd);
        }));
        entries.push_back(
            "{\"host\":\"s-" + std::to_string(i) + "\",\"dial\":\"" + listeners.back()->address() +
            "\",\"site\":\"wien-sued\",\"class\":\"std-1\",\"block\":" + std::to_string(i / 2) +
            ",\"health\":\"active\",\"share\":1.0,\"born_ms\":0}");
    }
    const std::string list = list_text(41, true, entries);
    const SteadyDiscovery discovery(list);
    Configuration configuration;
    configuration.listen_port = reserve_port();
    configuration.discovery = discovery.address();
    configuration.known = list;
    start_balancer(configuration, argv[2]);
    sleep_ms(1500);
    const double end = now_ms() + play_ms;
    std::atomic<int> sent{0}, served{0}, foreign{0}, ended{0};
    for (int k = 0; k < clients; ++k) {
        std::thread([&, k] {
            std::mt19937 random(static_cast<unsigned>(k));
            std::uniform_real_distribution<> unit(0, 1);
            int fd = connect_to(configuration.listen_port);
            auto reader = std::make_unique<Reader>(fd);
            for (int n = 0; now_ms() < end; ++n) {
                sleep_ms(10 + 60 * unit(random));
                const std::string id = "client-" + std::to_string(k) + "-" + std::to_string(n);
                ++sent;
                Message answer;
                if (!send_all(fd, request_text("freigabe", id, budget_ms, "goods")) ||
                    reader->read(answer, now_ms() + 3000) != ReadEnd::message) {
                    ::close(fd);
                    fd = connect_to(configuration.listen_port);
                    reader = std::make_unique<Reader>(fd);
                    continue;
                }
                if (answer.status() != 200) continue;
                ++served;
                if (answer.body == "done " + id) continue;
                ++foreign;
                record("client: %s was answered 200 with \"%s\"", id.c_str(), answer.body.c_str());
            }
            ++ended;
        }).detach();
    }
    while (ended < clients && now_ms() < end + 5000) sleep_ms(50);
    char line[200];
    std::snprintf(line, sizeof line, "%d of %d served requests got the answer to another one (%d sent, %d second answers)",
                  foreign.load(), served.load(), sent.load(), seconds.load());
    finish(foreign > 0 ? broken : held, line);
}
