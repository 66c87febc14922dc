#include "net/discovery.h"

#include <chrono>
#include <exception>
#include <utility>

#include "net/http.h"

namespace flaxdoor::net {

namespace {

ListFailure to_list_failure(CallError error, bool watching) {
    switch (error) {
        case CallError::connect_failed:
        case CallError::connect_timeout: return ListFailure::unreachable;
        case CallError::reachability_check_failed:
        case CallError::read_timeout: return watching ? ListFailure::silent : ListFailure::failed;
        case CallError::closed: return watching ? ListFailure::closed : ListFailure::failed;
        default: return ListFailure::failed;
    }
}

}  // namespace

Discovery::Discovery(asio::io_context& loop, tcp::endpoint address, ZoneAndKindNames names,
                     DiscoveryEvents& events, int max_checks)
    : loop_(loop),
      address_(std::move(address)),
      names_(std::move(names)),
      events_(events),
      max_checks_(max_checks) {}

Discovery::~Discovery() { stop(); }

void Discovery::resume_from(const UpstreamList& list) {
    version_ = list.version;
    record_draining(list);
}

void Discovery::watch() {
    if (watch_) return;
    const std::string target = "/v1/endpoints?stream=1&index=" + std::to_string(version_);
    watch_responded_ = false;
    watch_received_object_ = false;
    watch_resume_version_ = version_;
    watch_ = start_call(DiscoveryCall::Kind::watch, target);
}

void Discovery::unwatch() {
    if (watch_) watch_->cancel();
    watch_.reset();
}

void Discovery::fetch() {
    if (fetch_) return;
    fetch_ = start_call(DiscoveryCall::Kind::fetch, "/v1/endpoints");
}

std::shared_ptr<DiscoveryCall> Discovery::start_call(DiscoveryCall::Kind kind, const std::string& target) {
    DiscoveryCallEvents& events = *this;
    auto call = std::make_shared<DiscoveryCall>(loop_, kind, target, max_checks_, events);
    call->start(address_);
    return call;
}

bool Discovery::change_address(const tcp::endpoint& address) {
    if (address == address_) return false;
    address_ = address;
    stop();
    return true;
}

void Discovery::stop() {
    unwatch();
    if (fetch_) fetch_->cancel();
    fetch_.reset();
}

// The first line of a watch shows that the call has succeeded, even when it carries no object. It is
// delivered as an empty delta.
void Discovery::on_call_heartbeat(DiscoveryCall&) {
    if (!std::exchange(watch_responded_, true)) deliver({version_, false, {}});
}

std::optional<ObjectError> Discovery::on_call_object(DiscoveryCall& call, std::string_view text) {
    const bool watching = watch_.get() == &call;
    UpstreamList list;
    try {
        list = parse_list(text, names_);
    } catch (const std::exception& error) {
        return ObjectError{CallError::malformed_list, error.what()};
    }
    if (watching) return handle_watch_list(std::move(list));
    if (list.version >= version_) deliver(std::move(list));  // else the watch has delivered a newer list
    return std::nullopt;
}

// A watch resumes after a version that discovery has sent before. If the first object of the watch is older
// than that, discovery has reset its version numbers, as after a restart: a snapshot is applied, while a
// delta can't be applied to the list held here and fails the call. Any other object with an older version
// than the list held here, for instance because a fetch has returned a newer list meanwhile, is replaced by
// an empty delta, which only shows that the call has succeeded.
std::optional<ObjectError> Discovery::handle_watch_list(UpstreamList list) {
    watch_responded_ = true;
    const bool first = !std::exchange(watch_received_object_, true);
    if (first && list.version < watch_resume_version_) {
        std::string versions = std::to_string(list.version);
        versions.append(" after ").append(std::to_string(watch_resume_version_));
        reset_version();
        if (!list.full) return ObjectError{CallError::version_reset, versions};
        log(std::string("discovery: version numbers have been reset: ").append(versions));
        keep_draining(list);
    }
    if (list.version < version_) list = {version_, false, {}};
    deliver(std::move(list));
    return std::nullopt;
}

// Also cancels an open fetch: its response may still carry a version in the old numbering, and the next full
// list comes from a watch.
void Discovery::reset_version() {
    version_ = 0;
    if (fetch_) fetch_->cancel();
    fetch_.reset();
}

// Guards against a list that is older than the notice of an upstream's drain and would return it to service:
// the upstream stays draining until it is listed with a later start time.
void Discovery::keep_draining(UpstreamList& list) const {
    for (ListedUpstream& each : list.upstreams) {
        const auto found = draining_.find(each.entry.id);
        if (found == draining_.end() || each.entry.started_at > found->second) continue;
        each.entry.state = UpstreamState::draining;
    }
}

void Discovery::record_draining(const UpstreamList& list) {
    for (const ListedUpstream& each : list.upstreams) {
        if (each.entry.state == UpstreamState::draining) {
            draining_[each.entry.id] = each.entry.started_at;
        } else {
            draining_.erase(each.entry.id);
        }
    }
}

void Discovery::deliver(UpstreamList list) {
    resume_from(list);
    if (const auto line = failure_log_.record_success(std::chrono::steady_clock::now())) log(*line);
    events_.on_list(std::move(list));
}

void Discovery::on_call_failed(DiscoveryCall& call, const CallFailure& failure) {
    const bool watching = watch_.get() == &call;
    const std::shared_ptr<DiscoveryCall> ended_call = std::exchange(watching ? watch_ : fetch_, nullptr);
    const auto now = std::chrono::steady_clock::now();
    if (const auto line = failure_log_.record_failure(now, watching ? "watch" : "fetch", failure)) log(*line);
    events_.on_list_failed(to_list_failure(failure.error, watching));
}

void Discovery::on_call_completed(DiscoveryCall&) { fetch_.reset(); }

}  // namespace flaxdoor::net
