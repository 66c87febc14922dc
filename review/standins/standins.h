// Stand-ins for the platform, discovery, upstreams and clients of one balancer, written from the operators'
// pages. Every address is a loopback address. Threads and blocking sockets keep each stand-in short.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standins {

using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Steady::time_point began = Steady::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Steady::now() - began).count(); }
inline void sleep_ms(double ms) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::max(0.0, ms)));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

inline std::string setting(const char* name, const char* otherwise = "") {
    const char* const value = std::getenv(name);
    return value ? value : otherwise;
}
inline bool with_trouble() { return setting("TROUBLE", "1") != "0"; }

// ------------------------------------------------------------------------------------------------- record

// Writes one line, with the time since the start in milliseconds, to record.txt.
inline void record(const char* format, ...) {
    static std::mutex mutex;
    static std::FILE* const file = std::fopen(setting("RECORD", "record.txt").c_str(), "w");
    const std::lock_guard lock(mutex);
    if (!file) return;
    std::fprintf(file, "%10.1f  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

// The processes that the test has started and that have not ended.
class Children {
public:
    void add(pid_t pid) {
        const std::lock_guard lock(mutex_);
        pids_.insert(pid);
    }
    void remove(pid_t pid) {
        const std::lock_guard lock(mutex_);
        pids_.erase(pid);
    }
    void end_all() {
        const std::lock_guard lock(mutex_);
        for (const pid_t pid : pids_) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        pids_.clear();
    }

private:
    std::mutex mutex_;
    std::set<pid_t> pids_;
};
inline Children children;

// Ends the test when it can't run.
[[noreturn]] inline void cannot_run(const std::string& why) {
    record("the case could not run: %s", why.c_str());
    std::printf("the case could not run: %s\n", why.c_str());
    children.end_all();
    std::fflush(nullptr);
    ::_exit(2);
}

[[noreturn]] inline void finish(bool broken, const std::string& what) {
    record("%s: %s", broken ? "RULE BROKEN" : "rule held", what.c_str());
    std::printf("%s: %s\n", broken ? "RULE BROKEN" : "rule held", what.c_str());
    children.end_all();
    std::fflush(nullptr);
    ::_exit(broken ? 1 : 0);
}

// ------------------------------------------------------------------------------------------------ sockets

// A connected TCP socket with what has been received and not yet taken.
class Connection {
public:
    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Returns whether all of it was handed to the connection.
    bool send(const std::string& bytes) { return send(bytes.data(), bytes.size()); }
    bool send(const char* data, std::size_t size) {
        while (size > 0) {
            const auto sent = ::send(fd_, data, size, MSG_NOSIGNAL);
            if (sent < 0 && errno == EINTR) continue;
            if (sent <= 0) return false;
            data += sent;
            size -= static_cast<std::size_t>(sent);
        }
        return true;
    }
    // Reads more input until `deadline`. Returns false at the end of the connection and at the deadline.
    bool receive(double deadline) {
        pollfd wait{fd_, POLLIN, 0};
        const double left = deadline - now_ms();
        const int ready = ::poll(&wait, 1, left <= 0 ? 0 : static_cast<int>(left) + 1);
        if (ready <= 0) return false;
        char buffer[65536];
        const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
        if (size <= 0) {
            ended_ = true;
            return false;
        }
        if (input.empty()) first_byte_at = now_ms();
        input.append(buffer, static_cast<std::size_t>(size));
        return true;
    }
    // Returns the next whole message, with a body of Content-Length bytes. Nothing at the end or at the
    // deadline.
    std::optional<std::string> take_message(double deadline) {
        for (;;) {
            const auto head = input.find("\r\n\r\n");
            if (head != std::string::npos) {
                std::size_t length = 0;
                std::string lower = input.substr(0, head + 2);
                for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                if (const auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
                    length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
                if (input.size() >= head + 4 + length) {
                    std::string message = input.substr(0, head + 4 + length);
                    input.erase(0, message.size());
                    return message;
                }
            }
            if (!receive(deadline)) return std::nullopt;
        }
    }
    bool ended() const { return ended_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    // Ends both directions, so that a thread that waits on the connection returns.
    void shut_down() { ::shutdown(fd_, SHUT_RDWR); }
    int fd() const { return fd_; }

    std::string input;
    double first_byte_at = 0;  // of the input that has not been taken yet

private:
    int fd_;
    bool ended_ = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Returns null where no connection comes up.
inline ConnectionPtr connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return std::make_shared<Connection>(fd);
    ::close(fd);
    return nullptr;
}

// A listening socket on a free loopback port. Each connection gets a thread of its own.
class Server {
public:
    explicit Server(std::function<void(ConnectionPtr)> serve) : serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(0);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 1024) != 0)
            cannot_run("no port to listen on");
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
        port_ = ntohs(bound.sin_port);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) continue;
                std::thread([this, connection = std::make_shared<Connection>(fd)] {
                    serve_(connection);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    std::function<void(ConnectionPtr)> serve_;
    int fd_ = -1, port_ = 0;
};

// Returns a port that was free a moment ago.
inline int free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0) cannot_run("no free port");
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

// The value of a header of a message; empty if it has none of that name.
inline std::string header(const std::string& message, const std::string& name) {
    const auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

inline std::string response(const std::string& status, const std::string& body,
                            const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// ---------------------------------------------------------------------------------------------- upstreams

struct Arrival {
    std::string id, service;
    double first_byte_at = 0, last_byte_at = 0;
};

// The requests that have reached an upstream, by id.
class Reached {
public:
    void add(const std::string& id) {
        const std::lock_guard lock(mutex_);
        ids_.insert(id);
    }
    bool contains(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return ids_.contains(id);
    }

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};
inline Reached reached;

// A sound upstream: runs each request when its last byte has come, and answers 200 with a body that names the
// request.
class Upstream {
public:
    using Answer = std::function<void(Connection&, const Arrival&)>;

    Upstream(std::string name, double work_ms) : name_(std::move(name)), work_ms_(work_ms) {}

    static std::string body_for(const std::string& id) { return "answer to " + id; }

    const std::string& name() const { return name_; }
    std::string address() const { return server_.address(); }
    std::vector<Arrival> arrivals() {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    // Where set, it answers in place of the ordinary way and returns whether it did.
    std::function<bool(Connection&, const Arrival&)> special;

private:
    void serve(Connection& connection) {
        constexpr double idle_close_ms = 10000;  // limits.idle_close of the settings
        while (const auto request = connection.take_message(now_ms() + idle_close_ms)) {
            if (request->starts_with("GET /health")) {
                connection.send(response("200 OK", ""));
                continue;
            }
            const Arrival arrival{header(*request, "X-Call-Id"), header(*request, "X-Call-Class"),
                                  connection.first_byte_at, now_ms()};
            record("%s runs %s %s, told to answer within %s ms", name_.c_str(), arrival.service.c_str(),
                   arrival.id.c_str(), header(*request, "X-Budget-Ms").c_str());
            reached.add(arrival.id);
            {
                const std::lock_guard lock(mutex_);
                arrivals_.push_back(arrival);
            }
            if (special && special(connection, arrival)) return;
            sleep_ms(work_ms_);
            if (!connection.send(response("200 OK", body_for(arrival.id)))) return;
        }
    }

    const std::string name_;
    const double work_ms_;
    std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    Server server_{[this](ConnectionPtr connection) { serve(*connection); }};
};

// ---------------------------------------------------------------------------------------------- discovery

// A sound discovery service: answers a watch with the whole list, then sends changes as they are made and an
// empty line every 2 s. While it is crowded, a call waits and fails with 503.
class Discovery {
public:
    static constexpr double call_timeout_ms = 1000;  // site file: [discovery] timeout_ms

    explicit Discovery(std::vector<Upstream*> upstreams) : upstreams_(std::move(upstreams)) {}

    std::string address() const { return server_.address(); }

    std::string entry(const Upstream& upstream) {
        const std::string health = health_.contains(upstream.name()) ? health_.at(upstream.name()) : "active";
        return "{\"host\":\"" + upstream.name() + "\",\"dial\":\"" + upstream.address() +
               "\",\"site\":\"wien-sued\",\"class\":\"std-1\",\"block\":0,\"health\":\"" + health +
               "\",\"share\":1.0,\"born_ms\":0}";
    }
    std::string list() {
        const std::lock_guard lock(mutex_);
        return list_locked();
    }
    // Changes the health of an upstream and tells all open watches.
    void set_health(const Upstream& upstream, const std::string& health) {
        const std::lock_guard lock(mutex_);
        health_[upstream.name()] = health;
        ++version_;
        record("discovery: %s is %s from now on (seq %d)", upstream.name().c_str(), health.c_str(), version_);
        const std::string change = "{\"seq\":" + std::to_string(version_) + ",\"whole\":false,\"hosts\":[" +
                                   entry(upstream) + "]}\n";
        for (const auto& watch : watches_) watch->send(chunk(change));
    }
    void reset_watches() {
        const std::lock_guard lock(mutex_);
        record("discovery: resets %zu open watches", watches_.size());
        for (const auto& watch : watches_) {
            const linger at_once{1, 0};
            ::setsockopt(watch->fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            // Replaces the socket by another, which closes it: its thread may be about to use the number.
            const int other = ::open("/dev/null", O_RDWR | O_CLOEXEC);
            ::dup2(other, watch->fd());
            ::close(other);
        }
        watches_.clear();
    }
    void set_crowded(bool crowded) {
        record("discovery: %s", crowded ? "crowded from now on: calls wait and fail" : "no longer crowded");
        crowded_ = crowded;
    }

private:
    std::string list_locked() {
        std::string hosts;
        for (const Upstream* upstream : upstreams_) hosts += (hosts.empty() ? "" : ",") + entry(*upstream);
        return "{\"seq\":" + std::to_string(version_) + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
    }

    void serve(const ConnectionPtr& connection) {
        const auto request = connection->take_message(now_ms() + 10000);
        if (!request) return;
        const std::string line = request->substr(0, request->find('\r'));
        record("discovery: call %s", line.c_str());
        if (crowded_) {
            sleep_ms(call_timeout_ms);
            record("discovery: call has waited too long, answers 503");
            connection->send(response("503 Service Unavailable", "", "Connection: close\r\n"));
            return;
        }
        if (line.find("stream=1") == std::string::npos) {
            connection->send(response("200 OK", list()));
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            record("discovery: answers with the whole list (seq %d)", version_);
            connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                             chunk(list_locked() + "\n"));
            watches_.push_back(connection);
        }
        for (;;) {
            sleep_ms(2000);
            const std::lock_guard lock(mutex_);
            if (std::find(watches_.begin(), watches_.end(), connection) == watches_.end()) return;
            if (!connection->send(chunk("\n"))) {
                std::erase(watches_, connection);
                return;
            }
        }
    }

    std::vector<Upstream*> upstreams_;
    std::mutex mutex_;
    std::map<std::string, std::string> health_;
    std::vector<ConnectionPtr> watches_;
    int version_ = 41;
    std::atomic<bool> crowded_{false};
    Server server_{[this](ConnectionPtr connection) { serve(connection); }};
};

// ----------------------------------------------------------------------------------------------- platform

struct BalancerOptions {
    int rank = 0, siblings = 1;
    int memory_mb = 48, sockets = 384;  // as in the operators' reports
    std::string known;                  // the list that it had last
    std::string discovery;
};

// One balancer, started with the deploy file's command. It ends with this process, however that ends.
class Balancer {
public:
    explicit Balancer(BalancerOptions options) : options_(std::move(options)), port_(free_port()) {
        config_path_ = setting("SCRATCH", "/tmp") + "/config" + std::to_string(options_.rank) + ".json";
        write_config();
        start();
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

    // Classes and limits of lager-ost.
    void write_config() const {
        std::ofstream(config_path_)
            << "{\"name\":\"n" << options_.rank << "\",\"listen\":\"127.0.0.1:" << port_
            << "\",\"discovery\":\"" << options_.discovery << "\",\"seed\":\"8c1f30d27a5be96" << options_.rank
            << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << options_.memory_mb
            << ",\"sockets\":" << options_.sockets << "},\"known\":" << options_.known
            << ",\"settings\":{\"rank\":" << options_.rank << ",\"siblings\":" << options_.siblings
            << R"(,"zone":0,"zones":["wien-sued"],"flavors":["std-1"],"tick":2.0,"registry_mode":"ask",
"tenants":[{"name":"tafel-wien","quota_rps":1000.0,"fraction":1.0}],"over_share_worth":0.2,
"service_type":"proxy","tier":0,"tiers":["bestand-web"],"weights":"off","worth_by":"request",
"callers":{"marks_retry":false},
"services":[
{"name":"eingang","aim":500.0,"hard_limit":1200.0,"effect":"deduplicated","group":"cell","window":750.0,
 "stream":false,"late_worth":0.0,"worth":3.0},
{"name":"freigabe","aim":400.0,"hard_limit":1500.0,"effect":"at_most_once","group":"all","window":5000.0,
 "stream":false,"late_worth":0.0,"worth":2.0}],
"limits":{"cancel":true,"connect_timeout":200.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,
 "idle_close":10000.0,"max_attempts":4,"max_open":20000,"max_retry_after":750.0,"may_probe":true,
 "parallel_tries":false,"peers":false,"retry_after":true,"streams_per_conn":1},
"load_report":{"how":"off","fields":[]},
"invariants":{"answer_slack":8.0,"ask_within":10000.0,"cold_from":0.16,"drain_grace":2000.0,"fall":1500.0,
 "fall_multiple":3.0,"ramp_time":24000.0}}})";
    }

    // Waits until /ready answers 200.
    void await_ready() const {
        for (const double limit = now_ms() + 30000; now_ms() < limit; sleep_ms(20)) {
            const auto connection = connect_to(port_);
            if (!connection) continue;
            connection->send("GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
            const auto answer = connection->take_message(now_ms() + 1000);
            if (answer && answer->starts_with("HTTP/1.1 200")) {
                record("balancer n%d is ready", options_.rank);
                return;
            }
        }
        cannot_run("the balancer is not ready after 30 s");
    }

    bool has_ended() {
        if (ended_) return true;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        children.remove(pid_);
        record("balancer n%d has ended: %s %d", options_.rank, WIFSIGNALED(status) ? "signal" : "status",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        return ended_ = true;
    }

    std::string last_log_line() const {
        std::ifstream log(log_path());
        std::string last;
        for (std::string line; std::getline(log, line);) last = line;
        return last;
    }

private:
    std::string log_path() const {
        return setting("SCRATCH", "/tmp") + "/log" + std::to_string(options_.rank);
    }

    void start() {
        const std::string command = setting("RUN");
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ < 0) cannot_run("no process");
        if (pid_ > 0) return children.add(pid_);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(2);
        ::setenv("NODE_NAME", ("n" + std::to_string(options_.rank)).c_str(), 1);
        ::setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
        ::setenv("NODE_DISCOVERY", options_.discovery.c_str(), 1);
        ::setenv("NODE_CONFIG", config_path_.c_str(), 1);
        ::setenv("TMPDIR", setting("SCRATCH", "/tmp").c_str(), 1);
        const int out = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
        ::_exit(127);
    }

    const BalancerOptions options_;
    const int port_;
    std::string config_path_;
    pid_t pid_ = 0;
    bool ended_ = false;
};

// ------------------------------------------------------------------------------------------------ clients

// What became of the requests of all clients.
struct Tally {
    std::atomic<int> served{0}, refused{0}, failed{0}, lost{0}, foreign{0}, not_taken{0};
};

// A client with one kept connection that sends one request after another: each is due `interval_ms` after the
// last or, with `max_pause_ms`, after a random pause of up to that time from the answer to the last.
class Client {
public:
    Client(std::string name, int port, std::string service, double interval_ms, Tally& tally,
           double max_pause_ms = 0)
        : name_(std::move(name)),
          port_(port),
          service_(std::move(service)),
          interval_ms_(interval_ms),
          tally_(tally),
          max_pause_ms_(max_pause_ms),
          random_(std::hash<std::string>{}(name_)) {}

    void start() {
        thread_ = std::thread([this] {
            static std::atomic<int> started{0};
            sleep_ms(interval_ms_ * (started++ % 8) / 8);
            for (double due = now_ms(); !stopped_;) {
                call();
                due = max_pause_ms_ > 0
                          ? now_ms() + std::uniform_real_distribution<>(0, max_pause_ms_)(random_)
                          : due + interval_ms_;
                sleep_until_ms(due);
            }
        });
    }
    // Waits for the last answer.
    void stop() {
        stopped_ = true;
        if (thread_.joinable()) thread_.join();
    }

private:
    static constexpr int budget_ms = 800;

    void call() {
        const std::string id = name_ + "-" + std::to_string(++count_);
        const std::string key = service_ == "eingang" ? "Idempotency-Key: key-" + id + "\r\n" : "";
        const std::string request = "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id +
                                    "\r\nX-Call-Class: " + service_ +
                                    "\r\nX-Caller: tafel-wien\r\nX-Budget-Ms: " + std::to_string(budget_ms) +
                                    "\r\n" + key + "Content-Length: 4\r\n\r\nbook";
        // A close that crosses the request on a kept connection, unread by the balancer: the request goes out
        // once more on a new one.
        const bool kept = connection_ != nullptr;
        if (!exchange(id, request, kept)) exchange(id, request, false);
    }

    // Returns false if the request has to go out once more.
    bool exchange(const std::string& id, const std::string& request, bool may_repeat) {
        if (!connection_) connection_ = connect_to(port_);
        if (!connection_ || !connection_->send(request)) {
            connection_.reset();
            if (may_repeat) return false;
            ++tally_.not_taken;
            record("client: %s %s found no balancer", service_.c_str(), id.c_str());
            return true;
        }
        // An answer counts until 0.5 s after the client's time.
        const auto answer = connection_->take_message(now_ms() + budget_ms + 500);
        if (!answer) {
            const bool closed = connection_->ended();
            connection_.reset();
            if (closed && may_repeat && !reached.contains(id)) return false;
            ++tally_.lost;
            record("client: %s %s LOST: %s", service_.c_str(), id.c_str(),
                   closed ? "the connection ended without an answer" : "no answer in time");
            return true;
        }
        const int status = std::atoi(answer->c_str() + 9);
        const std::string body = answer->substr(answer->find("\r\n\r\n") + 4);
        if (status == 200 && body != Upstream::body_for(id)) {
            ++tally_.foreign;
            record("client: %s %s got a FOREIGN answer: %s", service_.c_str(), id.c_str(), body.c_str());
        } else {
            ++(status == 200                    ? tally_.served
               : status == 503 || status == 429 ? tally_.refused
                                                : tally_.failed);
            record("client: %s %s answered %d", service_.c_str(), id.c_str(), status);
        }
        if (header(*answer, "Connection") == "close") connection_.reset();
        return true;
    }

    const std::string name_;
    const int port_;
    const std::string service_;
    const double interval_ms_;
    Tally& tally_;
    const double max_pause_ms_;
    std::mt19937 random_;
    ConnectionPtr connection_;
    std::thread thread_;
    int count_ = 0;
    std::atomic<bool> stopped_{false};
};

}  // namespace standins
