// One client connection of Clients: reads a request, waits for its response, writes that, and repeats.
// Private to the client side.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/clients.h"
#include "net/message_parser.h"
#include "net/outgoing_message.h"

namespace flaxdoor::net {

// A read is pending in every state, so that a disconnect is detected at once.
class Clients::Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class State { reading, waiting, writing, lingering };
    static constexpr std::size_t state_count = 4;

    Connection(Clients& owner, tcp::socket socket);

    void start();

    // Returns whether the connection is between requests with no part of a request, and no close, received.
    bool is_idle();
    // Returns whether the connection has been idle for long enough to be closed for a new one.
    bool may_be_replaced(Time now);
    State state() const { return state_; }
    Time state_since() const { return state_since_; }
    // Returns whether the connection is so new that its first request is most likely on its way.
    bool is_new() const;
    // Returns why the connection must be closed if it has been in its state for too long.
    std::optional<CloseReason> overdue_reason(Time now);

    // Writes the response to the request, then reads the next request or closes.
    void respond(HttpResponse response);
    // Goes on with a response of which a part is still to be written. The sweep calls it too, for a wait that
    // the system could not register.
    void continue_write();
    // Detects a disconnect that has reached the socket before the event loop delivers it.
    void detect_disconnect();
    void close(CloseReason reason);

    // Bytes held of the request being read, or behind the one being served.
    std::size_t input_bytes() const { return input_charge_.bytes(); }
    // Bytes held of the response being written.
    std::size_t response_bytes() const { return response_charge_.bytes(); }
    // Gives up the input held: refuses the request being read, or drops what is behind the one being served.
    void shed_input();

private:
    bool has_partial_request() const;
    // Returns whether the client has stopped in the middle of a request.
    bool has_stalled(Time now);
    // Returns whether the connection closes after this response. During the shutdown a further request that
    // has already arrived keeps it open for its own response, so that the request is not lost.
    bool closes_after_response();
    void set_state(State state);
    // Answers a request that can't be read. Its end is unknown, so the connection closes after the response.
    void reject_malformed(http::status status, const std::string& cause);
    // Ends the reading of a request and frees what it took.
    void stop_reading();
    // Frees the input buffer if it is empty, and charges what is held of the input.
    void release_and_charge_input();
    void log_close(CloseReason reason);
    void prepare_to_read_request();
    void read();
    // Bounds the input buffered behind the request being served. Input beyond the bound is discarded, and the
    // connection closes after the response. Reading goes on all the same: without a read a disconnect would
    // go undetected.
    void limit_buffered_input();
    void discard_buffered_input();
    void on_input();
    void on_disconnect();
    void process_input();
    void dispatch(HttpRequest message);
    void write();
    void on_response_written();
    // Lingering close: closing the socket with unread input would reset the connection and could destroy the
    // response on its way. Only the sending side is shut down, and input is discarded until the client
    // closes.
    void linger();

    Clients& owner_;
    const std::uint64_t id_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;  // only while reading
    MemoryBudget::Charge input_charge_;
    OutgoingMessage response_;
    MemoryBudget::Charge response_charge_;
    RequestId request_id_ = 0;
    unsigned request_count_ = 0;
    Time state_since_{};  // when the state was entered, or the first byte of the request read
    Time last_input_at_{};
    State state_ = State::reading;
    const Time opened_at_;
    bool has_received_request_ = false;  // a complete request has been received
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool keep_alive_ = true;
    bool continue_sent_ = false;
    bool input_discarded_ = false;
    bool refused_for_memory_ = false;
    bool close_after_write_ = false;
    bool closed_ = false;
};

}  // namespace flaxdoor::net
