// The codec of the simulator's binary protocol, which decodes batches of events and encodes replies of
// actions, and the parser of the settings text, which the balancer's configuration uses too. No
// load-balancing decisions are made here.
//
// All numbers are little-endian; times and durations are doubles in milliseconds.
//   batch  header, event records of fixed size, then a tail that holds texts and list entries
//   reply  header, action records of fixed size, then a tail that holds texts
// Every record begins with its code (16 bits) and the number of its instance (32 bits; in a list definition,
// the number of the list instead). Offsets into a tail count from the start of the tail.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::wire {

// Sizes in bytes.
inline constexpr std::size_t batch_header_size = 20;
inline constexpr std::size_t reply_header_size = 12;
inline constexpr std::size_t event_size = 48;
inline constexpr std::size_t action_size = 24;
inline constexpr std::size_t list_entry_size = 25;        // in the tail of a batch
inline constexpr std::uint32_t max_body_size = 1U << 30;  // of a batch without its header

// Input that violates the protocol, or a failure to transfer a frame. what() names the fault and, as far as
// known, the batch and the record.
class WireError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct BatchHeader {
    std::uint32_t number = 0;
    Time now{};
    std::uint32_t body_size = 0;  // bytes of all records and the tail
    std::uint32_t record_count = 0;
};

// Creates an instance, in place of an earlier one under the same number.
struct CreateEvent {
    std::uint64_t seed = 0;
    std::string_view settings_text;  // see parse_settings()
};
struct ListEvent {
    ListKind kind = ListKind::failed;
    const std::vector<UpstreamEntry>* entries = nullptr;  // owned by the Decoder; null for a failed call
    std::uint64_t version = 0;
};
struct TimerEvent {
    std::uint64_t token = 0;
};
struct ClientGoneEvent {
    RequestId request = 0;
};
// Destroys the instance's policy.
struct ExitEvent {};
// A message from another balancer.
struct MessageEvent {
    int sender_rank = 0;
    std::string_view payload;
};

// One decoded event. Its views and pointers are valid only while the visitor of Decoder::decode() runs.
struct Event {
    std::uint32_t instance = 0;
    std::variant<CreateEvent, ListEvent, Request, AttemptEnd, ProbeResult, TimerEvent, ResponseStart,
                 ClientGoneEvent, ExitEvent, MessageEvent>
        body;
};

// Throws WireError if `bytes` isn't a valid header of exactly batch_header_size bytes.
BatchHeader decode_header(std::string_view bytes);

// Decodes the event records of batches. A list that one batch defines keeps its number and its entries in
// later batches, until it is defined again.
class Decoder {
public:
    // Calls `visit` with each event in order. Throws WireError on a malformed batch, possibly after some
    // events have been visited.
    template <typename Visitor>
    void decode(const BatchHeader& header, std::string_view body, Visitor&& visit) {
        begin_batch(header, body);
        Event event;
        while (next_event(event)) visit(event);
    }

private:
    void begin_batch(const BatchHeader& header, std::string_view body);
    bool next_event(Event& event);
    void read_list_definition(std::string_view record);

    std::string_view body_;
    std::string_view tail_;
    std::uint32_t batch_number_ = 0;
    std::uint32_t record_count_ = 0;
    std::uint32_t record_index_ = 0;
    std::array<std::vector<UpstreamEntry>, 16> lists_;
    std::array<bool, 16> list_defined_{};
};

// Collects the actions of one reply. `instance` is the number of the instance that the action belongs to. A
// request's id is written with 32 bits, as it was read.
class ReplyWriter {
public:
    void submit(std::uint32_t instance, RequestId request, UpstreamId upstream, Micros timeout);
    void refuse(std::uint32_t instance, RequestId request, Micros retry_after);
    void fail(std::uint32_t instance, RequestId request);
    void cancel(std::uint32_t instance, RequestId request, int attempt);
    void probe(std::uint32_t instance, UpstreamId upstream);
    void set_timer(std::uint32_t instance, Time at, std::uint64_t token);
    // Starts the subscription to the list, or ends it if `on` is false.
    void watch(std::uint32_t instance, bool on);
    void fetch(std::uint32_t instance);
    void close_idle(std::uint32_t instance, UpstreamId upstream);
    // Sends a message to the balancer of rank `peer`, or to all others.
    void send_message(std::uint32_t instance, std::optional<int> peer, std::string_view payload);
    void log(std::uint32_t instance, std::string_view line);
    // Reports that an event made the instance throw an exception.
    void report_error(std::uint32_t instance, std::string_view text);

    // Returns the whole reply to the batch of that number and empties the writer.
    std::string finish(std::uint32_t batch_number);

private:
    // Appends a zeroed record and returns a pointer to it, which is valid until the next call.
    char* append_record(std::uint16_t code, std::uint32_t instance);
    // Appends `text` to the tail and stores its offset and size at byte `offset` of the record.
    void append_text(char* record, std::size_t offset, std::string_view text);

    std::string records_;
    std::string tail_;
    std::uint32_t action_count_ = 0;
};

// Parses lines of the form `path.name=value`. Unknown settings are skipped. Throws std::invalid_argument,
// naming the setting, if one is missing or can't be read.
Settings parse_settings(std::string_view text);

}  // namespace flaxdoor::wire
