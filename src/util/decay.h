// Values that fade as time goes by.
#pragma once

#include <chrono>
#include <cmath>

namespace flaxdoor::util {

using Micros = std::chrono::microseconds;

// A span in microseconds as a number, and back (rounded).
inline double us(Micros span) { return static_cast<double>(span.count()); }
inline Micros micros(double us) { return Micros(std::llround(us)); }

// What is left by `now` of a value learned at `then`: 1/e of it after each `span_us` microseconds.
inline double faded(double value, Micros then, Micros now, double span_us) {
    return value * std::exp(-us(now - then) / span_us);
}

// An exponentially weighted average that fades towards zero without samples.
struct FadingAverage {
    double value = 0;  // as it was at `at`
    Micros at{};

    double now(Micros when, double span_us) const { return faded(value, at, when, span_us); }

    void learn(double sample, double weight, Micros when, double span_us) {
        value = now(when, span_us);
        value += weight * (sample - value);
        at = when;
    }
};

// A sum of amounts that each fade towards zero.
struct FadingSum {
    double value = 0;  // as it was at `at`
    Micros at{};

    double now(Micros when, double span_us) const { return faded(value, at, when, span_us); }

    void add(double amount, Micros when, double span_us) {
        value = now(when, span_us) + amount;
        at = when;
    }
};

}  // namespace flaxdoor::util
