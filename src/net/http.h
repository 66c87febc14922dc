// What both sides share: the message types, messages as bytes, headers that go on, sockets that stay quiet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace flaxdoor::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr std::uint32_t header_most = 16 * 1024;
inline constexpr std::size_t body_most = 64 * 1024;
inline constexpr std::size_t read_most = 8 * 1024;  // at once

std::string to_bytes(HttpRequest& message);
std::string to_bytes(HttpResponse& message);

// Takes out what is meant for one connection only: framing, and what Connection names.
void strip_hop_by_hop(http::fields& headers);

// No bytes and no end have come: safe to write a request to, or to close between two requests.
bool quiet(tcp::socket& socket);

// The first bytes that have come and are still unread, up to the length of an answer's protocol name.
std::string peek(tcp::socket& socket);

// Whether the text is, or may become, the beginning of an answer.
bool begins_answer(std::string_view text);

// The end of the connection, or its reset, has come: next, or behind bytes that are still unread.
bool ended(tcp::socket& socket);

// Reads once something has come, and hands the error of that to `handler` in the same turn of the loop. So
// what has come stands in the socket or has been handled: an asynchronous read takes it out of the socket
// turns before its handler runs, unseen by `quiet`, and leaves no way to consume from the buffer meanwhile.
// The socket must not block; the handler keeps it and the buffer alive.
template <typename Handler>
void read_when_ready(tcp::socket& socket, beast::flat_buffer& buffer, Handler handler) {
    socket.async_wait(tcp::socket::wait_read,
                      [&socket, &buffer, handler = std::move(handler)](error_code error) mutable {
                          std::size_t got = 0;
                          if (!error) got = socket.read_some(buffer.prepare(read_most), error);
                          if (error == asio::error::would_block) {
                              read_when_ready(socket, buffer, std::move(handler));
                              return;
                          }
                          buffer.commit(got);
                          handler(error);
                      });
}

// Writes what the socket takes at once. False when the connection is broken.
bool write_some(tcp::socket& socket, const std::string& bytes, std::size_t& written);

void log(std::string_view line);

}  // namespace flaxdoor::net
