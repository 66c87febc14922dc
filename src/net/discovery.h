// Discovery: the watch on changes, the call for the whole list, and which of the lists that come are taken.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/call_failures.h"
#include "net/discovery_call.h"
#include "net/discovery_list.h"

namespace flaxdoor::net {

// How a call ended that brought no list, or a watch that brings no more.
enum class ListFailure {
    failed,       // turned away, reset, or not understood
    closed,       // the watch was closed in order, by a discovery that was up
    unreachable,  // no connection came up
    silent,       // the connection stood, and the watch, or the call for it, said nothing for too long
};

class DiscoveryEvents {
public:
    virtual ~DiscoveryEvents() = default;
    virtual void on_list(List list) = 0;
    virtual void on_list_failed(ListFailure failure) = 0;  // the call is over
};

class Discovery final : private DiscoveryCallEvents {
public:
    // `checks`: so many of a call, at most. With none, a call that waits for its turn is given up as early as
    // a watch that has fallen silent.
    Discovery(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint address, ListNames names,
              DiscoveryEvents& events, int checks = checks_most);
    ~Discovery() override;

    void start_from(std::uint64_t version) { version_ = version; }
    void watch();  // resumes after the last version heard; nothing while a watch is open
    void unwatch();
    void fetch();  // the whole list, once
    // Discovery is found at this address from now on. Where that is another one, drops what is under way
    // without a report and returns true: it is for the caller to call anew.
    bool move_to(const boost::asio::ip::tcp::endpoint& address);
    void stop();

private:
    void on_call_alive(DiscoveryCall& call) override;
    std::optional<CallProblem> on_call_text(DiscoveryCall& call, std::string_view text) override;
    void on_call_failed(DiscoveryCall& call, const CallFailure& failure) override;
    void on_call_answered(DiscoveryCall& call) override;
    std::shared_ptr<DiscoveryCall> start_call(DiscoveryCall::Kind kind, const std::string& target);
    std::optional<CallProblem> take_from_watch(List list);
    void keep_leaving(List& list) const;
    void remember_leaving(const List& list);
    void take(List list);
    void forget_version();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint address_;
    const ListNames names_;
    DiscoveryEvents& events_;
    const int checks_;
    std::uint64_t version_ = 0;
    std::unordered_map<UpstreamId, Time> leaving_;  // those listed as draining, and when they were started
    CallFailures failures_;                         // since the last answer
    bool watch_answered_ = false;                   // the watch under way has said something
    bool watch_listed_ = false;                     // and that was an object
    std::uint64_t resumed_from_ = 0;                // the version that it was asked to resume after
    std::shared_ptr<DiscoveryCall> watch_;
    std::shared_ptr<DiscoveryCall> fetch_;
};

}  // namespace flaxdoor::net
