// An upstream whose connections are held back, and what else several test files need around a HostHarness.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "peers.h"

namespace flaxdoor::test {

// Has every event that is on its way by now been handled? Each answer needs turns of the loop of its own.
inline void settle(HostHarness& s) {
    for (int i = 0; i < 3; ++i) {
        const auto client = s.connect_client();
        client->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        s.await_response(*client);
    }
}

inline const std::string turned_away =
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

// An upstream of which connections come up only when it is let: its queue of them is full till then.
class Slow {
public:
    explicit Slow(HostHarness& s) : loop_(s.loop), acceptor_(s.loop) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        acceptor_.listen(0);
        s.config["known"]["hosts"][0]["dial"] = endpoint_text(acceptor_.local_endpoint());
        for (int i = 0; i < 4; ++i) wait_in_line();
        s.run_until([&] { return through_ > 0; });
    }
    ~Slow() { acceptor_.close(); }

    void wait_in_line() {
        lines_.push_back(std::make_shared<tcp::socket>(loop_));
        lines_.back()->async_connect(acceptor_.local_endpoint(), [this, line = lines_.back()](auto error) {
            through_ += !error;
            boost::system::error_code ignored;
            asio::write(*line, asio::buffer("x", 1), ignored);  // or the listener's side may not come up
        });
    }
    // Takes connections, until all that wait in line have come through.
    void let(HostHarness& s) {
        wait_in_line();  // behind the host's
        accept();
        s.run_until([&] { return through_ == lines_.size() && wires.size() >= lines_.size(); });
        settle(s);
    }

    std::vector<std::shared_ptr<PeerConnection>> wires;

private:
    void accept() {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            wires.push_back(std::make_shared<PeerConnection>(std::move(socket)));
            wires.back()->start();
            accept();
        });
    }
    asio::io_context& loop_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> lines_;
    std::size_t through_ = 0;
};

inline void allow_slow_connections(HostHarness& s) {
    for (auto& c : s.config["settings"]["services"]) c["aim"] = 15000.0;
    for (auto& c : s.config["settings"]["services"]) c["hard_limit"] = 15000.0;
    s.config["settings"]["limits"]["connect_timeout"] = 15000.0;
}

}  // namespace flaxdoor::test
