#pragma once

#include <string_view>

#include <marigoldpaddle/Reasons.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// The gateway's counters and histograms. The counters of all reasons are registered at construction, so that rates can
// be computed from the first event on.
class GatewayMetrics {
public:
    // `registry` must outlive the metrics.
    explicit GatewayMetrics(MetricsRegistry& registry);

    void countRefusal(RefusalReason reason);
    void countRetry(RetryReason reason);
    void recordFirstToken(std::string_view promptClass, Duration elapsed);

    MetricsRegistry& registry;
    Counter& completed;
    Counter& droppedChunks;
    Counter& relayedTokens;
    Counter& failedCancels;
    Counter& lostNotices;
    Counter& closedConnections; // To targets that did not end a complete response in time.
    LatencyHistogram& queueTime;
    LatencyHistogram& tokenGap;
};

}
