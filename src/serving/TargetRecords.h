#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "serving/PlatformStore.h"

namespace marigoldpaddle {

// The registrations of the targets as last read, and a digest of them by which instances recognise that they hold the
// same registrations. The digest covers what a registration says about its target, not the parts that change with
// every heartbeat. Pure computation, no I/O.
class TargetRecords {
public:
    // A registration that was added, changed or removed. One that cannot be decoded names no target: it counts as
    // removed.
    struct Change {
        KeyedRecord record; // Without a value if it was removed or cannot be decoded.
        std::optional<TargetEntry> entry; // Set if the record has a value.
        std::string problem; // Why the registration cannot be decoded; empty otherwise.
        bool changesList { true }; // Not for one that cannot be decoded and was not held, or is only cold.
    };

    // `decoder` must outlive this object.
    explicit TargetRecords(const RecordDecoder& decoder);

    // Applies records in the order in which they were written and returns the registrations that differ afterwards. A
    // complete listing also removes the registrations that are not in it. A registration that cannot be decoded is
    // returned once for each of its contents, and one of a cold target each time: the remaining time counts down with
    // every heartbeat.
    std::vector<Change> apply(const std::vector<KeyedRecord>& records, bool isComplete);

    // All registrations that name a target, by id.
    std::vector<KeyedRecord> all() const;

    std::uint64_t digest() const;

private:
    struct Held {
        std::string value;
        std::uint64_t fingerprint { 0 };
    };

    void forgetRejectionsExcept(const std::map<std::string_view, const KeyedRecord*>& listed);
    bool isKnownRejection(const KeyedRecord& record) const;
    void rememberRejection(const KeyedRecord& record);

    const RecordDecoder& decoder;
    // Hashes of the contents that cannot be decoded, by the hash of their key: keys may be long.
    std::unordered_map<std::uint64_t, std::uint64_t> rejected;
    std::map<std::string, Held, std::less<>> held;
    std::uint64_t combined { 0 }; // Exclusive or of the fingerprints, so that the order of changes does not matter.
};

}
