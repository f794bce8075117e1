#include "serving/EventStream.h"

#include <charconv>
#include <ranges>

namespace marigoldpaddle {

namespace {

// An event holds some dozens of tokens; a megabyte is far beyond any.
constexpr std::size_t MaximumEventBytes = 1 << 20;

// Returns the position behind the blank line that ends the first event.
std::optional<std::size_t> endOfEvent(std::string_view bytes)
{
    const auto plain = bytes.find("\n\n");
    const auto carriage = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::nullopt;
    return carriage < plain ? carriage + 4 : plain + 2;
}

// Returns the value of the event's id line, if it has one.
std::optional<std::string_view> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    for (const auto part : event | std::views::split('\n')) {
        std::string_view line { part.begin(), part.end() };
        if (line.ends_with('\r'))
            line.remove_suffix(1);
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

EventStream::EventStream(std::optional<std::uint64_t> lastId)
    : last(lastId)
{
}

std::string EventStream::take(std::string_view bytes)
{
    if (this->broken)
        return {};
    this->waiting += bytes;
    std::size_t accepted = 0;
    while (const auto length = endOfEvent(std::string_view { this->waiting }.substr(accepted))) {
        if (!this->accept(std::string_view { this->waiting }.substr(accepted, *length))) {
            this->broken = true;
            break;
        }
        accepted += *length;
    }
    auto events = this->waiting.substr(0, accepted);
    this->waiting.erase(0, accepted);
    if (this->waiting.size() > MaximumEventBytes)
        this->broken = true;
    return events;
}

bool EventStream::accept(std::string_view event)
{
    const auto text = idOf(event);
    if (!text)
        return true;
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), id);
    if (error != std::errc {} || end != text->data() + text->size())
        return false;
    if (this->last && id != *this->last + 1)
        return false;
    this->last = id;
    return true;
}

bool EventStream::isBroken() const
{
    return this->broken;
}

bool EventStream::isInsideEvent() const
{
    return !this->waiting.empty();
}

std::optional<std::uint64_t> EventStream::lastId() const
{
    return this->last;
}

}
