#pragma once

#include <string_view>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/HttpClient.h"
#include "base/Metrics.h"

namespace marigoldpaddle {

// Limits of connections to targets.
HttpClientLimits targetClientLimits();

// Observes the connections of this instance to targets, over all requests: whether the instance reaches any target is
// not visible from a single attempt.
class TargetLinks final : public ConnectionObserver {
public:
    // Everything that is passed must outlive the object.
    TargetLinks(const Clock& clock, EventLog& log, MetricsRegistry& metrics);

    void connected(std::string_view address) override;
    void connectFailed(std::string_view address, ConnectFailure failure) override;
    void connectionLost(std::string_view address) override;
    void received(std::string_view address) override;

private:
    const Clock& clock;
    EventLog& log;
    MetricsRegistry& metrics;
    TimePoint connectedAt; // When a target last accepted a connection; the start of this instance if none did.
    TimePoint receivedAt; // When a target last sent bytes; the start of this instance if none did.
};

}
