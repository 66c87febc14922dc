#include "net/client_request.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <string_view>
#include <utility>

namespace flaxdoor::net {

namespace {

constexpr std::uint64_t max_budget_ms = 60 * 1000;  // largest valid X-Budget-Ms; no client waits longer

template <typename Number>
bool parse_number(beast::string_view text, Number& value, int base = 10) {
    const char* const end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, value, base);
    return error == std::errc{} && last == end && !text.empty();
}

std::uint64_t hash_of(beast::string_view text) {
    return std::hash<std::string_view>{}({text.data(), text.size()});
}

// Returns the value of the cookie `key`: parsed as a hexadecimal number, or hashed where it is none. 0 if
// there is no such cookie.
std::uint64_t cookie_key(beast::string_view cookies) {
    while (!cookies.empty()) {
        const auto end = std::min(cookies.find(';'), cookies.size());
        auto pair = cookies.substr(0, end);
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        if (pair.substr(0, 4) != "key=") continue;
        const auto text = pair.substr(4);
        std::uint64_t key = 0;
        if (!parse_number(text, key, 16)) key = hash_of(text);
        return key;
    }
    return 0;
}

template <typename Items>
std::optional<int> index_of(const Items& items, beast::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return static_cast<int>(i);
    }
    return std::nullopt;
}

// Returns whether the method, with the presence of an idempotency key, matches the effect of the class.
bool method_matches_effect(const HttpRequest& message, Effect effect) {
    const bool has_key = !message["Idempotency-Key"].empty();
    switch (effect) {
        case Effect::idempotent: return message.method() == http::verb::get;
        case Effect::deduplicated: return message.method() == http::verb::post && has_key;
        case Effect::at_most_once: return message.method() == http::verb::post && !has_key;
    }
    return false;
}

}  // namespace

std::optional<ClientRequest> parse_client_request(HttpRequest message, const Settings& settings) {
    ClientRequest request;
    for (const char* name : {"X-Call-Id", "X-Call-Class", "X-Budget-Ms", "Idempotency-Key"}) {
        if (message.count(name) > 1) return std::nullopt;
    }
    if (message["X-Call-Id"].empty()) return std::nullopt;
    const auto class_index = index_of(settings.classes, message["X-Call-Class"]);
    if (!class_index ||
        !method_matches_effect(message, settings.classes[static_cast<std::size_t>(*class_index)].effect)) {
        return std::nullopt;
    }
    std::uint64_t budget_ms = 0;
    if (!parse_number(message["X-Budget-Ms"], budget_ms) || budget_ms == 0 || budget_ms > max_budget_ms) {
        return std::nullopt;
    }
    request.budget = std::chrono::milliseconds(budget_ms);
    request.policy_request.call_id = hash_of(message["X-Call-Id"]);
    request.policy_request.class_index = *class_index;
    request.policy_request.tenant = index_of(settings.tenants, message["X-Caller"]);
    request.policy_request.key = cookie_key(message[http::field::cookie]);
    request.policy_request.client_retry = message["X-Again"] == "1";
    std::uint32_t cost_us = 0;
    if (parse_number(message["X-Call-Cost"], cost_us)) request.policy_request.cost_hint = Micros(cost_us);
    request.message = std::move(message);
    return request;
}

}  // namespace flaxdoor::net
