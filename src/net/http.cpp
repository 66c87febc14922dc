#include "net/http.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <cstdio>
#include <vector>

namespace flaxdoor::net {

namespace {

constexpr std::string_view response_prefix = "HTTP/1.";
// A look at a socket that fails so often in a row does not fail for a moment only.
constexpr int max_peeks = 10;
// Memory that the library takes for a header field beside the text of its name and value.
constexpr std::size_t field_overhead_bytes = 80;

// Looks at unread bytes without consuming them, as recv() does. Repeats a look that fails for a moment.
ssize_t peek(tcp::socket& socket, char* bytes, std::size_t size) {
    ssize_t peeked = 0;
    for (int i = 0; i < max_peeks; ++i) {
        peeked = ::recv(socket.native_handle(), bytes, size, MSG_PEEK | MSG_DONTWAIT);
        if (peeked >= 0 || (errno != EINTR && errno != ENOMEM)) break;
    }
    return peeked;
}

template <typename Message>
std::size_t memory_of_message(const Message& message) {
    std::size_t bytes = message.body().capacity();
    for (const auto& field : message) {
        bytes += field_overhead_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

template <typename Message>
std::string serialize_message(Message& message) {
    http::serializer<Message::is_request::value, http::string_body> serializer(message);
    std::string bytes;
    while (!serializer.is_done()) {
        error_code error;
        serializer.next(error, [&](error_code&, const auto& buffers) {
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            }
            serializer.consume(beast::buffer_bytes(buffers));
        });
        if (error) break;
    }
    return bytes;
}

}  // namespace

std::string to_bytes(HttpRequest& message) { return serialize_message(message); }
std::string to_bytes(HttpResponse& message) { return serialize_message(message); }

std::size_t memory_of(const HttpRequest& message) { return memory_of_message(message); }
std::size_t memory_of(const HttpResponse& message) { return memory_of_message(message); }

void strip_hop_by_hop(http::fields& headers) {
    std::vector<std::string> connection_options;
    for (auto [at, end] = headers.equal_range(http::field::connection); at != end; ++at) {
        for (const auto name : http::token_list(at->value())) connection_options.emplace_back(name);
    }
    for (const auto& name : connection_options) headers.erase(name);
    for (const auto field : {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                             http::field::proxy_authenticate, http::field::proxy_authorization,
                             http::field::te, http::field::trailer, http::field::transfer_encoding,
                             http::field::upgrade, http::field::expect, http::field::content_length}) {
        headers.erase(field);
    }
}

bool no_input_pending(tcp::socket& socket) {
    char byte = 0;
    return peek(socket, &byte, 1) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string peek_input(tcp::socket& socket) {
    std::string bytes(response_prefix.size(), '\0');
    const auto size = peek(socket, bytes.data(), bytes.size());
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return bytes;
}

bool begins_response(std::string_view text) {
    return !text.empty() && text.substr(0, response_prefix.size()) == response_prefix.substr(0, text.size());
}

bool peer_has_closed(tcp::socket& socket) {
    char byte = 0;
    const auto size = peek(socket, &byte, 1);
    if (size == 0) return true;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return false;
    // Unread bytes hide a close from recv(), and recv() may fail without one; poll() reports the close.
    return ready_events(socket.native_handle(), POLLRDHUP) != 0;
}

bool write_some(tcp::socket& socket, const std::string& bytes, std::size_t& written) {
    while (written < bytes.size()) {
        error_code error;
        written += socket.write_some(asio::buffer(bytes.data() + written, bytes.size() - written), error);
        if (error == asio::error::interrupted) continue;
        if (is_transient(error)) return true;
        if (error) return false;
    }
    return true;
}

void log(std::string_view line) {
    std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
}

}  // namespace flaxdoor::net
