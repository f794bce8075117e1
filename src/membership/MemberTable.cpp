#include "membership/MemberTable.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace marigoldpaddle::internal {

namespace {

auto precedenceOf(const Member& member)
{
    return std::tuple { member.instance.incarnation, member.revision, member.state };
}

bool isLive(const MemberTable::Entry& entry)
{
    return entry.member.state != MemberState::Dead;
}

}

bool supersedes(const Member& update, const Member& known)
{
    return precedenceOf(update) > precedenceOf(known);
}

MemberTable::MemberTable(const MembershipOptions& options)
    : options(options)
{
}

const MemberTable::Entry* MemberTable::find(std::string_view name) const
{
    const auto found = this->members.find(name);
    return found == this->members.end() ? nullptr : &found->second;
}

bool MemberTable::apply(const Member& update, TimePoint now, std::mt19937_64& random)
{
    const auto found = this->members.find(update.instance.name);
    if (found == this->members.end()) {
        const auto isAdmissible
            = update.state != MemberState::Dead && this->members.size() < this->options.maximumMembers;
        if (isAdmissible)
            this->insert(update, now, random);
        return isAdmissible;
    }
    auto& known = found->second.member;
    if (supersedes(update, known)) {
        this->replace(found->second, update, now);
        return true;
    }
    if (update.instance == known.instance)
        known.configurationOffset = std::max(known.configurationOffset, update.configurationOffset);
    return false;
}

void MemberTable::insert(const Member& update, TimePoint now, std::mt19937_64& random)
{
    const auto& name = update.instance.name;
    this->replace(this->members[name], update, now);
    std::uniform_int_distribution<std::size_t> anyPosition { 0, this->probeOrder.size() };
    const auto position = this->probeOrder.begin() + static_cast<std::ptrdiff_t>(anyPosition(random));
    this->probeOrder.insert(position, name);
}

void MemberTable::replace(Entry& entry, const Member& update, TimePoint now)
{
    const auto offset = entry.member.configurationOffset;
    const auto isSameProcess = entry.member.instance == update.instance;
    entry = { update, std::nullopt, now };
    if (isSameProcess)
        entry.member.configurationOffset = std::max(offset, update.configurationOffset);
    if (update.state == MemberState::Suspected)
        entry.suspicionDeadline = now + this->options.suspicionTimeout;
}

void MemberTable::startSuspicion(std::string_view name, TimePoint deadline)
{
    const auto found = this->members.find(name);
    if (found != this->members.end() && !found->second.suspicionDeadline)
        found->second.suspicionDeadline = deadline;
}

void MemberTable::clearSuspicion(std::string_view name)
{
    const auto found = this->members.find(name);
    if (found != this->members.end() && found->second.member.state != MemberState::Suspected)
        found->second.suspicionDeadline.reset();
}

std::vector<std::string> MemberTable::expiredSuspicions(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : this->members)
        if (isLive(entry) && entry.suspicionDeadline && *entry.suspicionDeadline <= now)
            names.push_back(name);
    return names;
}

TimePoint MemberTable::nextSuspicionDeadline() const
{
    auto next = TimePoint::max();
    for (const auto& entry : this->members | std::views::values)
        if (isLive(entry) && entry.suspicionDeadline)
            next = std::min(next, *entry.suspicionDeadline);
    return next;
}

void MemberTable::extendSuspicions(Duration lateness)
{
    for (auto& entry : this->members | std::views::values)
        if (entry.suspicionDeadline)
            *entry.suspicionDeadline += lateness;
}

const Member* MemberTable::nextToProbe(std::mt19937_64& random)
{
    for (std::size_t tried = 0; tried <= this->probeOrder.size(); ++tried) {
        if (this->probePosition >= this->probeOrder.size()) {
            std::ranges::shuffle(this->probeOrder, random);
            this->probePosition = 0;
        }
        if (this->probeOrder.empty())
            return nullptr;
        const auto* entry = this->find(this->probeOrder[this->probePosition++]);
        if (entry && isLive(*entry))
            return &entry->member;
    }
    return nullptr;
}

std::vector<Member> MemberTable::sample(std::size_t count, std::string_view excluded, std::mt19937_64& random) const
{
    std::vector<const Entry*> candidates;
    for (const auto& [name, entry] : this->members)
        if (isLive(entry) && name != excluded)
            candidates.push_back(&entry);
    std::vector<const Entry*> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
    std::ranges::shuffle(chosen, random);
    std::vector<Member> members;
    std::ranges::transform(chosen, std::back_inserter(members), [](const Entry* entry) { return entry->member; });
    return members;
}

void MemberTable::removeExpiredTombstones(TimePoint now)
{
    const auto isExpired = [&](const auto& item) {
        return !isLive(item.second) && now - item.second.changedAt > this->options.tombstoneLifetime;
    };
    std::erase_if(this->members, isExpired);
    std::erase_if(this->probeOrder, [this](const std::string& name) { return !this->members.contains(name); });
}

std::size_t MemberTable::liveCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->members | std::views::values, isLive));
}

std::vector<const MemberTable::Entry*> MemberTable::entries() const
{
    std::vector<const Entry*> all;
    for (const auto& entry : this->members | std::views::values)
        all.push_back(&entry);
    return all;
}

}
