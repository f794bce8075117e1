#pragma once

#include "serving/ServingGateway.h"

namespace marigoldpaddle {

// One request of a caller on its way through the gateway.
struct ServingGateway::Call {
    Call(HttpExchange& exchange, TimePoint now)
        : exchange(exchange)
        , receivedAt(now)
    {
    }

    HttpExchange& exchange;
    TimePoint receivedAt;
    TimePoint deadline {};
    CallerTerms terms;
    std::shared_ptr<const ActiveConfiguration> configuration;
    const Route* route { nullptr };
    const ServiceProfile* service { nullptr };
    std::string workspace;
    std::set<std::string> tried;
    unsigned tries { 0 };
    unsigned runs { 0 }; // Attempts that may have run.
    std::optional<Duration> retryAfter; // When a refused caller may come back, if better known than usual.
    std::optional<HttpResponse> targetFailure; // Passed on when nothing better comes.
    std::optional<EventStream> stream; // Once events may reach the caller.
    TimePoint lastEventAt {};
    Duration longestGap {}; // Between two pieces of the answer.
    bool isAnswering { false }; // The caller has bytes of its answer, or is about to.
    bool foundNoPlace { false }; // There are targets, and none could take it in time.
    bool isStopped { false }; // The instance stops before it could have been placed.
    bool isAbandoned { false }; // The caller has left or its time is over: whatever ends now says nothing of a target.
    bool didFinish { false };
};

}
