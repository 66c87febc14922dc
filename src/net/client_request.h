// What a client's request tells the policy: reads the headers that the operators' protocol defines.
#pragma once

#include <optional>

#include "flaxdoor/decide.h"
#include "net/http.h"

namespace flaxdoor::net {

// A valid request. The deadline in `policy_request` is not set; `budget` is the time that the client still
// waits.
struct ClientRequest {
    Request policy_request;
    Micros budget{};
    HttpRequest message;
};

// Returns the request with its headers parsed for the policy, or nothing when a required header is missing,
// repeated or invalid, or the method doesn't match the effect of the class.
std::optional<ClientRequest> parse_client_request(HttpRequest message, const Settings& settings);

}  // namespace flaxdoor::net
