#include "serving/PeerFormat.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "serving/WireTime.h"

namespace marigoldpaddle {

namespace {

// Bounds of a load that a peer reports, far above any real one, so that sums over peers neither overflow nor are
// infinite.
constexpr double MaximumReportedLoad = 1e12;
// Bounds of what a peer says of evacuated zones, far above any real one.
constexpr std::size_t MaximumEvacuatedZones = 256;
constexpr std::size_t MaximumZoneBytes = 255;
// No prompt waits for longer: that is the longest time limit of a route.
constexpr std::int64_t LongestWaitMs = std::int64_t { 24 } * 3600 * 1000;
constexpr std::int64_t MaximumReportedTokens = 1'000'000'000'000'000;

// Empty for a sender that does not follow the evacuated zones.
std::optional<std::uint64_t> toOperatorOffset(const wire::LoadNotice& notice)
{
    if (!notice.__isset.operatorOffset || notice.operatorOffset < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(notice.operatorOffset);
}

ZoneNames toZones(const std::vector<std::string>& names)
{
    ZoneNames zones;
    std::ranges::copy_if(names | std::views::take(MaximumEvacuatedZones), std::inserter(zones, zones.end()),
        [](const std::string& name) { return name.size() <= MaximumZoneBytes; });
    return zones;
}

std::size_t toSize(std::int64_t number)
{
    return static_cast<std::size_t>(std::max<std::int64_t>(0, number));
}

}

wire::ConfigurationPartRequest toWire(const ConfigurationPartRequest& request)
{
    wire::ConfigurationPartRequest converted;
    converted.digest = static_cast<std::int64_t>(request.digest);
    converted.baseDigest = static_cast<std::int64_t>(request.baseDigest);
    converted.offset = static_cast<std::int64_t>(request.offset);
    return converted;
}

ConfigurationPartRequest fromWire(const wire::ConfigurationPartRequest& request)
{
    return { static_cast<std::uint64_t>(request.digest), static_cast<std::uint64_t>(request.baseDigest),
        toSize(request.offset) };
}

wire::ConfigurationPart toWire(const ConfigurationPart& part)
{
    wire::ConfigurationPart converted;
    converted.key = part.key;
    converted.digest = static_cast<std::int64_t>(part.digest);
    converted.baseDigest = static_cast<std::int64_t>(part.baseDigest);
    converted.bytes = static_cast<std::int64_t>(part.size);
    converted.encodedBytes = static_cast<std::int64_t>(part.encodedSize);
    converted.offset = static_cast<std::int64_t>(part.offset);
    converted.data = part.data;
    return converted;
}

ConfigurationPart fromWire(const wire::ConfigurationPart& part)
{
    return { part.key, static_cast<std::uint64_t>(part.digest), static_cast<std::uint64_t>(part.baseDigest),
        toSize(part.bytes), toSize(part.encodedBytes), toSize(part.offset), part.data };
}

wire::TargetLoadRecord toRecord(std::uint64_t target, const TargetLoad& load)
{
    wire::TargetLoadRecord record;
    record.target = static_cast<std::int64_t>(target);
    record.backlogMs = load.backlogMs;
    record.running = static_cast<std::int32_t>(load.running);
    record.longReads = static_cast<std::int32_t>(load.longPrefills);
    record.memoryTokens = load.memoryTokens;
    record.answerWeight = load.answerWeight;
    record.answers = static_cast<std::int32_t>(load.answers);
    if (load.tightestGap < Duration::max())
        record.tightestGapMs = static_cast<std::int32_t>(milliseconds(load.tightestGap));
    return record;
}

TargetLoad toLoad(const wire::TargetLoadRecord& record)
{
    const auto count = [](std::int32_t number) {
        return static_cast<unsigned>(std::max(0, number));
    };
    TargetLoad load;
    load.backlogMs = std::min(std::max(0.0, record.backlogMs), MaximumReportedLoad);
    load.running = count(record.running);
    load.longPrefills = count(record.longReads);
    load.answers = count(record.answers);
    load.answerWeight = std::min(std::max(0.0, record.answerWeight), MaximumReportedLoad);
    load.memoryTokens = std::clamp<std::int64_t>(record.memoryTokens, 0, MaximumReportedTokens);
    if (record.tightestGapMs > 0)
        load.tightestGap = std::chrono::milliseconds { record.tightestGapMs };
    return load;
}

ViewSummary toSummary(const wire::LoadNotice& notice)
{
    return { static_cast<std::uint64_t>(notice.storeEra), static_cast<std::uint64_t>(notice.configurationVersion),
        toAge(notice.configurationAgeMs), static_cast<std::uint64_t>(notice.targetsDigest),
        static_cast<std::uint64_t>(notice.targetsOffset), toAge(notice.targetsAgeMs), toOperatorOffset(notice),
        toZones(notice.evacuatedZones) };
}

std::optional<PromptUrgency> toUrgency(const wire::LoadNotice& notice, TimePoint now)
{
    if (notice.waitingStartByMs < 0 || notice.waitingStartByMs > LongestWaitMs)
        return std::nullopt;
    const bool hasRank = notice.__isset.waitingRank && notice.waitingRank >= 0;
    return PromptUrgency { hasRank ? static_cast<unsigned>(notice.waitingRank) : DefaultRank,
        now + toDuration(notice.waitingStartByMs) };
}

std::vector<wire::KeyValueRecord> toWire(std::span<const KeyedRecord> records)
{
    std::vector<wire::KeyValueRecord> converted;
    std::ranges::transform(records, std::back_inserter(converted), [](const KeyedRecord& record) {
        wire::KeyValueRecord one;
        one.key = record.key;
        one.value = record.value.value_or(std::string {});
        return one;
    });
    return converted;
}

std::vector<KeyedRecord> fromWire(std::span<const wire::KeyValueRecord> records)
{
    std::vector<KeyedRecord> converted;
    std::ranges::transform(records, std::back_inserter(converted), [](const wire::KeyValueRecord& record) {
        return KeyedRecord { record.key, record.value.empty() ? std::nullopt : std::optional { record.value } };
    });
    return converted;
}

}
