// Averages of a stream of samples: over all of them at first, later exponentially weighted with `min_weight`,
// that is, over about the last 1 / `min_weight` samples.
#pragma once

#include <algorithm>
#include <cmath>

namespace flaxdoor::util {

struct RunningAverage {
    double value = 0;
    double samples = 0;

    void add_sample(double sample, double min_weight) {
        samples += 1;
        value += std::max(min_weight, 1 / samples) * (sample - value);
    }
};

// An average and the mean deviation from it, as for TCP's retransmission timer (RFC 6298): the first
// deviation is half of the first sample.
struct RunningDeviation {
    RunningAverage mean;
    double deviation = 0;

    void add_sample(double sample, double min_weight) {
        const double weight = std::max(min_weight, 1 / (mean.samples + 1));
        deviation += weight * (std::fabs(sample - mean.value) - deviation);
        if (mean.samples == 0) deviation = sample / 2;
        mean.add_sample(sample, min_weight);
    }
};

}  // namespace flaxdoor::util
