#include "serving/TargetLinks.h"

#include <string>

namespace marigoldpaddle {

namespace {

// A target in another zone accepts a connection within some round trips; a lost first packet is retransmitted after a
// second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds { 400 };
// Without acknowledgements the network path is broken, as opposed to a target that is busy.
constexpr Duration UnacknowledgedTimeout = std::chrono::seconds { 2 };
// Answers are held until they are complete, so that a broken one is not delivered. Some of this size fit into the
// memory of a small machine.
constexpr std::size_t MaximumAnswerBytes = std::size_t { 16 } * 1024 * 1024;
// Shortest interval of TCP. A dead engine is noticed within three seconds, so that the memory which a prompt holds on
// other engines is released in time.
constexpr std::chrono::seconds ProbeAfter { 1 };

}

HttpClientLimits targetClientLimits()
{
    return { .connectTimeout = ConnectTimeout,
        .maximumResponseBytes = MaximumAnswerBytes,
        .unacknowledgedTimeout = UnacknowledgedTimeout,
        .probeAfter = ProbeAfter };
}

TargetLinks::TargetLinks(const Clock& clock, EventLog& log, MetricsRegistry& metrics)
    : clock(clock)
    , log(log)
    , metrics(metrics)
    , connectedAt(clock.now())
    , receivedAt(this->connectedAt)
{
}

void TargetLinks::connected(std::string_view)
{
    this->connectedAt = this->clock.now();
}

void TargetLinks::connectFailed(std::string_view address, ConnectFailure failure)
{
    const auto now = this->clock.now();
    this->metrics.counter("marigold_failed_connects_total", "reason=\"" + std::string { name(failure) } + "\"")
        .increment();
    this->log.write("connect_failed",
        { { "address", address }, { "reason", name(failure) }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
}

void TargetLinks::connectionLost(std::string_view address)
{
    const auto now = this->clock.now();
    this->metrics.counter("marigold_lost_connections_total").increment();
    this->log.write("connection_lost",
        { { "address", address }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
}

void TargetLinks::received(std::string_view)
{
    this->receivedAt = this->clock.now();
}

}
