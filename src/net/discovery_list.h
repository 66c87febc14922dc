// Parser of the lists that discovery sends: converts JSON text to typed entries with ids and addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

// Names of zones and of kinds of machine from the settings. The index of a name is the number of its zone or
// kind.
struct ZoneAndKindNames {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// One entry of a list.
struct ListedUpstream {
    UpstreamEntry entry;
    std::string name;
    boost::asio::ip::tcp::endpoint address;
};

// A list of upstreams as discovery sends it: a snapshot of all of them, or a delta with those that have
// changed.
struct UpstreamList {
    std::uint64_t version = 0;  // key `seq`
    bool full = false;          // a snapshot; key `whole`
    std::vector<ListedUpstream> upstreams;
};

// Returns the id of an upstream, a hash of its name alone, so that it is the same at every balancer. The
// policy orders upstreams by id and relies on all balancers having the same order.
UpstreamId upstream_id(std::string_view name);

// Parses a list in discovery's JSON format. Throws an exception derived from std::exception on any other
// text.
UpstreamList parse_list(std::string_view text, const ZoneAndKindNames& names);

}  // namespace flaxdoor::net
