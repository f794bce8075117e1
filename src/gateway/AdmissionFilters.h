#pragma once

#include "gateway/ClusterView.h"
#include "gateway/Filter.h"

namespace marigoldpaddle {

// Parses the path, the headers and the body of a request.
class ParseFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

// Looks up the workspace of the bearer key in the preset in force.
class AuthenticateFilter final : public Filter {
public:
    // `view` must outlive the filter.
    explicit AuthenticateFilter(const ClusterView& view);

    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

private:
    const ClusterView& view;
};

// Estimates the length of a prompt in tokens, determines its class, and hashes its prefix blocks for cache-aware
// placement.
class EstimateFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

// Checks that the model or service exists, and derives the deadline from the allowed time that the caller states,
// capped by the preset.
class AdmitFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

}
