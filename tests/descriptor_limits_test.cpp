// The discovery client in a process without a free descriptor. Not built with the sanitizers, whose checks of
// an object's type open descriptors themselves and report an error where there are none.
#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "discovery_peers.h"
#include "lowered_descriptor_limit.h"
#include "net/discovery.h"

namespace flaxdoor::test {
namespace {

// Guards against a lack of descriptors in this process that is taken for a discovery that can't be reached:
// it says nothing about discovery, so the list must not be used for longer.
TEST(Discovery, ALackOfDescriptorsIsNoSignThatDiscoveryIsUnreachable) {
    asio::io_context loop;
    Listener listener(loop);
    DiscoveryEventRecorder events;
    net::Discovery discovery(loop, listener.address(), {}, events);
    const LoweredDescriptorLimit none_left(3);
    discovery.watch();
    while (events.failures.empty() && loop.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    EXPECT_EQ(events.failures, std::vector{net::ListFailure::failed});
}

}  // namespace
}  // namespace flaxdoor::test
