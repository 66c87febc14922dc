// Waits until a socket is readable or writable, also where the system can't register the wait. Asio ignores
// that an epoll_ctl() has failed: what had arrived before the wait would then never be reported.
#pragma once

#include <poll.h>

#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace flaxdoor::net {

// Returns whether a call has failed in a way that says nothing about the connection: it was interrupted,
// would block, or the system was short of memory or buffers for a moment. The call is to be repeated.
bool is_transient(const boost::system::error_code& error);

// Returns the events of `events` (see poll()) that hold for the descriptor now. Repeats a poll() that fails.
short ready_events(int descriptor, short events);

// Calls `handler` with an error code once the socket is ready for `wait`; in the next turn if it `is_ready`
// now. `Socket` is a socket or an acceptor of Asio.
template <typename Socket, typename Handler>
void wait_until_ready(Socket& socket, typename Socket::wait_type wait, bool is_ready, Handler handler) {
    if (is_ready) {
        boost::asio::post(socket.get_executor(),
                          [handler = std::move(handler)]() mutable { handler(boost::system::error_code()); });
        return;
    }
    socket.async_wait(wait, std::move(handler));
}

}  // namespace flaxdoor::net
