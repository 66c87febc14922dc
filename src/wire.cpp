#include "wire.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>
#include <map>
#include <optional>

namespace flaxdoor::wire {

static_assert(std::endian::native == std::endian::little, "the protocol is little-endian");

namespace {

// Record codes, under the simulator's names; each comment names the event or the action of this library.
namespace event_code {
constexpr std::uint16_t probe_done = 256,  // ProbeResult
    registry = 257,                        // ListEvent
    create = 258,                          // CreateEvent
    bell = 259,                            // TimerEvent
    catalog = 260,                         // definition of a numbered list, to which registry records refer
    under_way = 261,                       // ResponseStart
    order = 262,                           // Request
    closed_attempt = 263,                  // AttemptEnd
    datagram = 264,                        // MessageEvent
    lapsed = 265,                          // ClientGoneEvent
    exit = 266;                            // ExitEvent
}
namespace action_code {
constexpr std::uint16_t remark = 256,  // Actions::log()
    shed = 257,                        // Actions::refuse()
    submit_to = 258,                   // Actions::submit()
    panic = 259,                       // ReplyWriter::report_error()
    check = 260,                       // Actions::probe()
    broadcast_to = 261,                // Actions::send_message()
    abort_attempt = 262,               // Actions::cancel()
    surrender = 263,                   // Actions::fail()
    free_links = 264,                  // Actions::close_idle()
    set_alarm = 265,                   // Actions::set_timer()
    stream_changes = 266,              // Actions::watch() and unwatch()
    list_all = 267;                    // Actions::fetch()
}

template <typename T>
T load(std::string_view bytes, std::size_t offset) {
    T value;
    std::memcpy(&value, bytes.data() + offset, sizeof value);
    return value;
}

template <typename T>
void store(char* to, T value) {
    std::memcpy(to, &value, sizeof value);
}

std::string location_text(std::uint32_t batch, std::uint32_t record) {
    return " (batch " + std::to_string(batch) + ", record " + std::to_string(record) + ")";
}

constexpr std::uint32_t all_peers = 0xffffffff;  // receiver of a message to all other balancers

constexpr double max_ms = 1e12;  // larger values could overflow 64 bits in microseconds

// Returns nullopt if `ms` is NaN or its magnitude exceeds max_ms.
std::optional<Micros> micros_from_ms(double ms) {
    if (!(std::fabs(ms) <= max_ms)) return std::nullopt;
    return Micros(std::llround(ms * 1000.0));
}

double ms_from_micros(Micros duration) { return static_cast<double>(duration.count()) / 1000.0; }

// Loads an upstream's id from six bytes: the IPv4 address, then the port.
UpstreamId load_upstream_id(std::string_view bytes, std::size_t offset) {
    UpstreamId id = 0;
    std::memcpy(&id, bytes.data() + offset, 6);
    return id;
}

std::optional<Outcome> outcome_from_status(std::uint8_t status) {
    switch (status) {
        case 0: return Outcome::ok;
        case 255: return Outcome::error;
        case 254: return Outcome::rejected;
        case 253: return Outcome::timeout;
        case 252: return Outcome::connect_failed;
        case 251: return Outcome::reset;
        case 250: return Outcome::cancelled;
        case 249: return Outcome::not_sent;
        default: return std::nullopt;
    }
}

}  // namespace

// ------------------------------------------------------------------------------------------------ frames

BatchHeader decode_header(std::string_view bytes) {
    if (bytes.size() != batch_header_size) throw WireError("batch header truncated");
    BatchHeader header;
    header.number = load<std::uint32_t>(bytes, 0);
    const std::string location = " (batch " + std::to_string(header.number) + ")";
    const auto now = micros_from_ms(load<double>(bytes, 4));
    if (!now) throw WireError("clock out of range" + location);
    header.now = *now;
    header.body_size = load<std::uint32_t>(bytes, 12);
    header.record_count = load<std::uint32_t>(bytes, 16);
    if (header.body_size > max_body_size) throw WireError("frame too long" + location);
    if (std::uint64_t{header.record_count} * event_size > header.body_size) {
        throw WireError("more records than the frame holds" + location);
    }
    return header;
}

void Decoder::begin_batch(const BatchHeader& header, std::string_view body) {
    if (body.size() != header.body_size || std::uint64_t{header.record_count} * event_size > body.size()) {
        throw WireError("frame truncated (batch " + std::to_string(header.number) + ")");
    }
    body_ = body;
    batch_number_ = header.number;
    record_count_ = header.record_count;
    record_index_ = 0;
    tail_ = body.substr(std::size_t{header.record_count} * event_size);
}

bool Decoder::next_event(Event& event) {
    while (record_index_ < record_count_) {
        const auto record = body_.substr(std::size_t{record_index_} * event_size, event_size);
        const auto location = [&] { return location_text(batch_number_, record_index_); };
        const auto outcome_at = [&](std::size_t offset) {
            const auto outcome = outcome_from_status(load<std::uint8_t>(record, offset));
            if (!outcome) throw WireError("unknown outcome" + location());
            return *outcome;
        };
        const auto duration_at = [&](std::size_t offset) {
            const auto duration = micros_from_ms(load<double>(record, offset));
            if (!duration) throw WireError("time or duration out of range" + location());
            return *duration;
        };
        const auto read_report = [&](std::size_t offset, LoadReport& report) {
            const auto value_count = load<std::uint8_t>(record, offset);
            if (value_count > 4) throw WireError("load report has more than 4 values" + location());
            report.resize(value_count);
            for (std::size_t i = 0; i < value_count; ++i) report[i] = load<float>(record, offset + 1 + 4 * i);
        };
        const auto text_at = [&](std::size_t field_offset, const char* name) {
            const std::uint64_t offset = load<std::uint32_t>(record, field_offset),
                                size = load<std::uint32_t>(record, field_offset + 4);
            if (offset + size > tail_.size()) throw WireError(name + (" beyond the frame" + location()));
            return tail_.substr(offset, size);
        };
        const auto code = load<std::uint16_t>(record, 0);
        event.instance = load<std::uint32_t>(record, 2);
        switch (code) {
            case event_code::catalog: {
                read_list_definition(record);
                ++record_index_;
                continue;
            }
            case event_code::create: {
                event.body = CreateEvent{load<std::uint64_t>(record, 6), text_at(14, "settings")};
                break;
            }
            case event_code::registry: {
                const auto kind = load<std::uint8_t>(record, 6);
                if (kind > 3) throw WireError("unknown list kind" + location());
                constexpr ListKind kinds[] = {ListKind::delta, ListKind::full, ListKind::cached,
                                              ListKind::failed};
                ListEvent list{kinds[kind], nullptr, load<std::uint64_t>(record, 7)};
                if (list.kind != ListKind::failed) {
                    const auto list_number = load<std::uint32_t>(record, 15);
                    if (list_number >= lists_.size() || !list_defined_[list_number])
                        throw WireError("unknown list" + location());
                    list.entries = &lists_[list_number];
                }
                event.body = list;
                break;
            }
            case event_code::order: {
                Request request;
                request.id = load<std::uint32_t>(record, 6);
                request.class_index = load<std::uint16_t>(record, 10);
                request.tenant = static_cast<int>(load<std::uint32_t>(record, 12) & 0x7fffffffU);
                request.key = load<std::uint64_t>(record, 16);
                request.deadline = duration_at(24);
                const auto flags = load<std::uint8_t>(record, 40);
                if (flags & 1) request.cost_hint = duration_at(32);
                request.client_retry = flags & 2;
                request.write = flags & 4;
                event.body = request;
                break;
            }
            case event_code::closed_attempt: {
                AttemptEnd end;
                end.request = load<std::uint32_t>(record, 6);
                end.attempt = load<std::uint8_t>(record, 10);
                end.outcome = outcome_at(11);
                end.request_done = load<std::uint8_t>(record, 12) != 0;
                end.latency = duration_at(13);
                end.upstream = load_upstream_id(record, 21);
                read_report(27, end.report);
                event.body = std::move(end);
                break;
            }
            case event_code::probe_done: {
                ProbeResult result;
                result.latency = duration_at(6);
                result.upstream = load_upstream_id(record, 14);
                result.outcome = outcome_at(20);
                read_report(21, result.report);
                event.body = std::move(result);
                break;
            }
            case event_code::bell: event.body = TimerEvent{load<std::uint64_t>(record, 6)}; break;
            case event_code::under_way:
                event.body = ResponseStart{load<std::uint32_t>(record, 6), load<std::uint8_t>(record, 10),
                                           load_upstream_id(record, 11), duration_at(17)};
                break;
            case event_code::lapsed: event.body = ClientGoneEvent{load<std::uint32_t>(record, 6)}; break;
            case event_code::datagram:
                event.body = MessageEvent{static_cast<int>(load<std::uint32_t>(record, 6) & 0x7fffffffU),
                                          text_at(10, "message")};
                break;
            case event_code::exit: event.body = ExitEvent{}; break;
            default: throw WireError("unknown event code " + std::to_string(code) + location());
        }
        ++record_index_;
        return true;
    }
    return false;
}

void Decoder::read_list_definition(std::string_view record) {
    const auto location = [&] { return location_text(batch_number_, record_index_); };
    const auto list_number = load<std::uint32_t>(record, 2);
    if (list_number >= lists_.size()) throw WireError("list number out of range" + location());
    const std::uint64_t offset = load<std::uint32_t>(record, 6), count = load<std::uint32_t>(record, 10);
    if (offset + count * list_entry_size > tail_.size())
        throw WireError("list beyond the frame" + location());
    auto& list = lists_[list_number];
    list.clear();
    list.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto bytes = tail_.substr(offset + i * list_entry_size, list_entry_size);
        UpstreamEntry entry;
        entry.id = load_upstream_id(bytes, 0);
        entry.zone = load<std::uint16_t>(bytes, 6);
        entry.kind = load<std::uint16_t>(bytes, 8);
        entry.cell = load<std::uint16_t>(bytes, 10);
        const auto state = load<std::uint8_t>(bytes, 12);
        if (state > 2) throw WireError("unknown upstream state" + location());
        constexpr UpstreamState states[] = {UpstreamState::removed, UpstreamState::ready,
                                            UpstreamState::draining};
        entry.state = states[state];
        entry.weight = load<float>(bytes, 13);
        const auto started_at = micros_from_ms(load<double>(bytes, 17));
        if (!started_at) throw WireError("start time out of range" + location());
        entry.started_at = *started_at;
        list.push_back(entry);
    }
    list_defined_[list_number] = true;
}

