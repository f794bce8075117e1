#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/Member.h>

#include "base/Metrics.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// Identity of a gateway instance.
struct GatewaySettings {
    InstanceId instance;
    std::string availabilityZone;
    std::uint64_t randomSeed { 1 };
};

// A cell, its last known load, and the instance whose dispatcher schedules it.
struct CellView {
    CellDigest digest;
    InstanceId owner;
};

// A target of a plain service, which is any HTTP service other than a model engine.
struct ServiceTarget {
    std::string name;
    std::string service;
    std::string address;
    std::string availabilityZone;
};

// The gateway's view of members, cells, services and configuration, kept up to date by long polls to the dispatcher of
// its own instance. If that dispatcher fails to answer, other known dispatchers are polled as well.
class ClusterView {
public:
    ClusterView(boost::asio::io_context& context, RpcClient& rpc, MetricsRegistry& metrics, InstanceId instance,
        std::string dispatcherAddress);

    // Starts polling. Runs until the io_context stops.
    void start();

    // Null until the gateway has received a preset in force.
    std::shared_ptr<const Preset> preset() const;
    std::uint64_t configurationOffset() const;

    const std::vector<CellView>& cells() const;
    const std::vector<ServiceTarget>& services() const;
    const std::vector<Member>& members() const;

    // Whether the view marks the target as leaving.
    bool isLeaving(std::string_view target) const;

    // Null if the cell is unknown.
    const CellView* cell(const CellId& id) const;

    // Returns once the view has changed or `time` has elapsed.
    boost::asio::awaitable<void> waitForChange(Duration time);

    // Returns once the view contains an owner of the cell other than `owner`, or when cancelled.
    boost::asio::awaitable<void> waitForOwnerChange(CellId cell, InstanceId owner);

    // Returns the RPC address of an instance's dispatcher; empty if it is unknown.
    std::string dispatcherAddressOf(const InstanceId& instance) const;

private:
    boost::asio::awaitable<void> pollLoop();
    boost::asio::awaitable<bool> pollOnce(std::string address);
    std::string nextDispatcherAddress();
    void applyAnswer(const wire::ViewAnswer& answer);

    boost::asio::io_context& context;
    RpcClient& rpc;
    MetricsRegistry& metrics;
    InstanceId instance;
    std::string localDispatcherAddress;
    std::size_t consecutiveFailures { 0 };
    std::int64_t version { 0 };
    std::string versionAddress; // The dispatcher that sent `version`; versions of different dispatchers are unrelated.
    ConfigurationState configuration;
    std::vector<Member> knownMembers;
    std::vector<CellView> knownCells;
    std::vector<ServiceTarget> knownServices;
    std::set<std::string, std::less<>> leavingTargets;
    boost::asio::steady_timer changeSignal; // Cancelled whenever the view changes.
};

}
