#pragma once

#include "gateway/Filter.h"
#include "gateway/GatewayView.h"

namespace marigoldpaddle {

// Reads path, headers and body.
class ParseFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

// Finds the workspace that the bearer key belongs to in the preset in force.
class AuthenticateFilter final : public Filter {
public:
    // `view` must outlive the filter.
    explicit AuthenticateFilter(const GatewayView& view);

    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

private:
    const GatewayView& view;
};

// Estimates the length of a prompt, finds its class and hashes its prefix.
class EstimateFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

// Checks that the model or service exists and bounds the allowed time.
class AdmitFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

}
