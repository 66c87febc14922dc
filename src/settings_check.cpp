#include "settings_check.h"

#include <stdexcept>
#include <string>

namespace flaxdoor {

namespace {

void require(bool condition, const char* requirement) {
    if (!condition) throw std::invalid_argument(std::string("settings: ") + requirement);
}

void check_class(const ClassSettings& class_settings) {
    require(class_settings.latency_target > Micros{0}, "aim must be positive");
    require(class_settings.deadline >= class_settings.latency_target, "deadline must not be below aim");
    require(class_settings.effect != Effect::deduplicated || class_settings.dedup_window > Micros{0},
            "window must be positive");
}

}  // namespace

void check_settings(const Settings& settings) {
    require(settings.balancers >= 1, "balancers must be at least 1");
    require(settings.rank >= 0 && settings.rank < settings.balancers, "rank must be below balancers");
    require(settings.zones >= 1 && settings.zone >= 0 && settings.zone < settings.zones,
            "zone must be one of zones");
    require(settings.tick > Micros{0}, "tick must be positive");
    require(!settings.classes.empty(), "classes must not be empty");
    require(settings.max_attempts >= 1, "max_attempts must be at least 1");
    require(settings.cold_share > 0 && settings.cold_share <= 1, "cold_share must be above 0 and at most 1");
    require(settings.drain_close >= Micros{0}, "drain_close must not be negative");
    require(settings.ramp_time >= Micros{0}, "ramp_time must not be negative");
    require(settings.fall_span >= Micros{0}, "fall_span must not be negative");
    require(settings.fall_span == Micros{0} || settings.fall_multiple > 0, "fall_multiple must be positive");
    require(!settings.must_request_list || settings.ask_within > Micros{0}, "ask_within must be positive");
    for (const auto& class_settings : settings.classes) check_class(class_settings);
}

}  // namespace flaxdoor
