#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "gateway/GatewayRequest.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

// One step of a request through the gateway: parse, authenticate, estimate length, admit, claim, acquire, relay.
class Filter {
public:
    virtual ~Filter() = default;

    // Returns the problem that ends the request. Filters from admission on leave that to the request's lifecycle.
    virtual boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) = 0;
};

}
