// Parses one HTTP message from an untrusted peer. Beast limits the size of a message's header and body only:
// it buffers a chunk extension or a trailer of any size, stores any number of fields, and throws on a trailer
// field of more than 65,533 bytes. The parser here bounds all of them and reports what exceeds a bound as an
// error.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>

#include "net/http.h"

namespace flaxdoor::net {

// Maximum number of bytes that stay buffered because their end has not been received: a header, the line of a
// chunk with its extensions, or a trailer.
inline constexpr std::size_t max_unparsed_bytes = max_header_bytes;
// Maximum number of header fields in a message. A field of a few bytes takes about 100 bytes of memory.
inline constexpr std::size_t max_header_fields = 256;
// Maximum size of a message with everything that frames its body. A body of `max_body_bytes` that is sent in
// chunks of one byte takes six times as much.
inline constexpr std::uint64_t max_message_bytes = 1024 * 1024;

// Whether the size of a message is limited. The response to a discovery watch has no end.
enum class MessageLength { limited, unlimited };

// Parses one message. Trailer fields are checked and dropped, never merged into the header: a trailer must
// not decide how a message is handled.
template <bool is_request>
class MessageParser final : public http::parser<is_request, http::string_body> {
public:
    explicit MessageParser(MessageLength length = MessageLength::limited) : length_(length) {
        this->header_limit(max_header_bytes);
        this->eager(true);
        if (length == MessageLength::limited) {
            this->body_limit(max_body_bytes);
        } else {
            this->body_limit(boost::none);
        }
    }

    // Parses and consumes what `buffer` holds of the message. Sets `error` to http::error::need_more where
    // the message is incomplete, to http::error::header_limit or body_limit where it exceeds a bound, and to
    // another error of http::error where it is malformed. Does not throw on any input.
    void parse(beast::flat_buffer& buffer, error_code& error) {
        error = {};
        while (buffer.size() > 0 && !this->is_done()) {
            const std::size_t offered = std::min(buffer.size(), max_unparsed_bytes);
            const std::size_t consumed = this->put(asio::buffer(buffer.data(), offered), error);
            buffer.consume(consumed);
            message_bytes_ += consumed;
            if (error && error != http::error::need_more) return;
            const bool too_long = length_ == MessageLength::limited && message_bytes_ > max_message_bytes;
            if (too_long || (consumed == 0 && offered == max_unparsed_bytes)) {
                error = http::error::header_limit;
                return;
            }
            if (consumed == 0) return;
        }
    }

private:
    void on_field_impl(http::field name, beast::string_view name_text, beast::string_view value,
                       error_code& error) override {
        if (this->is_header_done()) return;  // a trailer field
        if (++field_count_ > max_header_fields) {
            error = http::error::header_limit;
            return;
        }
        this->get().insert(name, name_text, value);
    }

    const MessageLength length_;
    std::uint64_t message_bytes_ = 0;
    std::size_t field_count_ = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace flaxdoor::net
