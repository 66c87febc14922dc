// What the cases of the second review share: a record, a balancer process, upstreams, a discovery and a client, all on
// loopback and the real clock. Each party has threads of its own and blocks on its sockets. Written from the
// pages alone; uses nothing but the standard library and the system.
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
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Steady = std::chrono::steady_clock;

inline const Steady::time_point began = Steady::now();
// Milliseconds since the case began.
inline double now_ms() { return std::chrono::duration<double, std::milli>(Steady::now() - began).count(); }
inline double unix_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

enum ExitStatus { held = 0, broken = 1, could_not_run = 2 };

// The record of a case: one line an event, with its time.
inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
inline void open_record(const char* path) {
    record_file = std::fopen(path, "w");
    if (!record_file) {
        std::fprintf(stderr, "cannot write %s\n", path);
        std::_Exit(could_not_run);
    }
}
[[gnu::format(printf, 1, 2)]] inline void record(const char* format, ...) {
    const std::lock_guard lock(record_mutex);
    if (!record_file) return;
    std::fprintf(record_file, "%10.1f  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

inline pid_t balancer_pid = 0;
inline void end_balancer() {
    if (balancer_pid <= 0) return;
    ::kill(balancer_pid, SIGKILL);
    ::waitpid(balancer_pid, nullptr, 0);
    balancer_pid = 0;
}
// Ends the case, with a last line on standard output and in the record.
[[noreturn]] inline void finish(ExitStatus status, const std::string& line) {
    record("%s", line.c_str());
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
    end_balancer();
    std::_Exit(status);
}

inline bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// ------------------------------------------------------------------------------------------------- sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// Returns a listening socket on a free port, and sets the port.
inline int listen_on_free_port(int& port, int backlog = 4096) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, backlog) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        finish(could_not_run, "no free port");
    port = ntohs(address.sin_port);
    return fd;
}

// Reserves a port for the balancer: keeps it bound without listening, and the balancer may listen on it.
inline int reserve_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        finish(could_not_run, "no free port");
    return ntohs(address.sin_port);
}

inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    const sockaddr_in address = loopback(port);
    if (fd < 0) return -1;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno == EINTR) continue;
        if (size <= 0) return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

// Closes a connection with a reset.
inline void reset(int fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
}

enum class ReadEnd { message, closed, reset, timeout };

// One HTTP message: its first line, its header fields by lower-case name, and its body.
struct Message {
    std::string start;
    std::map<std::string, std::string> fields;
    std::string body;
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// Reads messages with a Content-Length from a connection.
class Reader {
public:
    explicit Reader(int fd) : fd_(fd) {}

    // Reads the next message, until `deadline_ms` (see now_ms()) at the latest.
    ReadEnd read(Message& message, double deadline_ms = 1e12) {
        for (;;) {
            if (take(message)) return ReadEnd::message;
            pollfd ready{fd_, POLLIN, 0};
            const double left = deadline_ms - now_ms();
            if (left <= 0) return ReadEnd::timeout;
            const int polled = ::poll(&ready, 1, static_cast<int>(std::min(left + 1, 1000.0)));
            if (polled <= 0) continue;
            char bytes[16384];
            const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
            if (size < 0 && (errno == EINTR || errno == EAGAIN)) continue;
            if (size == 0) return ReadEnd::closed;
            if (size < 0) return ReadEnd::reset;
            buffer_.append(bytes, static_cast<std::size_t>(size));
        }
    }

private:
    bool take(Message& message) {
        const auto end = buffer_.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        Message parsed;
        std::istringstream head(buffer_.substr(0, end));
        std::getline(head, parsed.start);
        while (!parsed.start.empty() && parsed.start.back() == '\r') parsed.start.pop_back();
        for (std::string line; std::getline(head, line);) {
            while (!line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon), value = line.substr(colon + 1);
            for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            while (!value.empty() && value.front() == ' ') value.erase(0, 1);
            parsed.fields[name] = value;
        }
        const std::size_t length = std::strtoul(parsed.field("content-length").c_str(), nullptr, 10);
        if (buffer_.size() < end + 4 + length) return false;
        parsed.body = buffer_.substr(end + 4, length);
        buffer_.erase(0, end + 4 + length);
        message = std::move(parsed);
        return true;
    }

