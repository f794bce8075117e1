#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/outcome/result.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

// Errors of the platform layer: the log service and the instance list.
enum class PlatformError {
    Unreachable, // Nothing was sent.
    NoAnswer, // Sent, but no answer came: an append may have taken effect.
    Rejected, // The service answered that it did not do it.
    Trimmed, // The offset asked for is no longer kept.
    Malformed, // The answer could not be understood.
};

std::string_view name(PlatformError error);

template <typename Value>
using PlatformResult = boost::outcome_v2::result<Value, PlatformError, boost::outcome_v2::policy::all_narrow>;

struct LogRecord {
    std::uint64_t offset { 0 };
    std::string data;
};

// Records in offset order, and the bounds of what the log still keeps.
struct LogPage {
    std::vector<LogRecord> records;
    std::uint64_t firstKept { 0 }; // The lowest offset that the log still keeps.
    std::uint64_t next { 0 }; // The offset that the next append will get.
};

// One stream of the platform's append-only log. Offsets rise by one for each record and are never used again.
class PlatformLog {
public:
    virtual ~PlatformLog() = default;

    // Appends a record and returns its offset. After NoAnswer the record may or may not be in the log.
    virtual boost::asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) = 0;

    // Returns the records from `offset` on, waiting up to `wait` for the first. Trimmed if `offset` is below what is
    // kept.
    virtual boost::asio::awaitable<PlatformResult<LogPage>> read(std::uint64_t offset, std::size_t limit, Duration wait)
        = 0;
};

// An instance of the system as the platform lists it.
struct InstanceDescription {
    std::string name;
    std::string availabilityZone;
    std::string dispatcherAddress; // "IP:port" of its dispatcher's RPC, TCP.
    std::string membershipAddress; // "IP:port" of its dispatcher's membership, UDP.
    std::uint64_t incarnation { 0 };
    bool isLeaving { false };

    bool operator==(const InstanceDescription&) const = default;
};

struct InstanceListing {
    std::vector<InstanceDescription> instances;
    std::vector<TargetDescription> targets;
};

// The platform's list of live and leaving instances and targets. What it says is late.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    virtual boost::asio::awaitable<PlatformResult<InstanceListing>> list() = 0;
};

}
