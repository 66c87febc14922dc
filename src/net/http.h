// HTTP/1.1 and socket helpers shared by the client side, the upstream side and discovery: message types,
// serialization, hop-by-hop headers, non-blocking reads and writes, and the program's log.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "net/readiness.h"

namespace flaxdoor::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr std::uint32_t max_header_bytes = 16 * 1024;  // of one message
inline constexpr std::size_t max_body_bytes = 64 * 1024;      // of one message
inline constexpr std::size_t max_read_bytes = 8 * 1024;       // of one read from a socket

// Returns the whole message as it is sent. The payload must be prepared.
std::string to_bytes(HttpRequest& message);
std::string to_bytes(HttpResponse& message);

// Returns the memory that a message holds: its fields with what the library stores beside their text, and the
// capacity of its body.
std::size_t memory_of(const HttpRequest& message);
std::size_t memory_of(const HttpResponse& message);

// Removes the headers that apply to one connection only: framing, and those that Connection lists.
void strip_hop_by_hop(http::fields& headers);

// Returns whether neither unread bytes nor the end of the connection has arrived. Such a connection may be
// given a request, or closed between two requests.
bool no_input_pending(tcp::socket& socket);

// Returns the first unread bytes without consuming them, at most as many as begins_response() looks at.
std::string peek_input(tcp::socket& socket);

// Returns whether the text begins, or may after more bytes turn out to begin, an HTTP response. False for an
// empty text.
bool begins_response(std::string_view text);

// Returns whether the peer has closed or reset the connection, even where unread bytes precede the close.
bool peer_has_closed(tcp::socket& socket);

// Waits until the socket is readable, reads once and calls `handler` with the read's error in the same event.
// Received bytes are therefore either still in the socket or already handled. An asynchronous read takes them
// out of the socket some events before its handler runs: no_input_pending() would miss them, and the buffer
// couldn't be consumed from meanwhile.
// The socket must be non-blocking; the handler keeps the socket and the buffer alive.
template <typename Handler>
void read_when_ready(tcp::socket& socket, beast::flat_buffer& buffer, Handler handler) {
    // By poll(): recv() would take a reset from the socket, and the read after it would report an end in
    // order.
    const bool is_ready = ready_events(socket.native_handle(), POLLIN) != 0;
    wait_until_ready(socket, tcp::socket::wait_read, is_ready,
                     [&socket, &buffer, handler = std::move(handler)](error_code error) mutable {
                         std::size_t size = 0;
                         if (!error) size = socket.read_some(buffer.prepare(max_read_bytes), error);
                         if (is_transient(error)) {
                             read_when_ready(socket, buffer, std::move(handler));
                             return;
                         }
                         buffer.commit(size);
                         handler(error);
                     });
}

// Calls `handler` once the socket can take bytes again, or might after a write that failed for a moment.
template <typename Handler>
void write_when_ready(tcp::socket& socket, Handler handler) {
    const bool is_ready = ready_events(socket.native_handle(), POLLOUT) != 0;
    wait_until_ready(socket, tcp::socket::wait_write, is_ready, std::move(handler));
}

// Writes as much as the socket accepts without blocking, from offset `written` on, and advances `written`.
// Returns false when the connection is broken.
bool write_some(tcp::socket& socket, const std::string& bytes, std::size_t& written);

// Writes one line to standard error.
void log(std::string_view line);

}  // namespace flaxdoor::net
