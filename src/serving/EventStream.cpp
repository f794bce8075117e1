#include "serving/EventStream.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace marigoldpaddle {

namespace {

// Size limit of one event, far above that of any real event, which holds some dozens of tokens. Some hundred streams
// may have one that does not end.
constexpr std::size_t MaximumEventBytes = std::size_t { 128 } * 1024;
// Bytes of the end of an event that may have arrived without the last one.
constexpr std::size_t MaximumPartOfEnd = 3;

// Returns the position after the blank line that ends the first event. None ends before `from`.
std::optional<std::size_t> endOfEvent(std::string_view bytes, std::size_t from)
{
    const auto plain = bytes.find("\n\n", from);
    const auto carriage = bytes.find("\r\n\r\n", from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::nullopt;
    return carriage < plain ? carriage + 4 : plain + 2;
}

// Returns the lines of an event without their ends.
auto linesOf(std::string_view event)
{
    return event | std::views::split('\n') | std::views::transform([](const auto& part) {
        std::string_view line { part.begin(), part.end() };
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    });
}

// The line begins another answer, which a target wrote into its own.
bool isStatusLine(std::string_view line)
{
    return line.starts_with("HTTP/1.");
}

// The line is no part of what the caller reads: a comment, the time after which to reconnect, or a blank line.
bool isControlLine(std::string_view line)
{
    return line.empty() || line.starts_with(':') || line.starts_with("retry:");
}

// The line, which may be incomplete, is not one of those.
bool beginsEvent(std::string_view line)
{
    return !isControlLine(line) && !std::string_view { "retry:" }.starts_with(line);
}

// Returns the value of the event's id field, if it has one.
std::optional<std::string_view> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    for (auto line : linesOf(event)) {
        if (!line.starts_with(Field))
            continue;
        line.remove_prefix(Field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }
    return std::nullopt;
}

}

EventStream::EventStream(std::optional<std::uint64_t> lastId, bool hasFurtherEvents)
    : lastEventId(lastId)
    , expectsId(lastId.has_value())
    , begunBefore(hasFurtherEvents)
{
}

std::string EventStream::feed(std::string_view bytes)
{
    if (this->broken)
        return {};
    // What has arrived before is not searched again: an event may come in very many pieces.
    auto from = this->pending.size() - std::min(this->pending.size(), MaximumPartOfEnd);
    this->pending += bytes;
    std::size_t accepted = 0;
    while (const auto end = endOfEvent(this->pending, from)) {
        if (!this->accept(std::string_view { this->pending }.substr(accepted, *end - accepted))) {
            this->broken = true;
            break;
        }
        accepted = from = *end;
    }
    auto events = this->pending.substr(0, accepted);
    this->pending.erase(0, accepted);
    if (this->pending.size() > MaximumEventBytes)
        this->broken = true;
    return events;
}

bool EventStream::accept(std::string_view event)
{
    if (std::ranges::any_of(linesOf(event), isStatusLine))
        return false;
    const auto text = idOf(event);
    if (!text) {
        const bool isControl = std::ranges::all_of(linesOf(event), isControlLine);
        if (this->expectsId && !isControl)
            return false;
        this->unnumbered = this->unnumbered || !isControl;
        return true;
    }
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), id);
    if (error != std::errc {} || end != text->data() + text->size())
        return false;
    if (this->lastEventId && id != *this->lastEventId + 1)
        return false;
    this->lastEventId = id;
    this->expectsId = false;
    this->begunBefore = false;
    this->unnumbered = false;
    return true;
}

bool EventStream::isBroken() const
{
    return this->broken;
}

bool EventStream::hasPartialEvent() const
{
    return !this->pending.empty();
}

bool EventStream::hasFurtherEvents() const
{
    return this->begunBefore || (!this->broken && std::ranges::any_of(linesOf(this->pending), beginsEvent));
}

bool EventStream::hasUnnumberedEvents() const
{
    return this->unnumbered;
}

std::optional<std::uint64_t> EventStream::lastId() const
{
    return this->lastEventId;
}

}
