// What a scripted discovery says and has been asked.
#pragma once

#include <sstream>
#include <string>

#include "peers.h"

namespace flaxdoor::test {

inline const std::string watch_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string last_chunk = "0\r\n\r\n";

inline std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

// Has the nth call come?
inline bool asked(const Listener& discovery, std::size_t n) {
    return discovery.wires.size() >= n && has(discovery.wires[n - 1]->in, "\r\n\r\n");
}

}  // namespace flaxdoor::test
