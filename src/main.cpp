// The balancer program: reads the configuration that NODE_CONFIG names, handles signals and runs the event
// loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "net/config.h"
#include "net/host.h"
#include "net/http.h"
#include "net/process_memory.h"

namespace {

using namespace flaxdoor::net;

Config load_configuration() {
    const char* const path = std::getenv("NODE_CONFIG");
    if (!path) throw std::runtime_error("NODE_CONFIG is not set");
    try {
        return load_config(path);
    } catch (const std::exception& error) {
        throw std::runtime_error("configuration " + std::string(path) + ": " + error.what());
    }
}

// Reloads the configuration on SIGHUP. One that is unreadable or invalid is logged and the current one stays
// in force, so that the balancer keeps serving.
void reload_on_sighup(boost::asio::signal_set& reload_signals, Host& host) {
    reload_signals.async_wait([&](const boost::system::error_code& error, int) {
        if (error) return;
        try {
            host.reconfigure(load_configuration());
        } catch (const std::exception& invalid) {
            log(std::string("flaxdoor: ") + invalid.what());
        }
        reload_on_sighup(reload_signals, host);
    });
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    configure_allocator();
    try {
        boost::asio::io_context loop(1);
        // Registered before the host exists, so that signals during its start are handled once the loop runs.
        boost::asio::signal_set stop_signals(loop, SIGTERM, SIGINT);
        boost::asio::signal_set reload_signals(loop, SIGHUP);
        Host host(loop, load_configuration());
        stop_signals.async_wait([&](const boost::system::error_code& error, int) {
            if (!error) host.drain();
        });
        reload_on_sighup(reload_signals, host);
        loop.run();
    } catch (const std::exception& error) {
        log(std::string("flaxdoor: ") + error.what());
        return 1;
    }
    return 0;
}
