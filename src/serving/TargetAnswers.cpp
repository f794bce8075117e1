#include "serving/TargetAnswers.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "serving/LoadLedger.h"

namespace marigoldpaddle {

namespace {

// Requests that probe per first send of their kind. Each may cost a retry, of which the budget allows some in a
// hundred; or the request, of which nearly all have to be served.
constexpr double RetryProbeShare = 0.05;
constexpr double RequestProbeShare = 0.005;
constexpr unsigned MaximumDoublings = 4;
// Targets that were never tried are probed while more than this share of the tried ones is mute.
constexpr double ProbedDoubt = 0.5;
constexpr std::size_t MaximumEnds = 4; // Of one target.
// Tells an end that no answer of another target confirms: it counts for targets only that have never answered.
constexpr std::uint64_t UnconfirmedRequest = 0;
constexpr Duration RecordLifetime = std::chrono::minutes { 10 };

}

bool TargetAnswers::Record::isSuspect() const
{
    return this->ends.size() >= EndsOfMuteTarget || (!this->ends.empty() && this->answeredAt == TimePoint {});
}

bool TargetAnswers::Record::isMute(TimePoint now) const
{
    return this->isSuspect() && (this->answeredAt == TimePoint {} || now - this->answeredAt >= AnswerLifetime);
}

bool TargetAnswers::Record::isProven() const
{
    return this->ends.empty() && this->answeredAt != TimePoint {};
}

std::uint64_t TargetAnswers::keyOf(const TargetEntry& target)
{
    constexpr std::uint64_t Multiplier = 0x9E37'79B9'7F4A'7C15; // Odd, with evenly spread bits.
    return LoadLedger::hashOf(target.id) ^ (target.incarnation * Multiplier);
}

const TargetAnswers::Record* TargetAnswers::find(const TargetEntry& target) const
{
    const auto found = this->records.find(TargetAnswers::keyOf(target));
    return found != this->records.end() ? &found->second : nullptr;
}

TargetAnswers::Record& TargetAnswers::update(std::uint64_t target, TimePoint now)
{
    auto& record = this->records[target];
    record.updatedAt = now;
    return record;
}

void TargetAnswers::addEnd(Record& record, End end)
{
    const bool wasSuspect = record.isSuspect();
    const auto pause = FirstPause * (1U << std::min(record.pauses, MaximumDoublings));
    record.nextProbeAt = end.end.at + std::min<Duration>(pause, LongestPause);
    ++record.pauses;
    const auto isSame = [&](const End& one) {
        return one.end.request == end.end.request;
    };
    if (std::ranges::none_of(record.ends, isSame)) {
        if (record.ends.size() >= MaximumEnds)
            record.ends.erase(record.ends.begin());
        record.ends.push_back(std::move(end));
    }
    if (!wasSuspect && record.isSuspect())
        ++this->suspects;
}

void TargetAnswers::clearEnds(Record& record, TimePoint at, TimePoint now)
{
    if (record.isSuspect())
        --this->suspects;
    record.ends.clear();
    record.pauses = 0;
    record.clearedAt = at;
    record.clearedNewsAt = now;
    record.updatedAt = now;
}

// Has the last answer told to peers. One that comes before ends tells that a further end is needed.
void TargetAnswers::announceAnswer(Record& record, TimePoint now)
{
    if (record.answeredAt == TimePoint {})
        return;
    record.clearedAt = std::max(record.clearedAt, record.answeredAt);
    record.clearedNewsAt = now;
}

bool TargetAnswers::hasProven(std::string_view service) const
{
    return std::ranges::any_of(
        this->records, [&](const auto& item) { return item.second.service == service && item.second.isProven(); });
}

void TargetAnswers::forgetEndsSince(std::string_view service, TimePoint since)
{
    for (auto& [target, record] : this->records) {
        const auto isOnLostPath = [&](const End& end) {
            return end.isOwn && end.end.at > since;
        };
        if (record.service != service || std::ranges::none_of(record.ends, isOnLostPath))
            continue;
        const bool wasSuspect = record.isSuspect();
        std::erase_if(record.ends, isOnLostPath);
        if (record.ends.empty())
            record.pauses = 0;
        if (wasSuspect && !record.isSuspect())
            --this->suspects;
    }
}

bool TargetAnswers::confirmEnds(std::string_view service, std::uint64_t answering, TimePoint now)
{
    bool isNews = false;
    for (auto& [target, record] : this->records) {
        if (record.service != service || target == answering)
            continue;
        for (auto& end : record.ends) {
            if (!end.isOwn || end.isConfirmed)
                continue;
            end.isConfirmed = true;
            end.newsAt = now;
            TargetAnswers::announceAnswer(record, now);
            isNews = true;
        }
    }
    return isNews;
}

bool TargetAnswers::recordAnswer(const TargetEntry& target, TimePoint now)
{
    const auto key = TargetAnswers::keyOf(target);
    auto& service = this->services[target.service];
    auto& record = this->update(key, now);
    record.service = target.service;
    if (service.hasUnconfirmedEnds && service.answeredAt != TimePoint {} && !this->hasProven(target.service))
        this->forgetEndsSince(target.service, service.answeredAt);
    bool isNews = false;
    if (!record.ends.empty()) {
        this->clearEnds(record, now, now);
        isNews = true;
    }
    // Peers without an answer have no way to tell sound targets from the others but to try them.
    if (2 * this->suspects > this->records.size() && record.clearedNewsAt == TimePoint {}) {
        record.clearedAt = now;
        record.clearedNewsAt = now;
        isNews = true;
    }
    record.answeredAt = now;
    service.answeredAt = now;
    if (std::exchange(service.hasUnconfirmedEnds, false) && this->confirmEnds(target.service, key, now))
        isNews = true;
    return isNews;
}

bool TargetAnswers::recordEnd(
    const TargetEntry& target, std::uint64_t request, const Traits& traits, TimePoint sentAt, TimePoint now)
{
    const auto key = TargetAnswers::keyOf(target);
    auto& record = this->update(key, now);
    record.service = target.service;
    const auto isLater = [&](const End& end) {
        return end.end.at >= sentAt;
    };
    if (std::ranges::any_of(record.ends, isLater))
        return false;
    auto& service = this->services[target.service];
    service.hasUnconfirmedEnds = true;
    End end { { key, request, now }, traits, true };
    // Before the first answer, it is told as unconfirmed.
    if (service.answeredAt == TimePoint {})
        end.newsAt = now;
    this->addEnd(record, std::move(end));
    return true;
}

void TargetAnswers::learnEnd(const TargetEnd& end, TimePoint now)
{
    auto& record = this->update(end.target, now);
    const auto precludes = [&](const End& one) {
        return end.at < one.end.at + SimultaneityBound || one.end.request == end.request;
    };
    const bool isConfirmed = end.request != UnconfirmedRequest;
    if ((!isConfirmed && record.answeredAt != TimePoint {}) || end.at <= record.clearedAt)
        return;
    if (end.at <= record.answeredAt) {
        // Instances that have heard of this end have not heard of the answer after it.
        TargetAnswers::announceAnswer(record, now);
        return;
    }
    if (std::ranges::any_of(record.ends, precludes))
        return;
    this->addEnd(record, { end, {}, false, true, now });
    TargetAnswers::announceAnswer(record, now);
}

void TargetAnswers::learnAnswer(const TargetAnswer& answer, TimePoint now)
{
    auto& record = this->update(answer.target, now);
    const auto isBefore = [&](const End& end) {
        return end.end.at <= answer.at;
    };
    const bool isFirst = record.answeredAt == TimePoint {};
    if (!isFirst && std::ranges::none_of(record.ends, isBefore))
        return;
    const bool wasSuspect = record.isSuspect();
    std::erase_if(record.ends, isBefore);
    if (record.ends.empty())
        record.pauses = 0;
    record.answeredAt = std::max(record.answeredAt, answer.at);
    TargetAnswers::announceAnswer(record, now);
    if (wasSuspect && !record.isSuspect())
        --this->suspects;
}

bool TargetAnswers::excuse(const std::function<bool(const Traits&)>& endsTargets, TimePoint now)
{
    bool isNews = false;
    for (auto& [target, record] : this->records) {
        const auto isExcused = [&](const End& end) {
            return endsTargets(end.traits.empty() ? Traits { end.end.request } : end.traits);
        };
        if (!std::ranges::any_of(record.ends, isExcused))
            continue;
        const bool wasSuspect = record.isSuspect();
        std::erase_if(record.ends, isExcused);
        if (wasSuspect && !record.isSuspect())
            --this->suspects;
        if (!record.ends.empty())
            continue;
        this->clearEnds(record, now, now);
        isNews = true;
    }
    return isNews;
}

bool TargetAnswers::isMute(const TargetEntry& target, TimePoint now) const
{
    if (this->suspects == 0)
        return false;
    const auto* record = this->find(target);
    return record && record->isMute(now);
}

std::vector<double> TargetAnswers::doubts(Targets targets, TimePoint now) const
{
    if (this->suspects == 0)
        return {};
    std::vector<const Record*> known;
    std::ranges::transform(
        targets, std::back_inserter(known), [&](const TargetEntry* target) { return this->find(*target); });
    const auto mute = std::ranges::count_if(known, [&](const Record* record) { return record && record->isMute(now); });
    if (mute == 0)
        return {};
    const auto proven = std::ranges::count_if(known, [](const Record* record) { return record && record->isProven(); });
    // Between 0 and 1 with nothing known.
    const auto untried = static_cast<double>(mute) / static_cast<double>(mute + proven + 1);
    std::vector<double> doubts;
    std::ranges::transform(known, std::back_inserter(doubts), [&](const Record* record) {
        if (record && record->isMute(now))
            return 1.0;
        return record && record->answeredAt != TimePoint {} ? 0.0 : untried;
    });
    return doubts;
}

double& TargetAnswers::creditOf(ProbeCost cost)
{
    return cost == ProbeCost::Retry ? this->retryCredit : this->requestCredit;
}

void TargetAnswers::recordFirstSend(ProbeCost cost)
{
    auto& credit = this->creditOf(cost);
    credit = std::min(1.0, credit + (cost == ProbeCost::Retry ? RetryProbeShare : RequestProbeShare));
}

void TargetAnswers::beginProbe(const TargetEntry& target, ProbeCost cost, TimePoint now)
{
    this->creditOf(cost) = 0;
    this->update(TargetAnswers::keyOf(target), now).nextProbeAt = now + LongestPause;
}

const TargetEntry* TargetAnswers::drawProbe(
    Targets targets, ProbeCost cost, TimePoint now, std::mt19937_64& random) const
{
    const auto credit = cost == ProbeCost::Retry ? this->retryCredit : this->requestCredit;
    if (this->suspects == 0 || credit < 1)
        return nullptr;
    const auto doubts = this->doubts(targets, now);
    std::vector<const TargetEntry*> untried;
    const TargetEntry* due = nullptr;
    auto dueAt = now;
    for (std::size_t index = 0; index < doubts.size(); ++index) {
        const auto* record = this->find(*targets[index]);
        if (record && record->nextProbeAt > now)
            continue;
        if (doubts[index] > ProbedDoubt && !(record && record->isMute(now)))
            untried.push_back(targets[index]);
        if (record && record->isMute(now) && record->nextProbeAt <= dueAt) {
            due = targets[index];
            dueAt = record->nextProbeAt;
        }
    }
    if (untried.empty())
        return due;
    std::uniform_int_distribution<std::size_t> index { 0, untried.size() - 1 };
    return untried[index(random)];
}

std::vector<TargetEnd> TargetAnswers::endsSince(TimePoint since) const
{
    std::vector<const End*> news;
    for (const auto& [target, record] : this->records) {
        for (const auto& end : record.ends) {
            if (end.newsAt != TimePoint {} && end.newsAt >= since)
                news.push_back(&end);
        }
    }
    std::ranges::sort(news, std::greater<> {}, &End::newsAt);
    std::vector<TargetEnd> ends;
    std::ranges::transform(news, std::back_inserter(ends), [](const End* one) {
        auto end = one->end;
        if (!one->isConfirmed)
            end.request = UnconfirmedRequest;
        return end;
    });
    return ends;
}

std::vector<TargetAnswer> TargetAnswers::answersSince(TimePoint since) const
{
    std::vector<std::pair<TimePoint, TargetAnswer>> news;
    for (const auto& [target, record] : this->records) {
        if (record.clearedAt == TimePoint {} || record.clearedNewsAt < since)
            continue;
        // Notices shift times by their transit. The answer has to stay before the ends after it.
        auto at = record.clearedAt;
        for (const auto& end : record.ends)
            at = std::min<TimePoint>(at, end.end.at - SimultaneityBound);
        news.push_back({ record.clearedNewsAt, { target, at } });
    }
    std::ranges::sort(news, std::greater<> {}, [](const auto& item) { return item.first; });
    std::vector<TargetAnswer> answers;
    std::ranges::transform(news, std::back_inserter(answers), [](const auto& item) { return item.second; });
    return answers;
}

std::size_t TargetAnswers::muteTargets(TimePoint now) const
{
    if (this->suspects == 0)
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(this->records, [&](const auto& item) { return item.second.isMute(now); }));
}

bool TargetAnswers::hasSuspects() const
{
    return this->suspects > 0;
}

void TargetAnswers::expire(TimePoint now)
{
    std::erase_if(this->records, [&](const auto& item) {
        const auto& record = item.second;
        const bool isOld = now - record.updatedAt > RecordLifetime;
        if (isOld && record.isSuspect())
            --this->suspects;
        return isOld;
    });
}

}
