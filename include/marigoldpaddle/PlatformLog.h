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
    NoAnswer, // The request was sent, but not answered. An append may have taken effect.
    Rejected, // The service answered that it did not execute the request.
    Trimmed, // The requested offset was trimmed from the log.
    Malformed, // The answer could not be parsed.
};

std::string_view name(PlatformError error);

template <typename Value>
using PlatformResult = boost::outcome_v2::result<Value, PlatformError, boost::outcome_v2::policy::all_narrow>;

struct LogRecord {
    std::uint64_t offset { 0 };
    std::string data;
};

// Records in offset order and the present bounds of the log.
struct LogPage {
    std::vector<LogRecord> records;
    std::uint64_t firstKept { 0 }; // The lowest offset that is not trimmed.
    std::uint64_t next { 0 }; // The offset of the next record to be appended.
};

// One stream of the platform's append-only log. Offsets are consecutive and never reused.
class PlatformLog {
public:
    virtual ~PlatformLog() = default;

    // Appends a record and returns its offset. After NoAnswer the record may have been appended.
    virtual boost::asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) = 0;

    // Returns up to `limit` records from `offset` on. If there are none, waits up to `wait` for one (long poll). Fails
    // with Trimmed if `offset` was trimmed.
    virtual boost::asio::awaitable<PlatformResult<LogPage>> read(std::uint64_t offset, std::size_t limit, Duration wait)
        = 0;
};

// An instance in the platform's instance list.
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

// The platform's list of live and leaving instances and targets. Updated with a delay.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    virtual boost::asio::awaitable<PlatformResult<InstanceListing>> list() = 0;
};

}
