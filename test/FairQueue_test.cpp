#include "dispatch/FairQueue.h"

#include <list>
#include <map>

#include <gmock/gmock.h>

using namespace marigoldpaddle;

namespace {

class FairQueueTest : public testing::Test {
protected:
    QueuedRequest& add(const std::string& workspace, double work, double weight = 1)
    {
        auto& entry = this->entries.emplace_back();
        entry.request.workspace = workspace;
        entry.request.workspaceWeight = weight;
        entry.work = work;
        entry.orderKey = TimePoint { std::chrono::seconds { this->entries.size() } };
        entry.sequence = this->entries.size();
        this->queue.insert(entry);
        return entry;
    }

    std::string serveNext()
    {
        auto* entry = this->queue.heads(1).front();
        this->queue.charge(*entry);
        this->queue.remove(*entry);
        return entry->request.workspace;
    }

    std::list<QueuedRequest> entries;
    FairQueue queue;
};

TEST_F(FairQueueTest, ServingAllRequestsReducesSizeAndWorkToZero)
{
    this->add("a", 100);
    this->add("b", 200);
    this->serveNext();
    EXPECT_EQ(this->queue.size(), 1U);
    this->serveNext();
    EXPECT_EQ(this->queue.size(), 0U);
    EXPECT_EQ(this->queue.work(), 0);
    EXPECT_TRUE(this->queue.heads(1).empty());
}

TEST_F(FairQueueTest, WorkspacesAreServedInProportionToTheirWeights)
{
    for (int i = 0; i < 40; ++i) {
        this->add("heavy", 100, 3);
        this->add("light", 100, 1);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[this->serveNext()];
    EXPECT_NEAR(served["heavy"], 30, 1);
    EXPECT_NEAR(served["light"], 10, 1);
}

TEST_F(FairQueueTest, WorkAheadOfALightWorkspaceExcludesTheFloodOfAnother)
{
    for (int i = 0; i < 50; ++i)
        this->add("flood", 100);
    EXPECT_EQ(this->queue.workAhead("light", 1), 0);
    EXPECT_EQ(this->queue.workAhead("flood", 1), 5'000);
}

}