    const int fd_;
    std::string buffer_;
};

// -------------------------------------------------------------------------------------------------- parties

// Calls `serve` in a thread of its own for each connection that comes in. Closes none itself.
class Listener {
public:
    explicit Listener(std::function<void(int)> serve) : fd_(listen_on_free_port(port_)) {
        std::thread([fd = fd_, serve = std::move(serve)] {
            for (;;) {
                const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    if (errno == EBADF || errno == EINVAL) return;
                    continue;
                }
                const int on = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread(serve, connection).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int port_ = 0;
    int fd_;
};

inline std::string http_answer(const std::string& status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An upstream that answers each request by a call of `answer`, which returns the bytes of the answer, or nothing
// where the connection shall be left without one.
class Upstream {
public:
    using Answer = std::function<std::string(const Message& request, double arrived_ms)>;
    Upstream(std::string name, int cell, Answer answer, std::string site = "wien-sued")
        : name_(std::move(name)), site_(std::move(site)), cell_(cell), listener_([answer = std::move(answer)](int fd) {
              Reader reader(fd);
              for (Message request; reader.read(request) == ReadEnd::message;) {
                  const double arrived = now_ms();
                  const std::string bytes = request.start.find(" /health") != std::string::npos
                                                ? http_answer("200 OK", "")
                                                : answer(request, arrived);
                  if (!bytes.empty() && !send_all(fd, bytes)) break;
              }
              ::close(fd);
          }) {}
    const std::string& name() const { return name_; }
    std::string entry(const std::string& health = "active", double born_ms = 0) const {
        std::ostringstream text;
        text.precision(15);
        text << "{\"host\":\"" << name_ << "\",\"dial\":\"" << listener_.address() << "\",\"site\":\"" << site_
             << "\",\"class\":\"std-1\",\"block\":" << cell_ << ",\"health\":\"" << health
             << "\",\"share\":1.0,\"born_ms\":" << born_ms << "}";
        return text.str();
    }

private:
    const std::string name_, site_;
    const int cell_;
    Listener listener_;
};

inline std::string list_text(int version, bool whole, const std::vector<std::string>& entries) {
    std::string text = "{\"seq\":" + std::to_string(version) + ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[";
    for (std::size_t i = 0; i < entries.size(); ++i) text += (i ? "," : "") + entries[i];
    return text + "]}";
}

inline std::string chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
inline const std::string watch_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A discovery that answers each watch with the whole list and keeps it open.
class SteadyDiscovery {
public:
    explicit SteadyDiscovery(std::string list)
        : listener_([list = std::move(list)](int fd) {
              Reader reader(fd);
              Message request;
              if (reader.read(request) == ReadEnd::message) {
                  record("discovery: %s", request.start.c_str());
                  if (request.start.find("stream=1") == std::string::npos) {
                      send_all(fd, http_answer("200 OK", list));
                  } else if (send_all(fd, watch_head + chunk(list + "\n"))) {
                      while (send_all(fd, chunk("\n"))) sleep_ms(2000);
                  }
              }
              ::close(fd);
          }) {}
    std::string address() const { return listener_.address(); }

private:
    Listener listener_;
};

// ------------------------------------------------------------------------------------------------- balancer

struct Configuration {
    int listen_port = 0;
    std::string discovery;
    std::string known;            // a list, or nothing
    std::string limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    std::string invariants = "{\"answer_slack\":8.0,\"ask_within\":10000.0,\"cold_from\":0.16,\"drain_grace\":2000.0,"
                             "\"fall\":1500.0,\"fall_multiple\":3.0,\"ramp_time\":24000.0}";
    int siblings = 1;
    std::vector<std::pair<std::string, std::string>> changes;  // texts of the settings and what stands in their place
};

// The classes and limits of the site: `eingang` and `freigabe`, and one class that may be repeated.
inline std::string configuration_text(const Configuration& c) {
    std::string text = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(c.listen_port) +
                       "\",\"discovery\":\"" + c.discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + c.limits;
    if (!c.known.empty()) text += ",\"known\":" + c.known;
    std::string settings =
           ",\"settings\":{\"rank\":0,\"siblings\":" + std::to_string(c.siblings) +
           ",\"zone\":0,\"zones\":[\"wien-sued\",\"wien-nord\",\"st-poelten\",\"wr-neustadt\"],\"flavors\":[\"std-1\"],"
           "\"tick\":2.0,\"registry_mode\":\"ask\",\"service_type\":\"proxy\",\"weights\":\"off\","
           "\"worth_by\":\"request\",\"over_share_worth\":0.2,"
           "\"services\":[{\"name\":\"eingang\",\"aim\":500.0,\"hard_limit\":1200.0,\"effect\":\"deduplicated\","
           "\"group\":\"cell\",\"window\":750.0,\"worth\":3.0,\"late_worth\":0.0,\"stream\":false},"
           "{\"name\":\"freigabe\",\"aim\":400.0,\"hard_limit\":1500.0,\"effect\":\"at_most_once\",\"group\":\"all\","
           "\"window\":5000.0,\"worth\":2.0,\"late_worth\":0.0,\"stream\":false}],"
           "\"tenants\":[{\"name\":\"tafel-wien\",\"quota_rps\":700.0,\"fraction\":0.5}],"
           "\"limits\":{\"cancel\":true,\"connect_timeout\":200.0,\"cpu_us_per_s\":500000,\"idle_close\":10000.0,"
           "\"max_attempts\":4,\"max_open\":20000,\"max_retry_after\":750.0,\"may_probe\":true,"
           "\"parallel_tries\":false,\"peers\":false,\"retry_after\":true,\"streams_per_conn\":1},"
           "\"load_report\":{\"fields\":[],\"how\":\"off\"},\"invariants\":" +
           c.invariants + "}}";
    for (const auto& [from, to] : c.changes) {
        const auto at = settings.find(from);
        if (at == std::string::npos) finish(could_not_run, "no such setting: " + from);
        settings.replace(at, from.size(), to);
    }
    return text + settings;
}

// Starts the balancer by the deploy file's command `run` (in $RUN), with its log in `folder`, and waits until it says that
// it listens and answers GET /ready. Ends the case where it does not.
inline void start_balancer(const Configuration& configuration, const std::string& folder) {
    const char* const command = std::getenv("RUN");
    if (!command) finish(could_not_run, "RUN is not set");
    const std::string path = folder + "/config.json", log_path = folder + "/balancer.log";
    std::ofstream(path) << configuration_text(configuration);
    const pid_t parent = ::getpid();
    balancer_pid = ::fork();
    if (balancer_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) std::_Exit(127);
        ::setenv("NODE_CONFIG", path.c_str(), 1);
        const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl("/bin/sh", "sh", "-c", command, nullptr);
        std::_Exit(127);
    }
    const double until = now_ms() + 30000;
    while (now_ms() < until) {
        if (::waitpid(balancer_pid, nullptr, WNOHANG) != 0) {
            balancer_pid = 0;
            finish(could_not_run, "the balancer ended at its start");
        }
        const int fd = connect_to(configuration.listen_port);
        if (fd >= 0) {
            send_all(fd, "GET /ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
            Reader reader(fd);
            Message answer;
            const bool ready = reader.read(answer, now_ms() + 2000) == ReadEnd::message && answer.status() == 200;
            ::close(fd);
            if (ready) {
                record("the balancer is ready, process %d", static_cast<int>(balancer_pid));
                return;
            }
        }
        sleep_ms(20);
    }
    finish(could_not_run, "the balancer was not ready within 30 s");
}

inline bool balancer_runs() { return balancer_pid > 0 && ::waitpid(balancer_pid, nullptr, WNOHANG) == 0; }

// A value in KiB from the balancer's /proc status, such as "VmRSS:".
inline long balancer_kib(const std::string& key) {
    std::ifstream status("/proc/" + std::to_string(balancer_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, key.size(), key) == 0) return std::atol(line.c_str() + key.size());
    }
    return 0;
}

inline std::string request_text(const std::string& service, const std::string& id, int budget_ms,
                                const std::string& body, const std::string& key = "") {
    return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + service +
           "\r\nX-Caller: tafel-wien\r\nX-Budget-Ms: " + std::to_string(budget_ms) + "\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace rig
