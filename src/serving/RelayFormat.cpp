#include "serving/RelayFormat.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>
#include <span>

namespace marigoldpaddle {

namespace {

constexpr std::string_view VersionHeader = "Relay-Configuration-Version";
constexpr std::string_view NewestKnownHeader = "Relay-Newest-Known-Version";
constexpr std::string_view ElapsedHeader = "Relay-Elapsed"; // Milliseconds.
constexpr std::string_view RunsHeader = "Relay-Runs";
constexpr std::string_view RetryHeader = "Relay-Retry"; // 0 or 1.
constexpr std::string_view RefusalHeader = "Relay-Refusal";
constexpr std::string_view TargetHeader = "Relay-Target";
constexpr std::string_view EndsHeader = "Relay-Ends"; // Target, request and age in milliseconds of each.
constexpr std::array Headers { VersionHeader, NewestKnownHeader, ElapsedHeader, RunsHeader, RetryHeader, RefusalHeader,
    TargetHeader, EndsHeader };
constexpr char EndSeparator = ',';
constexpr char FieldSeparator = '/';

std::string_view text(boost::beast::string_view value)
{
    return { value.data(), value.size() };
}

template <typename Number> std::optional<Number> numberFrom(std::string_view digits)
{
    Number number {};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return number;
}

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string textOf(std::span<const RelayedEnd> ends)
{
    std::string text;
    for (const auto& end : ends | std::views::take(MaximumRelayedEnds)) {
        const auto age = std::max<std::int64_t>(0, milliseconds(end.age));
        text += (text.empty() ? "" : std::string { EndSeparator }) + std::to_string(end.target) + FieldSeparator
            + std::to_string(end.request) + FieldSeparator + std::to_string(age);
    }
    return text;
}

std::optional<RelayedEnd> endFrom(std::string_view text)
{
    std::vector<std::string_view> fields;
    for (const auto field : text | std::views::split(FieldSeparator))
        fields.emplace_back(field.begin(), field.end());
    if (fields.size() != 3)
        return std::nullopt;
    const auto target = numberFrom<std::uint64_t>(fields[0]);
    const auto request = numberFrom<std::uint64_t>(fields[1]);
    const auto age = numberFrom<std::uint32_t>(fields[2]);
    if (!target || !request || !age)
        return std::nullopt;
    return RelayedEnd { *target, *request, std::chrono::milliseconds { *age } };
}

std::vector<RelayedEnd> endsFrom(std::string_view text)
{
    std::vector<RelayedEnd> ends;
    for (const auto part : text | std::views::split(EndSeparator) | std::views::take(MaximumRelayedEnds)) {
        if (const auto end = endFrom({ part.begin(), part.end() }))
            ends.push_back(*end);
    }
    return ends;
}

template <typename Message> void eraseHeaders(Message& message)
{
    std::ranges::for_each(Headers, [&](std::string_view name) { message.erase(name); });
}

}

void addRelayRequest(HttpRequest& request, const RelayRequest& relay)
{
    request.set(VersionHeader, std::to_string(relay.configurationVersion));
    request.set(NewestKnownHeader, std::to_string(std::max(relay.newestKnownVersion, relay.configurationVersion)));
    request.set(ElapsedHeader, std::to_string(milliseconds(relay.elapsed)));
    request.set(RunsHeader, std::to_string(relay.runs));
    request.set(RetryHeader, relay.isRetry ? "1" : "0");
    if (!relay.ends.empty())
        request.set(EndsHeader, textOf(relay.ends));
}

std::optional<RelayRequest> relayRequestFrom(const HttpRequest& request)
{
    const auto version = numberFrom<std::uint64_t>(text(request[VersionHeader]));
    const auto elapsed = numberFrom<std::uint32_t>(text(request[ElapsedHeader]));
    const auto runs = numberFrom<unsigned>(text(request[RunsHeader]));
    const auto isRetry = numberFrom<unsigned>(text(request[RetryHeader]));
    if (!version || !elapsed || !runs || !isRetry)
        return std::nullopt;
    const auto newestKnown = numberFrom<std::uint64_t>(text(request[NewestKnownHeader])).value_or(*version);
    return RelayRequest { *version, std::chrono::milliseconds { *elapsed }, *runs, *isRetry != 0,
        std::max(newestKnown, *version), endsFrom(text(request[EndsHeader])) };
}

void addRelayRefusal(HttpResponse& response, const RelayRefusal& refusal)
{
    response.set(RefusalHeader, refusal.reason);
    response.set(RunsHeader, std::to_string(refusal.runs));
    response.set(VersionHeader, std::to_string(refusal.configurationVersion));
    if (!refusal.ends.empty())
        response.set(EndsHeader, textOf(refusal.ends));
}

RelayRefusal relayRefusalFrom(const HttpResponseHeader& header)
{
    return { text(header[RefusalHeader]), numberFrom<unsigned>(text(header[RunsHeader])).value_or(0),
        numberFrom<std::uint64_t>(text(header[VersionHeader])).value_or(0), endsFrom(text(header[EndsHeader])) };
}

void addRelayTarget(HttpResponseHeader& header, std::string_view target)
{
    header.set(TargetHeader, target);
}

std::string_view relayTargetFrom(const HttpResponseHeader& header)
{
    return text(header[TargetHeader]);
}

void eraseRelayHeaders(HttpRequest& request)
{
    eraseHeaders(request);
}

void eraseRelayHeaders(HttpResponseHeader& header)
{
    eraseHeaders(header);
}

bool mayRelayElsewhere(std::string_view reason)
{
    return reason == relay_refusals::Busy || reason == relay_refusals::CutOff || reason == relay_refusals::Outdated
        || reason == relay_refusals::Fault || reason == "malformed_relay" || reason == "stopping"
        || reason == "no_configuration";
}

bool isOutdatedDenial(unsigned status, const RelayRefusal& refusal, std::uint64_t version)
{
    return (status == 404 || status == 401) && refusal.configurationVersion < version;
}

}
