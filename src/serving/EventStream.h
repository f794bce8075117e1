#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldpaddle {

// Splits a text/event-stream into whole events and checks that their ids are consecutive, so that the caller only
// receives whole events in order when a target cuts off or repeats an event.
class EventStream {
public:
    // Expects `lastId` + 1 as the first id, and no event without an id before it; comments are accepted. Without
    // `lastId` any beginning is accepted. `hasFurtherEvents` is that of the stream that is continued.
    explicit EventStream(std::optional<std::uint64_t> lastId = std::nullopt, bool hasFurtherEvents = false);

    // Appends received bytes and returns the events that they complete, unchanged. Empty when there is none, and always
    // once isBroken().
    std::string feed(std::string_view bytes);

    // An id was missing, out of order or malformed, an event exceeded the size limit, or another answer began.
    bool isBroken() const;

    // The buffer holds an incomplete event.
    bool hasPartialEvent() const;

    // Another event was begun, here or in the stream that is continued, and has not been completed: the stream does not
    // end here.
    bool hasFurtherEvents() const;

    // Events without an id followed the last one with an id: a stream that is resumed after it may repeat them.
    bool hasUnnumberedEvents() const;

    std::optional<std::uint64_t> lastId() const;

private:
    bool accept(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> lastEventId;
    bool expectsId; // The place of an event without an id in the stream is not known yet.
    bool begunBefore; // An event was begun in the stream that is continued.
    bool unnumbered { false };
    bool broken { false };
};

}
