#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "serving/PlatformStore.h"

namespace marigoldpaddle {

// Instances send each other a configuration as its difference from one that the receiver has, compressed, in parts. The
// cost of a change is what differs, parts that have arrived are kept when a sender becomes slow, and the parts of one
// encoding may come from several senders. Pure computation, no I/O.

// A part of an encoded configuration.
struct ConfigurationPart {
    std::string key; // Of the record.
    std::uint64_t digest { 0 }; // Of the configuration.
    std::uint64_t baseDigest { 0 }; // Of the configuration that it is encoded against; 0 if against none.
    std::size_t size { 0 }; // Of the configuration, in bytes.
    std::size_t encodedSize { 0 };
    std::size_t offset { 0 }; // In the encoding.
    std::string data;
};

// Asks for the part that begins at `offset`.
struct ConfigurationPartRequest {
    std::uint64_t digest { 0 }; // Of the configuration in transfer; 0 for the newest.
    std::uint64_t baseDigest { 0 }; // Of a configuration that the receiver has; 0 for none.
    std::size_t offset { 0 };
};

// The latest configurations, as read from the platform, and their encodings for peers.
class ConfigurationArchive {
public:
    // Configurations that are kept. The encoding is complete for receivers whose configuration is older.
    static constexpr std::size_t MaximumRecords = 8;
    // Bytes of one part. The parts for all instances of a zone at once pass a weak link within a fetch's time limit.
    static constexpr std::size_t PartBytes = 4 * 1024;

    // Adds a record, which must have a value, as the newest.
    void add(KeyedRecord record);

    // Null before the first.
    const KeyedRecord* newest() const;

    // Digest of the newest configuration; 0 without one.
    std::uint64_t newestDigest() const;

    // Null if no configuration with this digest is kept.
    const KeyedRecord* find(std::uint64_t digest) const;

    // Returns a part of the requested configuration, or the first part of the newest one if the other is not kept.
    // Empty before the first configuration.
    std::optional<ConfigurationPart> part(const ConfigurationPartRequest& request);

private:
    struct Entry {
        std::uint64_t digest { 0 };
        KeyedRecord record;
    };

    struct Encoding {
        std::uint64_t digest { 0 };
        std::uint64_t baseDigest { 0 };
        std::string data;
    };

    static constexpr std::size_t MaximumEncodings = 32;

    const std::string& encode(const Entry& entry, std::uint64_t baseDigest);

    std::deque<Entry> entries; // Newest last.
    std::deque<Encoding> encodings; // Latest last.
};

// The configuration that an instance is receiving in parts.
class ConfigurationDownload {
public:
    enum class State {
        Incomplete,
        Complete, // The record can be taken.
        // A part has impossible sizes, or the parts do not make up the configuration; the next request then begins
        // anew, without a base.
        Invalid,
    };

    // Larger configurations are not accepted.
    static constexpr std::size_t MaximumBytes = 32 * 1024 * 1024;

    // Returns the request for the next part. `own` has the configurations of this instance.
    ConfigurationPartRequest nextRequest(const ConfigurationArchive& own) const;

    // Adds a part. A part that does not continue what was received is ignored, and so is one of another encoding.
    State add(const ConfigurationPart& part, const ConfigurationArchive& own);

    // Returns the complete record and ends the download.
    KeyedRecord take();

    // Forgets the parts.
    void reset();

    // Bytes of the encoding that were received.
    std::size_t receivedBytes() const;

private:
    bool continues(const ConfigurationPart& part) const;
    std::optional<std::string> decode(const ConfigurationArchive& own) const;

    ConfigurationPart received; // `data` has what was received from the beginning on.
    std::optional<KeyedRecord> complete;
    bool isWithoutBase { false }; // A configuration could not be decoded against its base.
};

}
