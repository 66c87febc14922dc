// Averages of a stream of samples: over all of them at first, later over about the last 1 / `least_weight`.
#pragma once

#include <algorithm>
#include <cmath>

namespace flaxdoor::util {

struct RunningAverage {
    double value = 0;
    double samples = 0;

    void learn(double sample, double least_weight) {
        samples += 1;
        value += std::max(least_weight, 1 / samples) * (sample - value);
    }
};

// An average and the mean deviation from it, as TCP's retransmission timer keeps them (RFC 6298): the first
// sample counts half of itself as the deviation.
struct RunningDeviation {
    RunningAverage mean;
    double deviation = 0;

    void learn(double sample, double least_weight) {
        const double weight = std::max(least_weight, 1 / (mean.samples + 1));
        deviation += weight * (std::fabs(sample - mean.value) - deviation);
        if (mean.samples == 0) deviation = sample / 2;
        mean.learn(sample, least_weight);
    }
};

}  // namespace flaxdoor::util
