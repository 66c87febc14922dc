// Runs part of a test with a lower limit of descriptors for its process.
#pragma once

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace flaxdoor::test {

// Lowers the descriptor limit of the process for the lifetime of this object.
class LoweredDescriptorLimit {
public:
    explicit LoweredDescriptorLimit(rlim_t limit) {
        EXPECT_EQ(::getrlimit(RLIMIT_NOFILE, &before_), 0);
        rlimit lowered = before_;
        lowered.rlim_cur = limit;
        EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    }
    ~LoweredDescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    LoweredDescriptorLimit(const LoweredDescriptorLimit&) = delete;
    LoweredDescriptorLimit& operator=(const LoweredDescriptorLimit&) = delete;

private:
    rlimit before_{};
};

}  // namespace flaxdoor::test
