#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <marigoldpaddle/Identifiers.h>

namespace marigoldpaddle {

enum class MemberState {
    Alive,
    Suspected, // Did not answer probes. Remains an owner until the suspicion is confirmed or refuted.
    Leaving, // Announced a graceful shutdown: completes its requests in flight and accepts no new ones.
    Dead,
};

std::string_view name(MemberState state);

// The state of one instance as known to another.
struct Member {
    InstanceId instance;
    std::string availabilityZone;
    std::string membershipAddress; // "IP:port", UDP
    std::string dispatcherAddress; // "IP:port", TCP
    MemberState state { MemberState::Alive };
    std::uint64_t configurationOffset { 0 }; // The highest configuration offset that the instance reported in force.
    std::uint64_t revision { 0 }; // Incremented by the instance itself to refute a suspicion or announce its stop.

    bool operator==(const Member&) const = default;
};

// Returns whether the member may own cells and idempotency keys.
bool canOwn(const Member& member);

}
