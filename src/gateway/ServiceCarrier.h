#pragma once

#include "base/HttpClient.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Carries calls to plain services and keeps their whole answers for the callers.
class ServiceCarrier final : public Carrier {
public:
    // `client` must outlive the carrier.
    explicit ServiceCarrier(HttpClient& client);

    boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) override;
    void cancel(GatewayRequest& request, const CancelAttempt& command) override;

private:
    HttpClient& client;
};

}
