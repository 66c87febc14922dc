// A message on its way to a socket. Its body is never copied: attempts of one request share it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "net/http.h"

namespace flaxdoor::net {

using SharedBody = std::shared_ptr<const std::string>;

class OutgoingMessage {
public:
    OutgoingMessage() = default;
    // `header` has no body of its own; its Content-Length is that of `body`, which may be null.
    OutgoingMessage(HttpRequest& header, SharedBody body);
    // Takes the body out of the response, whose payload must be prepared.
    explicit OutgoingMessage(HttpResponse response);

    // Writes as much as the socket accepts without blocking. Returns false when the connection is broken.
    bool write_some(tcp::socket& socket);
    // Returns whether the whole message has been handed to the socket; true for an empty one.
    bool is_written() const { return written_bytes_ == header_.size() + body_size(); }
    // Memory that the message's header and body take.
    std::size_t header_memory() const { return header_.capacity(); }
    std::size_t body_memory() const { return body_ ? body_->capacity() : 0; }

private:
    std::size_t body_size() const { return body_ ? body_->size() : 0; }

    std::string header_;
    SharedBody body_;
    std::size_t written_bytes_ = 0;
};

}  // namespace flaxdoor::net
