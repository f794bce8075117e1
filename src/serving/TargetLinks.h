#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/HttpClient.h"
#include "base/Metrics.h"
#include "serving/TargetDirectory.h"
#include "serving/TargetReachability.h"

namespace marigoldpaddle {

// Limits of connections to targets.
HttpClientLimits targetClientLimits();

// Observes the connections of this instance to targets, over all requests, and probes targets to tell the loss of all
// paths from the failure of single targets.
class TargetLinks final : public ConnectionObserver {
public:
    struct Parts {
        boost::asio::io_context& context;
        const Clock& clock;
        const TargetDirectory& targets;
        EventLog& log;
        MetricsRegistry& metrics;
    };

    // Everything that the parts refer to must outlive the object.
    TargetLinks(const Parts& parts, std::mt19937_64 random);
    ~TargetLinks() override;
    TargetLinks(const TargetLinks&) = delete;
    TargetLinks& operator=(const TargetLinks&) = delete;

    // `notify` is called when isCutOff() changes.
    void onChange(std::function<void()> notify);

    // Whether no target accepts a new connection of this instance, though probably of others.
    bool isCutOff() const;

    // Whether any target has sent bytes lately. Open connections may live on while new ones are refused.
    bool hasRecentBytes() const;

    // Records that an answer is overdue, or a stream silent. Ignored if other targets send.
    void recordSilence();

    void connected(std::string_view address) override;
    void connectFailed(std::string_view address, ConnectFailure failure) override;
    void connectionLost(std::string_view address) override;
    void received(std::string_view address) override;

private:
    struct Round;
    void recordFailure(Duration window);
    void startRoundIfDue();
    boost::asio::awaitable<void> waitForRound();
    static boost::asio::awaitable<void> probe(std::shared_ptr<Round> round, std::string address);
    void recordProbe(Round& round, bool isConnected, bool isConclusive);
    void recordChange(std::string_view reason);

    Parts parts;
    std::mt19937_64 random;
    TargetReachability reachability;
    std::function<void()> notify;
    TimePoint connectedAt; // When a target last accepted a connection; the start of this instance if none did.
    TimePoint receivedAt; // When a target last sent bytes; the start of this instance if none did.
    bool isWaitingForRound { false };
    std::shared_ptr<TargetLinks*> self; // Null in coroutines that outlive the object.
};

}
