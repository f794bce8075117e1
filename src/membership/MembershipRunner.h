#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Membership.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// Receives the events of a membership. Called on the runner's io_context.
class MembershipObserver {
public:
    virtual ~MembershipObserver() = default;

    virtual void memberChanged(const Member& member) = 0;
    virtual void targetMarked(const TargetLeavingMark& mark) = 0;

    // `holder` has a higher configuration offset in force than this instance, and serves the record at that offset.
    virtual void higherConfigurationOffset(std::uint64_t offset, const Member& holder) = 0;

    // Another process runs under this instance's name with a later incarnation. This process must stop acting as an
    // owner.
    virtual void superseded(std::uint64_t incarnation) = 0;
};

// Runs a Membership over UDP. Datagrams that cannot be sent without blocking are dropped.
class MembershipRunner {
public:
    // Everything that is passed by reference must outlive the runner.
    MembershipRunner(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics);
    ~MembershipRunner();

    // Binds to "IP:port", port 0 for any. Returns the bound port; throws boost::system::system_error when it cannot.
    std::uint16_t bind(std::string_view address);

    // Starts as `self`, whose membershipAddress must be the bound one. To be called once, after bind().
    void start(Member self, MembershipObserver& observer, std::uint64_t seed, const MembershipOptions& options = {});

    // See the functions of Membership. Without effect before start().
    void updateListing(std::span<const InstanceDescription> instances);
    void markTarget(const TargetLeavingMark& mark);
    void publish(const CellDigest& digest);
    void setConfigurationOffset(std::uint64_t offset);
    void leave();

    // Announces the end of this process to other members and closes the socket. The observer is not called afterwards.
    void stop();

    // Returns the membership. To be called after start() only.
    const Membership& membership() const;

    // See Membership::isStale(). True before start().
    bool isStale() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

}
