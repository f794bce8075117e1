#include "serving/PeerNews.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "serving/WireTime.h"

namespace marigoldpaddle {

namespace {

// Notices repeat a crash or a limit for some rounds, also in the longest interval between two of them.
constexpr Duration NewsAnnouncementPeriod = std::chrono::seconds { 3 };
// A target takes the requests that wait for their answers with it, each of which is a crash.
constexpr std::size_t MaximumCrashesPerNotice = 32;
constexpr std::size_t MaximumLimitsPerNotice = 64;
constexpr std::size_t MaximumColdTargetsPerNotice = 64;
constexpr std::size_t MaximumAnswersPerNotice = 32;
// Instances that do not state for how long a request ran name no more parts of it, and do not say that there are
// others.
constexpr std::size_t MaximumPartsOfOlderSenders = 32;

// Whether the record tells that a target does not answer. It has no traits, by which requests are quarantined.
bool isEnd(const wire::TargetCrashRecord& record)
{
    return record.parts.empty() && record.fingerprint == 0;
}

TargetCrash toCrash(const wire::TargetCrashRecord& record, TimePoint now)
{
    TargetCrash crash { static_cast<std::uint64_t>(record.target), static_cast<std::uint64_t>(record.request), {},
        now - toDuration(record.ageMs), static_cast<std::uint64_t>(record.fingerprint), toDuration(record.ranMs) };
    std::ranges::transform(record.parts, std::back_inserter(crash.parts),
        [](std::int64_t part) { return static_cast<std::uint64_t>(part); });
    if (!record.__isset.ranMs && crash.parts.size() >= MaximumPartsOfOlderSenders)
        crash.parts.push_back(PromptQuarantine::UnknownPart);
    return crash;
}

// Adds the parts from an index on to the record, as far as the number that is left in the notice allows.
void addParts(wire::TargetCrashRecord& record, std::span<const std::uint64_t> parts, std::size_t& left)
{
    const auto added = parts.first(std::min(parts.size(), left));
    record.parts.insert(record.parts.end(), added.begin(), added.end());
    left -= added.size();
}

// Adds crashes, the newest first, of which the number in a notice and that of their parts are limited. The parts that
// sound answers excuse are left out first: they are at fault in the last place. Where others do not fit, it is said.
void addRecords(
    std::vector<wire::TargetCrashRecord>& records, std::span<const PromptQuarantine::CrashNews> news, TimePoint now)
{
    const auto newest = news.last(std::min(news.size(), MaximumCrashesPerNotice));
    const auto first = records.size();
    auto left = PromptQuarantine::MaximumPartsOfNews;
    for (const auto& [crash, excused] : newest | std::views::reverse) {
        auto& record = records.emplace_back();
        record.target = static_cast<std::int64_t>(crash.target);
        record.request = static_cast<std::int64_t>(crash.request);
        record.ageMs = milliseconds(now - crash.at);
        record.fingerprint = static_cast<std::int64_t>(crash.fingerprint);
        record.ranMs = milliseconds(crash.ran);
        const std::span blamed { crash.parts.data(), crash.parts.size() - excused };
        if (blamed.size() > left)
            record.parts.push_back(static_cast<std::int64_t>(PromptQuarantine::UnknownPart));
        addParts(record, blamed, left);
    }
    auto record = records.begin() + static_cast<std::ptrdiff_t>(first);
    for (const auto& [crash, excused] : newest | std::views::reverse)
        addParts(*record++, std::span { crash.parts }.last(excused), left);
}

}

PeerNews::PeerNews(PromptQuarantine& quarantine, TargetLimits& limits, TargetAnswers* answers, EventLog& log)
    : quarantine(quarantine)
    , limits(limits)
    , answers(answers)
    , log(log)
{
}

void PeerNews::recordNewPeer(TimePoint now)
{
    this->lastNewPeerAt = now;
}

void PeerNews::learn(const wire::LoadNotice& notice, TimePoint now)
{
    this->learnCrashes(notice, now);
    if (this->answers)
        this->learnAnswers(notice, now);
    this->learnLimits(notice, now);
    this->learnColdTargets(notice, now);
}

void PeerNews::addTo(wire::LoadNotice& notice, TimePoint now) const
{
    this->addCrashes(notice, now);
    if (this->answers)
        this->addAnswers(notice, now);
    this->addLimits(notice, now);
    this->addColdTargets(notice, now);
}

void PeerNews::learnCrashes(const wire::LoadNotice& notice, TimePoint now)
{
    auto& quarantine = this->quarantine;
    for (const auto& sound : notice.soundParts) {
        const auto part = static_cast<std::uint64_t>(sound.part);
        quarantine.recordSound({ &part, 1 }, now - toDuration(sound.ageMs));
    }
    for (const auto& record : notice.crashes) {
        if (isEnd(record) || !quarantine.recordCrash(toCrash(record, now), now))
            continue;
        this->log.write("crash_learned",
            { { "source", notice.sender }, { "suspected_parts", std::uint64_t { quarantine.size() } } });
    }
}

void PeerNews::learnAnswers(const wire::LoadNotice& notice, TimePoint now)
{
    const auto before = this->answers->muteTargets(now);
    for (const auto& record : notice.crashes) {
        if (isEnd(record))
            this->answers->learnEnd({ static_cast<std::uint64_t>(record.target),
                                        static_cast<std::uint64_t>(record.request), now - toDuration(record.ageMs) },
                now);
    }
    for (const auto& record : notice.soundParts)
        this->answers->learnAnswer({ static_cast<std::uint64_t>(record.part), now - toDuration(record.ageMs) }, now);
    if (this->quarantine.size() > 0)
        this->answers->excuse(
            [&](const TargetAnswers::Traits& traits) { return this->quarantine.isQuarantined(traits); }, now);
    if (this->answers->muteTargets(now) != before)
        this->log.write("mute_targets_learned",
            { { "source", notice.sender }, { "mute_targets", std::uint64_t { this->answers->muteTargets(now) } } });
}

void PeerNews::learnLimits(const wire::LoadNotice& notice, TimePoint now)
{
    for (const auto& record : notice.limits) {
        TargetLimitStatement statement { static_cast<std::uint64_t>(record.target),
            static_cast<std::uint64_t>(record.incarnation), {}, now - toDuration(record.ageMs),
            static_cast<std::uint64_t>(record.zone) };
        if (record.perSecond >= 0)
            statement.perSecond = record.perSecond;
        if (this->limits.learn(statement, now) == TargetLimits::Change::None)
            continue;
        this->log.write("target_limit_learned",
            { { "source", notice.sender }, { "born", statement.incarnation }, { "per_second", record.perSecond },
                { "limited_targets", std::uint64_t { this->limits.size() } } });
    }
}

// News are repeated for a while, as datagrams get lost. A new peer gets all that is known.
TimePoint PeerNews::newsSince(TimePoint now) const
{
    const auto isForNewPeer = this->lastNewPeerAt && now - *this->lastNewPeerAt < NewsAnnouncementPeriod;
    return isForNewPeer ? TimePoint::min() : now - NewsAnnouncementPeriod;
}

void PeerNews::addCrashes(wire::LoadNotice& notice, TimePoint now) const
{
    const auto& quarantine = this->quarantine;
    const auto since = this->newsSince(now);
    addRecords(notice.crashes, quarantine.newsSince(since), now);
    const auto cleared = quarantine.partsClearedSince(since);
    for (const auto& sound : cleared | std::views::reverse | std::views::take(MaximumCrashesPerNotice)) {
        auto& record = notice.soundParts.emplace_back();
        record.part = static_cast<std::int64_t>(sound.part);
        record.ageMs = milliseconds(now - sound.at);
    }
}

void PeerNews::addAnswers(wire::LoadNotice& notice, TimePoint now) const
{
    const auto since = this->newsSince(now);
    const auto ends = this->answers->endsSince(since);
    for (const auto& end : ends | std::views::take(MaximumCrashesPerNotice)) {
        auto& record = notice.crashes.emplace_back();
        record.target = static_cast<std::int64_t>(end.target);
        record.request = static_cast<std::int64_t>(end.request);
        record.ageMs = milliseconds(now - end.at);
    }
    const auto answers = this->answers->answersSince(since);
    for (const auto& answer : answers | std::views::take(MaximumAnswersPerNotice)) {
        auto& record = notice.soundParts.emplace_back();
        record.part = static_cast<std::int64_t>(answer.target);
        record.ageMs = milliseconds(now - answer.at);
    }
}

void PeerNews::addLimits(wire::LoadNotice& notice, TimePoint now) const
{
    const auto news = this->limits.newsSince(this->newsSince(now));
    for (const auto& statement : news | std::views::take(MaximumLimitsPerNotice)) {
        auto& record = notice.limits.emplace_back();
        record.target = static_cast<std::int64_t>(statement.target);
        record.incarnation = static_cast<std::int64_t>(statement.incarnation);
        record.perSecond = statement.perSecond.value_or(-1);
        record.zone = static_cast<std::int64_t>(statement.zone);
        record.ageMs = milliseconds(now - statement.at);
    }
}

void PeerNews::learnColdTargets(const wire::LoadNotice& notice, TimePoint now)
{
    for (const auto& record : notice.coldTargets) {
        const ColdTargetStatement statement { static_cast<std::uint64_t>(record.target),
            static_cast<std::uint64_t>(record.incarnation), now + toDuration(record.remainingMs),
            static_cast<std::uint64_t>(record.zone) };
        if (!this->limits.cold.learn(statement, now))
            continue;
        this->log.write("target_cold_learned",
            { { "source", notice.sender }, { "born", statement.incarnation }, { "remaining_ms", statement.until - now },
                { "cold_targets", std::uint64_t { this->limits.cold.size(now) } } });
    }
}

void PeerNews::addColdTargets(wire::LoadNotice& notice, TimePoint now) const
{
    const auto news = this->limits.cold.newsSince(this->newsSince(now), now);
    for (const auto& statement : news | std::views::take(MaximumColdTargetsPerNotice)) {
        auto& record = notice.coldTargets.emplace_back();
        record.target = static_cast<std::int64_t>(statement.target);
        record.incarnation = static_cast<std::int64_t>(statement.incarnation);
        record.remainingMs = milliseconds(statement.until - now);
        record.zone = static_cast<std::int64_t>(statement.zone);
    }
}

}
