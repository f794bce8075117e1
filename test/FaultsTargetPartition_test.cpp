#include <map>
#include <memory>
#include <string>
#include <vector>

#include "GatewayWithPeers.h"
#include "PartitionedLink.h"

namespace marigoldpaddle::testing {
namespace {

// Instances before three targets. The paths of each instance to the targets can be cut, while callers and the other
// instances still reach it.
class FaultsTargetPartitionTest : public InstancesTest {
protected:
    static constexpr std::size_t Targets = 3;
    // The loss of all paths has to be known by then.
    static constexpr Duration DetectionTime = 2s;

    struct Counts {
        unsigned sent { 0 };
        unsigned served { 0 }; // Whole answers, at the first attempt.
        unsigned answered { 0 }; // Answers of any status.
        Duration longest {}; // Until an answer.
    };

    FaultsTargetPartitionTest()
    {
        for (std::size_t index = 0; index < Targets; ++index) {
            auto& target = this->targets.emplace_back(std::make_unique<ScriptedTarget>(this->context));
            target->script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
                ++this->runs[std::string { exchange.request()["Marigoldpaddle-Attempt-Id"] }];
                const bool isStream = exchange.request().target().starts_with("/stream/");
                const auto reaction = isStream ? events("id: 1\n\nid: 2\n\n", true) : respondWith(200, "whole");
                co_await reaction(exchange);
            } };
        }
        this->start([this](std::size_t) {
            auto& links = this->links.emplace_back();
            std::vector<TargetEntry> entries;
            for (std::size_t index = 0; index < Targets; ++index) {
                links.push_back(std::make_unique<PartitionedLink>(this->context, this->targets[index]->address));
                entries.push_back(entryOf("t" + std::to_string(index), *this->targets[index]));
                entries.back().address = links.back()->address();
            }
            return entries;
        });
    }

    void cut(std::size_t instance, Cut kind)
    {
        for (auto& link : this->links[instance])
            link->setCut(kind);
    }

    asio::awaitable<void> call(std::string address, HttpRequest request, Counts& counts)
    {
        const auto sentAt = this->clock.now();
        ++counts.sent;
        const bool isStream = request.target().starts_with("/stream/");
        const auto answered = co_await this->caller.call(std::move(address), std::move(request), 10s);
        if (!answered)
            co_return;
        ++counts.answered;
        counts.longest = std::max(counts.longest, this->clock.now() - sentAt);
        const std::string whole { isStream ? "id: 1\n\nid: 2\n\n" : "whole" };
        if (answered.value().result_int() == 200 && answered.value().body() == whole)
            ++counts.served;
    }

    // Sends one request of each kind to an instance.
    void callEachKind(std::size_t instance, Counts& counts)
    {
        for (const std::string path : { "/safe/x", "/unsafe/x", "/stream/x" })
            asio::co_spawn(this->context,
                this->call(this->instances[instance]->address, this->request("", path), counts), asio::detached);
    }

    // Sends requests of each kind to some instances for a time, and waits for their answers.
    void callFor(Duration time, const std::vector<std::size_t>& instances, Counts& counts)
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            for (const auto instance : instances)
                this->callEachKind(instance, counts);
            this->runFor(50ms);
        }
        const auto giveUpAt = this->clock.now() + 6s;
        while (counts.answered < counts.sent && this->clock.now() < giveUpAt)
            this->runFor(20ms);
    }

    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::vector<std::unique_ptr<PartitionedLink>>> links; // By instance and target.
    std::map<std::string, unsigned> runs; // At targets, by attempt id.
    Counts early; // Right after the cut.
    Counts late;
};

class FaultsTargetPartitionKindTest : public FaultsTargetPartitionTest, public ::testing::WithParamInterface<Cut> { };

TEST_P(FaultsTargetPartitionKindTest, InstanceWithoutPathToAnyTargetServesItsCallers)
{
    this->callFor(300ms, { 0, 1 }, this->early);
    this->cut(0, this->GetParam());
    this->callFor(DetectionTime, { 0 }, this->early);
    this->callFor(1s, { 0 }, this->late);
    EXPECT_EQ(this->late.served, this->late.sent);
}

TEST_P(FaultsTargetPartitionKindTest, MostInstancesWithoutPathToAnyTargetServeTheirCallers)
{
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < Instances; ++index)
        all.push_back(index);
    this->callFor(300ms, all, this->early);
    for (std::size_t index = 1; index < Instances; ++index)
        this->cut(index, this->GetParam());
    this->callFor(DetectionTime, all, this->early);
    this->callFor(1s, all, this->late);
    EXPECT_EQ(this->late.served, this->late.sent);
}

std::string cutName(const ::testing::TestParamInfo<Cut>& info)
{
    switch (info.param) {
    case Cut::None:
        return "None";
    case Cut::Hang:
        return "Hang";
    case Cut::Reset:
        return "Reset";
    case Cut::RefuseNew:
        return "RefuseNew";
    }
    return "Invalid";
}

INSTANTIATE_TEST_SUITE_P(
    , FaultsTargetPartitionKindTest, ::testing::Values(Cut::Hang, Cut::Reset, Cut::RefuseNew), cutName);

}
}
