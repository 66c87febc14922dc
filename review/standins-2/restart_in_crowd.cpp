// Case 8: an upstream begins to drain while a killed balancer is down; the new process has the last list of the old one, and a
// crowded discovery lets its calls fail. For how long does the new process send to that upstream?
#include <memory>

#include "rig.h"

using namespace rig;

namespace {

constexpr int upstream_count = 6, clients = 8, budget_ms = 1000;
constexpr double down_ms = 1200;        // from the kill to the start of the new process
constexpr double call_waits_ms = 1000;  // then a crowded discovery answers 503
constexpr double crowd_ms = 8000;       // from the kill: what the site gives for a call by everybody
constexpr double told_after_ms = 6000, grace_ms = 2000, socket_tolerance_ms = 50;
constexpr double play_ms = 10'500;  // from the change

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return could_not_run;
    open_record(argv[1]);
    std::mutex mutex;
    std::vector<double> drained_runs;  // times at which s-0 got a request
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < upstream_count; ++i) {
        upstreams.push_back(
            std::make_unique<Upstream>("s-" + std::to_string(i), i / 3, [&, i](const Message& request, double at) {
                if (i == 0) {
                    const std::lock_guard lock(mutex);
                    drained_runs.push_back(at);
                    record("upstream s-0 runs %s", request.field("x-call-id").c_str());
                }
                sleep_ms(15);
                return http_answer("200 OK", "done " + request.field("x-call-id"));
            }));
    }
    std::vector<std::string> before, after;
    for (const auto& upstream : upstreams) {
        before.push_back(upstream->entry());
        after.push_back(upstream == upstreams.front() ? upstream->entry("leaving") : upstream->entry());
    }
    const std::string old_list = list_text(41, true, before), new_list = list_text(42, true, after);
    std::atomic<bool> changed{false}, crowded{false}, told{false};
    const Listener discovery([&](int fd) {
        Reader reader(fd);
        Message request;
        if (reader.read(request) == ReadEnd::message) {
            const bool fails = crowded;
            record("discovery: %s%s", request.start.c_str(), fails ? ", fails after its wait" : "");
            if (fails) {
                sleep_ms(call_waits_ms);
                send_all(fd, http_answer("503 Service Unavailable", ""));
            } else {
                if (changed) told = true;
                bool open = send_all(fd, watch_head + chunk((changed ? new_list : old_list) + "\n"));
                while (open) {
                    sleep_ms(2000);
                    open = send_all(fd, chunk("\n"));
                }
            }
        }
        ::close(fd);
    });
    Configuration configuration;
    configuration.listen_port = reserve_port();
    configuration.discovery = discovery.address();
    configuration.known = old_list;
    start_balancer(configuration, argv[2]);
    std::atomic<bool> over{false};
    std::atomic<int> served{0}, answered{0};
    for (int k = 0; k < clients; ++k) {
        std::thread([&, k] {
            for (int n = 0; !over;) {
                const int fd = connect_to(configuration.listen_port);
                if (fd < 0) {
                    sleep_ms(20);
                    continue;
                }
                Reader reader(fd);
                for (; !over; ++n) {
                    sleep_ms(60);
                    Message answer;
                    const std::string id = "client-" + std::to_string(k) + "-" + std::to_string(n);
                    if (!send_all(fd, request_text("freigabe", id, budget_ms, "goods")) ||
                        reader.read(answer, now_ms() + 3000) != ReadEnd::message)
                        break;
                    ++answered;
                    served += answer.status() == 200;
                }
                ::close(fd);
            }
        }).detach();
    }
    sleep_ms(3000);
    if (served == 0) finish(could_not_run, "nothing was served before the kill");

    record("the platform kills the balancer");
    end_balancer();
    const double killed_at = now_ms();
    sleep_ms(100);
    crowded = trouble();
    changed = true;
    const double changed_at = now_ms();
    record("s-0 begins to drain; discovery has it");
    sleep_until_ms(changed_at + down_ms);
    start_balancer(configuration, argv[2]);
    sleep_until_ms(killed_at + crowd_ms);
    crowded = false;
    record("discovery answers calls again");
    sleep_until_ms(changed_at + play_ms);
    over = true;
    const std::lock_guard lock(mutex);
    const double latest = changed_at + told_after_ms + grace_ms + socket_tolerance_ms;
    int late = 0;
    double last = 0;
    for (const double at : drained_runs) {
        late += at > latest;
        last = std::max(last, at);
    }
    char line[300];
    std::snprintf(line, sizeof line,
                  "%d requests came to the draining upstream more than %.2f s after its drain was listed, the last %.2f s "
                  "after; the new process was told by discovery: %s; %d requests served",
                  late, (latest - changed_at) / 1000, (last - changed_at) / 1000, told ? "yes" : "no", served.load());
    finish(late > 0 ? broken : held, line);
}
