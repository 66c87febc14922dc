// Host of the policies that a simulator runs, one Policy for each instance. Reads batches of events from
// standard input and writes a reply with the policies' actions to standard output for each.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>

#include "flaxdoor/decide.h"
#include "wire.h"

namespace {

using namespace flaxdoor;

// One instance: owns its policy and writes the policy's actions to the reply.
class Instance : public Actions {
public:
    Instance(std::uint32_t number, wire::ReplyWriter& reply) : number_(number), reply_(reply) {}

    void create_policy(const wire::CreateEvent& create, Time now) {
        policy_.reset();
        policy_ =
            std::make_unique<Policy>(wire::parse_settings(create.settings_text), create.seed, now, *this);
    }
    void destroy_policy() { policy_.reset(); }
    Policy* policy() { return policy_.get(); }

    void submit(RequestId request, UpstreamId upstream, Micros timeout, Time) override {
        reply_.submit(number_, request, upstream, timeout);
    }
    void refuse(RequestId request, Micros retry_after) override {
        reply_.refuse(number_, request, retry_after);
    }
    void fail(RequestId request) override { reply_.fail(number_, request); }
    void cancel(RequestId request, int attempt) override { reply_.cancel(number_, request, attempt); }
    void probe(UpstreamId upstream) override { reply_.probe(number_, upstream); }
    void set_timer(Time at, std::uint64_t token) override { reply_.set_timer(number_, at, token); }
    void watch() override { reply_.watch(number_, true); }
    void unwatch() override { reply_.watch(number_, false); }
    void fetch() override { reply_.fetch(number_); }
    void close_idle(UpstreamId upstream) override { reply_.close_idle(number_, upstream); }
    void send_message(std::optional<int> peer, std::string_view payload) override {
        reply_.send_message(number_, peer, payload);
    }
    void log(std::string_view line) override { reply_.log(number_, line); }

private:
    std::uint32_t number_;
    wire::ReplyWriter& reply_;
    std::unique_ptr<Policy> policy_;
};

// Owns the instances, each created by the first event that names it, and passes them their events.
class Host {
public:
    // Handles all events of a batch and returns the reply. Throws wire::WireError on a malformed batch.
    std::string process_batch(const wire::BatchHeader& header, std::string_view body) {
        decoder_.decode(header, body, [&](const wire::Event& event) { handle_event(header.now, event); });
        return reply_.finish(header.number);
    }

private:
    // An exception that the event causes in its instance is reported in the reply; later events are still
    // handled.
    void handle_event(Time now, const wire::Event& event) {
        auto& instance = instances_[event.instance];
        if (!instance) instance = std::make_unique<Instance>(event.instance, reply_);
        try {
            std::visit([&](const auto& body) { dispatch(now, *instance, body); }, event.body);
        } catch (const wire::WireError&) {
            throw;
        } catch (const std::exception& error) {
            reply_.report_error(event.instance, error.what());
        }
    }

    // One overload for each kind of event. Events other than CreateEvent are dropped if the instance has no
    // policy.
    static void dispatch(Time now, Instance& instance, const wire::CreateEvent& body) {
        instance.create_policy(body, now);
    }
    static void dispatch(Time, Instance& instance, const wire::ExitEvent&) { instance.destroy_policy(); }
    static void dispatch(Time now, Instance& instance, const wire::MessageEvent& body) {
        if (instance.policy()) instance.policy()->on_message(now, body.sender_rank, body.payload);
    }
    static void dispatch(Time now, Instance& instance, const wire::ListEvent& body) {
        static const std::vector<UpstreamEntry> none;
        if (instance.policy())
            instance.policy()->on_list(now, body.kind, body.entries ? *body.entries : none, body.version);
    }
    static void dispatch(Time now, Instance& instance, const Request& body) {
        if (instance.policy()) instance.policy()->on_request(now, body);
    }
    static void dispatch(Time now, Instance& instance, const AttemptEnd& body) {
        if (instance.policy()) instance.policy()->on_attempt_end(now, body);
    }
    static void dispatch(Time now, Instance& instance, const ProbeResult& body) {
        if (instance.policy()) instance.policy()->on_probe_result(now, body);
    }
    static void dispatch(Time now, Instance& instance, const wire::TimerEvent& body) {
        if (instance.policy()) instance.policy()->on_timer(now, body.token);
    }
    static void dispatch(Time now, Instance& instance, const ResponseStart& body) {
        if (instance.policy()) instance.policy()->on_response_start(now, body);
    }
    static void dispatch(Time now, Instance& instance, const wire::ClientGoneEvent& body) {
        if (instance.policy()) instance.policy()->on_client_gone(now, body.request);
    }

    wire::Decoder decoder_;
    wire::ReplyWriter reply_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
};

// Reads `size` bytes from standard input. Returns false if `eof_allowed` is set and the input ends before the
// first byte; throws wire::WireError, with `location` at the end of the message, if it ends before the last.
// Reads in pieces, so that a false size in a header allocates little more memory than the bytes that arrive.
bool read_exactly(std::string& buffer, std::size_t size, const std::string& location,
                  bool eof_allowed = false) {
    constexpr std::size_t chunk_size = 1U << 20;
    buffer.clear();
    while (buffer.size() < size) {
        const std::size_t received = buffer.size();
        const std::size_t requested = std::min(chunk_size, size - received);
        buffer.resize(received + requested);
        const std::size_t read_count = std::fread(buffer.data() + received, 1, requested, stdin);
        if (read_count == requested) continue;
        if (received + read_count == 0 && eof_allowed) return false;
        throw wire::WireError("input truncated: " + std::to_string(received + read_count) + " of " +
                              std::to_string(size) + " bytes" + location);
    }
    return true;
}

}  // namespace

int main() {
    try {
        Host host;
        std::string header_bytes;
        std::string body;
        std::string location = " (header of the first batch)";
        while (read_exactly(header_bytes, wire::batch_header_size, location, true)) {
            const auto header = wire::decode_header(header_bytes);
            const std::string batch_text = "batch " + std::to_string(header.number) + ")";
            read_exactly(body, header.body_size, " (" + batch_text);
            location = " (header after " + batch_text;
            const std::string reply = host.process_batch(header, body);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0) {
                throw wire::WireError("could not write the reply");
            }
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor: %s\n", error.what());
        return 1;
    }
    return 0;
}
