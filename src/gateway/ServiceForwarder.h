#pragma once

#include "base/HttpClient.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Forwards calls to plain services and stores each complete response in its request. Responses are not streamed.
class ServiceForwarder final : public RequestForwarder {
public:
    // `client` must outlive the forwarder.
    explicit ServiceForwarder(HttpClient& client);

    boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) override;
    void cancel(GatewayRequest& request, const CancelAttempt& command) override;

private:
    HttpClient& client;
};

}
