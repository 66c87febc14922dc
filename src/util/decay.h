// Averages and sums that decay exponentially with time.
#pragma once

#include <chrono>
#include <cmath>

namespace flaxdoor::util {

using Micros = std::chrono::microseconds;

// Converts a duration to a number of microseconds, and back with rounding.
inline double us(Micros span) { return static_cast<double>(span.count()); }
inline Micros micros(double us) { return Micros(std::llround(us)); }

// Returns the value at `now` of one that was `value` at `then` and decays exponentially with the time
// constant `time_constant_us`, in microseconds: 1/e of it is left after each time constant.
inline double decayed(double value, Micros then, Micros now, double time_constant_us) {
    return value * std::exp(-us(now - then) / time_constant_us);
}

// An exponentially weighted moving average that decays towards zero without samples.
struct DecayingAverage {
    double value = 0;  // as of `updated_at`
    Micros updated_at{};

    double value_at(Micros when, double time_constant_us) const {
        return decayed(value, updated_at, when, time_constant_us);
    }

    void add_sample(double sample, double weight, Micros when, double time_constant_us) {
        value = value_at(when, time_constant_us);
        value += weight * (sample - value);
        updated_at = when;
    }
};

// A sum of amounts that each decay towards zero.
struct DecayingSum {
    double value = 0;  // as of `updated_at`
    Micros updated_at{};

    double value_at(Micros when, double time_constant_us) const {
        return decayed(value, updated_at, when, time_constant_us);
    }

    void add(double amount, Micros when, double time_constant_us) {
        value = value_at(when, time_constant_us) + amount;
        updated_at = when;
    }
};

}  // namespace flaxdoor::util
