#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

struct ServiceFaults {
    std::uint64_t delayMs { 0 };
    std::uint64_t dropAnswers { 0 }; // So many orders take effect and get no answer.
};

// Stands in for an order service. It repeats whatever it is asked to repeat: keeping an order from running twice is not
// its job. `GET /counts` tells how often each order ran, by idempotency key.
class ServiceStandin final : public HttpHandler {
public:
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    HttpResponse takeOrder(const HttpRequest& request);
    HttpResponse counts() const;
    HttpResponse setFaults(std::string_view body);

    ServiceFaults faults;
    std::map<std::string, std::uint64_t> executions; // By idempotency key.
    std::vector<std::string> orders;
};

}
