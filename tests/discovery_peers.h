// What test files share that play discovery for its client.
#pragma once

#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "net/discovery.h"
#include "peers.h"

namespace flaxdoor::test {

inline const char* const watch_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const char* const last_chunk = "0\r\n\r\n";
inline const char* const refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

inline std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

// What the client reports, in order.
class Reports final : public net::DiscoveryEvents {
public:
    void on_list(net::List list) override { lists.push_back(std::move(list)); }
    void on_list_failed(net::ListFailure failure) override { failures.push_back(failure); }

    std::vector<std::uint64_t> versions() const {
        std::vector<std::uint64_t> all;
        for (const net::List& each : lists) all.push_back(each.version);
        return all;
    }

    std::vector<net::List> lists;
    std::vector<net::ListFailure> failures;
};

inline bool asked(const Listener& discovery, std::size_t n) {
    return discovery.connections.size() >= n && contains(discovery.connections[n - 1]->received, "\r\n\r\n");
}

// The connections that carry a call, in the order in which they came: all but the checks, which carry
// nothing.
inline std::vector<std::shared_ptr<PeerConnection>> calls_at(const Listener& discovery) {
    std::vector<std::shared_ptr<PeerConnection>> calls;
    for (const auto& wire : discovery.connections) {
        if (!wire->received.empty()) calls.push_back(wire);
    }
    return calls;
}

}  // namespace flaxdoor::test
