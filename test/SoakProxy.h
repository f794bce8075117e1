#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle::testing {

// What a proxy does to its connections. Bytes and closes that a fault holds back are delivered after its end, as after
// the retransmissions of a network that works again.
enum class LinkFault {
    None,
    Delay, // Each piece is delivered later by the delay.
    Reset, // Every connection is reset, new ones too.
    CutToServer, // Nothing reaches the server.
    CutToClient, // Nothing reaches the client.
    Silence, // Nothing reaches either side.
};

// A TCP proxy on loopback between a client and a server whose address may change. One thread.
class SoakProxy {
public:
    explicit SoakProxy(boost::asio::io_context& context);
    ~SoakProxy();

    // "127.0.0.1:port".
    const std::string& address() const;

    // Sets the server for new connections, "IP:port".
    void setServer(const std::string& address);

    // Applies to open and new connections.
    void setFault(LinkFault fault, Duration delay = {});

private:
    struct State;
    std::shared_ptr<State> state; // Shared with the coroutines, which may outlive the proxy.
};

}