char* ReplyWriter::append_record(std::uint16_t code, std::uint32_t instance) {
    records_.resize(records_.size() + action_size, '\0');
    char* const bytes = records_.data() + records_.size() - action_size;
    store(bytes, code);
    store(bytes + 2, instance);
    ++action_count_;
    return bytes;
}

void ReplyWriter::append_text(char* record, std::size_t offset, std::string_view text) {
    store(record + offset, static_cast<std::uint32_t>(tail_.size()));
    store(record + offset + 4, static_cast<std::uint32_t>(text.size()));
    tail_ += text;
}

void ReplyWriter::submit(std::uint32_t instance, RequestId request, UpstreamId upstream, Micros timeout) {
    char* const bytes = append_record(action_code::submit_to, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    std::memcpy(bytes + 10, &upstream, 6);
    store(bytes + 16, ms_from_micros(timeout));
}

void ReplyWriter::refuse(std::uint32_t instance, RequestId request, Micros retry_after) {
    char* const bytes = append_record(action_code::shed, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    store(bytes + 10, ms_from_micros(retry_after));
}

void ReplyWriter::fail(std::uint32_t instance, RequestId request) {
    store(append_record(action_code::surrender, instance) + 6, static_cast<std::uint32_t>(request));
}

void ReplyWriter::cancel(std::uint32_t instance, RequestId request, int attempt) {
    char* const bytes = append_record(action_code::abort_attempt, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    store(bytes + 10, static_cast<std::uint8_t>(attempt));
}

void ReplyWriter::probe(std::uint32_t instance, UpstreamId upstream) {
    std::memcpy(append_record(action_code::check, instance) + 6, &upstream, 6);
}

void ReplyWriter::set_timer(std::uint32_t instance, Time at, std::uint64_t token) {
    char* const bytes = append_record(action_code::set_alarm, instance);
    store(bytes + 6, ms_from_micros(at));
    store(bytes + 14, token);
}

void ReplyWriter::watch(std::uint32_t instance, bool on) {
    store(append_record(action_code::stream_changes, instance) + 6, static_cast<std::uint8_t>(on));
}

void ReplyWriter::fetch(std::uint32_t instance) { append_record(action_code::list_all, instance); }

void ReplyWriter::close_idle(std::uint32_t instance, UpstreamId upstream) {
    std::memcpy(append_record(action_code::free_links, instance) + 6, &upstream, 6);
}

void ReplyWriter::send_message(std::uint32_t instance, std::optional<int> peer, std::string_view payload) {
    char* const bytes = append_record(action_code::broadcast_to, instance);
    store(bytes + 6, peer ? static_cast<std::uint32_t>(*peer) : all_peers);
    append_text(bytes, 10, payload);
}

void ReplyWriter::log(std::uint32_t instance, std::string_view line) {
    append_text(append_record(action_code::remark, instance), 6, line);
}

void ReplyWriter::report_error(std::uint32_t instance, std::string_view text) {
    append_text(append_record(action_code::panic, instance), 6, text);
}

std::string ReplyWriter::finish(std::uint32_t batch_number) {
    std::string frame(reply_header_size, '\0');
    store(frame.data(), batch_number);
    store(frame.data() + 4, static_cast<std::uint32_t>(records_.size() + tail_.size()));
    store(frame.data() + 8, action_count_);
    frame += records_;
    frame += tail_;
    records_.clear();
    tail_.clear();
    action_count_ = 0;
    return frame;
}

// ------------------------------------------------------------------------------------------------- settings

namespace {

// The settings of one balancer as text: a value for each name. The views refer to the text of the
// constructor. Accessors without a default throw std::invalid_argument if the setting is missing, all of them
// if it can't be read.
class SettingsText {
public:
    explicit SettingsText(std::string_view text) {
        while (!text.empty()) {
            const auto end = text.find('\n');
            const auto line = text.substr(0, end);
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
            const auto equals = line.find('=');
            if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
        }
    }

    std::optional<std::string_view> find(const std::string& name) const {
        const auto found = values_.find(name);
        if (found == values_.end()) return std::nullopt;
        return found->second;
    }

    std::string_view string(const std::string& name) const {
        const auto value = find(name);
        if (!value) throw std::invalid_argument("setting missing: " + name);
        return *value;
    }

    double number(const std::string& name) const {
        const auto value = string(name);
        double result = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
        if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(result))
            throw_unreadable(name);
        return result;
    }

    int integer(const std::string& name) const {
        const double value = number(name);
        if (value != std::floor(value) || std::fabs(value) > 1e9) throw_unreadable(name);
        return static_cast<int>(value);
    }

    Micros duration(const std::string& name) const {
        const auto value = micros_from_ms(number(name));
        if (!value) throw_unreadable(name);
        return *value;
    }

    bool boolean(const std::string& name) const {
        const auto value = string(name);
        if (value != "true" && value != "false") throw_unreadable(name);
        return value == "true";
    }

    double number(const std::string& name, double default_value) const {
        return find(name) ? number(name) : default_value;
    }
    int integer(const std::string& name, int default_value) const {
        return find(name) ? integer(name) : default_value;
    }
    Micros duration(const std::string& name, Micros default_value) const {
        return find(name) ? duration(name) : default_value;
    }
    bool boolean(const std::string& name, bool default_value) const {
        return find(name) ? boolean(name) : default_value;
    }

    // Returns the length of a list of objects, which `NAME.count` holds; an absent or empty list has no such
    // setting.
    int list_size(const std::string& name) const {
        if (!find(name + ".count")) return 0;
        const int size = integer(name + ".count");
        if (size < 0 || size > 65536) throw_unreadable(name + ".count");
        return size;
    }

    static std::vector<std::string_view> split(std::string_view list) {
        std::vector<std::string_view> items;
        while (!list.empty()) {
            const auto comma = list.find(',');
            items.push_back(list.substr(0, comma));
            list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
        }
        return items;
    }

    [[noreturn]] static void throw_unreadable(const std::string& name) {
        throw std::invalid_argument("setting unreadable: " + name);
    }

private:
    std::map<std::string_view, std::string_view, std::less<>> values_;
};

Effect parse_effect(const SettingsText& input, const std::string& name) {
    const auto value = input.string(name);
    if (value == "idempotent") return Effect::idempotent;
    if (value == "deduplicated") return Effect::deduplicated;
    if (value == "at_most_once") return Effect::at_most_once;
    SettingsText::throw_unreadable(name);
}

Group parse_group(const SettingsText& input, const std::string& name) {
    const auto value = input.string(name);
    if (value == "all") return Group::all;
    if (value == "zone") return Group::zone;
    if (value == "cell") return Group::cell;
    SettingsText::throw_unreadable(name);
}

ReportField parse_report_field(std::string_view value) {
    if (value == "active") return ReportField::in_flight;
    if (value == "waiting") return ReportField::queued;
    if (value == "cpu") return ReportField::cpu_utilisation;
    if (value == "avg_ms") return ReportField::service_time_ms;
    if (value == "rps") return ReportField::served_per_s;
    if (value == "err_rps") return ReportField::errors_per_s;
    return ReportField::other;
}

ReportSource parse_report_source(const SettingsText& input, const std::string& name) {
    const auto value = input.find(name).value_or("off");
    if (value == "off") return ReportSource::none;
    if (value == "inline") return ReportSource::responses;
    if (value == "on_probe") return ReportSource::probes;
    SettingsText::throw_unreadable(name);
}

WeightMeaning parse_weight_meaning(const SettingsText& input, const std::string& name) {
    const auto value = input.find(name).value_or("off");
    if (value == "off") return WeightMeaning::none;
    if (value == "nominal") return WeightMeaning::nominal;
    if (value == "rough") return WeightMeaning::rough;
    if (value == "live") return WeightMeaning::live;
    SettingsText::throw_unreadable(name);
}

bool parse_worth_by_work(const SettingsText& input, const std::string& name) {
    const auto value = input.find(name).value_or("request");
    if (value != "request" && value != "work") SettingsText::throw_unreadable(name);
    return value == "work";
}

}  // namespace

Settings parse_settings(std::string_view text) {
    const SettingsText input(text);
    Settings settings;
    settings.rank = input.integer("rank");
    settings.balancers = input.integer("siblings");
    settings.zone = input.integer("zone", 0);
    // A deployment without zones counts as one zone.
    settings.zones =
        std::max(1, static_cast<int>(SettingsText::split(input.find("zones").value_or("")).size()));
    settings.tier = input.integer("tier", 0);
    settings.tick = input.duration("tick");

    const int class_count = input.integer("services.count");
    for (int i = 0; i < class_count; ++i) {
        const std::string prefix = "services." + std::to_string(i) + ".";
        ClassSettings class_settings;
        class_settings.name = std::string(input.find(prefix + "name").value_or(""));
        class_settings.deadline = input.duration(prefix + "hard_limit");
        class_settings.latency_target =
            std::min(input.duration(prefix + "aim"), class_settings.deadline);  // no client waits longer
        class_settings.worth = input.number(prefix + "worth", 1);
        class_settings.late_worth = input.number(prefix + "late_worth", 0);
        class_settings.effect = parse_effect(input, prefix + "effect");
        if (class_settings.effect == Effect::deduplicated) {
            class_settings.group = parse_group(input, prefix + "group");
            class_settings.dedup_window = input.duration(prefix + "window");
        }
        class_settings.streams = input.boolean(prefix + "stream", false);
        class_settings.latency_target_per_work = input.number(prefix + "aim_stretch", 0);
        settings.classes.push_back(std::move(class_settings));
    }
    for (int i = 0; i < input.list_size("tenants"); ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        settings.tenants.push_back({std::string(input.find(prefix + "name").value_or("")),
                                    input.number(prefix + "quota_rps", 0),
                                    input.number(prefix + "fraction", 0)});
    }
    settings.over_share_worth = input.number("over_share_worth", 1);
    settings.worth_by_work = parse_worth_by_work(input, "worth_by");

    const auto mode = input.string("registry_mode");
    if (mode != "ask" && mode != "push") SettingsText::throw_unreadable("registry_mode");
    settings.must_request_list = mode == "ask";
    settings.may_probe = input.boolean("limits.may_probe", false);
    settings.may_cancel = input.boolean("limits.cancel", false);
    settings.may_advise_retry_after = input.boolean("limits.retry_after", false);
    settings.upstreams_propagate_deadline = input.boolean("specifics.passes_deadline", false);
    settings.clients_mark_retries = input.boolean("callers.marks_retry", false);
    settings.may_message_peers = input.boolean("limits.peers", false);
    settings.weight_meaning = parse_weight_meaning(input, "weights");
    settings.max_attempts = input.integer("limits.max_attempts");
    settings.max_retry_after = input.duration("limits.max_retry_after", Micros{0});
    settings.connect_timeout = input.duration("limits.connect_timeout", Micros{0});
    settings.max_open_requests = input.integer("limits.max_open", 0);
    settings.connection_idle_timeout = input.duration("limits.idle_close", Micros{0});
    settings.streams_per_connection = input.integer("limits.streams_per_conn", 1);
    settings.cpu_per_s = Micros(input.integer("limits.cpu_us_per_s", 0));
    settings.cpu_us_per_request = input.number("limits.cpu_us_per_request", 0);
    settings.report_source = parse_report_source(input, "load_report.how");
    if (settings.report_source != ReportSource::none) {
        for (const auto value : SettingsText::split(input.find("load_report.fields").value_or(""))) {
            settings.report_fields.push_back(parse_report_field(value));
        }
    }

    settings.response_slack = input.duration("invariants.answer_slack", Micros{0});
    settings.ask_within = settings.must_request_list ? input.duration("invariants.ask_within") : Micros{0};
    settings.drain_grace = input.duration("invariants.drain_grace", Micros{0});
    settings.drain_close = input.duration("invariants.close_on_drain_within", Micros{0});
    settings.cold_share = input.number("invariants.cold_from", 1);
    settings.ramp_time = input.duration("invariants.ramp_time", Micros{0});
    settings.fall_multiple = input.number("invariants.fall_multiple", 0);
    settings.fall_span = input.duration("invariants.fall", Micros{0});

    const auto weight = [&](const char* key) { return input.number(std::string("objective_mix.") + key, 0); };
    settings.objective = {weight("whole"),        weight("worst_window"), weight("worst_class"),
                          weight("worst_tenant"), weight("nines_part"),   weight("full_at_nines")};
    const auto deduction = [&](const char* key) { return input.number(std::string("deductions.") + key, 0); };
    settings.deductions = {deduction("connection"), deduction("cross_zone"), deduction("registry_mode"),
                           deduction("fleet"),      deduction("handshake"),  deduction("late_fail"),
                           deduction("moves"),      deduction("origin"),     deduction("peer"),
                           deduction("probe"),      deduction("waste")};
    return settings;
}

}  // namespace flaxdoor::wire
