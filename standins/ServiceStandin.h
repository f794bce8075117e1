#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

// The faults of the order service; `POST /faults` sets those that its JSON object names.
struct ServiceFaults {
    std::uint64_t delayMs { 0 }; // Before an order takes effect.
    std::uint64_t dropAnswers { 0 }; // So many orders take effect and get no answer.
    std::uint64_t dropRequests { 0 }; // So many orders get no answer and take no effect.
    std::uint64_t truncateAnswers { 0 }; // So many orders take effect and get half an answer.
    bool isFrozen { false }; // Orders wait until it is cleared, and take effect then.
    bool isDown { false }; // Connections are closed without an answer or an effect.
};

// Stands in for an order service. It repeats whatever it is asked to repeat: keeping an order from running twice is not
// its job. A request with the platform's headers is answered with them, and declined if it expects another target.
// `GET /counts` tells how often each order ran, by idempotency key and by request id; no fault touches it.
class ServiceStandin final : public HttpHandler {
public:
    // `id` is what the service is registered under on the users' platform; empty elsewhere.
    explicit ServiceStandin(std::string id = {});

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

    // Requests that arrived, whether or not they have run.
    std::uint64_t receivedCount() const;

    // How often the order with this request or attempt id ran.
    std::uint64_t runsOf(std::string_view request) const;

    ServiceFaults faults;

private:
    boost::asio::awaitable<void> handleOrder(HttpExchange& exchange);
    boost::asio::awaitable<void> waitUntilThawed();
    HttpResponse takeOrder(const HttpRequest& request);
    bool isOtherExpected(const HttpRequest& request) const;
    void addPlatformHeaders(HttpResponse& response, const HttpRequest& request) const;
    HttpResponse counts() const;
    HttpResponse setFaults(std::string_view body);

    std::string id;
    std::uint64_t received { 0 }; // Orders that arrived, whether or not they have run.
    std::map<std::string, std::uint64_t, std::less<>> runsByKey;
    std::map<std::string, std::uint64_t, std::less<>> runsByRequest;
    std::vector<std::string> orders;
};

}
