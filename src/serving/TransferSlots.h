#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Limits how many lists of targets an instance sends at the same time. More of them share its link, so that none is
// complete before its receiver gives up; with few, the first receivers have the list soon and pass it on. Pure
// computation, no I/O.
class TransferSlots {
public:
    using Id = std::uint64_t;

    explicit TransferSlots(std::size_t count);

    // Takes a slot until it is released, at the latest until `expiry`: a receiver that is frozen never takes the whole
    // list. Empty if no slot is free.
    std::optional<Id> take(TimePoint now, TimePoint expiry);

    // Does nothing for a slot that has expired.
    void release(Id slot);

private:
    std::size_t count;
    Id lastId { 0 };
    std::map<Id, TimePoint> taken; // Expiry of each slot in use.
};

}
