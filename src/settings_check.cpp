#include "settings_check.h"

#include <stdexcept>
#include <string>

namespace flaxdoor {

namespace {

void require(bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(std::string("settings: ") + what);
}

void check_class(const ClassSettings& c) {
    require(c.latency_target > Micros{0}, "aim must be positive");
    require(c.deadline >= c.latency_target, "deadline must not be below aim");
    require(c.effect != Effect::deduplicated || c.dedup_window > Micros{0}, "window must be positive");
}

}  // namespace

void check_settings(const Settings& s) {
    require(s.balancers >= 1, "balancers must be at least 1");
    require(s.rank >= 0 && s.rank < s.balancers, "rank must be below balancers");
    require(s.zones >= 1 && s.zone >= 0 && s.zone < s.zones, "zone must be one of zones");
    require(s.tick > Micros{0}, "tick must be positive");
    require(!s.classes.empty(), "classes must not be empty");
    require(s.max_attempts >= 1, "max_attempts must be at least 1");
    require(s.cold_share > 0 && s.cold_share <= 1, "cold_share must be above 0 and at most 1");
    require(s.drain_close >= Micros{0}, "drain_close must not be negative");
    require(s.ramp_time >= Micros{0}, "ramp_time must not be negative");
    require(s.fall_span >= Micros{0}, "fall_span must not be negative");
    require(s.fall_span == Micros{0} || s.fall_multiple > 0, "fall_multiple must be positive");
    require(!s.must_request_list || s.ask_within > Micros{0}, "ask_within must be positive");
    for (const auto& c : s.classes) check_class(c);
}

}  // namespace flaxdoor
