#include "serving/TransferSlots.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class TransferSlotsTest : public testing::Test {
protected:
    TimePoint now { 1h };
    TransferSlots slots { 2 };
};

TEST_F(TransferSlotsTest, SlotsBeyondTheCountAreNotGiven)
{
    EXPECT_TRUE(this->slots.take(this->now, this->now + 1s));
    EXPECT_TRUE(this->slots.take(this->now, this->now + 1s));
    EXPECT_FALSE(this->slots.take(this->now, this->now + 1s));
}

TEST_F(TransferSlotsTest, ReleasedSlotIsGivenAgain)
{
    const auto first = this->slots.take(this->now, this->now + 1s);
    this->slots.take(this->now, this->now + 1s);
    this->slots.release(*first);
    EXPECT_TRUE(this->slots.take(this->now, this->now + 1s));
}

// A receiver that is frozen does not read, so that its list is never written to the end.
TEST_F(TransferSlotsTest, SlotOfAFrozenReceiverIsGivenAgainAfterItsExpiry)
{
    this->slots.take(this->now, this->now + 1s);
    this->slots.take(this->now, this->now + 2s);
    EXPECT_FALSE(this->slots.take(this->now + 900ms, this->now + 2s));
    EXPECT_TRUE(this->slots.take(this->now + 1s, this->now + 2s));
    EXPECT_FALSE(this->slots.take(this->now + 1s, this->now + 2s));
}

// The late end of an expired transfer must not free the slot of the next one.
TEST_F(TransferSlotsTest, ReleaseOfAnExpiredSlotFreesNoOther)
{
    const auto expired = this->slots.take(this->now, this->now + 1s);
    this->slots.take(this->now, this->now + 5s);
    this->slots.take(this->now + 1s, this->now + 5s);
    this->slots.release(*expired);
    EXPECT_FALSE(this->slots.take(this->now + 2s, this->now + 5s));
}

}
}
