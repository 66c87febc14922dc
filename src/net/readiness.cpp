#include "net/readiness.h"

#include <boost/asio/error.hpp>

namespace flaxdoor::net {

namespace {

// A poll() of one descriptor that fails so often in a row does not fail for a moment only.
constexpr int max_polls = 10;

}  // namespace

bool is_transient(const boost::system::error_code& error) {
    namespace errors = boost::asio::error;
    return error == errors::would_block || error == errors::try_again || error == errors::interrupted ||
           error == errors::no_buffer_space || error == errors::no_memory;
}

short ready_events(int descriptor, short events) {
    pollfd polled{descriptor, events, 0};
    for (int i = 0; i < max_polls; ++i) {
        if (::poll(&polled, 1, 0) >= 0) return polled.revents;
    }
    return 0;
}

}  // namespace flaxdoor::net
