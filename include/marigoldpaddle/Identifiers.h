#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace marigoldpaddle {

// Names one run of the system's processes on one instance. A replaced instance may keep its name and address; its
// incarnation is always higher than any before it.
struct InstanceId {
    std::string name;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const InstanceId&) const = default;
};

// Names one request for as long as anything may still speak of it. Made by the gateway that received the request;
// unique over all instances and incarnations.
struct RequestId {
    std::string value;

    auto operator<=>(const RequestId&) const = default;
};

// Names a cell: at most sixteen targets of one model (or one plain service) in one availability zone.
struct CellId {
    std::string availabilityZone;
    std::string model;
    std::uint32_t number { 0 };

    auto operator<=>(const CellId&) const = default;
};

}
