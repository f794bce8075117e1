#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/HttpClient.h"
#include "base/Metrics.h"
#include "serving/TargetDirectory.h"
#include "serving/TargetHealth.h"
#include "serving/TargetReachability.h"

namespace marigoldpaddle {

// Limits of connections to targets.
HttpClientLimits targetClientLimits();

// Observes the connections of this instance to targets, over all requests, and probes targets to tell the loss of all
// paths from the failure of single targets, and to find those that accept connections again. Each service is judged by
// itself: an instance may reach one and not another.
class TargetLinks final : public ConnectionObserver {
public:
    struct Parts {
        boost::asio::io_context& context;
        const Clock& clock;
        const TargetDirectory& targets;
        TargetHealth& health;
        EventLog& log;
        MetricsRegistry& metrics;
    };

    // Everything that the parts refer to must outlive the object.
    TargetLinks(const Parts& parts, std::mt19937_64 random);
    ~TargetLinks() override;
    TargetLinks(const TargetLinks&) = delete;
    TargetLinks& operator=(const TargetLinks&) = delete;

    // `notify` is called with the name of a service when isCutOff() changes for it.
    void onChange(std::function<void(const std::string&)> notify);

    // Whether no target of the service accepts a new connection of this instance, though probably of others.
    bool isCutOff(std::string_view service) const;

    // Names of the services that this instance is cut off from.
    std::vector<std::string> unreachableServices() const;

    // Records bytes of a target of the service.
    void recordBytes(std::string_view service);

    // Whether any target of the service has sent bytes lately. Open connections may live on while new ones are refused.
    bool hasRecentBytes(std::string_view service) const;

    // Records that an answer is overdue, or a stream silent. Ignored if other targets of the service send.
    void recordSilence(std::string_view service);

    void connected(std::string_view address) override;
    void connectFailed(std::string_view address, ConnectFailure failure) override;
    void connectionLost(std::string_view address) override;
    void received(std::string_view address) override;

private:
    struct Round;

    struct Service {
        TargetReachability reachability;
        TimePoint connectedAt {}; // When a target last accepted a connection; the epoch if none did.
        TimePoint receivedAt {}; // When a target last sent bytes; the epoch if none did.
        bool isWaitingForRound { false };
        std::size_t searchSize { 0 }; // Probes of the last step of a search for targets; 0 without one.
        TimePoint searchedAt {}; // When that step began.
        TimePoint lostAt {}; // When a target last accepted a connection before the instance was cut off.
    };

    std::set<std::string> servicesAt(std::string_view address) const;
    std::uint64_t incarnationAt(std::string_view address) const;
    void recordAccepted(std::string_view address);
    void recordUnreachable(std::string_view address);
    bool needsSearch(const std::string& name) const;
    void search(const std::string& name, TargetConnections::Untested kind, std::size_t count);
    void continueSearch(const std::string& name);
    void probeDownTargets(const std::string& name);
    void startWaiting(const std::string& name);
    void startProbes(const std::string& name, std::span<const TargetEntry* const> targets, bool decides);
    Service& serviceNamed(std::string_view name);
    void recordFailures(std::string_view address, Duration window);
    void recordFailure(const std::string& name, Duration window);
    void recordConnected(const std::string& name);
    void startRoundIfDue(const std::string& name);
    boost::asio::awaitable<void> waitForRound(std::string name);
    static boost::asio::awaitable<void> probe(std::shared_ptr<Round> round, std::string address);
    void recordProbe(Round& round, std::string_view address, bool isConnected, bool isConclusive);
    void recordChange(const std::string& name, std::string_view reason);

    Parts parts;
    std::mt19937_64 random;
    std::map<std::string, Service, std::less<>> services;
    std::function<void(const std::string&)> notify;
    TimePoint connectedAt; // When any target last accepted a connection; the start of this instance if none did.
    TimePoint receivedAt; // When any target last sent bytes; the start of this instance if none did.
    std::shared_ptr<TargetLinks*> self; // Null in coroutines that outlive the object.
};

}
