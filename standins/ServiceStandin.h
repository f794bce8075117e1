#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

// Injected faults of the order service. `POST /faults` sets those that its JSON object contains. A counter is the
// number of orders that the fault still applies to.
struct ServiceFaults {
    std::uint64_t delayMs { 0 }; // Delay before an order takes effect.
    std::uint64_t dropAnswers { 0 }; // Counter of orders that take effect but get no response.
    std::uint64_t dropRequests { 0 }; // Counter of orders that take no effect and get no response.
    std::uint64_t truncateAnswers { 0 }; // Counter of orders that take effect but get only half of the response.
    std::uint64_t oddTrailers { 0 }; // Counter of orders whose response ends with a trailer field beyond any limit.
    bool isFrozen { false }; // Orders wait until this is cleared, then take effect.
    bool isLeaving { false }; // States so in every answer to an order.
    bool isDeclining { false }; // Orders take no effect and get 503 with the not-executed header.
    std::string retryAfter; // Retry-After of every 503; empty for none.
    std::string requestLimit; // Requests a second, stated in every answer to an order; empty for none.
    bool isDown { false }; // Connections are closed without a response; orders take no effect.
};

// Stand-in for an order service. It is not idempotent: a repeated request is executed again, so that tests can detect
// repeated executions. The response to a request with platform headers carries them as well; a request that expects
// another target is rejected. `GET /counts` returns the number of executions of each order by idempotency key and by
// request id; injected faults do not affect it.
class ServiceStandin final : public HttpHandler {
public:
    // `id` is the registered target id on the users' platform; empty if the platform is not used.
    explicit ServiceStandin(std::string id = {});

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

    // Returns the number of requests received, whether or not they were executed.
    std::uint64_t receivedCount() const;

    // Returns how often the order with this request or attempt id was executed.
    std::uint64_t runsOf(std::string_view request) const;

    ServiceFaults faults;

private:
    boost::asio::awaitable<void> handleOrder(HttpExchange& exchange);
    boost::asio::awaitable<void> waitWhileFrozen();
    HttpResponse answerOrder(const HttpRequest& request);
    HttpResponse createOrder(const HttpRequest& request);
    bool expectsOtherInstance(const HttpRequest& request) const;
    void addPlatformHeaders(HttpResponse& response, const HttpRequest& request) const;
    HttpResponse counts() const;
    HttpResponse setFaults(std::string_view body);

    std::string id;
    std::uint64_t received { 0 };
    std::map<std::string, std::uint64_t, std::less<>> runsByKey;
    std::map<std::string, std::uint64_t, std::less<>> runsByRequest;
    std::vector<std::string> orders;
};

}
