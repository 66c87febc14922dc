#include "net/discovery_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/config.h"

namespace flaxdoor::net {

namespace {

using nlohmann::json;

UpstreamState parse_state(const std::string& word) {
    if (word == "active") return UpstreamState::ready;
    if (word == "leaving") return UpstreamState::draining;
    if (word == "left") return UpstreamState::removed;
    throw std::invalid_argument("unknown health: " + word);
}

int index_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Zones have to be distinguished by name because deduplicated requests may be repeated only within one. A
// zone that the settings don't name gets a number from the hash of its name, beyond the named ones; its value
// has no meaning. Where discovery names no zones, all upstreams are in zone 0, the balancer's own.
int zone_index(const std::vector<std::string>& names, const std::string& name) {
    const int index = index_of(names, name);
    if (name.empty() || index < static_cast<int>(names.size())) return name.empty() ? 0 : index;
    return index + static_cast<int>(upstream_id(name) & 0x3fffffff);
}

ListedUpstream parse_upstream(const json& host, const ZoneAndKindNames& names) {
    ListedUpstream upstream;
    upstream.name = host.at("host").get<std::string>();
    upstream.entry.id = upstream_id(upstream.name);
    upstream.address = parse_endpoint(host.at("dial").get<std::string>());
    upstream.entry.state = parse_state(host.at("health").get<std::string>());
    upstream.entry.zone =
        zone_index(names.zones, host.contains("site") ? host["site"].get<std::string>() : "");
    upstream.entry.kind = index_of(names.kinds, host.value("class", ""));
    upstream.entry.cell = host.value("block", 0);
    upstream.entry.weight = host.value("share", 1.0);
    const double born_ms = host.value("born_ms", 0.0);
    if (!(born_ms >= 0 && born_ms < 1e15)) throw std::invalid_argument("born_ms out of range");
    upstream.entry.started_at = Time(static_cast<std::int64_t>(born_ms * 1000));
    return upstream;
}

}  // namespace

UpstreamId upstream_id(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;  // FNV-1a
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

UpstreamList parse_list(std::string_view text, const ZoneAndKindNames& names) {
    const json parsed = json::parse(text);
    UpstreamList list;
    list.version = parsed.at("seq").get<std::uint64_t>();
    list.full = parsed.at("whole").get<bool>();
    for (const auto& host : parsed.at("hosts")) list.upstreams.push_back(parse_upstream(host, names));
    return list;
}

}  // namespace flaxdoor::net
