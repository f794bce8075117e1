#include "membership/GossipState.h"

#include <algorithm>
#include <ranges>
#include <tuple>

#include "membership/Ownership.h"

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t MaximumZones = 64;

// Age of a zone digest above which the listed instances of the zone are contacted too.
constexpr Duration ContactFreshnessLimit = std::chrono::seconds { 3 };

// A report measured this much later than the stored one is accepted with any sequence: a new owner may restart at 1.
constexpr Duration OwnerChangeInterval = std::chrono::seconds { 4 };

// A zone digest that is newer than the stored one by less than this is neither stored nor gossiped.
constexpr Duration MinimumZoneDigestInterval = std::chrono::seconds { 1 };

}

TargetMarkStore::TargetMarkStore(const MembershipOptions& options)
    : options(options)
{
}

bool TargetMarkStore::apply(const TargetLeavingMark& mark, TimePoint now)
{
    const auto found = this->marks.find(mark.target);
    if (found == this->marks.end()) {
        if (mark.target.empty() || this->marks.size() >= this->options.maximumTargetMarks)
            return false;
    } else {
        const auto& known = found->second.mark;
        if (std::tie(mark.incarnation, mark.isLeaving) <= std::tie(known.incarnation, known.isLeaving))
            return false;
    }
    this->marks[mark.target] = { mark, now };
    this->pendingUpdates.add(mark.target);
    return true;
}

const TargetLeavingMark* TargetMarkStore::find(std::string_view target) const
{
    const auto found = this->marks.find(target);
    return found == this->marks.end() ? nullptr : &found->second.mark;
}

std::vector<TargetLeavingMark> TargetMarkStore::all() const
{
    std::vector<TargetLeavingMark> marks;
    for (const auto& entry : this->marks | std::views::values)
        marks.push_back(entry.mark);
    return marks;
}

void TargetMarkStore::removeExpired(TimePoint now)
{
    std::erase_if(
        this->marks, [&](const auto& item) { return now - item.second.changedAt > this->options.tombstoneLifetime; });
}

CellDigestStore::CellDigestStore(std::string_view ownZone, const MembershipOptions& options)
    : ownZone(ownZone)
    , options(options)
{
}

bool CellDigestStore::apply(const CellReport& report)
{
    const auto key = ownershipKey(report.digest.cell);
    const auto found = this->reports.find(key);
    if (found == this->reports.end()) {
        if (this->reports.size() >= this->options.maximumCellDigests)
            return false;
    } else {
        const auto& known = found->second;
        const auto isFromNewOwner = report.measuredAt > known.measuredAt + OwnerChangeInterval;
        if (report.sequence <= known.sequence && !isFromNewOwner)
            return false;
    }
    this->reports[key] = report;
    (this->isInOwnZone(report) ? this->ownZoneUpdates : this->otherZoneUpdates).add(key);
    return true;
}

const CellReport* CellDigestStore::find(std::string_view key) const
{
    const auto found = this->reports.find(key);
    return found == this->reports.end() ? nullptr : &found->second;
}

std::vector<CellReport> CellDigestStore::all(TimePoint now) const
{
    std::vector<CellReport> fresh;
    std::ranges::copy_if(this->reports | std::views::values, std::back_inserter(fresh),
        [&](const CellReport& report) { return now - report.measuredAt <= this->options.digestLifetime; });
    return fresh;
}

std::vector<CellReport> CellDigestStore::bestPerModelInOwnZone(
    std::size_t count, TimePoint now, std::mt19937_64& random) const
{
    std::map<std::string_view, const CellReport*> bestByModel;
    for (const auto& report : this->reports | std::views::values) {
        if (!this->isInOwnZone(report) || now - report.measuredAt > this->options.digestLifetime)
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

void CellDigestStore::removeExpired(TimePoint now)
{
    std::erase_if(
        this->reports, [&](const auto& item) { return now - item.second.measuredAt > this->options.digestLifetime; });
}

bool CellDigestStore::isInOwnZone(const CellReport& report) const
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
    if (known && digest.lastAnswerAt < known->lastAnswerAt + MinimumZoneDigestInterval)
        return false;
    known = digest;
    if (known->contacts.size() > this->options.contactsPerZone)
        known->contacts.resize(this->options.contactsPerZone);
    this->pendingUpdates.add(digest.availabilityZone);
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
    if (!digest || now - digest->lastAnswerAt > ContactFreshnessLimit)
        choices.insert(choices.end(), candidates.begin(), candidates.end());
    if (choices.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> anyIndex { 0, choices.size() - 1 };
    return choices[anyIndex(random)];
}

}
