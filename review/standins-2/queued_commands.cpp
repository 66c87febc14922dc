// Case 7: a client sends many releases at once on one connection, and healthy upstreams take 60 ms for each. When does
// each get its answer, and what is its upstream told of the time that is left?
#include <memory>

#include "rig.h"

using namespace rig;

namespace {

constexpr int commands = 40, budget_ms = 1000;
constexpr double work_ms = 60;  // the site's releases take 38 to 69 ms
// An answer up to half a second after its time earns nothing but is none that is lost; limits on sockets are 50 ms longer.
constexpr double latest_ms = budget_ms + 500 + 50;
// Slack of what an attempt may tell its upstream, and that of the sockets.
constexpr double told_slack_ms = 150 + 50;

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return could_not_run;
    open_record(argv[1]);
    struct Run {
        double at;
        int told;
    };
    std::mutex mutex;
    std::map<std::string, Run> runs;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::string> entries;
    for (int i = 0; i < 6; ++i) {
        upstreams.push_back(
            std::make_unique<Upstream>("s-" + std::to_string(i), i / 3, [&, i](const Message& request, double at) {
                const std::string id = request.field("x-call-id");
                const int told = std::atoi(request.field("x-budget-ms").c_str());
                record("upstream s-%d runs %s, told %d ms", i, id.c_str(), told);
                {
                    const std::lock_guard lock(mutex);
                    runs[id] = {at, told};
                }
                sleep_ms(work_ms);
                return http_answer("200 OK", "done " + id);
            }));
        entries.push_back(upstreams.back()->entry());
    }
    const std::string list = list_text(41, true, entries);
    const SteadyDiscovery discovery(list);
    Configuration configuration;
    configuration.listen_port = reserve_port();
    configuration.discovery = discovery.address();
    configuration.known = list;
    start_balancer(configuration, argv[2]);
    sleep_ms(1500);  // the list has come by then

    const int fd = connect_to(configuration.listen_port);
    if (fd < 0) finish(could_not_run, "no connection to the balancer");
    Reader reader(fd);
    Message answer;
    std::vector<std::string> texts;
    std::vector<double> sent_at(commands), answered_after(commands, -1);
    for (int i = 0; i < commands; ++i)
        texts.push_back(request_text("freigabe", "release-" + std::to_string(i), budget_ms, "goods"));
    std::string all;
    for (const std::string& text : texts) all += text;
    if (trouble()) {
        if (!send_all(fd, all)) finish(could_not_run, "the releases could not be sent");
        for (double& at : sent_at) at = now_ms();  // after the last byte
        record("client: %d releases, %zu bytes, sent", commands, all.size());
    }
    for (int i = 0; i < commands; ++i) {
        if (!trouble()) {
            if (!send_all(fd, texts[static_cast<std::size_t>(i)])) finish(could_not_run, "the connection ended");
            sent_at[i] = now_ms();
        }
        if (reader.read(answer, sent_at[i] + 20'000) != ReadEnd::message) {
            record("client: the connection ended after %d answers", i);
            break;
        }
        answered_after[i] = now_ms() - sent_at[i];
        record("client: release-%d answered %d after %.0f ms", i, answer.status(), answered_after[i]);
    }
    int late = 0, unanswered = 0, overtold = 0, run_after_time = 0;
    double latest = 0;
    const std::lock_guard lock(mutex);
    for (int i = 0; i < commands; ++i) {
        unanswered += answered_after[i] < 0;
        late += answered_after[i] > latest_ms;
        latest = std::max(latest, answered_after[i]);
        const auto run = runs.find("release-" + std::to_string(i));
        if (run == runs.end()) continue;
        const double left = sent_at[i] + budget_ms - run->second.at;
        overtold += run->second.told > std::max(left, 0.0) + told_slack_ms;
        run_after_time += left < 0;
    }
    char line[300];
    std::snprintf(line, sizeof line,
                  "%d of %d releases answered more than 0.5 s after their time, %d not at all; the last %.0f ms after its "
                  "send with %d ms to wait; %d begun at an upstream after their time, %d told more than was left",
                  late, commands, unanswered, latest, budget_ms, run_after_time, overtold);
    finish(late + unanswered > 0 ? broken : held, line);
}
