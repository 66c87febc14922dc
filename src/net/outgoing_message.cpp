#include "net/outgoing_message.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace flaxdoor::net {

OutgoingMessage::OutgoingMessage(HttpRequest& header, SharedBody body)
    : header_(to_bytes(header)), body_(std::move(body)) {}

OutgoingMessage::OutgoingMessage(HttpResponse response)
    : body_(std::make_shared<const std::string>(std::move(response.body()))) {
    response.body().clear();
    header_ = to_bytes(response);
}

bool OutgoingMessage::write_some(tcp::socket& socket) {
    while (!is_written()) {
        const std::size_t from_header = std::min(written_bytes_, header_.size());
        const std::size_t from_body = written_bytes_ - from_header;
        const std::array<asio::const_buffer, 2> unwritten{
            asio::buffer(header_) + from_header,
            body_ ? asio::buffer(*body_) + from_body : asio::const_buffer()};
        error_code error;
        written_bytes_ += socket.write_some(unwritten, error);
        if (error == asio::error::interrupted) continue;
        if (is_transient(error)) return true;
        if (error) return false;
    }
    return true;
}

}  // namespace flaxdoor::net
