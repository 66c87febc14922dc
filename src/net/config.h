// The configuration file: parses the platform's JSON into Settings, addresses and limits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/discovery_list.h"

namespace flaxdoor::net {

// The parsed configuration file. A comment names the JSON key where it differs from the field's name.
struct Config {
    std::string name;
    Settings settings;
    std::uint64_t seed = 0;
    boost::asio::ip::tcp::endpoint listen_address;     // listen
    boost::asio::ip::tcp::endpoint discovery_address;  // discovery
    std::size_t max_sockets = 1024;                    // limits.sockets: open descriptors in all
    std::size_t memory_bytes = 32 << 20;               // limits.memory_mb; the platform's least if not given

    // The fields of a load report in the settings' order, under the names that load reports use.
    std::vector<std::string> report_fields;
    ZoneAndKindNames list_names;  // settings.zones and settings.flavors
    UpstreamList known_list;      // known: the list to start with
};

// Parses the text of a configuration. Throws a std::exception whose message is one line that names what is
// missing or invalid: std::invalid_argument or std::runtime_error, or one of the JSON library's.
Config parse_config(std::string_view text);
// Reads and parses a configuration file. Throws std::runtime_error when the file can't be read, and whatever
// parse_config() throws.
Config load_config(const std::string& path);

// Flattens nested JSON to lines of the form path=value, as on the simulator's wire, so that one parser reads
// the settings of both.
std::string flatten(const nlohmann::json& settings);

// Parses an IPv4 address and port, "a.b.c.d:port". Throws std::invalid_argument on anything else.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

}  // namespace flaxdoor::net
