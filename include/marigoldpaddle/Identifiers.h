#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace marigoldpaddle {

// Identifies one incarnation of an instance. A replaced or restarted instance may keep its name and address, but has a
// higher incarnation than all before.
struct InstanceId {
    std::string name;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const InstanceId&) const = default;
};

// Identifies one request. Created by the gateway that receives the request; unique across all instances and
// incarnations, and never reused.
struct RequestId {
    std::string value;

    auto operator<=>(const RequestId&) const = default;
};

// Identifies a cell: at most sixteen targets of one model or plain service in one availability zone. The instance that
// owns the cell schedules its requests.
struct CellId {
    std::string availabilityZone;
    std::string model;
    std::uint32_t number { 0 };

    auto operator<=>(const CellId&) const = default;
};

}
