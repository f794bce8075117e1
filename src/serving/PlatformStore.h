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
#include "serving/view/EvacuatedZones.h"

namespace marigoldpaddle {

enum class KeyedStream {
    Configuration,
    Targets,
    Instances, // Instances of this system; read by the programs that use the membership protocol.
};

// The newest record of a key. Without a value the key was removed.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value;
};

struct KeyedPage {
    std::vector<KeyedRecord> records; // In the order they were written.
    std::uint64_t next { 0 }; // Offset to continue reading from.
    // Rises each time the store comes back from an older copy of itself. Offsets of an earlier era are void: they are
    // given out again.
    std::uint64_t era { 0 };
    bool hasMore { false }; // Others follow: the page is a part of a listing, or of the changes.
};

// Reads the platform's keyed streams. Errors are returned as PlatformError.
class PlatformStore {
public:
    virtual ~PlatformStore() = default;

    // Returns the newest record of every key. Records written meanwhile may be missing; continue at `next` to get them.
    // Trimmed when the store changed its era between two parts of the listing.
    virtual boost::asio::awaitable<PlatformResult<KeyedPage>> newest(KeyedStream stream) = 0;

    // Returns a part of that listing, in the order of the keys: the records that follow the key `after`, or the first
    // ones if it is empty. Continue with the last key while `hasMore`, and at the `next` of the first part.
    virtual boost::asio::awaitable<PlatformResult<KeyedPage>> newestPart(KeyedStream stream, std::string after) = 0;

    // Returns the records from offset `from` on, waiting up to `wait` for the first (long poll). Continue at `next`
    // while `hasMore`: only then have all changes been read that were written before the call. Trimmed when `from` is
    // no longer retained.
    virtual boost::asio::awaitable<PlatformResult<KeyedPage>> changes(
        KeyedStream stream, std::uint64_t from, Duration wait)
        = 0;
};

// Decodes the records of the keyed streams. Empty when a record is invalid; `problem` then gives the reason.
class RecordDecoder {
public:
    virtual ~RecordDecoder() = default;

    virtual std::optional<ServingConfiguration> configuration(const KeyedRecord& record, std::string& problem) const
        = 0;
    virtual std::optional<TargetEntry> target(const KeyedRecord& record, std::string& problem) const = 0;

    // What a record of the configuration's stream says about the evacuation of a zone. Empty without a problem for a
    // record of another kind.
    virtual std::optional<ZoneEvacuation> zoneEvacuation(const KeyedRecord& record, std::string& problem) const = 0;
    virtual std::optional<InstanceDescription> instance(const KeyedRecord& record, std::string& problem) const = 0;
};

}
