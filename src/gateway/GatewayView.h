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

// Which instance a gateway is.
struct GatewaySettings {
    InstanceId instance;
    std::string availabilityZone;
    std::uint64_t randomSeed { 1 };
};

// A cell, what is known of its load, and who schedules it.
struct CellView {
    CellDigest digest;
    InstanceId owner;
};

// A target of a plain service.
struct ServiceTarget {
    std::string name;
    std::string service;
    std::string address;
    std::string availabilityZone;
};

// What a gateway knows of the rest of the system. It asks its own dispatcher, and any other it has heard of when that
// one does not answer.
class GatewayView {
public:
    GatewayView(boost::asio::io_context& context, RpcClient& rpc, MetricsRegistry& metrics, InstanceId instance,
        std::string dispatcherAddress);

    // Starts to follow. Runs until the io_context stops.
    void start();

    // Null until a preset is in force and known.
    std::shared_ptr<const Preset> preset() const;
    std::uint64_t configurationOffset() const;

    const std::vector<CellView>& cells() const;
    const std::vector<ServiceTarget>& services() const;
    const std::vector<Member>& members() const;

    // Whether some instance has heard that the target is leaving.
    bool isLeaving(std::string_view target) const;

    // Null when the cell is not known.
    const CellView* cell(const CellId& id) const;

    // Returns after the view has changed or `time` has passed.
    boost::asio::awaitable<void> waitForChange(Duration time);

    // Returns once another than `owner` is known to own the cell.
    boost::asio::awaitable<void> waitForOtherOwner(CellId cell, InstanceId owner);

    // The RPC address of an instance's dispatcher; empty when it is not known.
    std::string dispatcherAddressOf(const InstanceId& instance) const;

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> askOnce(std::string address);
    std::string nextAddress();
    void take(const wire::ViewAnswer& answer);

    boost::asio::io_context& context;
    RpcClient& rpc;
    MetricsRegistry& metrics;
    InstanceId instance;
    std::string ownDispatcher;
    std::size_t failures { 0 };
    std::int64_t version { 0 };
    std::string versionSource;
    ConfigurationState configuration;
    std::vector<Member> knownMembers;
    std::vector<CellView> knownCells;
    std::vector<ServiceTarget> knownServices;
    std::set<std::string, std::less<>> leavingTargets;
    boost::asio::steady_timer changed; // Cancelled whenever the view changes.
};

}
