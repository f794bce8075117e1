#include "membership/RidingNews.h"

#include <algorithm>
#include <ranges>
#include <tuple>

#include "membership/Ownership.h"

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t MaximumZones = 64;
constexpr Duration ContactFreshness = std::chrono::seconds { 3 };
constexpr Duration OwnerChangeSpacing = std::chrono::seconds { 4 }; // Later by so much, a lower sequence is news.
constexpr Duration DigestVersionSpacing = std::chrono::seconds { 1 }; // Newer by less is not news.

}

MarkStore::MarkStore(const MembershipOptions& options)
    : options(options)
{
}

bool MarkStore::apply(const TargetLeavingMark& mark, TimePoint now)
{
    const auto found = this->marks.find(mark.target);
    if (found == this->marks.end()) {
        if (mark.target.empty() || this->marks.size() >= this->options.maximumMarks)
            return false;
    } else {
        const auto& known = found->second.mark;
        if (std::tie(mark.incarnation, mark.isLeaving) <= std::tie(known.incarnation, known.isLeaving))
            return false;
    }
    this->marks[mark.target] = { mark, now };
    this->news.add(mark.target);
    return true;
}

const TargetLeavingMark* MarkStore::find(std::string_view target) const
{
    const auto found = this->marks.find(target);
    return found == this->marks.end() ? nullptr : &found->second.mark;
}

std::vector<TargetLeavingMark> MarkStore::all() const
{
    std::vector<TargetLeavingMark> marks;
    for (const auto& entry : this->marks | std::views::values)
        marks.push_back(entry.mark);
    return marks;
}

void MarkStore::forgetExpired(TimePoint now)
{
    std::erase_if(
        this->marks, [&](const auto& item) { return now - item.second.changedAt > this->options.tombstoneLifetime; });
}

DigestStore::DigestStore(std::string_view ownZone, const MembershipOptions& options)
    : ownZone(ownZone)
    , options(options)
{
}

bool DigestStore::apply(const CellReport& report)
{
    const auto key = ownershipKey(report.digest.cell);
    const auto found = this->reports.find(key);
    if (found == this->reports.end()) {
        if (this->reports.size() >= this->options.maximumDigests)
            return false;
    } else {
        const auto& known = found->second;
        const auto isOfNewOwner = report.measuredAt > known.measuredAt + OwnerChangeSpacing;
        if (report.sequence <= known.sequence && !isOfNewOwner)
            return false;
    }
    this->reports[key] = report;
    (this->isOfOwnZone(report) ? this->ownNews : this->foreignNews).add(key);
    return true;
}

const CellReport* DigestStore::find(std::string_view key) const
{
    const auto found = this->reports.find(key);
    return found == this->reports.end() ? nullptr : &found->second;
}

std::vector<CellReport> DigestStore::all(TimePoint now) const
{
    std::vector<CellReport> fresh;
    std::ranges::copy_if(this->reports | std::views::values, std::back_inserter(fresh),
        [&](const CellReport& report) { return now - report.measuredAt <= this->options.digestLifetime; });
    return fresh;
}

std::vector<CellReport> DigestStore::bestOfOwnZone(std::size_t count, TimePoint now, std::mt19937_64& random) const
{
    std::map<std::string_view, const CellReport*> bestByModel;
    for (const auto& report : this->reports | std::views::values) {
        if (!this->isOfOwnZone(report) || now - report.measuredAt > this->options.digestLifetime)
            continue;
        auto& best = bestByModel[report.digest.cell.model];
        if (!best || report.digest.expectedWait < best->digest.expectedWait)
            best = &report;
    }
    std::vector<CellReport> chosen;
    for (const auto* report : bestByModel | std::views::values)
        chosen.push_back(*report);
    std::ranges::shuffle(chosen, random);
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

void DigestStore::forgetExpired(TimePoint now)
{
    std::erase_if(
        this->reports, [&](const auto& item) { return now - item.second.measuredAt > this->options.digestLifetime; });
}

bool DigestStore::isOfOwnZone(const CellReport& report) const
{
    return report.digest.cell.availabilityZone == this->ownZone;
}

ZoneDirectory::ZoneDirectory(const MembershipOptions& options)
    : options(options)
{
}

bool ZoneDirectory::apply(const ZoneDigest& digest)
{
    const auto isUnknown = !this->zones.contains(digest.availabilityZone);
    if (digest.contacts.empty() || (isUnknown && this->zones.size() >= MaximumZones))
        return false;
    auto& known = this->zones[digest.availabilityZone].digest;
    if (known && digest.heardAt < known->heardAt + DigestVersionSpacing)
        return false;
    known = digest;
    if (known->contacts.size() > this->options.contactsPerZone)
        known->contacts.resize(this->options.contactsPerZone);
    this->news.add(digest.availabilityZone);
    return true;
}

void ZoneDirectory::setCandidates(const std::string& zone, std::vector<Member> candidates)
{
    if (this->zones.contains(zone) || this->zones.size() < MaximumZones)
        this->zones[zone].candidates = std::move(candidates);
}

const ZoneDigest* ZoneDirectory::find(std::string_view zone) const
{
    const auto found = this->zones.find(zone);
    return found == this->zones.end() || !found->second.digest ? nullptr : &*found->second.digest;
}

std::vector<ZoneDigest> ZoneDirectory::all() const
{
    std::vector<ZoneDigest> digests;
    for (const auto& entry : this->zones | std::views::values)
        if (entry.digest)
            digests.push_back(*entry.digest);
    return digests;
}

std::vector<std::string> ZoneDirectory::names() const
{
    std::vector<std::string> names;
    std::ranges::copy(this->zones | std::views::keys, std::back_inserter(names));
    return names;
}

std::optional<Member> ZoneDirectory::chooseContact(std::string_view zone, TimePoint now, std::mt19937_64& random) const
{
    const auto found = this->zones.find(zone);
    if (found == this->zones.end())
        return std::nullopt;
    const auto& [digest, candidates] = found->second;
    std::vector<Member> choices;
    if (digest)
        choices = digest->contacts;
    if (!digest || now - digest->heardAt > ContactFreshness)
        choices.insert(choices.end(), candidates.begin(), candidates.end());
    if (choices.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> anyOf { 0, choices.size() - 1 };
    return choices[anyOf(random)];
}

}
