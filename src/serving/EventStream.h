#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldpaddle {

// Cuts a text/event-stream into whole events and checks that their ids follow each other without a gap, so that only
// whole events in their order reach the caller, whatever a target breaks off or repeats.
class EventStream {
public:
    // The first id that is accepted is the one after `lastId`; without it any first id is.
    explicit EventStream(std::optional<std::uint64_t> lastId = std::nullopt);

    // Takes bytes and returns the whole events that they complete, to be forwarded as they are. Empty when there is
    // none. After isBroken() nothing more is returned.
    std::string take(std::string_view bytes);

    // An id was out of order, or an event grew without end.
    bool isBroken() const;

    // Bytes of an event that has not ended are waiting.
    bool isInsideEvent() const;

    std::optional<std::uint64_t> lastId() const;

private:
    bool accept(std::string_view event);

    std::string waiting;
    std::optional<std::uint64_t> last;
    bool broken { false };
};

}
