#include "membership/Ownership.h"

#include <map>
#include <random>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using testing::Each;
using testing::ElementsAre;
using testing::IsNull;
using testing::Pair;

namespace {

constexpr int KeyCount = 2000;

class OwnershipTest : public testing::Test {
protected:
    static Member memberOf(std::string name, std::string zone = "a")
    {
        Member member;
        member.instance = { std::move(name), 1 };
        member.availabilityZone = std::move(zone);
        return member;
    }

    static std::vector<Member> membersOf(int count)
    {
        std::vector<Member> members;
        for (int number = 0; number < count; ++number)
            members.push_back(memberOf("instance-" + std::to_string(number)));
        return members;
    }

    static std::string keyOf(int number)
    {
        return "key-" + std::to_string(number);
    }

    static std::string ownerName(int number, const std::vector<Member>& members)
    {
        return rendezvousOwner(keyOf(number), members)->instance.name;
    }
};

TEST_F(OwnershipTest, SameMembersInAnotherOrderGiveTheSameOwners)
{
    const auto members = membersOf(8);
    auto shuffled = members;
    std::ranges::shuffle(shuffled, std::mt19937_64 { 1 });
    for (int number = 0; number < KeyCount; ++number)
        EXPECT_EQ(ownerName(number, members), ownerName(number, shuffled));
}

TEST_F(OwnershipTest, KeysAreDistributedEvenlyOverTheMembers)
{
    const auto members = membersOf(8);
    std::map<std::string, int> owned;
    for (int number = 0; number < KeyCount; ++number)
        ++owned[ownerName(number, members)];
    EXPECT_EQ(owned.size(), members.size());
    EXPECT_THAT(owned, Each(Pair(testing::_, testing::AllOf(testing::Gt(175), testing::Lt(325)))));
}

TEST_F(OwnershipTest, DeadOrLeavingMemberLosesItsKeysToTheNextInRendezvousOrderAndNoOtherKeyMoves)
{
    const auto before = membersOf(8);
    for (const auto state : { MemberState::Leaving, MemberState::Dead }) {
        auto after = before;
        after[3].state = state;
        for (int number = 0; number < KeyCount; ++number) {
            const auto order = rendezvousOrder(keyOf(number), before, 2);
            const auto expected = order[0]->instance == before[3].instance ? order[1] : order[0];
            EXPECT_EQ(ownerName(number, after), expected->instance.name);
        }
    }
}

TEST_F(OwnershipTest, SuspectedMemberKeepsItsKeys)
{
    auto members = membersOf(2);
    members[0].state = MemberState::Suspected;
    members[1].state = MemberState::Dead;
    EXPECT_EQ(rendezvousOwner("key", members), &members[0]);
}

TEST_F(OwnershipTest, KeyWithoutEligibleMemberHasNoOwner)
{
    auto members = membersOf(1);
    members[0].state = MemberState::Leaving;
    EXPECT_THAT(rendezvousOwner("key", members), IsNull());
    EXPECT_THAT(ownerOf(CellId { "a", "model", 0 }, members), IsNull());
    EXPECT_THAT(rendezvousOwner("key", {}), IsNull());
}

TEST_F(OwnershipTest, CellIsOwnedOutsideItsZoneOnlyIfThatZoneHasNoEligibleMember)
{
    std::vector<Member> members { memberOf("one", "a"), memberOf("two", "b"), memberOf("three", "b") };
    EXPECT_THAT(ownersOf(CellId { "a", "model", 0 }, members, 3), ElementsAre(&members[0]));
    members[0].state = MemberState::Dead;
    EXPECT_EQ(ownersOf(CellId { "a", "model", 0 }, members, 3).size(), 2u);
}

TEST_F(OwnershipTest, DifferentCellsHaveDifferentKeys)
{
    EXPECT_NE(ownershipKey({ "a", "b", 1 }), ownershipKey({ "a", "b1", 1 }));
    EXPECT_NE(ownershipKey({ "ab", "c", 1 }), ownershipKey({ "a", "bc", 1 }));
}

}
