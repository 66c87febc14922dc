// Case 6: a client sends many bookings at once on a connection that has served a request before. Each is a request of the
// form that the protocol page gives. Which of them get an answer, and what becomes of the others?
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <memory>

#include "rig.h"

using namespace rig;

namespace {

constexpr int commands = 40, body_bytes = 4096, budget_ms = 1200;
constexpr double work_ms = 20;  // the site's bookings take 14 to 25 ms
// An answer up to half a second after its time earns nothing but is none that is lost; limits on sockets are 50 ms longer.
constexpr double latest_ms = budget_ms + 500 + 50;

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return could_not_run;
    open_record(argv[1]);
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::string> entries;
    for (int i = 0; i < 6; ++i) {
        upstreams.push_back(
            std::make_unique<Upstream>("s-" + std::to_string(i), i / 3, [&, i](const Message& request, double) {
                const std::string id = request.field("x-call-id");
                record("upstream s-%d runs %s", i, id.c_str());
                {
                    const std::lock_guard lock(mutex);
                    ++runs[id];
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
    send_all(fd, request_text("eingang", "warm-up", budget_ms, "a", "key-warm-up"));
    if (reader.read(answer, now_ms() + 3000) != ReadEnd::message || answer.status() != 200)
        finish(could_not_run, "the first request on the connection was not served");

    std::vector<std::string> texts;
    for (int i = 0; i < commands; ++i) {
        const std::string id = "booking-" + std::to_string(i);
        texts.push_back(request_text("eingang", id, budget_ms, std::string(body_bytes, 'x'), "key-" + id));
    }
    int answered = 0, lost = 0, served = 0;
    const auto take = [&](int i, double sent_at) {
        const ReadEnd end = reader.read(answer, sent_at + latest_ms);
        if (end == ReadEnd::message) {
            ++answered;
            served += answer.status() == 200;
            record("client: booking-%d answered %d after %.0f ms", i, answer.status(), now_ms() - sent_at);
            if (answer.status() == 200 && answer.body != "done booking-" + std::to_string(i))
                finish(broken, "a booking got the answer of another one");
        }
        return end;
    };
    if (!trouble()) {
        for (int i = 0; i < commands; ++i) {
            if (!send_all(fd, texts[static_cast<std::size_t>(i)])) finish(could_not_run, "the connection ended");
            record("client: booking-%d sent", i);
            if (take(i, now_ms()) != ReadEnd::message) finish(broken, "booking-" + std::to_string(i) + " got no answer");
        }
        finish(held, "one at a time: " + std::to_string(answered) + " of " + std::to_string(commands) +
                         " answered, " + std::to_string(served) + " served");
    }

    std::string all;
    for (const std::string& text : texts) all += text;
    std::atomic<bool> sent{false};
    std::thread([&] {
        sent = send_all(fd, all);
        record("client: %d bookings, %zu bytes, %s", commands, all.size(), sent ? "sent" : "not all sent");
    }).detach();
    const double sent_at = now_ms();
    ReadEnd end = ReadEnd::message;
    int i = 0;
    for (; i < commands; ++i) {
        end = take(i, sent_at);
        if (end != ReadEnd::message) break;
    }
    if (i == commands) finish(held, "all " + std::to_string(commands) + " bookings were answered");
    if (end == ReadEnd::timeout) {
        lost = commands - i;
        finish(broken, std::to_string(lost) + " of " + std::to_string(commands) + " bookings got no answer in time");
    }
    record("client: the balancer has ended the connection by a %s after %d answers, %.0f ms after the send",
           end == ReadEnd::closed ? "close in order" : "reset", i, now_ms() - sent_at);
    // A close over unread bytes resets the connection, and such a request may be sent once more: it is not counted. Where all
    // bytes were taken and nothing resets the connection, also when this side ends it, all that was sent has been read.
    sleep_ms(500);
    int unsent = 0, error = 0;
    socklen_t size = sizeof error;
    ::ioctl(fd, SIOCOUTQ, &unsent);
    ::shutdown(fd, SHUT_WR);
    sleep_ms(300);
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    char byte;
    const ssize_t last = ::recv(fd, &byte, 1, MSG_DONTWAIT);
    record("client: all sent %d, bytes not taken %d, socket error %d, last read %zd", sent.load() ? 1 : 0, unsent, error, last);
    if (end != ReadEnd::closed || !sent || unsent != 0 || error != 0 || last != 0)
        finish(held, "the close crossed bookings that were not read: " + std::to_string(i) + " of " +
                         std::to_string(commands) + " answered");
    lost = commands - i;
    finish(broken, std::to_string(lost) + " of " + std::to_string(commands) +
                       " bookings were read and got no answer: the balancer closed the connection");
}
