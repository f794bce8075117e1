#pragma once

#include <string_view>

#include <marigoldpaddle/Reasons.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// The gateway's counters and histograms. Every reason has its counter from the start, so that a rate can be taken of
// it.
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
    Counter& closedConnections; // To targets, whose answer was whole and did not end.
    LatencyHistogram& queueTime;
    LatencyHistogram& tokenGap;
};

}
