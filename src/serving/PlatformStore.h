#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/PlatformLog.h>

#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

enum class KeyedStream {
    Configuration,
    Targets,
    Instances, // Of this system; followed by the programs that share a membership.
};

// The newest record of a key. Without a value the key was removed.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value;
};

struct KeyedPage {
    std::vector<KeyedRecord> records; // In the order they were written.
    std::uint64_t next { 0 }; // Where to continue reading.
};

// Reads the platform's keyed streams. Coroutines return the errors of the platform layer.
class PlatformStore {
public:
    virtual ~PlatformStore() = default;

    // Returns the newest record of every key. Records written meanwhile may be missing; continue at `next` to see them.
    virtual boost::asio::awaitable<PlatformResult<KeyedPage>> newest(KeyedStream stream) = 0;

    // Returns the records from `from` on, waiting up to `wait` for the first. Trimmed when `from` is no longer kept.
    virtual boost::asio::awaitable<PlatformResult<KeyedPage>> changes(
        KeyedStream stream, std::uint64_t from, Duration wait)
        = 0;
};

// Decodes the records of the keyed streams. Empty when a record cannot be understood; `problem` then says why.
class RecordDecoder {
public:
    virtual ~RecordDecoder() = default;

    virtual std::optional<ServingConfiguration> configuration(const KeyedRecord& record, std::string& problem) const
        = 0;
    virtual std::optional<TargetEntry> target(const KeyedRecord& record, std::string& problem) const = 0;
    virtual std::optional<InstanceDescription> instance(const KeyedRecord& record, std::string& problem) const = 0;
};

}
