#include "membership/Ownership.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

// A member that can own a key, with its rendezvous score. The highest score wins; ties are broken by instance.
struct Candidate {
    std::uint64_t score { 0 };
    const Member* member { nullptr };

    bool operator<(const Candidate& other) const
    {
        return std::tie(other.score, this->member->instance) < std::tie(this->score, other.member->instance);
    }
};

std::vector<Candidate> candidatesFor(std::string_view key, std::span<const Member> members)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (const auto& member : members | std::views::filter(canOwn)) {
        const auto& name = member.instance.name;
        candidates.push_back({ XXH3_64bits_withSeed(name.data(), name.size(), seed), &member });
    }
    return candidates;
}

std::vector<const Member*> highestScored(std::vector<Candidate> candidates, std::size_t count)
{
    const auto kept = std::min(count, candidates.size());
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(kept), std::less<> {});
    std::vector<const Member*> order;
    std::ranges::copy(
        candidates | std::views::take(kept) | std::views::transform(&Candidate::member), std::back_inserter(order));
    return order;
}

}

std::string_view name(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "invalid";
}

bool canOwn(const Member& member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspected;
}

const Member* rendezvousOwner(std::string_view key, std::span<const Member> members)
{
    const auto candidates = candidatesFor(key, members);
    const auto first = std::ranges::min_element(candidates, std::less<> {});
    return first == candidates.end() ? nullptr : first->member;
}

std::vector<const Member*> rendezvousOrder(std::string_view key, std::span<const Member> members, std::size_t count)
{
    return highestScored(candidatesFor(key, members), count);
}

std::string ownershipKey(const CellId& cell)
{
    // The separator cannot occur in a setting's value, so no two cells share a key.
    constexpr char Separator = '\n';
    return cell.availabilityZone + Separator + cell.model + Separator + std::to_string(cell.number);
}

std::vector<const Member*> ownersOf(const CellId& cell, std::span<const Member> members, std::size_t count)
{
    auto candidates = candidatesFor(ownershipKey(cell), members);
    const auto isInZone = [&cell](const Candidate& candidate) {
        return candidate.member->availabilityZone == cell.availabilityZone;
    };
    if (std::ranges::any_of(candidates, isInZone))
        std::erase_if(candidates, std::not_fn(isInZone));
    return highestScored(std::move(candidates), count);
}

const Member* ownerOf(const CellId& cell, std::span<const Member> members)
{
    const auto owners = ownersOf(cell, members, 1);
    return owners.empty() ? nullptr : owners.front();
}

}
