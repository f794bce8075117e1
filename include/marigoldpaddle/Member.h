#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <marigoldpaddle/Identifiers.h>

namespace marigoldpaddle {

enum class MemberState {
    Alive,
    Suspected, // Missed probes; still counted on until the suspicion is confirmed or refuted.
    Leaving, // Announced a planned stop: finishes what it holds and takes nothing new.
    Dead,
};

std::string_view name(MemberState state);

// What one instance knows of another.
struct Member {
    InstanceId instance;
    std::string availabilityZone;
    std::string membershipAddress; // "IP:port", UDP
    std::string dispatcherAddress; // "IP:port", TCP
    MemberState state { MemberState::Alive };
    std::uint64_t configurationOffset { 0 }; // The highest offset that the instance said it has in force.
    std::uint64_t revision { 0 }; // Raised by the instance itself, to refute a suspicion or to announce its stop.

    bool operator==(const Member&) const = default;
};

// Returns whether the member may own cells and idempotency keys.
bool canOwn(const Member& member);

}
