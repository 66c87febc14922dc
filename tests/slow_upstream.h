// An upstream that delays accepting connections, and helpers for the tests that use a Stage.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "peers.h"

namespace flaxdoor::test {

// Runs the loop until every event that is pending now has been handled. Each response needs turns of the loop
// of its own.
inline void settle(Stage& s) {
    for (int i = 0; i < 3; ++i) {
        const auto client = s.client();
        client->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.answer(*client);
    }
}

inline const std::string turned_away =
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

// An upstream to which connections are established only on demand: until then its listen backlog is full.
class Slow {
public:
    explicit Slow(Stage& s) : loop_(s.loop), acceptor_(s.loop) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        acceptor_.listen(0);
        s.config["known"]["hosts"][0]["dial"] = text_of(acceptor_.local_endpoint());
        for (int i = 0; i < 4; ++i) wait_in_line();
        s.until([&] { return through_ > 0; });
    }
    ~Slow() { acceptor_.close(); }

    void wait_in_line() {
        lines_.push_back(std::make_shared<tcp::socket>(loop_));
        lines_.back()->async_connect(acceptor_.local_endpoint(), [this, line = lines_.back()](auto error) {
            through_ += !error;
            boost::system::error_code ignored;
            asio::write(*line, asio::buffer("x", 1),
                        ignored);  // without data, the listener's side may not come up
        });
    }
    // Accepts connections until all queued ones are established.
    void let(Stage& s) {
        wait_in_line();  // queued behind the host's connections
        accept();
        s.until([&] { return through_ == lines_.size() && wires.size() >= lines_.size(); });
        settle(s);
    }

    std::vector<std::shared_ptr<Wire>> wires;

private:
    void accept() {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            wires.push_back(std::make_shared<Wire>(std::move(socket)));
            wires.back()->start();
            accept();
        });
    }
    asio::io_context& loop_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> lines_;
    std::size_t through_ = 0;
};

// Extends deadlines and the connect timeout, so that no slow connection attempt is given up.
inline void allow_slow_connections(Stage& s) {
    for (auto& c : s.config["settings"]["services"]) c["aim"] = 15000.0;
    for (auto& c : s.config["settings"]["services"]) c["hard_limit"] = 15000.0;
    s.config["settings"]["limits"]["connect_timeout"] = 15000.0;
}

}  // namespace flaxdoor::test
