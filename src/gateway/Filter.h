#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "gateway/GatewayRequest.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

// One stage of request processing: parse, authenticate, estimate, admit, claim, acquire, relay.
class Filter {
public:
    virtual ~Filter() = default;

    // Returns the problem that ends the request, or no value to continue. AcquireFilter and RelayFilter never return a
    // problem; the lifecycle of the request produces it.
    virtual boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) = 0;
};

}
