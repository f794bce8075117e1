#include "gateway/GatewayMetrics.h"

namespace marigoldpaddle {

namespace {

constexpr std::string_view RefusalsName = "marigold_gateway_refusals_total";
constexpr std::string_view RetriesName = "marigold_gateway_retries_total";

std::string labelOf(std::string_view key, std::string_view value)
{
    return std::string { key } + "=\"" + std::string { value } + "\"";
}

}

GatewayMetrics::GatewayMetrics(MetricsRegistry& registry)
    : registry(registry)
    , completed(registry.counter("marigold_gateway_completed_total"))
    , droppedChunks(registry.counter("marigold_gateway_chunks_dropped_total"))
    , relayedTokens(registry.counter("marigold_gateway_tokens_total"))
    , failedCancels(registry.counter("marigold_gateway_cancel_failures_total"))
    , lostNotices(registry.counter("marigold_gateway_notices_lost_total"))
    , closedConnections(registry.counter("marigold_gateway_target_connections_closed_total"))
    , queueTime(registry.histogram("marigold_gateway_queue_seconds"))
    , tokenGap(registry.histogram("marigold_gateway_token_gap_seconds"))
{
    for (const auto reason : AllRefusalReasons)
        registry.counter(RefusalsName, labelOf("reason", name(reason)));
    for (const auto reason : AllRetryReasons)
        registry.counter(RetriesName, labelOf("reason", name(reason)));
}

void GatewayMetrics::countRefusal(RefusalReason reason)
{
    this->registry.counter(RefusalsName, labelOf("reason", name(reason))).increment();
}

void GatewayMetrics::countRetry(RetryReason reason)
{
    this->registry.counter(RetriesName, labelOf("reason", name(reason))).increment();
}

void GatewayMetrics::recordFirstToken(std::string_view promptClass, Duration elapsed)
{
    this->registry.histogram("marigold_time_to_first_token_seconds", labelOf("class", promptClass)).record(elapsed);
}

}
