// Client of the discovery service: keeps a watch on changes to the list of upstreams, fetches the full list
// on request, and decides by version which of the received lists are delivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/call_failure_log.h"
#include "net/discovery_call.h"
#include "net/discovery_list.h"

namespace flaxdoor::net {

// Why a discovery call brought no list, or why a watch will bring no further ones.
enum class ListFailure {
    failed,       // rejected, reset, or answered with something that can't be parsed
    closed,       // discovery closed the watch in order, so it was up at that time
    unreachable,  // no connection could be established
    silent,       // connected, but nothing came on the watch, or in response to the call for it, for too long
};

// Receives what a Discovery client reports. Called on the thread that runs its loop.
class DiscoveryEvents {
public:
    virtual ~DiscoveryEvents() = default;
    // Delivers a snapshot or a delta. A delta without entries reports that discovery responds and nothing has
    // changed.
    virtual void on_list(UpstreamList list) = 0;
    // Reports that a fetch or the watch has ended without success; a new one may be started.
    virtual void on_list_failed(ListFailure failure) = 0;
};

// At most one watch and one fetch are open at a time, each on a connection of its own. Not thread-safe. The
// loop and `events` are borrowed and must outlive the client.
class Discovery final : private DiscoveryCallEvents {
public:
    // `max_checks`: maximum number of reachability checks per call. With 0, a call that is still queued at
    // discovery is abandoned as early as a watch that has fallen silent.
    Discovery(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint address, ZoneAndKindNames names,
              DiscoveryEvents& events, int max_checks = max_reachability_checks);
    ~Discovery() override;

    // Sets the list that the next watch resumes after. The drains in it hold even if discovery resets its
    // version numbers and sends an older list.
    void resume_from(const UpstreamList& list);
    // Opens a watch that resumes after the last version received. Does nothing while one is open.
    void watch();
    // Closes the watch without an event.
    void unwatch();
    // Asks for the full list once. Does nothing while such a call is open.
    void fetch();
    // Uses this address for calls from now on. If it differs from the previous one, cancels the open calls
    // without an event and returns true; the caller then has to start new ones.
    bool change_address(const boost::asio::ip::tcp::endpoint& address);
    // Cancels the open calls without an event.
    void stop();

private:
    void on_call_heartbeat(DiscoveryCall& call) override;
    std::optional<ObjectError> on_call_object(DiscoveryCall& call, std::string_view text) override;
    void on_call_failed(DiscoveryCall& call, const CallFailure& failure) override;
    void on_call_completed(DiscoveryCall& call) override;
    std::shared_ptr<DiscoveryCall> start_call(DiscoveryCall::Kind kind, const std::string& target);
    std::optional<ObjectError> handle_watch_list(UpstreamList list);
    void keep_draining(UpstreamList& list) const;
    void record_draining(const UpstreamList& list);
    void deliver(UpstreamList list);
    void reset_version();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint address_;
    const ZoneAndKindNames names_;
    DiscoveryEvents& events_;
    const int max_checks_;
    std::uint64_t version_ = 0;                      // of the last list delivered
    std::unordered_map<UpstreamId, Time> draining_;  // start times of upstreams listed as draining
    CallFailureLog failure_log_;                     // since the last successful call
    bool watch_responded_ = false;                   // the open watch has received a line
    bool watch_received_object_ = false;             // the open watch has received an object
    std::uint64_t watch_resume_version_ = 0;         // the version that the open watch resumes after
    std::shared_ptr<DiscoveryCall> watch_;
    std::shared_ptr<DiscoveryCall> fetch_;
};

}  // namespace flaxdoor::net
