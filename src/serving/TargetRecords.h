#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "serving/PlatformStore.h"

namespace marigoldpaddle {

// The registrations of the targets as last read, and a digest of them by which instances recognise that they hold the
// same registrations. The digest covers what a registration says about its target, not the parts that change with
// every heartbeat. Pure computation, no I/O.
class TargetRecords {
public:
    // A registration that was added, changed or removed. `entry` is empty when it cannot be decoded or was removed.
    struct Change {
        KeyedRecord record;
        std::optional<TargetEntry> entry;
    };

    // `decoder` must outlive this object.
    explicit TargetRecords(const RecordDecoder& decoder);

    // Applies records in the order in which they were written and returns the registrations that differ afterwards. A
    // complete listing also removes the registrations that are not in it.
    std::vector<Change> apply(const std::vector<KeyedRecord>& records, bool isComplete);

    // All registrations, by id.
    std::vector<KeyedRecord> all() const;

    std::uint64_t digest() const;

private:
    struct Held {
        std::string value;
        std::uint64_t fingerprint { 0 };
    };

    const RecordDecoder& decoder;
    std::map<std::string, Held, std::less<>> held;
    std::uint64_t combined { 0 }; // Exclusive or of the fingerprints, so that the order of changes does not matter.
};

}
